package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// reserveAfter is for how long a gang may find no room before room is kept free
// for it. Source: within it, tasks end on most workers of a busy site.
const reserveAfter = time.Second

// reserve keeps workers free of the work of jobs behind a gang in line that has
// waited for long, until all its members fit there at once. It answers gangs
// beside smaller tasks that take each gap as it comes: without it, no load above
// room would ever let them start.
func (r *room) reserve(s *step, service fleet.Service) {
	if r.reserved[service] || r.now-s.tasks[0].waitsFrom < reserveAfter {
		return
	}
	kept := r.holding(s, service)
	if kept == nil {
		return // it does not fit even then
	}
	r.reserved[service] = true
	r.open = slices.DeleteFunc(r.open, func(w *worker) bool { return slices.Contains(kept, w) })
	clear(r.full)
	clear(r.missed)
	j := s.tasks[0].job
	if !j.reserved {
		j.reserved = true
		r.m.event("room_kept", j.ID, "step", s.tasks[0].name.StepName(), "members", s.Count, "workers", len(kept), "waited", r.now-s.tasks[0].waitsFrom)
	}
}

// holding returns the workers, the emptiest first, that together hold a gang once
// the batch runs that they have now have ended: of one rack if that matters and
// there is one; nil if there are none.
func (r *room) holding(s *step, service fleet.Service) []*worker {
	candidates := slices.Clone(r.open)
	slices.SortStableFunc(candidates, func(a, b *worker) int { return cmp.Compare(idle(b), idle(a)) })
	if s.SameRack {
		tried := make(map[fleet.Rack]bool)
		for _, w := range candidates {
			if tried[w.Rack] {
				continue
			}
			tried[w.Rack] = true
			ofRack := slices.DeleteFunc(slices.Clone(candidates), func(o *worker) bool { return o.Rack != w.Rack })
			if kept := r.holdingOf(s, service, ofRack); kept != nil {
				return kept
			}
		}
	}
	return r.holdingOf(s, service, candidates)
}

func (r *room) holdingOf(s *step, service fleet.Service, candidates []*worker) []*worker {
	var kept []*worker
	left := s.Count
	for _, w := range candidates {
		if n := r.members(s, w, service); n > 0 {
			kept = append(kept, w)
			left -= n
		}
		if left <= 0 {
			return kept
		}
	}
	return nil
}

// members is how many members of a gang a worker could take once the batch runs
// that it has now have ended.
func (r *room) members(s *step, w *worker, service fleet.Service) int {
	t := s.tasks[0]
	if w.Service != service || s.Label != "" && !slices.Contains(w.Labels, s.Label) || t.avoid == w.ID {
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
