package cell

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

func TestRunTime(t *testing.T) {
	observe := func(m *Machine, at time.Time, key classKey, ms ...int64) {
		for _, v := range ms {
			if err := apply(t, m, at, record{RunTimes: []runTimeRecord{{Class: key, MS: v}}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	m := NewMachine()
	observe(m, testStart, "refunds/claims", 100, 200, 300, 400)
	if got, known := m.runTime("refunds/claims", runTimeQuantile); known {
		t.Errorf("run time %v after 4 ends, want none", got)
	}
	observe(m, testStart, "refunds/claims", 500)
	observe(m, testStart, "panels/claims", 7, 7, 7, 7, 7)
	for key, want := range map[classKey]time.Duration{"refunds/claims": 500 * time.Millisecond, "panels/claims": 7 * time.Millisecond} {
		if got, _ := m.runTime(key, runTimeQuantile); got != want {
			t.Errorf("run time of %s is %v, want %v", key, got, want)
		}
	}
	for range runTimeWindow {
		observe(m, testStart.Add(time.Hour), "refunds/claims", 50)
	}
	if got, _ := m.runTime("refunds/claims", runTimeQuantile); got != 50*time.Millisecond {
		t.Errorf("run time %v after as many of 50 ms as count, want 50 ms", got)
	}
	copied := NewMachine()
	snapshot, err := m.Snapshot()
	if err != nil || copied.Restore(snapshot) != nil || !cmp.Equal(m.state, copied.state) {
		t.Error("the snapshot does not keep what was learned")
	}
	observe(m, testStart.Add(runTimeRetention+time.Minute), "refunds/plans", 1)
	if _, known := m.runTime("panels/claims", runTimeQuantile); known {
		t.Error("a class is known that had no end for a day")
	}
	for i := range maxRunTimeClasses {
		observe(m, testStart.Add(25*time.Hour), classKey(fmt.Sprint("refunds/c", i)), 1)
	}
	if got := len(m.state.RunTimes); got != maxRunTimeClasses {
		t.Errorf("%d classes are kept, want %d", got, maxRunTimeClasses)
	}
}

// TestEvacuationLetsShortTasksEnd takes a data centre out that runs tasks
// which end within the grace beside others which do not. The owner that
// learned how long they run is not the one that evacuates.
func TestEvacuationLetsShortTasksEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 10, 10*time.Minute)
		b.runTimes["checks"] = 6 * time.Second
		first := b.start("a")
		time.Sleep(500 * time.Millisecond)
		b.queue.addClass(10, small, "checks")
		if !first.offerUntilDone(time.Minute) {
			t.Fatal("tasks are not done")
		}
		first.stop()
		second := b.start("b")
		defer second.stop()
		time.Sleep(500 * time.Millisecond)
		b.queue.addClass(20, small, "checks")
		b.queue.add(20, small)
		second.offerUntilDone(time.Second)
		b.settings.set(func(f *fakeSettings) { f.out = true })
		time.Sleep(11 * time.Second)
		evicted := make(map[time.Duration]int)
		for _, r := range b.records.Runs() {
			if r.State == inventory.TaskStopped {
				evicted[b.runTimes[b.queue.classOf(r.Task)]]++
			}
		}
		if want := map[time.Duration]int{0: 20}; !cmp.Equal(evicted, want) {
			t.Errorf("evicted by run time: %v, want %v", evicted, want)
		}
		b.check()
	})
}

// TestOverrun runs one task of a class for much longer than those before it.
func TestOverrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 2, 4*time.Second)
		o := b.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		b.queue.add(8, small)
		if !o.offerUntilDone(time.Minute) {
			t.Fatal("tasks are not done")
		}
		b.runTimes["claims"] = time.Minute
		b.queue.add(1, small)
		o.offerUntilDone(8 * time.Second)
		if v := o.server.Vars().Get(varTasksOverrun); v != nil {
			t.Errorf("%s overruns after twice the run time of the class, want none yet", v)
		}
		o.offerUntilDone(time.Minute)
		if v := o.server.Vars().Get(varTasksOverrun); v == nil || v.String() != "1" {
			t.Errorf("%v overruns, want 1", v)
		}
		if got := b.queue.outcomes(delegation.EndFinished); got != 9 {
			t.Errorf("%d tasks finished, want 9", got)
		}
		b.check()
	})
}

// TestShortTasksAreLookedFor runs tasks one after another that are much
// shorter than the time between two renewals.
func TestShortTasksAreLookedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 1, 1500*time.Millisecond)
		b.settings.values.WorkerLeaseMS = 30_000 // renewed every 10 s
		o := b.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		b.queue.add(20, small) // of which the run time is learned; four run at a time
		o.offerUntilDone(10 * time.Minute)
		begun, calls := time.Now(), b.calls
		b.queue.add(80, small)
		if !o.offerUntilDone(10 * time.Minute) {
			t.Fatal("tasks are not done")
		}
		took := time.Since(begun)
		perRound := took / 20
		calls = b.calls - calls
		t.Logf("%v from one start to the next, with %d calls", perRound, calls)
		if perRound > 2500*time.Millisecond {
			t.Errorf("%v from one start to the next of tasks of 1.5 s, want less than 2.5 s", perRound)
		}
		if most := 80 + int(took/pollInterval); calls > most {
			t.Errorf("%d calls for 80 tasks, want at most %d: a start for each, and a look each %v", calls, most, pollInterval)
		}
		b.check()
	})
}

// TestPartialAnswerShowsRunning takes an answer that lists ends only and none
// of a running task, which is how its run time is bounded from below.
func TestPartialAnswerShowsRunning(t *testing.T) {
	s := benchSession(t)
	runTasks(t, s, 0, 1)
	a := s.machine.find(benchTask(0).AttemptRef)
	later := time.Now().Add(time.Second)
	s.handleReport(s.workers[a.Placement.Worker], inventory.WorkerReport{Worker: a.Placement.Worker, Partial: true}, later)
	if got := s.runs[a.Task.AttemptRef].lastRunningAt; !got.Equal(later) {
		t.Errorf("last shown running at %v, want %v", got, later)
	}
	if len(s.pendingEnds) > 0 {
		t.Errorf("ends %v concluded from what is not listed", s.pendingEnds)
	}
}
