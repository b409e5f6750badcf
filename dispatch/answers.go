package dispatch

import (
	"slices"
	"time"
)

// stop orders a run to end.
func (m *Machine) stop(r *run, reason string) {
	if r.state == runStopping {
		return
	}
	r.state, r.reason = runStopping, reason
	r.stopSent = 0
}

// StartAnswered takes in the outcome of a start.
func (m *Machine) StartAnswered(o Order, outcome Outcome, now time.Duration) {
	w, ok := m.workers[o.Worker]
	if !ok {
		return
	}
	r := w.find(o.Task, o.Run)
	if r == nil {
		return
	}
	switch outcome {
	case Accepted:
		if r.state == runOrdered {
			r.state = runRunning
		}
		if r.confirmed == 0 {
			r.confirmed = now
		}
	case Refused, Unhealthy:
		if r.confirmed > 0 {
			return
		}
		w.close(now, refusedPause)
		if outcome == Unhealthy {
			r.task.avoid = w.ID
			m.strike(w, r.task.job.ID, now)
		}
		m.event("start_refused", o.Task.Job, "task", o.Task, "run", o.Run, "worker", w.ID, "outcome", outcome)
		m.release(r, now)
	case Superseded:
		m.superseded = true
	case NoAnswer:
		if r.state == runOrdered {
			r.state = runUnresolved
			w.close(now, noAnswerPause)
			m.event("start_unanswered", o.Task.Job, "task", o.Task, "run", o.Run, "worker", w.ID)
		}
	}
}

const (
	// refusedPause keeps new work from a worker that has refused some.
	refusedPause = 300 * time.Millisecond
	// noAnswerPause keeps new work from a worker that did not answer. Source:
	// about two renewals, which tell whether it lives.
	noAnswerPause = time.Second
	// lateOrder is after which an order that got no answer is not carried out
	// any more. Source: the users' orders come 2 to 12 s late.
	lateOrder = 13 * time.Second
	// stopRepeat is after which an unanswered stop is sent again.
	stopRepeat = 700 * time.Millisecond
)

// StopAnswered takes in the outcome of a stop.
func (m *Machine) StopAnswered(o Order, outcome Outcome, now time.Duration) {
	w, ok := m.workers[o.Worker]
	if !ok {
		return
	}
	switch outcome {
	case Accepted:
		if r := w.find(o.Task, o.Run); r != nil {
			r.stopAnswered = now
			m.orders = append(m.orders, Order{Kind: OrderReport, Worker: w.ID, Task: o.Task})
		}
	case Superseded:
		m.superseded = true
	}
}

// sendStops gives out the stops that are due.
func (m *Machine) sendStops(now time.Duration) {
	for _, w := range m.list {
		for _, r := range w.runs {
			if r.state != runStopping && r.state != runUnresolved || r.stopAnswered > 0 {
				continue
			}
			if r.stopSent > 0 && now-r.stopSent < stopRepeat {
				continue
			}
			r.stopSent = now
			m.orders = append(m.orders, Order{Kind: OrderStop, Worker: w.ID, Task: r.task.name, Run: r.number, Reason: r.reason})
		}
	}
}

// expire releases what can't run any more since its worker's lease has ended.
func (m *Machine) expire(now time.Duration) {
	for _, w := range slices.Clone(m.list) {
		if now < w.leaseEnd {
			continue
		}
		for _, r := range slices.Clone(w.runs) {
			if r.confirmed == 0 && now-r.ordered < lateOrder {
				continue // may reach the worker's next life
			}
			m.event("run_lapsed", r.task.name.Job, "task", r.task.name, "run", r.number, "worker", w.ID, "silent", now-w.reported)
			m.release(r, now)
		}
		m.dropIfEmpty(w, now)
	}
}
