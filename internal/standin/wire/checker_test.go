package wire

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// A start command without a reply may be executed in a later incarnation of its
// worker. It is a fault of the system unless nothing could refuse it.
func TestLateStartAfterAcknowledgement(t *testing.T) {
	task := workload.TaskName{Job: "job"}
	start := command{Task: task.String(), Run: 1, DeadlineMS: time.Hour.Milliseconds(), Token: 7}
	tests := []struct {
		name       string
		prepare    func(w *Worker)
		wantBroken int
		wantStrays int
	}{
		{"in the same incarnation", func(*Worker) {}, 1, 0},
		{"in an incarnation that no owner has called", restart, 0, 1},
		{"in an incarnation that an owner has called", func(w *Worker) { restart(w); w.isFenced(8) }, 0, 0},
		{"in one called with the same token", func(w *Worker) { restart(w); w.isFenced(7) }, 1, 0},
		{"beside another run", func(w *Worker) { restart(w); w.checker.recordStart(w, task, 2, startOnTime) }, 2, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := NewChecker(3, time.Second)
			c.RecordSubmission("job", []workload.Step{{Count: 1, EstimateMS: 100, Need: fleet.Resources{MilliCores: 1}}})
			w := &Worker{id: "w", capacity: fleet.Resources{MilliCores: 10}, checker: c}
			w.startIncarnation()
			sentTo := w.incarnationStart
			c.recordStart(w, task, 2, startOnTime)
			c.recordEnd(task, workload.OutcomeDone)
			c.recordAcknowledgement(task, workload.OutcomeDone)
			test.prepare(w)
			w.executeLate("/v1/run-start", start, sentTo)
			if _, broken := c.Violations(); len(broken) != test.wantBroken || c.Strays() != test.wantStrays {
				t.Errorf("broken %q and %d strays, want %d and %d", broken, c.Strays(), test.wantBroken, test.wantStrays)
			}
		})
	}
}

// restart starts the next incarnation of a worker, at a later time than the first.
func restart(w *Worker) {
	w.startIncarnation()
	w.incarnationStart = w.incarnationStart.Add(time.Second)
}

func TestDeadlyTaskIsStartedWithoutEnd(t *testing.T) {
	task, other := workload.TaskName{Job: "job"}, workload.TaskName{Job: "job", Index: 1}
	tests := []struct {
		name       string
		deadly     []workload.TaskName
		crashes    int
		moreStarts int
		wantBroken int
	}{
		{"two more after three crashes", []workload.TaskName{task}, 3, 2, 0},
		{"three more after three crashes", []workload.TaskName{task}, 3, 3, 1},
		{"ten more after three crashes", []workload.TaskName{task}, 3, 10, 1},
		{"three more after two crashes", []workload.TaskName{task}, 2, 3, 0},
		{"a sound task", nil, 3, 10, 0},
		{"a sound task of a deadly job", []workload.TaskName{other}, 3, 10, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := NewChecker(4, time.Second)
			c.RecordSubmission("job", []workload.Step{{Count: 2}}, test.deadly...)
			w := &Worker{id: "w", checker: c}
			run := 0
			for range test.crashes {
				run++
				c.recordStart(w, task, run, startOnTime)
				c.recordCrash(task)
			}
			for range test.moreStarts {
				run++
				c.recordStart(w, task, run, startOnTime)
				c.recordEnd(task, workload.OutcomeStopped)
			}
			if _, broken := c.Violations(); len(broken) != test.wantBroken {
				t.Errorf("broken %q, want %d", broken, test.wantBroken)
			}
		})
	}
}

