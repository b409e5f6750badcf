package dispatch

import (
	"time"
)

const (
	// tailAlarm is the share of its target at which a serving task's tail
	// makes the filling runs beside it work less. Source: the gauge is rough
	// and half a second old, and disturbance changes within seconds.
	tailAlarm = 0.85
	// tailCalm is the share below which they may work more again.
	tailCalm = 0.65
	// paceInterval is the least time between two changes. Source: the gauge
	// covers the last half second.
	paceInterval = 500 * time.Millisecond
	// paceStep is how much faster filling runs get in one interval, percent.
	paceStep = 25
	// paceFloor is the pace below which filling runs stand still.
	paceFloor = 20
	// evictAfter is how long filling runs may stand still before they go
	// elsewhere.
	evictAfter = 1500 * time.Millisecond
)

// control paces the filling runs of a worker by the tails of the serving ones
// beside them. It answers filling work that presses on serving tasks in
// amounts that nobody knows beforehand: halve at an alarm, raise by steps
// when calm.
func (m *Machine) control(w *worker, now time.Duration) {
	worst := 0.0
	for _, r := range w.runs {
		if s := r.task.step; s.Serving && s.TargetMS > 0 && r.state == runRunning {
			worst = max(worst, float64(r.gauge)/float64(s.TargetMS))
		}
	}
	if w.filling == 0 {
		w.paceCap = 100
		return
	}
	if now-w.paceAt < paceInterval {
		return
	}
	before := w.paceCap
	switch {
	case worst > 1:
		w.paceCap /= 4
	case worst > tailAlarm:
		w.paceCap /= 2
	case worst < tailCalm:
		w.paceCap = min(100, w.paceCap+paceStep)
	}
	if w.paceCap < paceFloor && worst > tailAlarm {
		w.paceCap = 0
	}
	if w.paceCap != before {
		w.paceAt = now
		m.event("filling_paced", "", "worker", w.ID, "percent", w.paceCap, "before", before, "worst_tail", worst)
	}
	m.sendPaces(w)
	if w.paceCap == 0 && now-w.paceAt >= evictAfter {
		m.evictFilling(w)
	}
}

// sendPaces brings the filling runs of a worker to its pace.
func (m *Machine) sendPaces(w *worker) {
	for _, r := range w.runs {
		if !r.task.step.Filling || r.state != runRunning || r.pace == w.paceCap {
			continue
		}
		r.pace = w.paceCap
		m.orders = append(m.orders, Order{Kind: OrderPace, Worker: w.ID, Task: r.task.name, Run: r.number, Percent: w.paceCap})
	}
}

// PaceAnswered takes in the outcome of a pace: one that failed is sent again.
func (m *Machine) PaceAnswered(o Order, outcome Outcome) {
	w, ok := m.workers[o.Worker]
	if !ok {
		return
	}
	if outcome == Superseded {
		m.superseded = true
	}
	if r, ok := w.runs[runKey{o.Task, o.Run}]; ok && outcome != Accepted {
		r.pace = paceUnknown
	}
}

// paceUnknown makes the pace due again.
const paceUnknown = -1

// evictFilling moves the filling runs that save their progress off a worker
// whose serving tasks leave them nothing.
func (m *Machine) evictFilling(w *worker) {
	for _, r := range w.runs {
		if s := r.task.step; s.Filling && s.Checkpoints && r.state == runRunning {
			r.task.avoid = w.ID
			m.event("run_evicted", r.task.job.ID, "task", r.task.name, "run", r.number, "worker", w.ID, "reason", "serving tails")
			m.stop(r, "serving tails")
		}
	}
}
