package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// startAgain reports idle workers and plans for up to limit, and returns the first starts
// and the time that they took.
func (r *rig) startAgain(limit time.Duration, workers ...fleet.WorkerID) ([]Order, time.Duration) {
	r.Helper()
	began := r.now
	for r.now-began < limit {
		for _, id := range workers {
			r.report(id, workload.Report{})
		}
		if starts := r.planStarts(); len(starts) > 0 {
			return starts, r.now - began
		}
		r.now += 100 * time.Millisecond
	}
	return nil, limit
}

// A task whose run went wrong on the only worker that it may run on was never started
// again, although the worker was sound.
func TestTaskIsNeverStartedAgainOnItsOnlyWorker(t *testing.T) {
	const onlyLabel = "rack-1"
	label := func(s *workload.Step) { s.Label = onlyLabel }
	failed := func(r *rig, o Order) {
		r.report("w1", workload.Report{Ended: []workload.EndedRun{r.endOf(o, workload.OutcomeFailed)}})
	}
	stalled := func(r *rig, o Order) {
		running := runningOf(o)
		for range 20 {
			r.now += 100 * time.Millisecond
			r.report("w1", workload.Report{Running: []workload.ActiveRun{running}})
			r.planStarts()
		}
		r.report("w1", workload.Report{Ended: []workload.EndedRun{r.endOf(o, workload.OutcomeStopped)}})
	}
	tests := map[string]struct {
		constrain func(s *workload.Step)
		goWrong   func(r *rig, o Order)
	}{
		"failed, label of one worker":    {label, failed},
		"failed, room on one worker":     {func(s *workload.Step) { s.Need.MilliCores = 3500 }, failed},
		"failed, a service":              {func(s *workload.Step) { s.Label, s.Serving = onlyLabel, true }, failed},
		"failed, a gang":                 {func(s *workload.Step) { s.Label, s.Gang = onlyLabel, true }, failed},
		"no progress, label of one":      {label, stalled},
		"no progress, room on one alone": {func(s *workload.Step) { s.Need.MilliCores = 3500 }, stalled},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.addWorker("w1", testCapacity)
			r.addWorker("w2", fleet.Resources{MilliCores: 2000, MemoryMB: 8000})
			r.m.workers["w1"].Labels = []string{onlyLabel}
			r.now += maxServingDelay
			s := cpuStep(1, 1000)
			tt.constrain(&s)
			r.addJob("a", s)
			starts, _ := r.startAgain(time.Second, "w1", "w2")
			if len(starts) != 1 || starts[0].Worker != "w1" {
				t.Fatalf("started %v, want one on w1", starts)
			}
			tt.goWrong(r, starts[0])
			if starts, took := r.startAgain(2*firstAvoidance, "w1", "w2"); len(starts) != 1 {
				t.Errorf("not started again within %v of the report", took)
			}
		})
	}
}

// A refused start excluded the worker for good as well.
func TestTaskIsNeverStartedAgainWhereItWasRefused(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(1, 1000))
	r.now += 10 * time.Millisecond
	r.m.Plan(r.now, 0)
	for _, o := range r.m.TakeOrders() {
		r.m.StartAnswered(o, Unhealthy, r.now)
	}
	if starts, took := r.startAgain(2*firstAvoidance, "w1"); len(starts) != 1 {
		t.Errorf("not started again within %v of the refusal", took)
	}
}

// The attempts of a task that has one worker only must not all fall into one fault of it.
func TestAttemptsAreSpentWithinOneFault(t *testing.T) {
	const (
		attempts = 4
		fault    = 6500 * time.Millisecond // the users' faults of workers that fail what they start
	)
	r := newRig(t, "w1")
	config := *r.m.config
	config.Queues = []workload.Queue{{Name: testQueue, Service: testService, MaxAttempts: attempts, Stretch: 2, Objective: time.Second}}
	r.m.SetConfig(&config)
	began := r.now
	r.addJob("a", cpuStep(1, 1000))
	for attempt := 1; ; attempt++ {
		starts, _ := r.startAgain(2*maxAvoidance, "w1")
		if len(starts) != 1 {
			t.Fatalf("no attempt %d", attempt)
		}
		if r.now-began > fault {
			return
		}
		if attempt == attempts {
			t.Fatalf("all %d attempts were made within %v", attempts, r.now-began)
		}
		r.now += 100 * time.Millisecond
		r.report("w1", workload.Report{Ended: []workload.EndedRun{r.endOf(starts[0], workload.OutcomeFailed)}})
	}
}

// A task must not go back to the worker it failed on while another one has room, however
// long ago that was.
func TestTaskReturnsToFailingWorkerBesideIdleOne(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(1, 1000))
	starts := r.planStarts()
	r.report("w1", workload.Report{Ended: []workload.EndedRun{r.endOf(starts[0], workload.OutcomeFailed)}})
	if starts := r.planStarts(); len(starts) != 0 {
		t.Fatalf("started %v at once on the worker that has just failed it", starts)
	}
	r.now += firstAvoidance
	r.addWorker("w2", fleet.Resources{MilliCores: 1000, MemoryMB: 8000}) // less idle than w1
	r.report("w1", workload.Report{})
	if starts := r.planStarts(); len(starts) != 1 || starts[0].Worker != "w2" {
		t.Errorf("started %v, want one on w2", starts)
	}
}

// A gang with a member for each worker was never started again after one member failed.
func TestGangNeverReturnsToAllWorkers(t *testing.T) {
	r := newRig(t, "w1", "w2")
	gang := cpuStep(2, 1000)
	gang.Gang, gang.MaxPerWorker = true, 1
	r.addJob("a", gang)
	starts := r.planStarts()
	if len(starts) != 2 {
		t.Fatalf("started %v, want two", starts)
	}
	r.report(starts[1].Worker, workload.Report{Ended: []workload.EndedRun{r.endOf(starts[1], workload.OutcomeFailed)}})
	r.report(starts[0].Worker, workload.Report{Ended: []workload.EndedRun{r.endOf(starts[0], workload.OutcomeGangBroken)}})
	r.now += firstAvoidance
	if starts, took := r.startAgain(firstAvoidance, "w1", "w2"); len(starts) != 2 {
		t.Errorf("not started again within %v", took)
	}
}