func TestJobIsShownAsFailedWithoutCause(t *testing.T) {
	const limit = 3
	task, other := workload.TaskName{Job: "job"}, workload.TaskName{Job: "job", Index: 1}
	fail := func(c *Checker, n workload.TaskName) { c.recordEnd(n, workload.OutcomeFailed) }
	acknowledge := func(c *Checker, n workload.TaskName) { c.recordAcknowledgement(n, workload.OutcomeFailed) }
	crash := func(c *Checker, n workload.TaskName) { c.recordCrash(n) }
	type event func(*Checker, workload.TaskName)
	tests := []struct {
		name        string
		deadly      []workload.TaskName
		task, other []event
		wantBroken  int
		wantGivenUp int
	}{
		{"nothing happened", nil, nil, nil, 1, 0},
		{"the last failure is not acknowledged", nil, []event{fail, acknowledge, fail, acknowledge, fail}, nil, 0, 0},
		{"a failure too few", nil, []event{fail, acknowledge, fail, acknowledge}, nil, 1, 0},
		{"failures of two tasks", nil, []event{fail, fail}, []event{fail}, 1, 0},
		{"failures and a crash", nil, []event{fail, fail, crash}, nil, 1, 0},
		{"one crash", nil, []event{crash}, nil, 1, 0},
		{"one crash of a deadly task", []workload.TaskName{task}, []event{crash}, nil, 1, 0},
		{"crashes under two tasks", nil, []event{crash}, []event{crash}, 1, 0},
		{"two crashes", nil, []event{crash, crash}, nil, 0, 1},
		{"two crashes and all failures", nil, []event{crash, crash}, []event{fail, fail, fail}, 0, 0},
		{"two crashes under a deadly task", []workload.TaskName{task}, []event{crash, crash}, nil, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := NewChecker(limit, time.Second)
			c.RecordSubmission("job", []workload.Step{{Count: 2}}, test.deadly...)
			for n, events := range map[workload.TaskName][]event{task: test.task, other: test.other} {
				for _, e := range events {
					e(c, n)
				}
			}
			c.CheckState("job", workload.StateFailed)
			if _, broken := c.Violations(); len(broken) != test.wantBroken || c.GivenUp() != test.wantGivenUp {
				t.Errorf("broken %q and %d given up, want %d and %d", broken, c.GivenUp(), test.wantBroken, test.wantGivenUp)
			}
		})
	}
}

// A start between the end of a run and its acknowledgement must count, unless the lease
// has lapsed between the two.
func TestStartBeforeAcknowledgementIsAllowed(t *testing.T) {
	task := workload.TaskName{Job: "job"}
	for name, c := range map[string]struct {
		outcome    workload.Outcome
		startAgain bool
		lapses     bool
		wantBroken int
	}{
		"done":                         {workload.OutcomeDone, false, false, 0},
		"done and started again":       {workload.OutcomeDone, true, false, 1},
		"done, lapsed, started again":  {workload.OutcomeDone, true, true, 0},
		"failed and started again":     {workload.OutcomeFailed, true, false, 1},
		"failed and not started again": {workload.OutcomeFailed, false, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			checker := NewChecker(1, time.Second)
			checker.RecordSubmission("job", []workload.Step{{Count: 1}})
			w := &Worker{id: "w", checker: checker, runEnded: make(chan struct{})}
			w.startIncarnation()
			w.clockPercent = 100
			start := func(run int, ends time.Duration) {
				checker.recordStart(w, task, run, startOnTime)
				w.runs[task] = &activeRun{run: run, endsAt: time.Now().Add(ends), fails: c.outcome == workload.OutcomeFailed}
			}
			w.extendLease(MaxLease.Milliseconds())
			start(1, 0)
			w.endRuns(time.Now().Add(time.Millisecond))
			if c.startAgain {
				start(2, time.Hour)
			}
			if c.lapses {
				w.leaseDeadline = -1
				w.endRuns(time.Now().Add(time.Second))
			}
			w.forgetEnded(1)
			if _, broken := checker.Violations(); len(broken) != c.wantBroken {
				t.Errorf("broken %q, want %d", broken, c.wantBroken)
			}
		})
	}
}
