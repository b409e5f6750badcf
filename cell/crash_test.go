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

// crashPoints is the number of journal writes, and of worker calls, at which the
// tests crash the owner.
const crashPoints = 14

// inheritedWait is how long after its start an owner no longer has to wait for
// leases that a predecessor may have extended.
const inheritedWait = MaxWorkerLease + 10*time.Second

// runCrash runs six tasks under a first owner, which the hook installed by arm
// may crash, and lets a second owner on another host finish them.
func runCrash(t *testing.T, arm func(h *harness, crash func())) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, 3*time.Second)
		h.log.delay = 300 * time.Millisecond // long enough for agents to read the state during a write
		first := h.start("a")
		crashed := make(chan struct{})
		arm(h, func() {
			first.crash()
			close(crashed)
		})
		h.queue.add(6, small)
		first.offerUntilDone(20 * time.Second)
		select {
		case <-crashed:
		default:
			first.crash() // the session ended before it reached the point
		}
		second := h.start("b")
		defer second.stop()
		if !second.offerUntilDone(3 * time.Minute) {
			t.Error("tasks are not done")
		}
		<-first.done
		h.check()
	})
}

func TestOwnerCrashesAtEveryPoint(t *testing.T) {
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
				runCrash(t, func(h *harness, crash func()) { h.log.setHook(hook(crash)) })
			})
			t.Run(fmt.Sprintf("worker call %d, after=%v", point, after), func(t *testing.T) {
				runCrash(t, func(h *harness, crash func()) { h.setHook(hook(crash)) })
			})
		}
	}
}

func TestFaults(t *testing.T) {
	long := 30 * time.Second
	tests := map[string]struct {
		runTime time.Duration
		faults  func(h *harness, o *owner) *owner // returns the owner that finishes the tasks
		wantEnd map[delegation.OutcomeKind]int
	}{
		"replies of workers are lost": {
			runTime: 5 * time.Second,
			faults: func(h *harness, o *owner) *owner {
				for _, w := range h.workers {
					w.SetFaults(standin.WorkerFaults{LoseReply: 4})
				}
				return o
			},
			wantEnd: map[delegation.OutcomeKind]int{delegation.OutcomeFinished: 6},
		},
		"replies of the queue are lost": {
			runTime: 5 * time.Second,
			faults: func(h *harness, o *owner) *owner {
				h.queue.loseReplies(3)
				return o
			},
			wantEnd: map[delegation.OutcomeKind]int{delegation.OutcomeFinished: 6},
		},
		"worker does not answer for less than its lease": {
			runTime: long,
			faults: func(h *harness, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				h.workers[0].SetFaults(standin.WorkerFaults{Unresponsive: true})
				time.Sleep(3 * time.Second)
				h.workers[0].SetFaults(standin.WorkerFaults{})
				return o
			},
			wantEnd: map[delegation.OutcomeKind]int{delegation.OutcomeFinished: 6, delegation.OutcomeLost: 0},
		},
		"worker stops answering and comes back": {
			runTime: long,
			faults: func(h *harness, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				h.workers[0].SetFaults(standin.WorkerFaults{Unresponsive: true})
				time.Sleep(12 * time.Second)
				h.workers[0].SetFaults(standin.WorkerFaults{})
				return o
			},
		},
		"worker never answers again": {
			runTime: long,
			faults: func(h *harness, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				h.workers[0].SetFaults(standin.WorkerFaults{Unresponsive: true})
				return o
			},
		},
		"answers of a worker are lost for good": {
			runTime: long,
			faults: func(h *harness, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				h.workers[0].SetFaults(standin.WorkerFaults{LoseReply: 1 << 20})
				return o
			},
		},
		"worker dies and returns empty": {
			runTime: long,
			faults: func(h *harness, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				h.workers[0].Kill()
				time.Sleep(time.Second)
				h.workers[0].Restart()
				return o
			},
		},
		"planned handover evicts nothing": {
			runTime: long,
			faults: func(h *harness, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				o.stop()
				return h.start("b")
			},
			wantEnd: map[delegation.OutcomeKind]int{delegation.OutcomeFinished: 6, delegation.OutcomeEvicted: 0},
		},
		"planned handover while a worker dies": {
			runTime: long,
			faults: func(h *harness, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				o.stop()
				h.workers[0].Kill()
				return h.start("b")
			},
		},
		"host list comes late": {
			runTime: 5 * time.Second,
			faults: func(h *harness, o *owner) *owner {
				o.stop()
				h.hosts.Update(func(l *inventory.HostList) { l.Workers = nil })
				o = h.start("b")
				time.Sleep(500 * time.Millisecond)
				o.offer()
				h.listWorkers()
				return o
			},
			wantEnd: map[delegation.OutcomeKind]int{delegation.OutcomeFinished: 6, delegation.OutcomeNotRun: 0},
		},
		"owner is killed and replaced": {
			runTime: long,
			faults: func(h *harness, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				o.crash()
				time.Sleep(3 * time.Second)
				return h.start("b")
			},
			wantEnd: map[delegation.OutcomeKind]int{delegation.OutcomeFinished: 6, delegation.OutcomeEvicted: 0},
		},
		"two owners at once": {
			runTime: long,
			faults: func(h *harness, o *owner) *owner {
				o.offer()
				time.Sleep(time.Second)
				second := h.start("b")
				o.offer()
				return second
			},
			wantEnd: map[delegation.OutcomeKind]int{delegation.OutcomeFinished: 6, delegation.OutcomeEvicted: 0},
		},
		"owner is paused past its leases": {
			runTime: long,
			faults: func(h *harness, o *owner) *owner {
				o.offer()
				time.Sleep(4 * time.Second)
				o.pause(20 * time.Second)
				time.Sleep(9 * time.Second)
				return h.start("b")
			},
		},
		"store is down while tasks run": {
			runTime: long,
			faults: func(h *harness, o *owner) *owner {
				o.offer()
				time.Sleep(time.Second)
				h.log.setDown(true)
				time.Sleep(20 * time.Minute)
				h.log.setDown(false)
				return o
			},
			wantEnd: map[delegation.OutcomeKind]int{delegation.OutcomeFinished: 6, delegation.OutcomeEvicted: 0},
		},
		"queue can't be reached": {
			runTime: 5 * time.Second,
			faults: func(h *harness, o *owner) *owner {
				h.queue.setDown(true)
				o.offer()
				time.Sleep(20 * time.Second)
				h.queue.setDown(false)
				return o
			},
			wantEnd: map[delegation.OutcomeKind]int{delegation.OutcomeFinished: 6},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 3, tt.runTime)
				first := h.start("a")
				time.Sleep(inheritedWait)
				h.queue.add(6, small)
				last := tt.faults(h, first)
				if !last.offerUntilDone(10 * time.Minute) {
					t.Error("tasks are not done")
				}
				time.Sleep(20 * time.Second) // lets a paused owner resume
				last.stop()
				first.stop()
				h.check()
				for end, want := range tt.wantEnd {
					if got := h.queue.outcomes(end); got != want {
						t.Errorf("%d outcomes %s, want %d", got, end, want)
					}
				}
				if refused := h.queue.refused; refused > 0 {
					t.Errorf("%d tasks were refused", refused)
				}
			})
		})
	}
}
