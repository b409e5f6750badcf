package cell

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/platform"
)

// crashPoints is how many journal writes and worker calls of the session the
// tables stop the owner at.
const crashPoints = 14

// inheritedOver is when leases that a predecessor may have extended no longer
// make an owner wait.
const inheritedOver = MaxWorkerLease + 10*time.Second

// runCrash runs six tasks while arm's hook may end the first owner, and lets
// a second owner on another host finish them.
func runCrash(t *testing.T, arm func(b *bench, crash func())) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2, 3*time.Second)
		b.log.delay = 300 * time.Millisecond // agents look at the state during a write
		first := b.start("a")
		crashed := make(chan struct{})
		arm(b, func() {
			first.crash()
			close(crashed)
		})
		b.queue.add(6, small)
		first.finish(20 * time.Second)
		select {
		case <-crashed:
		default:
			first.crash() // the point lies behind the end of the session
		}
		second := b.start("b")
		defer second.stop()
		if !second.finish(3 * time.Minute) {
			t.Error("tasks are not done")
		}
		<-first.done
		b.check()
	})
}

func TestOwnerStopsAtEveryPoint(t *testing.T) {
	for point := 1; point <= crashPoints; point++ {
		for _, after := range []bool{false, true} {
			hook := func(crash func()) func(int, bool) {
				var once sync.Once
				return func(n int, isAfter bool) {
					if n == point && isAfter == after {
						once.Do(crash)
					}
				}
			}
			t.Run(fmt.Sprintf("journal write %d, after=%v", point, after), func(t *testing.T) {
				runCrash(t, func(b *bench, crash func()) { b.log.setHook(hook(crash)) })
			})
			t.Run(fmt.Sprintf("worker call %d, after=%v", point, after), func(t *testing.T) {
				runCrash(t, func(b *bench, crash func()) { b.setHook(hook(crash)) })
			})
		}
	}
}

