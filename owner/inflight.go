package owner

import (
	"context"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
)

// inFlightInterval is how often the log says which orders are under way.
const inFlightInterval = time.Second

// inFlight counts the orders that are under way or queued for a connection.
type inFlight struct {
	starts, others int
	queuedOthers   int // of others, those that use no connection yet
	startBytes     int
	next           uint64
	began          map[uint64]time.Duration
}

func newInFlight() *inFlight { return &inFlight{began: make(map[uint64]time.Duration)} }

// begin counts an order, and returns the handle to end it.
func (f *inFlight) begin(o dispatch.Order, now time.Duration) uint64 {
	if o.Kind == dispatch.OrderStart {
		f.starts++
		f.startBytes += o.Size()
	} else {
		f.others++
	}
	f.next++
	f.began[f.next] = now
	return f.next
}

// queue counts an order that has begun as queued by n, which is -1 when it leaves the queue.
func (f *inFlight) queue(o dispatch.Order, n int) {
	if o.Kind != dispatch.OrderStart {
		f.queuedOthers += n
	}
}

// end counts an order as no longer under way.
func (f *inFlight) end(o dispatch.Order, handle uint64) {
	if o.Kind == dispatch.OrderStart {
		f.starts--
		f.startBytes -= o.Size()
	} else {
		f.others--
	}
	delete(f.began, handle)
}

// oldest returns for how long the oldest order has been under way.
func (f *inFlight) oldest(now time.Duration) time.Duration {
	age := time.Duration(0)
	for _, began := range f.began {
		age = max(age, now-began)
	}
	return age
}

// inFlightLoop logs the orders under way and the connections to workers, and sets
// their metrics.
func (d *dispatcher) inFlightLoop(ctx context.Context) {
	for wait.For(ctx, inFlightInterval) == nil {
		d.mu.Lock()
		f := d.inFlight
		starts, others, bytes, oldest, workers := f.starts, f.others, f.startBytes, f.oldest(steady.Now()), len(d.workers)
		d.mu.Unlock()
		open, dialing := d.connections.Open(), d.connections.Dialing()
		d.deps.Metrics.Set("orders_in_flight", starts+others)
		d.deps.Metrics.Set("worker_connections", open)
		d.deps.Metrics.Set("worker_connections_dialing", dialing)
		if starts+others > 0 {
			d.deps.Log("orders_in_flight", "term", d.term, "starts", starts, "others", others, "start_bytes", bytes, "oldest", oldest,
				"workers", workers, "connections", open, "dialing", dialing)
		}
	}
}
