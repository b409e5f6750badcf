package owner

import (
	"errors"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/platform"
)

// minLeaseForStart is the minimum remaining lease of a worker for a start.
const minLeaseForStart = time.Second

// maxReports bounds the requested reports of a worker that are under way, as they
// share the connections for renewals. The next renewal gets a report that is left out.
const maxReports = 2

// sendOrders sends orders concurrently, since a worker may not respond. Those beyond the
// connections to a worker wait for the others.
func (d *dispatcher) sendOrders(orders []dispatch.Order) {
	for _, o := range orders {
		d.mu.Lock()
		w, ok := d.workers[o.Worker]
		now := steady.Now()
		if !ok || o.Kind != dispatch.OrderStart && !d.limiter.mayInterrupt(d.inFlight) {
			d.mu.Unlock()
			d.recordOutcome(o, dispatch.Refused)
			continue
		}
		p := pendingOrder{Order: o, handle: d.inFlight.begin(o, now), since: now}
		d.limiter.spend(o, now)
		queued := !w.orders.admit(p)
		if queued {
			d.inFlight.queue(o, 1)
		}
		d.mu.Unlock()
		if !queued {
			go d.sendPending(w, p)
		}
	}
}

// sendPending sends an admitted order, and then the queued ones that take its place.
func (d *dispatcher) sendPending(w *workerLoop, p pendingOrder) {
	for more := true; more; {
		answered := d.sendOrder(w, p.Order)
		d.mu.Lock()
		d.inFlight.end(p.Order, p.handle)
		next, dropped, ok := w.orders.ended(p, answered, steady.Now())
		if ok {
			d.inFlight.queue(next.Order, -1)
		}
		for _, x := range dropped {
			d.inFlight.queue(x.Order, -1)
			d.inFlight.end(x.Order, x.handle)
		}
		d.mu.Unlock()
		for _, x := range dropped {
			d.deps.Log("order_dropped", "kind", x.Kind, "job", x.Task.Job, "task", x.Task, "run", x.Run, "worker", x.Worker, "queued", steady.Now()-x.since)
			d.recordOutcome(x.Order, dispatch.Refused)
		}
		p, more = next, ok
	}
}

// sendOrder sends one order to a worker and records its outcome. It reports whether the
// worker may be sent further orders: not after a call that has failed.
func (d *dispatcher) sendOrder(w *workerLoop, o dispatch.Order) bool {
	now := steady.Now()
	if !d.authorised(now) {
		d.recordOutcome(o, dispatch.Refused)
		return true
	}
	var err error
	token := w.currentToken()
	switch o.Kind {
	case dispatch.OrderStart:
		if o.ReplacesUnanswered {
			token = w.raiseToken()
		}
		w.mu.Lock()
		deadline, left := w.deadline, time.Duration(w.deadline-w.minClock(now))*time.Millisecond
		w.mu.Unlock()
		if left < minLeaseForStart {
			d.recordOutcome(o, dispatch.Refused)
			return true
		}
		_, err = w.client.Start(platform.StartRequest{
			Task: o.Task, Run: o.Run, Payload: o.Payload, DeadlineMS: deadline, Token: token, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		})
		d.deps.Metrics.Observe("start", steady.Now()-now)
	case dispatch.OrderStop:
		_, err = w.client.Stop(o.Task, o.Run, token)
	case dispatch.OrderThrottle:
		_, err = w.client.Throttle(o.Task, o.Run, o.Percent, token)
	case dispatch.OrderReport:
		if w.reports.Add(1) <= maxReports {
			// A failure is logged by renewOnce, and the next renewal gets the report.
			_ = d.renewOnce(w, 0)
		}
		w.reports.Add(-1)
		return true
	}
	outcome := classifyOutcome(err)
	failed := hasFailed(err)
	if failed {
		w.recordFailure()
	}
	if outcome == dispatch.Superseded && d.isOwnNewerToken(w, token) {
		outcome = dispatch.Refused // refused because of this owner's newer token
	}
	if err != nil {
		d.deps.Log("order_failed", "kind", o.Kind, "job", o.Task.Job, "task", o.Task, "run", o.Run, "worker", o.Worker, "outcome", outcome, "took", steady.Now()-now, "err", err)
	}
	d.recordOutcome(o, outcome)
	return !failed
}

// hasFailed reports whether a call to a worker has failed in a way that a restart of the
// worker may have caused.
func hasFailed(err error) bool {
	var unknown *platform.UnknownOutcomeError
	var notSent *platform.NotSentError
	return errors.As(err, &unknown) || errors.As(err, &notSent) && !notSent.Local
}

// classifyOutcome returns the outcome of an order from the error of its call.
func classifyOutcome(err error) dispatch.Outcome {
	var refused *platform.RefusedError
	var notSent *platform.NotSentError
	switch {
	case err == nil:
		return dispatch.Accepted
	case errors.As(err, &refused):
		switch refused.Reason {
		case platform.RefusedStaleToken:
			return dispatch.Superseded
		case platform.RefusedUnhealthy:
			return dispatch.Unhealthy
		default:
			return dispatch.Refused
		}
	case errors.As(err, &notSent):
		return dispatch.Refused
	default:
		return dispatch.NoAnswer
	}
}

// recordOutcome passes the outcome of an order to the machine, and requests a
// plan if the outcome may change it.
func (d *dispatcher) recordOutcome(o dispatch.Order, outcome dispatch.Outcome) {
	now := steady.Now()
	d.mu.Lock()
	switch o.Kind {
	case dispatch.OrderStart:
		d.machine.StartAnswered(o, outcome, now)
	case dispatch.OrderStop:
		d.machine.StopAnswered(o, outcome, now)
	case dispatch.OrderThrottle:
		d.machine.ThrottleAnswered(o, outcome)
	}
	d.mu.Unlock()
	if outcome != dispatch.Accepted || o.Kind == dispatch.OrderStop {
		d.requestPlan()
	}
}
