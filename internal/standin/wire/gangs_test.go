package wire

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const gangMembers = 3

// newTestGang starts two workers whose checker knows a gang of gangMembers tasks.
func newTestGang(t *testing.T, estimateMS int64) []*Worker {
	t.Helper()
	s := newTestStore(t)
	c := NewChecker(3, time.Second)
	c.RecordSubmission("job", []workload.Step{{Count: gangMembers, Gang: true, EstimateMS: estimateMS, Need: fleet.Resources{MilliCores: 1}}})
	var workers []*Worker
	for _, id := range []fleet.WorkerID{"w1", "w2"} {
		w, err := NewWorker(id, fleet.Resources{MilliCores: 10}, c, s)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		workers = append(workers, w)
	}
	return workers
}

// startMembers starts the first n tasks of the gang as one run, and holds their leases.
func startMembers(t *testing.T, workers []*Worker, n, run int) {
	t.Helper()
	for i := range n {
		cmd := startCommand(workload.TaskName{Job: "job", Index: i})
		cmd.Run = run
		post(t, workers[i%len(workers)], "/v1/run-start", cmd, testTimeout)
	}
}

// awaitEnds waits until a worker lists n ends, and checks how they ended.
func awaitEnds(t *testing.T, w *Worker, n int, how workload.Outcome) {
	t.Helper()
	awaitCondition(t, w, "ends", func() bool { return len(w.ended) >= n })
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.ended {
		if e.outcome != how {
			t.Errorf("%s has ended %s, want %s", e.task, e.outcome, how)
		}
	}
}

// The tasks of a gang must wait for each other, work together and end together; a run with
// another number is no member.
func TestGangWorksBeforeItIsComplete(t *testing.T) {
	workers := newTestGang(t, 100)
	startMembers(t, workers, gangMembers-1, 1)
	startMembers(t, workers, gangMembers, 2)
	awaitEnds(t, workers[0], 2, workload.OutcomeDone)
	awaitEnds(t, workers[1], 1, workload.OutcomeDone)
	workers[0].checker.CheckState("job", workload.StateCompleted)
	workers[0].checker.mu.Lock()
	defer workers[0].checker.mu.Unlock()
	if len(workers[0].checker.jobs["job"].completed) != gangMembers {
		t.Error("the gang is not done as a whole")
	}
}

func TestIncompleteGangWaitsForever(t *testing.T) {
	workers := newTestGang(t, 100)
	began := time.Now()
	startMembers(t, workers, 1, 1)
	awaitEnds(t, workers[0], 1, workload.OutcomeGangTimeout)
	if waited := time.Since(began); waited < gangTimeout {
		t.Errorf("a task has waited %v for its gang, want %v", waited, gangTimeout)
	}
}

func TestGangOutlivesItsMember(t *testing.T) {
	workers := newTestGang(t, time.Hour.Milliseconds())
	startMembers(t, workers, gangMembers, 1)
	workers[1].Crash()
	awaitEnds(t, workers[0], 2, workload.OutcomeGangBroken)
}
