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
		t.Errorf("run time %v after a full window of samples of 50 ms, want 50 ms", got)
	}
	copied := NewMachine()
	snapshot, err := m.Snapshot()
	if err != nil || copied.Restore(snapshot) != nil || !cmp.Equal(m.state, copied.state) {
		t.Error("the run times are not restored from the snapshot")
	}
	observe(m, testStart.Add(runTimeRetention+time.Minute), "refunds/plans", 1)
	if _, known := m.runTime("panels/claims", runTimeQuantile); known {
		t.Error("the run time of a class without an end for a day is still known")
	}
	for i := range maxRunTimeClasses {
		observe(m, testStart.Add(25*time.Hour), classKey(fmt.Sprint("refunds/c", i)), 1)
	}
	if got := len(m.state.RunTimes); got != maxRunTimeClasses {
		t.Errorf("%d classes are kept, want %d", got, maxRunTimeClasses)
	}
}

// TestEvacuationSparesShortTasks takes a data centre out of service that runs
// tasks that end within the grace and others that do not. Only the latter may be
// evicted. The evacuation runs under a later owner than the one that observed
// the run times.
func TestEvacuationSparesShortTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 10, 10*time.Minute)
		h.runTimes["checks"] = 6 * time.Second
		first := h.start("a")
		time.Sleep(500 * time.Millisecond)
		h.queue.addClass(10, small, "checks")
		if !first.offerUntilDone(time.Minute) {
			t.Fatal("tasks are not done")
		}
		first.stop()
		second := h.start("b")
		defer second.stop()
		time.Sleep(500 * time.Millisecond)
		h.queue.addClass(20, small, "checks")
		h.queue.add(20, small)
		second.offerUntilDone(time.Second)
		h.settings.set(func(f *fakeSettings) { f.out = true })
		time.Sleep(11 * time.Second)
		evicted := make(map[time.Duration]int)
		for _, r := range h.records.Runs() {
			if r.State == inventory.TaskStopped {
				evicted[h.runTimes[h.queue.classOf(r.Task)]]++
			}
		}
		if want := map[time.Duration]int{0: 20}; !cmp.Equal(evicted, want) {
			t.Errorf("evicted by run time: %v, want %v", evicted, want)
		}
		h.check()
	})
}

// TestOverrun runs one task for much longer than the earlier tasks of its class,
// which must be logged once.
func TestOverrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, 4*time.Second)
		o := h.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		h.queue.add(8, small)
		if !o.offerUntilDone(time.Minute) {
			t.Fatal("tasks are not done")
		}
		h.runTimes["claims"] = time.Minute
		h.queue.add(1, small)
		o.offerUntilDone(8 * time.Second)
		if v := o.server.Vars().Get(varTasksOverrun); v != nil {
			t.Errorf("%s overruns after twice the run time of the class, want none yet", v)
		}
		o.offerUntilDone(time.Minute)
		if v := o.server.Vars().Get(varTasksOverrun); v == nil || v.String() != "1" {
			t.Errorf("%v overruns, want 1", v)
		}
		if got := h.queue.outcomes(delegation.OutcomeFinished); got != 9 {
			t.Errorf("%d tasks finished, want 9", got)
		}
		h.check()
	})
}

// TestShortTasksArePolled runs tasks that are much shorter than the interval of
// renewals. Without polling, their workers would stay idle until the next
// renewal.
func TestShortTasksArePolled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1, 1500*time.Millisecond)
		h.settings.values.WorkerLeaseMS = 30_000 // renewed every 10 s
		o := h.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		h.queue.add(20, small) // to observe their run time; four run at a time
		o.offerUntilDone(10 * time.Minute)
		startedAt, calls := time.Now(), h.calls
		h.queue.add(80, small)
		if !o.offerUntilDone(10 * time.Minute) {
			t.Fatal("tasks are not done")
		}
		elapsed := time.Since(startedAt)
		perRound := elapsed / 20
		calls = h.calls - calls
		t.Logf("%v per round of 4 tasks, with %d calls", perRound, calls)
		if perRound > 2500*time.Millisecond {
			t.Errorf("%v per round of tasks of 1.5 s, want at most 2.5 s", perRound)
		}
		if most := 80 + int(elapsed/pollInterval); calls > most {
			t.Errorf("%d calls for 80 tasks, want at most %d: a start for each, and a poll every %v", calls, most, pollInterval)
		}
		h.check()
	})
}

// TestPartialReportShowsRunning processes a partial report, which lists ends
// only. A task that is not listed is still running, and the report moves
// lastRunningAt, the lower bound of its end.
func TestPartialReportShowsRunning(t *testing.T) {
	s := newLooplessSession(t)
	runTasks(t, s, 0, 1)
	a := s.machine.find(sampleTask(0).AttemptRef)
	later := time.Now().Add(time.Second)
	s.handleReport(s.workers[a.Placement.Worker], inventory.WorkerReport{Worker: a.Placement.Worker, Partial: true}, later)
	if got := s.runs[a.Task.AttemptRef].lastRunningAt; !got.Equal(later) {
		t.Errorf("last shown running at %v, want %v", got, later)
	}
	if len(s.pendingEnds) > 0 {
		t.Errorf("ends %v concluded from what is not listed", s.pendingEnds)
	}
}
