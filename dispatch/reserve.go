package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// reserveAfter is how long a gang may wait for capacity before workers are
// reserved for it. Within this time, tasks end on most workers of a busy site.
const reserveAfter = time.Second

// reserve keeps workers free for a gang that has waited for reserveAfter: jobs
// behind it in the queue may not use them until all its members fit there at
// once. Otherwise smaller tasks would take each gap as it appears, and the gang
// would never start while the load exceeds the capacity.
func (p *placer) reserve(s *step, service fleet.Service) {
	var unstarted task
	first := s.peek(0, &unstarted)
	if p.reservedServices[service] || first == nil || p.now-first.waitingSince < reserveAfter {
		return
	}
	kept := p.workersForGang(s, service)
	if kept == nil {
		return // it does not fit even on workers without batch runs
	}
	p.reservedServices[service] = true
	p.eligible = slices.DeleteFunc(p.eligible, func(w *worker) bool { return slices.Contains(kept, w) })
	clear(p.unplaceable)
	clear(p.minUnplaced)
	j := s.job
	if !j.hasReservation {
		j.hasReservation = true
		p.m.emit("room_kept", j.ID, "step", first.name.StepName(), "members", s.Count, "workers", len(kept), "waited", p.now-first.waitingSince)
	}
}

// workersForGang returns workers that can hold a gang together once their current
// batch runs have ended, taking the idlest first. For a gang that needs a single
// rack it prefers workers of one rack. It returns nil if no set of workers
// suffices.
func (p *placer) workersForGang(s *step, service fleet.Service) []*worker {
	candidates := slices.Clone(p.eligible)
	slices.SortStableFunc(candidates, func(a, b *worker) int { return cmp.Compare(idleMilliCores(b), idleMilliCores(a)) })
	if s.SameRack {
		tried := make(map[fleet.Rack]bool)
		for _, w := range candidates {
			if tried[w.Rack] {
				continue
			}
			tried[w.Rack] = true
			sameRack := slices.DeleteFunc(slices.Clone(candidates), func(o *worker) bool { return o.Rack != w.Rack })
			if kept := p.firstWorkersForGang(s, service, sameRack); kept != nil {
				return kept
			}
		}
	}
	return p.firstWorkersForGang(s, service, candidates)
}

// firstWorkersForGang returns the first of the candidates that can hold a gang
// together, or nil.
func (p *placer) firstWorkersForGang(s *step, service fleet.Service, candidates []*worker) []*worker {
	var kept []*worker
	remaining := s.Count
	for _, w := range candidates {
		if n := p.gangMembersOn(s, w, service); n > 0 {
			kept = append(kept, w)
			remaining -= n
		}
		if remaining <= 0 {
			return kept
		}
	}
	return nil
}

// gangMembersOn returns how many members of a gang a worker could take once its
// current batch runs have ended.
func (p *placer) gangMembersOn(s *step, w *worker, service fleet.Service) int {
	first := s.tasks.get(0)
	if w.Service != service || s.Label != "" && !slices.Contains(w.Labels, s.Label) || first != nil && first.avoidance.excludes(w.ID, p.now) {
		return 0
	}
	free := w.Capacity
	for _, run := range w.runs {
		if run.task.step.Serving {
			need := run.task.step.Need
			free = free.Add(fleet.Resources{MilliCores: -need.MilliCores, MemoryMB: -need.MemoryMB, Accelerators: -need.Accelerators})
		}
	}
	n := 0
	for need := s.Need; need.Fits(free) && n < s.Count; need = need.Add(s.Need) {
		n++
	}
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	return n
}