func TestFaults(t *testing.T) {
	long := 30 * time.Second
	tests := map[string]struct {
		runTime time.Duration
		faults  func(b *bench, o *owner) *owner // returns the owner that finishes
		wantEnd map[delegation.End]int
	}{
		"replies of workers are lost": {
			runTime: 5 * time.Second,
			faults: func(b *bench, o *owner) *owner {
				for _, w := range b.workers {
					w.SetFaults(standin.WorkerFaults{LoseReply: 4})
				}
				return o
			},
			wantEnd: map[delegation.End]int{delegation.EndFinished: 6},
		},
		"replies of the queue are lost": {
			runTime: 5 * time.Second,
			faults: func(b *bench, o *owner) *owner {
				b.queue.loseReplies(3)
				return o
			},
			wantEnd: map[delegation.End]int{delegation.EndFinished: 6},
		},
		"worker is silent for less than its lease": {
			runTime: long,
			faults: func(b *bench, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				b.workers[0].SetFaults(standin.WorkerFaults{Silent: true})
				time.Sleep(3 * time.Second)
				b.workers[0].SetFaults(standin.WorkerFaults{})
				return o
			},
			wantEnd: map[delegation.End]int{delegation.EndFinished: 6, delegation.EndLost: 0},
		},
		"worker is silent and comes back": {
			runTime: long,
			faults: func(b *bench, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				b.workers[0].SetFaults(standin.WorkerFaults{Silent: true})
				time.Sleep(12 * time.Second)
				b.workers[0].SetFaults(standin.WorkerFaults{})
				return o
			},
		},
		"worker is silent for good": {
			runTime: long,
			faults: func(b *bench, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				b.workers[0].SetFaults(standin.WorkerFaults{Silent: true})
				return o
			},
		},
		"answers of a worker are lost for good": {
			runTime: long,
			faults: func(b *bench, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				b.workers[0].SetFaults(standin.WorkerFaults{LoseReply: 1 << 20})
				return o
			},
		},
		"worker dies and returns empty": {
			runTime: long,
			faults: func(b *bench, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				b.workers[0].Kill()
				time.Sleep(time.Second)
				b.workers[0].Restart()
				return o
			},
		},
		"planned hand-over evicts nothing": {
			runTime: long,
			faults: func(b *bench, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				o.stop()
				return b.start("b")
			},
			wantEnd: map[delegation.End]int{delegation.EndFinished: 6, delegation.EndEvicted: 0},
		},
		"planned hand-over while a worker dies": {
			runTime: long,
			faults: func(b *bench, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				o.stop()
				b.workers[0].Kill()
				return b.start("b")
			},
		},
		"host list comes late": {
			runTime: 5 * time.Second,
			faults: func(b *bench, o *owner) *owner {
				o.stop()
				b.hosts.Update(func(l *platform.HostList) { l.Workers = nil })
				o = b.start("b")
				time.Sleep(500 * time.Millisecond)
				o.offer()
				b.listWorkers()
				return o
			},
			wantEnd: map[delegation.End]int{delegation.EndFinished: 6, delegation.EndNotRun: 0},
		},
		"owner is killed and replaced": {
			runTime: long,
			faults: func(b *bench, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				o.crash()
				time.Sleep(3 * time.Second)
				return b.start("b")
			},
			wantEnd: map[delegation.End]int{delegation.EndFinished: 6, delegation.EndEvicted: 0},
		},
		"two owners at once": {
			runTime: long,
			faults: func(b *bench, o *owner) *owner {
				o.offer()
				time.Sleep(time.Second)
				second := b.start("b")
				o.offer()
				return second
			},
			wantEnd: map[delegation.End]int{delegation.EndFinished: 6, delegation.EndEvicted: 0},
		},
		"owner is paused past its leases": {
			runTime: long,
			faults: func(b *bench, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				o.pause(20 * time.Second)
				time.Sleep(9 * time.Second)
				return b.start("b")
			},
		},
		"store is down while tasks run": {
			runTime: long,
			faults: func(b *bench, o *owner) *owner {
				o.offer()
				time.Sleep(time.Second)
				b.log.setDown(true)
				time.Sleep(20 * time.Minute)
				b.log.setDown(false)
				return o
			},
			wantEnd: map[delegation.End]int{delegation.EndFinished: 6, delegation.EndEvicted: 0},
		},
		"queue can't be reached": {
			runTime: 5 * time.Second,
			faults: func(b *bench, o *owner) *owner {
				b.queue.setDown(true)
				o.offer()
				time.Sleep(20 * time.Second)
				b.queue.setDown(false)
				return o
			},
			wantEnd: map[delegation.End]int{delegation.EndFinished: 6},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 3, tt.runTime)
				first := b.start("a")
				time.Sleep(inheritedOver)
				b.queue.add(6, small)
				last := tt.faults(b, first)
				if !last.finish(10 * time.Minute) {
					t.Error("tasks are not done")
				}
				time.Sleep(20 * time.Second) // what was paused goes on
				last.stop()
				first.stop()
				b.check()
				for end, want := range tt.wantEnd {
					if got := b.queue.outcomes(end); got != want {
						t.Errorf("%d outcomes %s, want %d", got, end, want)
					}
				}
				if refused := b.queue.refused; refused > 0 {
					t.Errorf("%d tasks were refused", refused)
				}
			})
		})
	}
}

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
	for _, silent := range []time.Duration{MaxUnconfirmed - time.Second, MaxUnconfirmed} {
		s := benchSession(t)
		runTasks(t, s, 0, 1)
		now := time.Now()
		s.durableAt = now.Add(-silent)
		w := s.workers["w00"]
		w.lease.nextRenewal = now
		c := s.nextCall(w, now)
		if renews := c != nil && c.renew != nil; renews != (silent < MaxUnconfirmed) {
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
		b.hosts.Update(func(l *platform.HostList) {
			l.EntryHosts = []platform.EntryHost{{ID: "a", State: platform.StateGone}}
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
