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

// fixedLatency is the latency of every server as a multiple of its objective, in
// percent.
type fixedLatency struct{ percent atomic.Int64 }

func (p *fixedLatency) Latency(inventory.Server) (Latency, bool) {
	return Latency{P99: time.Duration(p.percent.Load()) * time.Millisecond, Load: 0.5}, true
}

// noLatency measures nothing: another host sends to the servers.
type noLatency struct{}

func (noLatency) Latency(inventory.Server) (Latency, bool) { return Latency{}, false }

// TestSharingByAnotherHostsFront lets another host own the front, fall silent
// while tasks are at their floor, and answer again.
func TestSharingByAnotherHostsFront(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 2, 10*time.Minute)
		b.reserve(1000)
		b.latency = noLatency{}
		service := &fixedLatency{}
		service.percent.Store(150)
		front := make(handlers)
		NewServer(Deps{Hosts: staticView{b.hosts}, Settings: b.settings, Registry: front, Latencies: service})
		o := b.start("a")
		defer o.stop()
		b.queue.add(7, small)
		o.offerUntilDone(5 * time.Second)
		if shares := b.sharesAsked(); len(shares) > 0 {
			t.Fatalf("shares %v asked for without measurements", shares)
		}
		b.queue.setFront(front)
		time.Sleep(3 * time.Second) // asked within one, used within another
		if shares := b.sharesAsked(); len(shares) == 0 || slices.Min(shares) >= 1 {
			t.Fatalf("shares %v asked for, want some below 1", shares)
		}
		b.queue.setFront(nil)
		time.Sleep(40 * time.Second)
		if got := b.queue.outcomes(delegation.EndEvicted); got != 0 {
			t.Errorf("%d tasks evicted by measurements that are out of date", got)
		}
		service.percent.Store(20)
		b.queue.setFront(front)
		time.Sleep(2 * time.Minute)
		if shares := b.sharesAsked(); shares[len(shares)-1] < 1 {
			t.Errorf("last share asked for is %v, want all given back", shares[len(shares)-1])
		}
		if calls := o.server.Vars().Get(varLatencyCalls).(*expvar.Int).Value(); calls > 170 {
			t.Errorf("%d calls in 168 s, want at most one a second", calls)
		}
		b.check()
	})
}

func (b *harness) sharesAsked() []float64 {
	b.queue.mu.Lock()
	defer b.queue.mu.Unlock()
	return slices.Clone(b.shares)
}

// TestSharing lets the service on a worker miss its objective, whatever is
// throttled, and then recover.
func TestSharing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 2, 10*time.Minute)
		b.reserve(1000)
		service := &fixedLatency{}
		b.latency = service
		o := b.start("a")
		defer o.stop()
		b.queue.add(7, small)
		o.offerUntilDone(5 * time.Second)
		if got := b.runningOn("w00"); got != 3 {
			t.Fatalf("%d tasks run beside the service, want 3", got)
		}
		service.percent.Store(150)
		time.Sleep(4 * time.Second)
		if shares := b.sharesAsked(); len(shares) == 0 || slices.Min(shares) >= 1 {
			t.Errorf("shares %v asked for, want some below 1", shares)
		}
		if got := b.queue.outcomes(delegation.EndEvicted); got != 0 {
			t.Errorf("%d tasks evicted at once, want throttling first", got)
		}
		time.Sleep(40 * time.Second)
		if got := b.queue.outcomes(delegation.EndEvicted); got != 2 {
			t.Errorf("%d tasks evicted in a minute, want the limit of 2", got)
		}
		service.percent.Store(20)
		time.Sleep(2 * time.Minute)
		shares := b.sharesAsked()
		if len(shares) == 0 {
			t.Fatal("no share was ever asked for")
		}
		if last := shares[len(shares)-1]; last < 1 {
			t.Errorf("last share asked for is %v, want all given back", last)
		}
		if !o.offerUntilDone(30 * time.Minute) {
			t.Error("tasks are not done")
		}
		b.check()
	})
}
