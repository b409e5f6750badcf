package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// TestPredecessorStillRenews separates the first owner from the store and the
// second owner from the worker, so that the task continues under the first one.
// The second must not start it again until the first has certainly stopped.
func TestPredecessorStillRenews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, 20*time.Minute)
		first := h.start("a")
		time.Sleep(500 * time.Millisecond)
		h.queue.add(1, fleet.Resources{MilliCores: 4000, MemoryMB: 4000})
		first.offer()
		time.Sleep(time.Second)
		first.set(func() { first.storeUnreachable = true })
		second := h.start("b")
		second.set(func() { second.unreachableWorkers = map[fleet.WorkerID]bool{h.records.Runs()[0].Worker: true} })
		second.offerUntilDone(10 * time.Minute)
		if got := len(h.records.Runs()); got != 1 {
			t.Errorf("%d runs while the first owner may still renew, want 1", got)
		}
		second.set(func() { second.unreachableWorkers = nil })
		if !second.offerUntilDone(time.Hour) {
			t.Error("task is not done")
		}
		second.stop()
		first.stop()
		h.check()
	})
}

// TestRenewalsStopWithoutDurableEntry checks that an owner stops renewing once
// its last durable entry is so old that a successor relies on it having stopped.
func TestRenewalsStopWithoutDurableEntry(t *testing.T) {
	for _, age := range []time.Duration{MaxUnconfirmedOwnership - time.Second, MaxUnconfirmedOwnership} {
		s := newLooplessSession(t)
		runTasks(t, s, 0, 1)
		now := time.Now()
		s.lastDurableAt = now.Add(-age)
		w := s.workers["w00"]
		w.lease.nextRenewal = now
		c := s.nextCall(w, now)
		if renews := c != nil && c.renew != nil; renews != (age < MaxUnconfirmedOwnership) {
			t.Errorf("owner renews: %v, %v after its last durable entry", renews, age)
		}
	}
}

// TestPredecessorEnded shows the second owner only after a while, by the host
// list, that the first has ended. From then on it need not wait any longer.
func TestPredecessorEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, 2*time.Minute)
		first := h.start("a")
		time.Sleep(500 * time.Millisecond)
		h.queue.add(1, small)
		first.offer()
		time.Sleep(time.Second)
		first.crash()
		for _, w := range h.workers {
			if w.Info().ID == h.records.Runs()[0].Worker {
				w.Kill()
			}
		}
		second := h.start("b")
		defer second.stop()
		if second.offerUntilDone(5 * time.Minute) {
			t.Error("task was started again while its first owner may renew its lease")
		}
		h.hosts.Update(func(l *inventory.HostList) {
			l.EntryHosts = []inventory.EntryHost{{ID: "a", State: inventory.StateGone}}
		})
		if !second.offerUntilDone(4 * time.Minute) {
			t.Error("task is not done")
		}
		h.check()
	})
}

// TestDelayedCalls delays calls for so long that their sender has given up on
// them, but not so long that the worker's lease expires in the meantime.
func TestDelayedCalls(t *testing.T) {
	tests := map[string]map[string]time.Duration{
		"renewals": {"renew": 3500 * time.Millisecond, "throttle": time.Minute},
		"starts":   {"start": 2300 * time.Millisecond},
	}
	for name, delays := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 3, 2*time.Minute)
				o := h.start("a")
				time.Sleep(inheritedWait)
				h.queue.add(2, small)
				if name == "starts" {
					o.set(func() { o.delays = delays })
				}
				o.offer()
				time.Sleep(4 * time.Second)
				o.set(func() { o.delays, o.delayedAddress = delays, h.workers[0].Info().Address })
				o.offerUntilDone(time.Minute)
				o.set(func() { o.delays = nil })
				if !o.offerUntilDone(10 * time.Minute) {
					t.Error("tasks are not done")
				}
				o.stop()
				h.check()
			})
		})
	}
}

// TestLateRenewals lets renewals arrive after their sender has given up on them.
// The last one is so late that, if the worker accepted it, the lease would
// outlast the time at which its owner considers it expired.
func TestLateRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3, 2*time.Minute)
		o := h.start("a")
		defer o.stop()
		time.Sleep(inheritedWait)
		h.queue.add(2, small)
		o.offer()
		time.Sleep(4 * time.Second)
		for _, late := range []time.Duration{3900 * time.Millisecond, 5800 * time.Millisecond} {
			o.set(func() {
				o.delays = map[string]time.Duration{"renew": late, "throttle": time.Minute}
				o.delayedAddress = h.workers[0].Info().Address
			})
			o.offerUntilDone(2500 * time.Millisecond)
		}
		o.offerUntilDone(time.Minute)
		o.set(func() { o.delays = nil })
		if !o.offerUntilDone(10 * time.Minute) {
			t.Error("tasks are not done")
		}
		h.check()
	})
}

// TestLateOffer repeats offers of attempts that were returned in the meantime.
// None of them may run again, even once the cell no longer remembers them.
func TestLateOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, time.Second)
		o := h.start("a")
		time.Sleep(500 * time.Millisecond)
		h.queue.add(3, small)
		late := h.queue.pending()
		before := h.queue.offerOf(late)
		o.offer()
		again := h.queue.offerOf(late) // as after a lost reply
		if !o.offerUntilDone(time.Minute) {
			t.Fatal("tasks are not done")
		}
		time.Sleep(time.Second)
		o.stop()
		o = h.start("b")
		for _, w := range h.workers {
			w.Kill() // so that the workers no longer recognise the attempts
			w.Restart()
		}
		time.Sleep(time.Second)
		reply := o.send(late)
		if len(reply.Accepted) != 3 {
			t.Errorf("reply %+v, want the earlier reply again", reply)
		}
		time.Sleep(time.Hour) // the cell no longer remembers the attempts
		for _, offer := range []delegation.Offer{again, before} {
			if reply := o.sendOffer(offer); len(reply.Accepted) > 0 {
				t.Errorf("reply %+v to an offer from before the return", reply)
			}
		}
		time.Sleep(10 * time.Second)
		o.stop()
		h.check()
		if got := len(h.records.Runs()); got != 3 {
			t.Errorf("%d runs, want 3", got)
		}
	})
}

// TestCancel cancels tasks that are waiting, running or not yet offered.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1, time.Hour)
		o := h.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		h.queue.add(6, small) // four run, two wait
		tasks := h.queue.pending()
		o.send(tasks[:5])
		time.Sleep(time.Second)
		o.cancelTasks(tasks)
		if reply := o.send(tasks[5:]); len(reply.Refused) != 1 {
			t.Errorf("reply %+v to an offer after its cancellation, want a refusal", reply)
		}
		time.Sleep(3 * time.Second)
		if got := h.queue.outcomes(delegation.OutcomeStopped); got != 5 {
			t.Errorf("%d outcomes stopped, want 5", got)
		}
		h.check()
	})
}
