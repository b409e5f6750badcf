package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// noStart fails the test if a plan starts anything.
func (r *rig) noStart(when string) {
	r.Helper()
	if starts := r.planStarts(); len(starts) != 0 {
		r.Fatalf("started %v %s", starts, when)
	}
}

// restart records the start of the second incarnation of w1 from its entry.
func (r *rig) restart() {
	r.now += 10 * time.Millisecond
	r.m.SetWorker(workload.Worker{ID: "w1", StartedMS: 2, Service: testService, Address: "127.0.0.1:1", DataCentre: "dc-1", Capacity: fleet.Resources{MilliCores: 4000, MemoryMB: 8000}}, r.now)
}

// startOnW1 returns a rig with the only run of a task on w1, accepted but not yet
// reported, and another worker where the task could run.
func startOnW1(t *testing.T) (*rig, Order) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(1, 1000))
	first := r.planStarts()[0]
	r.addWorker("w2", fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
	return r, first
}

// A worker restarts and accepts a start before its owner knows of the restart: the
// run is not lost with the earlier incarnation.
func TestTaskRunsTwiceAfterStartOnRestartedWorker(t *testing.T) {
	r, first := startOnW1(t)
	r.restart()
	r.noStart("while the run may be on the new incarnation")
	// The renewal was sent before the start was accepted.
	r.m.WorkerReported("w1", workload.Report{StartedMS: 2}, 0, r.now)
	r.noStart("after a report that is older than the run")
	r.report("w1", workload.Report{StartedMS: 2, Running: []workload.ActiveRun{runningOf(first)}})
	r.noStart("while the run is on the new incarnation")
	r.report("w1", workload.Report{StartedMS: 2, Ended: []workload.EndedRun{r.endOf(first, workload.OutcomeDone)}})
	if w := r.m.TakeWrites(10*4, farFuture); len(w) != 1 || w[0].State != workload.StateCompleted {
		t.Fatalf("writes %+v after the run was done, want the job completed", w)
	}
}

// The report that shows the restart may be older than a start that the new
// incarnation has accepted.
func TestTaskRunsTwiceAfterOutdatedReportOfRestart(t *testing.T) {
	r, first := startOnW1(t)
	r.m.WorkerReported("w1", workload.Report{StartedMS: 2}, 0, r.now)
	r.noStart("after a report that is older than the run")
	r.report("w1", workload.Report{StartedMS: 2, Running: []workload.ActiveRun{runningOf(first)}})
	r.noStart("while the run is on the new incarnation")
}

// A run that is not on the new incarnation starts again as soon as a report shows
// that, and one that the earlier incarnation had reported starts again at once.
func TestRunsOfEarlierIncarnationStartAgain(t *testing.T) {
	r, first := startOnW1(t)
	r.restart()
	r.report("w1", workload.Report{StartedMS: 2})
	r.store()
	if starts := r.planStarts(); len(starts) != 1 || starts[0].Run <= first.Run {
		t.Fatalf("started %v once the new incarnation had reported, want one higher run than %d", starts, first.Run)
	}

	r, first = startOnW1(t)
	r.report("w1", workload.Report{Running: []workload.ActiveRun{runningOf(first)}})
	r.restart()
	r.store()
	if starts := r.planStarts(); len(starts) != 1 || starts[0].Worker != "w2" {
		t.Fatalf("started %v after the restart of a worker that had reported the run, want one on w2", starts)
	}
}

