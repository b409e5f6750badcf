package owner

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// workerLatency is the time that a worker in another data centre takes to answer.
const workerLatency = 3 * time.Millisecond

// orderServer is a worker that counts the orders that arrive.
type orderServer struct {
	arrived, underWay, most atomic.Int64
}

// newOrderServer returns a server that answers orders after a delay, and a dispatcher whose
// worker w1 is that server.
func newOrderServer(t *testing.T, delay time.Duration) (*orderServer, *dispatcher) {
	t.Helper()
	s := new(orderServer)
	released := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.arrived.Add(1)
		n := s.underWay.Add(1)
		defer s.underWay.Add(-1)
		for most := s.most.Load(); n > most && !s.most.CompareAndSwap(most, n); most = s.most.Load() {
		}
		select {
		case <-time.After(delay):
		case <-released:
		}
		_, _ = w.Write([]byte(`{"clock_ms":1}`))
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(released) })
	d, _ := testDispatcher(t)
	address := strings.TrimPrefix(server.URL, "http://")
	d.workers["w1"] = &workerLoop{
		id: "w1", client: platform.NewWorkerClient("w1", address, d.connections), token: 1, clockMS: 1, clockAt: steady.Now(), deadline: time.Hour.Milliseconds(),
	}
	return s, d
}

// planAndSend makes one plan and sends its orders, which it returns.
func (d *dispatcher) planAndSend(t *testing.T) []dispatch.Order {
	t.Helper()
	d.mu.Lock()
	now := steady.Now()
	d.machine.RenewalSent("w1", now)
	d.machine.WorkerReported("w1", workload.Report{StartedMS: 1}, now, now)
	d.machine.Plan(now, 0)
	orders := d.machine.TakeOrders()
	d.machine.TakeEvents()
	d.mu.Unlock()
	d.sendOrders(orders)
	return orders
}

// waitIdle waits until no order is under way.
func (d *dispatcher) waitIdle(t *testing.T, limit time.Duration) {
	t.Helper()
	for end := steady.Now() + limit; ; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		left := d.inFlight.starts + d.inFlight.others
		d.mu.Unlock()
		if left == 0 {
			return
		}
		if steady.Now() > end {
			t.Fatalf("%d orders are under way after %v", left, limit)
		}
	}
}

// A gang with more members on a worker than there are connections for orders was never
// complete: the starts beyond them did not leave the host.
func TestGangLargerThanConnectionsIsNeverComplete(t *testing.T) {
	const members = platform.OrderConnections + 12
	s, d := newOrderServer(t, workerLatency)
	gang := workload.Step{Count: members, Gang: true, SameRack: true, EstimateMS: 1000, Need: fleet.Resources{MilliCores: 200, MemoryMB: 100}}
	d.machine.AddJob(&workload.Job{ID: "a", Queue: "q", Steps: []workload.Step{gang}}, workload.StateQueued, 1, workload.Progress{}, 0, false)
	if starts := d.planAndSend(t); len(starts) != members {
		t.Fatalf("%d starts, want %d", len(starts), members)
	}
	d.waitIdle(t, 5*time.Second)
	if got := s.arrived.Load(); got != members {
		t.Errorf("%d starts arrived, want %d", got, members)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.inFlight; f.queuedOthers != 0 || len(f.began) != 0 {
		t.Errorf("%d orders are counted as queued and %d as begun", f.queuedOthers, len(f.began))
	}
	if got := s.most.Load(); got > platform.OrderConnections {
		t.Errorf("%d orders at once, want %d at most", got, platform.OrderConnections)
	}
}

// Stops beyond the connections to a worker were sent 0.7 s later, again and again, so that
// tasks of cancelled jobs ran on for seconds.
func TestStopsBeyondConnectionsAreDelayed(t *testing.T) {
	const stops = 15 * platform.OrderConnections
	s, d := newOrderServer(t, workerLatency)
	var orders []dispatch.Order
	for i := range stops {
		orders = append(orders, dispatch.Order{Kind: dispatch.OrderStop, Worker: "w1", Task: workload.TaskName{Job: "a", Index: i}, Run: 1})
	}
	d.sendOrders(orders)
	d.waitIdle(t, 5*time.Second)
	if got := s.arrived.Load(); got != stops {
		t.Errorf("%d stops arrived, want %d", got, stops)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight.queuedOthers != 0 {
		t.Errorf("%d stops are counted as queued", d.inFlight.queuedOthers)
	}
}

// Orders to a worker that does not answer must not queue for one timeout after another.
func TestOrdersWaitForUnresponsiveWorker(t *testing.T) {
	const orders = 3 * platform.OrderConnections
	s, d := newOrderServer(t, time.Hour)
	var stops []dispatch.Order
	for i := range orders {
		stops = append(stops, dispatch.Order{Kind: dispatch.OrderStop, Worker: "w1", Task: workload.TaskName{Job: "a", Index: i}, Run: 1})
	}
	d.sendOrders(stops)
	d.waitIdle(t, 5*time.Second)
	if got := s.arrived.Load(); got > platform.OrderConnections {
		t.Errorf("%d orders were sent, want %d at most", got, platform.OrderConnections)
	}
}

// A queued order must neither be sent late nor be forgotten.
func TestQueuedOrderIsSentLateOrForgotten(t *testing.T) {
	order := func(i int, since time.Duration) pendingOrder {
		return pendingOrder{Order: dispatch.Order{Kind: dispatch.OrderStart, Run: i}, since: since}
	}
	tests := map[string]struct {
		waited   []time.Duration // of the queued orders
		answered bool
		next     int // run of the order that is sent; 0: none
		dropped  int
	}{
		"nothing queued":                  {answered: true},
		"first in, first out":             {waited: []time.Duration{2, 1}, answered: true, next: 1},
		"late ones are dropped":           {waited: []time.Duration{maxOrderQueueTime + 1, maxOrderQueueTime}, answered: true, next: 2, dropped: 1},
		"all are late":                    {waited: []time.Duration{maxOrderQueueTime + 2, maxOrderQueueTime + 1}, answered: true, dropped: 2},
		"the worker does not answer":      {waited: []time.Duration{2, 1}, dropped: 2},
		"no answer and nothing is queued": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			var q orderQueue
			for i := range platform.OrderConnections {
				if !q.admit(order(0, now)) {
					t.Fatalf("order %d is queued", i)
				}
			}
			for i, waited := range tt.waited {
				if q.admit(order(i+1, now-waited)) {
					t.Fatal("an order beyond the connections is admitted")
				}
			}
			next, dropped, ok := q.ended(order(0, now), tt.answered, now)
			if ok != (tt.next > 0) || ok && next.Run != tt.next || len(dropped) != tt.dropped {
				t.Errorf("next %d (%t), %d dropped; want %d, %d", next.Run, ok, len(dropped), tt.next, tt.dropped)
			}
			rest := len(tt.waited) - tt.dropped
			if ok {
				rest--
			}
			if len(q.queued) != rest {
				t.Errorf("%d queued, want %d", len(q.queued), rest)
			}
			if report := (pendingOrder{Order: dispatch.Order{Kind: dispatch.OrderReport}}); !q.admit(report) {
				t.Error("a requested report is queued")
			}
		})
	}
}
