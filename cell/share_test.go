package cell

import (
	"expvar"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// fixedLatency is the latency of every server, in percent of its objective of
// 100 ms.
type fixedLatency struct{ percent atomic.Int64 }

func (p *fixedLatency) Latency(inventory.Server) (Latency, bool) {
	return Latency{P99: time.Duration(p.percent.Load()) * time.Millisecond, Utilisation: 0.5}, true
}

// noLatency has no measurements: another host sends requests to the servers.
type noLatency struct{}

func (noLatency) Latency(inventory.Server) (Latency, bool) { return Latency{}, false }

// TestSharingByAnotherHostsFront lets another host own the front. It stops
// answering while tasks are throttled to their floor, and answers again later.
// Outdated measurements must not cause evictions.
func TestSharingByAnotherHostsFront(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, 10*time.Minute)
		h.reserve(1000)
		h.latency = noLatency{}
		service := &fixedLatency{}
		service.percent.Store(150)
		front := make(handlers)
		NewServer(Deps{Inventory: staticView{h.hosts}, Settings: h.settings, Registry: front, Latencies: service})
		o := h.start("a")
		defer o.stop()
		h.queue.add(7, small)
		o.offerUntilDone(5 * time.Second)
		if shares := h.sharesAsked(); len(shares) > 0 {
			t.Fatalf("shares %v requested without measurements", shares)
		}
		h.queue.setFront(front)
		time.Sleep(3 * time.Second) // a measurement is requested within 1 s and used within another
		if shares := h.sharesAsked(); len(shares) == 0 || slices.Min(shares) >= 1 {
			t.Fatalf("shares %v requested, want some below 1", shares)
		}
		h.queue.setFront(nil)
		time.Sleep(40 * time.Second)
		if got := h.queue.outcomes(delegation.OutcomeEvicted); got != 0 {
			t.Errorf("%d tasks evicted on outdated measurements", got)
		}
		service.percent.Store(20)
		h.queue.setFront(front)
		time.Sleep(2 * time.Minute)
		if shares := h.sharesAsked(); shares[len(shares)-1] < 1 {
			t.Errorf("last requested share is %v, want 1", shares[len(shares)-1])
		}
		if calls := o.server.Vars().Get(varLatencyCalls).(*expvar.Int).Value(); calls > 170 {
			t.Errorf("%d calls in 168 s, want at most one a second", calls)
		}
		h.check()
	})
}

func (h *harness) sharesAsked() []float64 {
	h.queue.mu.Lock()
	defer h.queue.mu.Unlock()
	return slices.Clone(h.shares)
}

// TestSharing lets the service on a worker miss its objective regardless of
// throttling, and then recover. Tasks must be throttled first, then evicted
// within the limit, and unthrottled in the end.
func TestSharing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, 10*time.Minute)
		h.reserve(1000)
		service := &fixedLatency{}
		h.latency = service
		o := h.start("a")
		defer o.stop()
		h.queue.add(7, small)
		o.offerUntilDone(5 * time.Second)
		if got := h.runningOn("w00"); got != 3 {
			t.Fatalf("%d tasks run beside the service, want 3", got)
		}
		service.percent.Store(150)
		time.Sleep(4 * time.Second)
		if shares := h.sharesAsked(); len(shares) == 0 || slices.Min(shares) >= 1 {
			t.Errorf("shares %v requested, want some below 1", shares)
		}
		if got := h.queue.outcomes(delegation.OutcomeEvicted); got != 0 {
			t.Errorf("%d tasks evicted immediately, want throttling first", got)
		}
		time.Sleep(40 * time.Second)
		if got := h.queue.outcomes(delegation.OutcomeEvicted); got != 2 {
			t.Errorf("%d tasks evicted in a minute, want the limit of 2", got)
		}
		service.percent.Store(20)
		time.Sleep(2 * time.Minute)
		shares := h.sharesAsked()
		if len(shares) == 0 {
			t.Fatal("no share was requested")
		}
		if last := shares[len(shares)-1]; last < 1 {
			t.Errorf("last requested share is %v, want 1", last)
		}
		if !o.offerUntilDone(30 * time.Minute) {
			t.Error("tasks are not done")
		}
		h.check()
	})
}
