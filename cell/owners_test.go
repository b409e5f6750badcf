package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// TestPredecessorStillRenews cuts the first owner from the store and the
// second from the worker, so that the task goes on under the first one.
func TestPredecessorStillRenews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2, 20*time.Minute)
		first := b.start("a")
		time.Sleep(500 * time.Millisecond)
		b.queue.add(1, fleet.Resources{MilliCores: 4000, MemoryMB: 4000})
		first.offer()
		time.Sleep(time.Second)
		first.set(func() { first.noStore = true })
		second := b.start("b")
		second.set(func() { second.noWorker = map[fleet.WorkerID]bool{b.records.Runs()[0].Worker: true} })
		second.finish(10 * time.Minute)
		if got := len(b.records.Runs()); got != 1 {
			t.Errorf("%d runs while the first may go on, want 1", got)
		}
		second.set(func() { second.noWorker = nil })
		if !second.finish(time.Hour) {
			t.Error("task is not done")
		}
		second.stop()
		first.stop()
		b.check()
	})
}

// TestRenewalsEndWithoutTheStore lets an owner be without a durable entry for
// so long that a successor counts on its silence.
func TestRenewalsEndWithoutTheStore(t *testing.T) {
	for _, silent := range []time.Duration{MaxUnconfirmedOwnership - time.Second, MaxUnconfirmedOwnership} {
		s := benchSession(t)
		runTasks(t, s, 0, 1)
		now := time.Now()
		s.durableAt = now.Add(-silent)
		w := s.workers["w00"]
		w.lease.nextRenewal = now
		c := s.nextCall(w, now)
		if renews := c != nil && c.renew != nil; renews != (silent < MaxUnconfirmedOwnership) {
			t.Errorf("owner renews: %v, %v after its last durable entry", renews, silent)
		}
	}
}

// TestPredecessorEnded tells the second owner late, by the host list, that the
// first has ended: it need not wait any longer.
func TestPredecessorEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2, 2*time.Minute)
		first := b.start("a")
		time.Sleep(500 * time.Millisecond)
		b.queue.add(1, small)
		first.offer()
		time.Sleep(time.Second)
		first.crash()
		for _, w := range b.workers {
			if w.Info().ID == b.records.Runs()[0].Worker {
				w.Kill()
			}
		}
		second := b.start("b")
		defer second.stop()
		if second.finish(5 * time.Minute) {
			t.Error("task was started again while its first owner may renew its lease")
		}
		b.hosts.Update(func(l *inventory.HostList) {
			l.EntryHosts = []inventory.EntryHost{{ID: "a", State: inventory.StateGone}}
		})
		if !second.finish(4 * time.Minute) {
			t.Error("task is not done")
		}
		b.check()
	})
}

// TestDelayedCalls delays calls on their way so long that their sender has
// given up on them, but not so long that the worker's lease lapses meanwhile.
func TestDelayedCalls(t *testing.T) {
	tests := map[string]map[string]time.Duration{
		"renewals": {"renew": 3500 * time.Millisecond, "throttle": time.Minute},
		"starts":   {"start": 2300 * time.Millisecond},
	}
	for name, delays := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 3, 2*time.Minute)
				o := b.start("a")
				time.Sleep(inheritedOver)
				b.queue.add(2, small)
				if name == "starts" {
					o.set(func() { o.delays = delays })
				}
				o.offer()
				time.Sleep(4 * time.Second)
				o.set(func() { o.delays, o.slow = delays, b.workers[0].Info().Address })
				o.finish(time.Minute)
				o.set(func() { o.delays = nil })
				if !o.finish(10 * time.Minute) {
					t.Error("tasks are not done")
				}
				o.stop()
				b.check()
			})
		})
	}
}

// TestLateRenewals lets renewals arrive after their sender has given up on
// them, the last one so late that the worker would hold the lease beyond the
// time at which its owner counts it as lapsed.
func TestLateRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3, 2*time.Minute)
		o := b.start("a")
		defer o.stop()
		time.Sleep(inheritedOver)
		b.queue.add(2, small)
		o.offer()
		time.Sleep(4 * time.Second)
		for _, late := range []time.Duration{3900 * time.Millisecond, 5800 * time.Millisecond} {
			o.set(func() {
				o.delays = map[string]time.Duration{"renew": late, "throttle": time.Minute}
				o.slow = b.workers[0].Info().Address
			})
			o.finish(2500 * time.Millisecond)
		}
		o.finish(time.Minute)
		o.set(func() { o.delays = nil })
		if !o.finish(10 * time.Minute) {
			t.Error("tasks are not done")
		}
		b.check()
	})
}

// TestLateOffer repeats offers of attempts that were returned meanwhile.
func TestLateOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2, time.Second)
		o := b.start("a")
		time.Sleep(500 * time.Millisecond)
		b.queue.add(3, small)
		late := b.queue.pending()
		before := b.queue.offerOf(late)
		o.offer()
		again := b.queue.offerOf(late) // as if the reply had been lost
		if !o.finish(time.Minute) {
			t.Fatal("tasks are not done")
		}
		time.Sleep(time.Second)
		o.stop()
		o = b.start("b")
		for _, w := range b.workers {
			w.Kill() // so that it is not the worker that recognises them
			w.Restart()
		}
		time.Sleep(time.Second)
		reply := o.send(late)
		if len(reply.Accepted) != 3 {
			t.Errorf("reply %+v, want the answer given before", reply)
		}
		time.Sleep(time.Hour) // the cell no longer remembers the attempts
		for _, offer := range []delegation.Offer{again, before} {
			if reply := o.sendOffer(offer); len(reply.Accepted) > 0 {
				t.Errorf("reply %+v to an offer from before the return", reply)
			}
		}
		time.Sleep(10 * time.Second)
		o.stop()
		b.check()
		if got := len(b.records.Runs()); got != 3 {
			t.Errorf("%d runs, want 3", got)
		}
	})
}

// TestCancel cancels tasks that wait, run and were never offered.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, time.Hour)
		o := b.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		b.queue.add(6, small) // four run, two wait
		tasks := b.queue.pending()
		o.send(tasks[:5])
		time.Sleep(time.Second)
		o.cancelTasks(tasks)
		if reply := o.send(tasks[5:]); len(reply.Refused) != 1 {
			t.Errorf("reply %+v to an offer after its cancellation, want a refusal", reply)
		}
		time.Sleep(3 * time.Second)
		if got := b.queue.outcomes(delegation.EndStopped); got != 5 {
			t.Errorf("%d outcomes stopped, want 5", got)
		}
		b.check()
	})
}