// A start that a new incarnation executes carries a deadline on the earlier one's
// clock, so that its lease lasts as long as any lease may.
func TestLeaseOfNewIncarnationOutlastsItsOwnersBound(t *testing.T) {
	r, first := startOnW1(t)
	accepted := r.now
	r.now += leaseBound(testLimits.Lease) + 100*time.Millisecond
	r.report("w2", workload.Report{})
	r.noStart("while an incarnation that nobody has noticed may run the task")
	r.now = accepted + leaseBound(testLimits.LongestLease)
	r.report("w2", workload.Report{})
	if starts := r.planStarts(); len(starts) != 1 || starts[0].Run <= first.Run {
		t.Fatalf("started %v after the longest lease, want the task", starts)
	}

	r, first = startOnW1(t)
	r.restart()
	r.report("w1", workload.Report{StartedMS: 2, Running: []workload.ActiveRun{runningOf(first)}})
	r.now += leaseBound(testLimits.Lease) + 100*time.Millisecond
	r.report("w2", workload.Report{})
	r.noStart("while the lease of the new incarnation may last")
}

// The next incarnation of a worker may be of another kind. Until its entry is known,
// nothing starts there by the capacity and labels of the earlier one.
func TestStartByEntryOfEarlierIncarnation(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(1, 1000))
	r.report("w1", workload.Report{StartedMS: 2})
	r.report("w1", workload.Report{StartedMS: 2})
	r.noStart("by the entry of the earlier incarnation")
	smaller := workload.Worker{ID: "w1", StartedMS: 2, Service: testService, Capacity: fleet.Resources{MilliCores: 500, MemoryMB: 8000}}
	r.m.SetWorker(smaller, r.now)
	r.report("w1", workload.Report{StartedMS: 2})
	r.noStart("beyond the capacity of the new incarnation")
	smaller.Capacity.MilliCores = 1000
	r.m.SetWorker(smaller, r.now)
	if starts := r.planStarts(); len(starts) != 1 {
		t.Fatalf("started %v within the capacity of the new incarnation, want one", starts)
	}
}

// A worker that a new owner reaches only after the leases of the former one should have
// ended may still run what it lists: a late start has extended its lease.
func TestReportedRunIsTakenForLapsed(t *testing.T) {
	r := newRig(t, "w1")
	progress := workload.Progress{Tasks: []workload.TaskProgress{{Run: 1, Worker: "w9"}}}
	r.m.AddJob(&workload.Job{ID: "a", Queue: testQueue, Steps: []workload.Step{cpuStep(1, 1000)}}, workload.StateRunning, 1, progress, r.now, true)
	r.m.SetWorker(workload.Worker{ID: "w9", StartedMS: 1, Service: testService, Address: "127.0.0.1:1"}, r.now)
	r.now += leaseBound(testLimits.LeaseMax) + time.Second
	r.m.WorkerReported("w9", workload.Report{StartedMS: 1, Running: []workload.ActiveRun{{Task: workload.TaskName{Job: "a"}, Run: 1}}}, r.now, r.now)
	r.report("w1", workload.Report{})
	r.noStart("while w9 runs the task by its own report")
}

// A start without an answer on a worker that had left for good held its task for as long as
// a late order may take to arrive, although the worker's entry was gone; one that was accepted
// and not listed held it for the longest lease.
func TestUnansweredStartOnLostWorkerHoldsItsTask(t *testing.T) {
	tests := map[string]struct {
		outcome Outcome
		lapses  time.Duration // of the entry
	}{
		"no answer": {NoAnswer, 4500 * time.Millisecond}, // three heartbeats
		"accepted":  {Accepted, 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "w1")
			r.addJob("j", cpuStep(1, 1000))
			starts := r.planOnly()
			if len(starts) != 1 {
				t.Fatalf("started %v, want one task", starts)
			}
			r.m.StartAnswered(starts[0], test.outcome, r.now)
			r.m.CallFailed("w1", r.now)
			r.addWorker("w2", fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
			r.now += test.lapses
			r.m.WorkerGone("w1", r.now)
			r.report("w2", workload.Report{})
			r.noStart("while the entry may return")
			r.now += entryReturnTime
			r.report("w2", workload.Report{})
			if starts := r.planStarts(); len(starts) != 1 || starts[0].Worker != "w2" {
				t.Errorf("started %v once w1 was gone for good, want the task on w2", starts)
			}
		})
	}
}
