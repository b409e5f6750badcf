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
func (b *bench) runningOn(id fleet.WorkerID) int {
	n := 0
	for _, r := range b.records.Runs() {
		if r.Worker == id && r.State == inventory.TaskRunning {
			n++
		}
	}
	return n
}

// reserve lists a backend server on the first worker.
func (b *bench) reserve(milliCores int64) {
	b.hosts.Update(func(l *inventory.HostList) {
		l.Servers = []inventory.Server{{
			ID: "s1", Service: "reclaim", DataCentre: testDC, Worker: b.workers[0].Info().ID,
			Reserved: fleet.Resources{MilliCores: milliCores}, State: inventory.StateLive,
		}}
	})
}

// TestUnknownAttemptIsStopped lets a worker run an attempt of the cell that
// the journal does not know.
func TestUnknownAttemptIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, time.Hour)
		_, err := b.control.Start(context.Background(), b.workers[0].Info().Address, inventory.StartRequest{
			Task: "stray/0", Attempt: 1, Cell: string(testCell), LeaseMS: 3_600_000,
			DeadlineMS: time.Now().Add(time.Minute).UnixMilli(), Resources: fleet.Resources{MilliCores: 4000},
		})
		if err != nil {
			t.Fatal(err)
		}
		o := b.start("a")
		defer o.stop()
		b.queue.add(4, small)
		o.finish(10 * time.Second)
		if b.records.Runs()[0].State != inventory.TaskStopped {
			t.Error("unknown attempt goes on")
		}
		if got := b.runningOn("w00"); got != 4 {
			t.Errorf("%d tasks run once the unknown one was stopped, want 4", got)
		}
		b.check() // nothing was started beside it
	})
}

func TestReservedResources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2, time.Hour)
		b.reserve(3000)
		o := b.start("a")
		defer o.stop()
		b.queue.add(8, small)
		o.finish(10 * time.Second)
		if got := b.runningOn("w00"); got != 1 {
			t.Errorf("%d tasks run beside a server that reserves all but one core, want 1", got)
		}
		b.reserve(1000)
		o.finish(10 * time.Second)
		if got := b.runningOn("w00"); got != 3 {
			t.Errorf("%d tasks run when the server reserves less, want 3", got)
		}
		b.reserve(2000)
		o.finish(10 * time.Second)
		if got := b.runningOn("w00"); got != 2 {
			t.Errorf("%d tasks run when the server reserves more, want 2", got)
		}
		if got := b.queue.outcomes(delegation.EndEvicted); got != 1 {
			t.Errorf("%d tasks evicted, want 1", got)
		}
	})
}

func TestGoneWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2, time.Hour)
		o := b.start("a")
		defer o.stop()
		b.queue.add(2, small)
		o.finish(inventory.MaxLag + 10*time.Second)
		b.workers[0].Kill()
		b.hosts.Update(func(l *inventory.HostList) { l.Workers[0].State = inventory.StateGone })
		o.finish(2 * time.Second)
		if got := b.runningOn("w01"); got != 2 {
			t.Errorf("%d tasks run 2 s after their worker was listed as gone, want 2", got)
		}
		b.check()
	})
}

// TestGoneBeforeTheAttempts lists a worker as gone that has restarted since
// and runs new attempts: the list lags.
func TestGoneBeforeTheAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2, time.Hour)
		o := b.start("a")
		defer o.stop()
		b.queue.add(2, small)
		o.finish(5 * time.Second)
		b.hosts.Update(func(l *inventory.HostList) { l.Workers[0].State = inventory.StateGone })
		o.finish(inventory.MaxLag / 2)
		b.check()
		if got := b.runningOn("w00"); got != 2 {
			t.Errorf("%d tasks run on the restarted worker, want 2", got)
		}
	})
}

// TestUrgentTaskStartsInTime offers urgent tasks to a cell that is full of
// others, with commits that take their longest pace.
func TestUrgentTaskStartsInTime(t *testing.T) {
	t.Run("stops at once", func(t *testing.T) { startUrgent(t, 0, job.UrgentStart) })
	t.Run("slow checkpoints", func(t *testing.T) { startUrgent(t, time.Second, 2500*time.Millisecond) })
}

func startUrgent(t *testing.T, stopDelay, limit time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3, time.Minute)
		b.log.delay = 250 * time.Millisecond
		o := b.start("a")
		defer o.stop()
		b.queue.add(12, small)
		o.finish(10 * time.Second)
		b.queue.add(2, small)
		o.set(func() { o.delays = map[string]time.Duration{"stop": stopDelay} })
		offered := time.Now()
		urgent := b.queue.pending()
		for i := range urgent {
			urgent[i].Priority = job.UrgentPriority
		}
		o.send(urgent)
		time.Sleep(3 * time.Second)
		runs := b.records.Runs()[12:]
		if len(runs) != 2 {
			t.Fatalf("%d tasks were started, want 2", len(runs))
		}
		for _, r := range runs {
			if took := r.Started.Sub(offered); took > limit {
				t.Errorf("urgent task started %v after its offer", took)
			}
		}
		if got := b.queue.outcomes(delegation.EndEvicted); got != 2 {
			t.Errorf("%d tasks evicted for 2 urgent ones of the same size", got)
		}
		b.check()
	})
}

func TestLeavingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2, 20*time.Second)
		o := b.start("a")
		defer o.stop()
		b.queue.add(2, small)
		o.finish(5 * time.Second)
		before := b.runningOn("w00")
		b.hosts.Update(func(l *inventory.HostList) { l.Workers[0].State = inventory.StateLeaving })
		time.Sleep(time.Second)
		b.queue.add(4, small)
		o.finish(5 * time.Second)
		if got := b.runningOn("w00"); got != before {
			t.Errorf("%d tasks run on a leaving worker, want the %d it had", got, before)
		}
		if !o.finish(time.Minute) || b.queue.outcomes(delegation.EndFinished) != 6 {
			t.Error("tasks did not finish")
		}
		b.check()
	})
}

// TestVictimLosesWork compares a task that has done a tenth of ten hours since
// its checkpoint with one that has done nine tenths of a minute.
func TestVictimLosesWork(t *testing.T) {
	s := benchSession(t)
	runTasks(t, s, 0, 2)
	now := time.Now()
	lost := func(i int, since time.Duration, progress float64) float64 {
		a := s.machine.find(benchTask(i).AttemptRef)
		r := s.runs[a.Task.AttemptRef]
		a.Placement.StartByMS = now.Add(placeWindow - since).UnixMilli()
		r.status.Progress = progress
		return asVictim(a, r, now).LostWork
	}
	long, short := lost(0, time.Hour, 0.1), lost(1, 54*time.Second, 0.9)
	if long <= short {
		t.Errorf("an eviction loses %v of an hour's work and %v of a minute's", long, short)
	}
}
