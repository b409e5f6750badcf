package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// servingLoad is the share of its processor that a serving task is taken to
// use. Source: the users' shapes give 0.42 with a swing of a half.
const servingLoad = 0.5

// room is what one plan may use of the workers.
type room struct {
	m    *Machine
	open []*worker
	now  time.Duration
	// full remembers needs that did not fit, so that like ones are not tried
	// again in the same plan.
	full map[placementClass]bool
}

type placementClass struct {
	need    fleet.Resources
	filling bool
	service fleet.Service
}

func (m *Machine) newRoom(now time.Duration) *room {
	r := &room{m: m, now: now, full: make(map[placementClass]bool)}
	for _, w := range m.list {
		if m.mayStart(w, now) {
			r.open = append(r.open, w)
		}
	}
	return r
}

// mayStart reports whether new work may go to a worker.
func (m *Machine) mayStart(w *worker, now time.Duration) bool {
	return w.listed && w.adopted && !w.Draining && !m.out[w.DataCentre] && now >= w.closedUntil && now-w.reported < silentFor
}

// silentFor is after which a worker that has not reported gets no new work.
// Source: a renewal is answered at least each second.
const silentFor = 1800 * time.Millisecond

// place chooses a worker for a task, or nil. taken counts what a plan that
// is not made yet puts on workers.
func (r *room) place(t *task, service fleet.Service, taken map[fleet.WorkerID]int) *worker {
	s := t.step
	class := placementClass{s.Need, s.Filling, service}
	plain := s.PerWorker == 0 && s.Label == "" && t.avoid == ""
	if plain && r.full[class] {
		return nil
	}
	var best *worker
	var bestScore int64
	for _, w := range r.open {
		if w.Service != service || !r.fits(t, w, taken) {
			continue
		}
		if score := r.score(t, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil && plain {
		r.full[class] = true
	}
	return best
}

// fits reports whether a worker has the room and the properties that a task
// needs. It answers workers that don't guard their own capacity.
func (r *room) fits(t *task, w *worker, taken map[fleet.WorkerID]int) bool {
	s := t.step
	need := s.Need
	if s.Filling {
		if idle(w) < need.MilliCores || w.paceCap < 100 {
			return false
		}
		need.MilliCores = 0
	}
	if !w.used.Add(need).Fits(w.Capacity) || t.avoid == w.ID {
		return false
	}
	if s.Label != "" && !slices.Contains(w.Labels, s.Label) {
		return false
	}
	return s.PerWorker == 0 || s.perNode[w.ID]+taken[w.ID] < s.PerWorker
}

// idle is the processor that filling tasks may still count on.
func idle(w *worker) int64 {
	return w.Capacity.MilliCores - (w.used.MilliCores - w.serving) - int64(servingLoad*float64(w.serving)) - w.filling
}

const (
	// localityBonus outweighs any difference in idle processor between
	// workers. Source: away from its data a task takes FarFactor as long.
	localityBonus = 1 << 40
)

// score prefers the data's rack, then the worker with the most idle
// processor: tasks share more than their room shows.
func (r *room) score(t *task, w *worker) int64 {
	score := idle(w)
	if t.step.DataRack != "" && w.Rack == t.step.DataRack {
		score += localityBonus
	}
	if t.step.Serving {
		// A serving task suffers from filling ones: fewest of them first.
		score = w.Capacity.MilliCores - w.used.MilliCores - w.filling/2
	}
	return score
}
