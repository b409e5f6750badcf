package sharing

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Pressure thresholds. Between lowPressure and highPressure nothing changes;
// this hysteresis keeps tasks from being throttled and restored in alternation.
const (
	highPressure   = 0.90 // tasks are throttled at or above this
	targetPressure = 0.80 // goal of throttling and restoring
	lowPressure    = 0.70 // tasks are restored at or below this
)

const (
	// settleTime is the minimum time between two actions on a worker, so that
	// the effect of the first shows in the measurements.
	settleTime = 2 * time.Second
	// evictAfter is how long a service must miss its objective despite
	// throttling before a task is evicted.
	evictAfter = 6 * time.Second
	// restoreAfter is how long pressure must be low before a task is restored,
	// and the time between two such steps.
	restoreAfter = 10 * time.Second
	restoreStep  = 0.25 // maximum increase of a task's share
	// shareStep is the minimum change of a share that justifies a call to the
	// worker.
	shareStep      = 0.05
	evictionWindow = time.Minute
)

// Policy decides which tasks of a cell to throttle, evict and restore. It keeps
// the recent history of each worker.
type Policy struct {
	model     *Model
	workers   map[fleet.WorkerID]*workerHistory
	evictions []time.Time // within the last evictionWindow, oldest first
}

// workerHistory is the state that a Policy keeps for a worker.
type workerHistory struct {
	lastAction  time.Time // time of the last action
	missedSince time.Time // since when the objective is missed, or of the last eviction; zero if it is met
	lowSince    time.Time // since when pressure is low, or of the last restore step; zero if it is not low
}

// NewPolicy returns a policy that uses model.
func NewPolicy(model *Model) *Policy {
	return &Policy{model: model, workers: make(map[fleet.WorkerID]*workerHistory)}
}

// Decide returns the actions to take now. It drops the history of workers that
// are no longer in the snapshot.
func (p *Policy) Decide(now time.Time, s Snapshot) []Action {
	p.evictions = slices.DeleteFunc(p.evictions, func(t time.Time) bool { return now.Sub(t) >= evictionWindow })
	present := make(map[fleet.WorkerID]*workerHistory, len(s.Workers))
	var actions []Action
	for _, w := range s.Workers {
		h, ok := p.workers[w.ID]
		if !ok {
			h = new(workerHistory)
		}
		present[w.ID] = h
		actions = append(actions, p.decideWorker(now, w, h, s.EvictionsPerMinute)...)
	}
	p.workers = present
	return actions
}

func (p *Policy) decideWorker(now time.Time, w Worker, h *workerHistory, evictionLimit int) []Action {
	affected, pressure := highestPressure(w)
	h.recordPressure(now, pressure)
	if now.Sub(h.lastAction) < settleTime || len(w.Tasks) == 0 {
		return nil
	}
	var actions []Action
	switch {
	case pressure >= highPressure:
		actions = p.relieve(now, w, affected, h, evictionLimit)
	case !h.lowSince.IsZero() && now.Sub(h.lowSince) >= restoreAfter:
		actions = p.restore(w, pressure)
		h.lowSince = now
	}
	if len(actions) > 0 {
		h.lastAction = now
	}
	return actions
}

// highestPressure returns the service with the highest pressure, and that
// pressure.
func highestPressure(w Worker) (Service, float64) {
	var highest Service
	for _, s := range w.Services {
		if s.pressure() > highest.pressure() {
			highest = s
		}
	}
	return highest, highest.pressure()
}

// recordPressure updates the times since which the objective has been missed
// and pressure has been low.
func (h *workerHistory) recordPressure(now time.Time, pressure float64) {
	updateSince(&h.missedSince, now, pressure >= 1)
	updateSince(&h.lowSince, now, pressure <= lowPressure)
}

func updateSince(t *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*t = time.Time{}
	case t.IsZero():
		*t = now
	}
}

// relieve throttles tasks. If none can be throttled further, it evicts one task
// once the objective has been missed for evictAfter.
func (p *Policy) relieve(now time.Time, w Worker, affected Service, h *workerHistory, evictionLimit int) []Action {
	if actions := p.throttle(w, affected); len(actions) > 0 {
		return actions
	}
	if h.missedSince.IsZero() || now.Sub(h.missedSince) < evictAfter || len(p.evictions) >= evictionLimit {
		return nil
	}
	victim, ok := p.victim(w, affected)
	if !ok {
		return nil
	}
	p.evictions = append(p.evictions, now)
	h.missedSince = now
	return []Action{{Kind: Evict, Worker: w.ID, Ref: victim.Ref}}
}

// throttle lowers the shares of the tasks with the highest cost to the affected
// service, until its expected pressure reaches targetPressure.
func (p *Policy) throttle(w Worker, affected Service) []Action {
	excess := affected.pressure() - targetPressure
	tasks := slices.Clone(w.Tasks)
	slices.SortStableFunc(tasks, func(a, b Task) int {
		return cmp.Compare(p.costPerCore(affected, b), p.costPerCore(affected, a))
	})
	var actions []Action
	for _, t := range tasks {
		headroom := t.Share - t.Floor
		if excess <= 0 || headroom < shareStep {
			continue
		}
		fullCost := p.costPerCore(affected, t) * t.Cores * p.model.Utilisation(t.Class)
		reduction := headroom
		if fullCost > 0 {
			reduction = min(headroom, max(shareStep, excess/fullCost))
		}
		excess -= reduction * fullCost
		actions = append(actions, Action{Kind: Throttle, Worker: w.ID, Ref: t.Ref, Share: t.Share - reduction})
	}
	return actions
}

// costPerCore returns the mean cost of a task's class to a service. It does not
// use the upper estimate, which would throttle classes only because their cost
// is unknown.
func (p *Policy) costPerCore(s Service, t Task) float64 { return p.model.Cost(s.Name, t.Class).Mean }

// victim returns the task whose eviction loses the least work, among those with
// a cost to the affected service above 0.
func (p *Policy) victim(w Worker, affected Service) (Task, bool) {
	var found Task
	ok := false
	for _, t := range w.Tasks {
		if p.costPerCore(affected, t) == 0 {
			continue
		}
		if !ok || t.SinceCheckpoint < found.SinceCheckpoint {
			found, ok = t, true
		}
	}
	return found, ok
}

// restore raises the share of the throttled task with the lowest cost to the
// services, by at most as much as targetPressure allows.
func (p *Policy) restore(w Worker, pressure float64) []Action {
	var best Task
	lowest := 0.0
	for _, t := range w.Tasks {
		cost := p.highestCostPerCore(w, t)
		if t.Share < 1 && (best.Cores == 0 || cost < lowest) {
			best, lowest = t, cost
		}
	}
	if best.Cores == 0 {
		return nil
	}
	step := min(restoreStep, 1-best.Share)
	if fullCost := lowest * best.Cores * p.model.Utilisation(best.Class); fullCost > 0 {
		step = min(step, (targetPressure-pressure)/fullCost)
	}
	if step < min(shareStep, 1-best.Share) {
		return nil
	}
	return []Action{{Kind: Restore, Worker: w.ID, Ref: best.Ref, Share: best.Share + step}}
}

// highestCostPerCore returns the highest cost per core of a task to any service
// on its worker.
func (p *Policy) highestCostPerCore(w Worker, t Task) float64 {
	highest := 0.0
	for _, s := range w.Services {
		highest = max(highest, p.costPerCore(s, t))
	}
	return highest
}
