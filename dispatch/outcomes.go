package dispatch

import (
	"slices"
	"time"
)

// requestStop marks a run to be stopped; sendStops issues the order.
func (m *Machine) requestStop(r *run, reason string) {
	if r.state == runStopping {
		return
	}
	r.state, r.stopReason = runStopping, reason
	r.stopSentAt = 0
}

// StartAnswered processes the outcome of a start order.
func (m *Machine) StartAnswered(o Order, outcome Outcome, now time.Duration) {
	w, ok := m.workers[o.Worker]
	if !ok {
		return
	}
	r := w.find(o.Task, o.Run)
	if r == nil {
		return
	}
	r.startInFlight = false
	switch outcome {
	case Accepted:
		w.acceptedAt = now
		if r.state == runOrdered {
			r.state = runRunning
		}
		r.confirm(now)
		m.setInitialCPUShare(r)
	case Refused, Unhealthy:
		if r.confirmedAt > 0 {
			return
		}
		w.close(now, refusedPause)
		w.refusalClosureEnd = now + refusedPause
		if outcome == Unhealthy {
			m.avoid(r.task, w, now)
			m.recordFailure(w, r.task.job.ID, r.orderedAt, now)
		}
		m.emit("start_refused", o.Task.Job, "task", o.Task, "run", o.Run, "worker", w.ID, "outcome", outcome)
		m.release(r, now)
		m.stopGang(r.task.step, r.number)
	case Superseded:
		m.superseded = true
	case NoAnswer:
		if r.confirmedAt == 0 {
			r.unansweredAt = now
			m.recordUnanswered(r.task, w, r.number, now+maxOrderDelay, now)
		}
		if r.state == runOrdered {
			r.state = runUnresolved
			w.close(now, noAnswerPause)
			w.noAnswerClosureEnd = now + noAnswerPause
			m.emit("start_unanswered", o.Task.Job, "task", o.Task, "run", o.Run, "worker", w.ID)
		}
	}
}

// stopGang stops the members of one run of a gang that can't become complete.
func (m *Machine) stopGang(s *step, number int) {
	if !s.Gang {
		return
	}
	for t := range s.tasks.recorded() {
		for _, r := range t.runs {
			if r.number == number {
				m.requestStop(r, "a member of the gang was refused")
			}
		}
	}
}

const (
	// refusedPause is how long a worker gets no new work after it refused a start.
	refusedPause = 300 * time.Millisecond
	// noAnswerPause is how long a worker gets no new work after it did not respond
	// to a start: about two renewals, which show whether it is alive.
	noAnswerPause = time.Second
	// maxOrderDelay is the time after which an order that got no response is no
	// longer executed. Delayed orders arrive 2 to 12 s late.
	maxOrderDelay = 13 * time.Second
	// entryReturnTime is the time after which a worker whose entry was removed is gone
	// for good: the platform restores the entries of workers that are alive within about
	// 2 s.
	entryReturnTime = 2500 * time.Millisecond
	// stopRetryInterval is the time after which a stop without a response is sent
	// again.
	stopRetryInterval = 700 * time.Millisecond
)

// StopAnswered processes the outcome of a stop order.
func (m *Machine) StopAnswered(o Order, outcome Outcome, now time.Duration) {
	w, ok := m.workers[o.Worker]
	if !ok {
		return
	}
	switch outcome {
	case Accepted:
		if r := w.find(o.Task, o.Run); r != nil {
			r.stopAnsweredAt = now
			m.orders = append(m.orders, Order{Kind: OrderReport, Worker: w.ID, Task: o.Task})
		}
	case Superseded:
		m.superseded = true
	}
}

// sendStops issues the stop orders that are due.
func (m *Machine) sendStops(now time.Duration) {
	for _, w := range m.workerList {
		for _, r := range w.runs {
			if r.state != runStopping && r.state != runUnresolved || r.stopAnsweredAt > 0 {
				continue
			}
			if r.stopSentAt > 0 && now-r.stopSentAt < stopRetryInterval {
				continue
			}
			r.stopSentAt = now
			m.orders = append(m.orders, Order{Kind: OrderStop, Worker: w.ID, Task: r.task.name, Run: r.number, Reason: r.stopReason})
		}
	}
}

// nextIncarnationBound returns until when a run that no report has listed may be on an
// incarnation of its worker that the owner does not know of, unless the worker is gone for
// good. An accepted one has a deadline on another clock there; one without an answer may
// still be executed.
func (m *Machine) nextIncarnationBound(r *run) time.Duration {
	if r.lastReport > 0 {
		return 0
	}
	end := max(r.orderedAt, r.unansweredAt) + maxOrderDelay
	if r.confirmedAt > 0 {
		end = r.worker.acceptedAt + leaseBound(m.limits.LongestLease)
	}
	if !r.worker.listed && r.worker.unlistedAt > 0 {
		end = min(end, r.worker.goneAt(m.startedAt))
	}
	return end
}

// expireLeases releases runs that have certainly ended because the lease of their
// worker has.
func (m *Machine) expireLeases(now time.Duration) {
	for _, w := range slices.Clone(m.workerList) {
		m.expireUnanswered(w, now)
		if now < w.leaseEnd {
			continue
		}
		for _, r := range slices.Clone(w.runs) {
			if now < m.nextIncarnationBound(r) {
				continue
			}
			m.emit("run_lapsed", r.task.name.Job, "task", r.task.name, "run", r.number, "worker", w.ID, "silent", now-w.reportedAt)
			m.release(r, now)
			w.lapsed = append(w.lapsed, r)
		}
		m.expireUnlisted(w, now)
		m.dropIfEmpty(w, now)
	}
}
