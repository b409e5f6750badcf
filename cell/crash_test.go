package cell

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// crashPoints is how many journal writes and worker calls of the session the
// tables stop the owner at.
const crashPoints = 14

// inheritedWait is when leases that a predecessor may have extended no longer
// make an owner wait.
const inheritedWait = MaxWorkerLease + 10*time.Second

// runCrash runs six tasks while arm's hook may end the first owner, and lets
// a second owner on another host finish them.
func runCrash(t *testing.T, arm func(b *harness, crash func())) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 2, 3*time.Second)
		b.log.delay = 300 * time.Millisecond // agents look at the state during a write
		first := b.start("a")
		crashed := make(chan struct{})
		arm(b, func() {
			first.crash()
			close(crashed)
		})
		b.queue.add(6, small)
		first.offerUntilDone(20 * time.Second)
		select {
		case <-crashed:
		default:
			first.crash() // the point lies behind the end of the session
		}
		second := b.start("b")
		defer second.stop()
		if !second.offerUntilDone(3 * time.Minute) {
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
				runCrash(t, func(b *harness, crash func()) { b.log.setHook(hook(crash)) })
			})
			t.Run(fmt.Sprintf("worker call %d, after=%v", point, after), func(t *testing.T) {
				runCrash(t, func(b *harness, crash func()) { b.setHook(hook(crash)) })
			})
		}
	}
}

func TestFaults(t *testing.T) {
	long := 30 * time.Second
	tests := map[string]struct {
		runTime time.Duration
		faults  func(b *harness, o *owner) *owner // returns the owner that finishes
		wantEnd map[delegation.End]int
	}{
		"replies of workers are lost": {
			runTime: 5 * time.Second,
			faults: func(b *harness, o *owner) *owner {
				for _, w := range b.workers {
					w.SetFaults(standin.WorkerFaults{LoseReply: 4})
				}
				return o
			},
			wantEnd: map[delegation.End]int{delegation.EndFinished: 6},
		},
		"replies of the queue are lost": {
			runTime: 5 * time.Second,
			faults: func(b *harness, o *owner) *owner {
				b.queue.loseReplies(3)
				return o
			},
			wantEnd: map[delegation.End]int{delegation.EndFinished: 6},
		},
		"worker is silent for less than its lease": {
			runTime: long,
			faults: func(b *harness, o *owner) *owner {
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
			faults: func(b *harness, o *owner) *owner {
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
			faults: func(b *harness, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				b.workers[0].SetFaults(standin.WorkerFaults{Silent: true})
				return o
			},
		},
		"answers of a worker are lost for good": {
			runTime: long,
			faults: func(b *harness, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				b.workers[0].SetFaults(standin.WorkerFaults{LoseReply: 1 << 20})
				return o
			},
		},
		"worker dies and returns empty": {
			runTime: long,
			faults: func(b *harness, o *owner) *owner {
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
			faults: func(b *harness, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				o.stop()
				return b.start("b")
			},
			wantEnd: map[delegation.End]int{delegation.EndFinished: 6, delegation.EndEvicted: 0},
		},
		"planned hand-over while a worker dies": {
			runTime: long,
			faults: func(b *harness, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				o.stop()
				b.workers[0].Kill()
				return b.start("b")
			},
		},
		"host list comes late": {
			runTime: 5 * time.Second,
			faults: func(b *harness, o *owner) *owner {
				o.stop()
				b.hosts.Update(func(l *inventory.HostList) { l.Workers = nil })
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
			faults: func(b *harness, o *owner) *owner {
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
			faults: func(b *harness, o *owner) *owner {
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
			faults: func(b *harness, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				o.pause(20 * time.Second)
				time.Sleep(9 * time.Second)
				return b.start("b")
			},
		},
		"store is down while tasks run": {
			runTime: long,
			faults: func(b *harness, o *owner) *owner {
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
			faults: func(b *harness, o *owner) *owner {
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
				b := newHarness(t, 3, tt.runTime)
				first := b.start("a")
				time.Sleep(inheritedWait)
				b.queue.add(6, small)
				last := tt.faults(b, first)
				if !last.offerUntilDone(10 * time.Minute) {
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
