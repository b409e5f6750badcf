package cell

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/job"
)

// runningOn returns how many tasks run on a worker.
func (h *harness) runningOn(id fleet.WorkerID) int {
	n := 0
	for _, r := range h.records.Runs() {
		if r.Worker == id && r.State == inventory.TaskRunning {
			n++
		}
	}
	return n
}

// reserve lists a backend server on the first worker.
func (h *harness) reserve(milliCores int64) {
	h.hosts.Update(func(l *inventory.HostList) {
		l.Servers = []inventory.Server{{
			ID: "s1", Service: "reclaim", DataCentre: testDC, Worker: h.workers[0].Info().ID,
			Reserved: fleet.Resources{MilliCores: milliCores}, State: inventory.StateLive,
		}}
	})
}

// TestUnknownAttemptIsStopped lets a worker run an attempt of the cell that is
// not in the journal. It must be stopped before other tasks are placed there.
func TestUnknownAttemptIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1, time.Hour)
		_, err := h.control.Start(context.Background(), h.workers[0].Info().Address, inventory.StartRequest{
			Task: "stray/0", Attempt: 1, Cell: string(testCell), LeaseMS: 3_600_000,
			DeadlineMS: time.Now().Add(time.Minute).UnixMilli(), Resources: fleet.Resources{MilliCores: 4000},
		})
		if err != nil {
			t.Fatal(err)
		}
		o := h.start("a")
		defer o.stop()
		h.queue.add(4, small)
		o.offerUntilDone(10 * time.Second)
		if h.records.Runs()[0].State != inventory.TaskStopped {
			t.Error("unknown attempt was not stopped")
		}
		if got := h.runningOn("w00"); got != 4 {
			t.Errorf("%d tasks run after the unknown one was stopped, want 4", got)
		}
		h.check() // fails if a task was started while the unknown one ran
	})
}

func TestReservedResources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, time.Hour)
		h.reserve(3000)
		o := h.start("a")
		defer o.stop()
		h.queue.add(8, small)
		o.offerUntilDone(10 * time.Second)
		if got := h.runningOn("w00"); got != 1 {
			t.Errorf("%d tasks run beside a server that reserves all but one core, want 1", got)
		}
		h.reserve(1000)
		o.offerUntilDone(10 * time.Second)
		if got := h.runningOn("w00"); got != 3 {
			t.Errorf("%d tasks run when the server reserves less, want 3", got)
		}
		h.reserve(2000)
		o.offerUntilDone(10 * time.Second)
		if got := h.runningOn("w00"); got != 2 {
			t.Errorf("%d tasks run when the server reserves more, want 2", got)
		}
		if got := h.queue.outcomes(delegation.OutcomeEvicted); got != 1 {
			t.Errorf("%d tasks evicted, want 1", got)
		}
	})
}

func TestGoneWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, time.Hour)
		o := h.start("a")
		defer o.stop()
		h.queue.add(2, small)
		o.offerUntilDone(inventory.MaxLag + 10*time.Second)
		h.workers[0].Kill()
		h.hosts.Update(func(l *inventory.HostList) { l.Workers[0].State = inventory.StateGone })
		o.offerUntilDone(2 * time.Second)
		if got := h.runningOn("w01"); got != 2 {
			t.Errorf("%d tasks run 2 s after their worker was listed as gone, want 2", got)
		}
		h.check()
	})
}

// TestStaleGoneEntryKeepsAttempts lists a worker as gone that has restarted
// since and runs new attempts, since the list lags. They must be kept.
func TestStaleGoneEntryKeepsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, time.Hour)
		o := h.start("a")
		defer o.stop()
		h.queue.add(2, small)
		o.offerUntilDone(5 * time.Second)
		h.hosts.Update(func(l *inventory.HostList) { l.Workers[0].State = inventory.StateGone })
		o.offerUntilDone(inventory.MaxLag / 2)
		h.check()
		if got := h.runningOn("w00"); got != 2 {
			t.Errorf("%d tasks run on the restarted worker, want 2", got)
		}
	})
}

// TestUrgentTaskStartsInTime offers urgent tasks to a cell that is full of other
// tasks, while commits take as long as their pacing allows (250 ms).
func TestUrgentTaskStartsInTime(t *testing.T) {
	t.Run("immediate stops", func(t *testing.T) { testUrgentStart(t, 0, job.UrgentStart) })
	t.Run("slow checkpoints", func(t *testing.T) { testUrgentStart(t, time.Second, 2500*time.Millisecond) })
}

func testUrgentStart(t *testing.T, stopDelay, limit time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3, time.Minute)
		h.log.delay = 250 * time.Millisecond
		o := h.start("a")
		defer o.stop()
		h.queue.add(12, small)
		o.offerUntilDone(10 * time.Second)
		h.queue.add(2, small)
		o.set(func() { o.delays = map[string]time.Duration{"stop": stopDelay} })
		offered := time.Now()
		urgent := h.queue.pending()
		for i := range urgent {
			urgent[i].Priority = job.UrgentPriority
		}
		o.send(urgent)
		time.Sleep(3 * time.Second)
		runs := h.records.Runs()[12:]
		if len(runs) != 2 {
			t.Fatalf("%d tasks were started, want 2", len(runs))
		}
		for _, r := range runs {
			if delay := r.Started.Sub(offered); delay > limit {
				t.Errorf("urgent task started %v after its offer", delay)
			}
		}
		if got := h.queue.outcomes(delegation.OutcomeEvicted); got != 2 {
			t.Errorf("%d tasks evicted for 2 urgent ones of the same size", got)
		}
		h.check()
	})
}

func TestLeavingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, 20*time.Second)
		o := h.start("a")
		defer o.stop()
		h.queue.add(2, small)
		o.offerUntilDone(5 * time.Second)
		before := h.runningOn("w00")
		h.hosts.Update(func(l *inventory.HostList) { l.Workers[0].State = inventory.StateLeaving })
		time.Sleep(time.Second)
		h.queue.add(4, small)
		o.offerUntilDone(5 * time.Second)
		if got := h.runningOn("w00"); got != before {
			t.Errorf("%d tasks run on a leaving worker, want the %d it had", got, before)
		}
		if !o.offerUntilDone(time.Minute) || h.queue.outcomes(delegation.OutcomeFinished) != 6 {
			t.Error("tasks did not finish")
		}
		h.check()
	})
}

// TestLostWorkOfVictims compares the work lost by evicting a task that has done
// a tenth of ten hours since its checkpoint, and one that has done nine tenths
// of a minute. The first loses more although its progress is lower.
func TestLostWorkOfVictims(t *testing.T) {
	s := newLooplessSession(t)
	runTasks(t, s, 0, 2)
	now := time.Now()
	lost := func(i int, since time.Duration, progress float64) float64 {
		a := s.machine.find(sampleTask(i).AttemptRef)
		r := s.runs[a.Task.AttemptRef]
		a.Placement.StartByMS = now.Add(placeWindow - since).UnixMilli()
		r.status.Progress = progress
		return newVictim(a, r, now).LostWork
	}
	long, short := lost(0, time.Hour, 0.1), lost(1, 54*time.Second, 0.9)
	if long <= short {
		t.Errorf("an eviction loses %v of an hour's work and %v of a minute's", long, short)
	}
}
