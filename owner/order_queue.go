package owner

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/platform"
)

// maxOrderQueueTime is how long an order may wait for a connection to its worker: a start
// must not be sent long after the decision, and a stop is issued again after 700 ms.
const maxOrderQueueTime = 600 * time.Millisecond

// pendingOrder is an order that is under way or queued.
type pendingOrder struct {
	dispatch.Order
	handle uint64 // in inFlight
	since  time.Duration
}

// orderQueue holds the orders to one worker that find all connections for orders in use.
//
// Invariants: at most platform.OrderConnections orders are under way; orders are queued
// only while that many are.
type orderQueue struct {
	underWay int
	queued   []pendingOrder
}

// admit reports whether an order may be sent at once; otherwise it is queued. Requested
// reports use the connections for renewals.
func (q *orderQueue) admit(p pendingOrder) bool {
	if p.Kind == dispatch.OrderReport {
		return true
	}
	if q.underWay >= platform.OrderConnections {
		q.queued = append(q.queued, p)
		return false
	}
	q.underWay++
	return true
}

// ended records the end of an order, and returns the next one to send, if any, and the
// queued ones that are not sent: those that have waited too long, and all if the worker
// does not answer.
func (q *orderQueue) ended(p pendingOrder, answered bool, now time.Duration) (next pendingOrder, dropped []pendingOrder, ok bool) {
	if p.Kind == dispatch.OrderReport {
		return next, nil, false
	}
	q.underWay--
	for i, first := range q.queued {
		if answered && now-first.since <= maxOrderQueueTime {
			q.underWay++
			dropped, q.queued = q.queued[:i], q.queued[i+1:]
			return first, dropped, true
		}
	}
	dropped, q.queued = q.queued, nil
	return next, dropped, false
}
