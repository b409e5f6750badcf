package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
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
	// missed is the least need, in millicores, of each filling image that
	// found no worker in this plan.
	missed map[string]int64
	// advised is set while tasks need a ticket.
	advised bool
	// reserved services keep workers free for a gang in this plan.
	reserved map[fleet.Service]bool
}

type placementClass struct {
	need    fleet.Resources
	filling string // image of a filling task, on which its room depends
	service fleet.Service
}

func (m *Machine) newRoom(now time.Duration) *room {
	r := &room{
		m: m, now: now, full: make(map[placementClass]bool), missed: make(map[string]int64), reserved: make(map[fleet.Service]bool),
	}
	for _, w := range m.list {
		if m.mayStart(w, now) {
			r.open = append(r.open, w)
		}
	}
	return r
}

// mayStart reports whether new work may go to a worker.
func (m *Machine) mayStart(w *worker, now time.Duration) bool {
	return w.listed && w.adopted && w.leased && w.strangers == 0 && !w.upkeep && !w.record.quiet && !w.Draining && !m.out[w.DataCentre] && now >= w.closedUntil && now-w.reported < silentFor
}

// silentFor is after which a worker that has not reported gets no new work.
// Source: a renewal is answered at least each second.
const silentFor = 1800 * time.Millisecond

// place chooses a worker for a task, or nil. taken counts what a plan that
// is not made yet puts on workers.
func (r *room) place(t *task, service fleet.Service, taken map[fleet.WorkerID]int) *worker {
	s := t.step
	class := placementClass{need: s.Need, service: service}
	if s.BestEffort {
		class.filling = s.Image
	}
	plain := s.MaxPerWorker == 0 && s.Label == "" && t.avoid == "" && !r.advised
	if plain && r.full[class] {
		return nil
	}
	if least, ok := r.missed[s.Image]; ok && s.BestEffort && s.Need.MilliCores >= least {
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
	if best == nil && s.BestEffort && plain {
		r.missed[s.Image] = s.Need.MilliCores
	}
	return best
}

// placeAll chooses a worker for each task of a step, or nil. What does not fit
// beside the first of them may fit without them, so it is not remembered.
func (r *room) placeAll(s *step, service fleet.Service) []*worker {
	var chosen []*worker
	taken := make(map[fleet.WorkerID]int)
	trial := &room{m: r.m, open: r.open, now: r.now, full: make(map[placementClass]bool), missed: make(map[string]int64), advised: r.advised}
	for _, t := range s.tasks {
		w := trial.place(t, service, taken)
		if w == nil {
			break
		}
		w.count(s.Step, 1)
		taken[w.ID]++
		chosen = append(chosen, w)
	}
	for _, w := range chosen {
		w.count(s.Step, -1)
	}
	if len(chosen) < s.Count {
		return nil
	}
	return chosen
}

// placeInOneRack chooses workers of one rack for all tasks of a step, or nil.
func (r *room) placeInOneRack(s *step, service fleet.Service) []*worker {
	tried := make(map[fleet.Rack]bool)
	for _, w := range r.open {
		if tried[w.Rack] || w.Service != service {
			continue
		}
		tried[w.Rack] = true
		rack := &room{m: r.m, now: r.now, full: make(map[placementClass]bool), missed: make(map[string]int64), advised: r.advised}
		for _, o := range r.open {
			if o.Rack == w.Rack {
				rack.open = append(rack.open, o)
			}
		}
		if chosen := rack.placeAll(s, service); chosen != nil {
			return chosen
		}
	}
	return nil
}

// fits reports whether a worker has the room and the properties that a task
// needs. It answers workers that don't guard their own capacity.
func (r *room) fits(t *task, w *worker, taken map[fleet.WorkerID]int) bool {
	s := t.step
	need := s.Need
	if s.BestEffort {
		if idle(w) < need.MilliCores || w.alarmAt > 0 && r.now-w.alarmAt < alarmPause {
			return false
		}
		need.MilliCores = 0
	}
	if !w.used.Add(need).Fits(w.Capacity) || t.avoid == w.ID {
		return false
	}
	if in := r.m.interference; s.BestEffort && !w.shared.bears(in, in.filling.number(s.Image), s.Need.MilliCores, w.Capacity.MilliCores) {
		return false
	}
	if s.Label != "" && !slices.Contains(w.Labels, s.Label) {
		return false
	}
	if _, ok := s.ticketFor(w.ID, r.now); r.advised && !ok {
		return false
	}
	return s.MaxPerWorker == 0 || s.perNode[w.ID]+taken[w.ID] < s.MaxPerWorker
}

// idle is the processor that filling tasks may still count on.
func idle(w *worker) int64 {
	return w.Capacity.MilliCores - (w.used.MilliCores - w.serving) - int64(servingLoad*float64(w.serving)) - w.filling
}

const (
	// pressureBorne is the pressure that a placement may lead to. Source: a
	// serving task's own load swings by a half.
	pressureBorne = 0.8
	// localityBonus outweighs any difference in idle processor between
	// workers. Source: away from its data a task takes FarFactor as long.
	localityBonus = 1 << 40
)

// score prefers the data's rack, then what leaves the most room for the work
// to come.
func (r *room) score(t *task, w *worker) int64 {
	var score int64
	switch {
	case t.step.Serving:
		score = r.servingScore(t.step.Step, w)
	case t.step.BestEffort:
		score = r.fillingScore(t.step.Step, w)
	default:
		score = idle(w)
	}
	if t.step.DataRack != "" && w.Rack == t.step.DataRack {
		score += localityBonus
	}
	return score
}

// servingScore gathers serving tasks of one image on the same workers, then
// takes empty workers, and mixes images only when none is left. It answers
// serving tasks that ask for most of the room beside filling images of which
// each presses on some serving images only: the fewer images a worker serves,
// the more filling work it bears.
func (r *room) servingScore(s *workload.Step, w *worker) int64 {
	in := r.m.interference
	same, others := w.shared.served(in.serving.number(s.Image))
	const step = localityBonus / 8
	score := -idle(w) // among like workers the fullest
	switch {
	case others == 0 && same > 0:
		score += 4 * step
	case others == 0:
		score += 3 * step
	case same > 0:
		score += 2 * step
	}
	if w.shared.pressureOf(in, in.serving.number(s.Image), w.Capacity.MilliCores) > pressureBorne {
		score -= step / 2
	}
	return score
}

// settled reports whether this owner has heard of enough workers to spread or
// gather serving tasks over all of them. It answers takeovers after which many
// serving tasks start at once: the first workers that report would get them all.
func (m *Machine) settled(now time.Duration) bool {
	return now-m.started >= settleMost || now-m.started >= settleLeast && m.allAdopted(now)
}

const (
	// settleLeast and settleMost bound the wait of a new owner's first serving
	// tasks. Source: workers of one start come within 0.3 s; a task that lasts
	// has to be back within 3 s.
	settleLeast = 300 * time.Millisecond
	settleMost  = time.Second
)

// fillingScore keeps workers without serving tasks for the images that press
// on some.
func (r *room) fillingScore(s *workload.Step, w *worker) int64 {
	score := idle(w)
	in := r.m.interference
	if !w.shared.servesAny() {
		if in.presses(in.filling.number(s.Image)) {
			score += w.Capacity.MilliCores
		} else {
			score -= w.Capacity.MilliCores
		}
	}
	return score
}
