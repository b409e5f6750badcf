package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// failingRig returns a rig with one worker on which runs of eight jobs have failed within
// one report.
func failingRig(t *testing.T) *rig {
	r := newRig(t, "w1")
	for i := range 8 {
		r.addJob(fleet.JobID(fmt.Sprintf("j%d", i)), servingStep("img", 1, 100))
	}
	r.now += maxServingDelay
	r.report("w1", workload.Report{})
	var rep workload.Report
	for _, o := range r.planStarts() {
		rep.Ended = append(rep.Ended, r.endOf(o, workload.OutcomeFailed))
	}
	if len(rep.Ended) != 8 {
		t.Fatalf("started %d tasks, want 8", len(rep.Ended))
	}
	r.report("w1", rep)
	if r.isOpen() {
		t.Fatal("w1 is open after eight failures")
	}
	return r
}

// isOpen reports whether w1 gets work.
func (r *rig) isOpen() bool { return r.m.mayStart(r.m.workers["w1"], r.now) }

// Failures of runs that were under way together closed a worker for as long as attempts one
// after the other, far beyond the end of the fault: tasks that last found no worker.
func TestFailuresOfOneMomentCloseWorkerForLong(t *testing.T) {
	r := failingRig(t)
	r.now += firstClosure
	r.report("w1", workload.Report{})
	if !r.isOpen() {
		t.Errorf("w1 is closed for another %v", r.m.workers["w1"].closedUntil-r.now)
	}
}

// A worker that had restarted stayed closed for the failures of its earlier incarnation.
func TestRestartedWorkerIsClosedForEarlierFailures(t *testing.T) {
	r := failingRig(t)
	r.restart()
	r.report("w1", workload.Report{StartedMS: 2})
	if !r.isOpen() {
		t.Errorf("w1 is closed for another %v", r.m.workers["w1"].closedUntil-r.now)
	}
}

// A worker that went on failing was closed for longer than tasks that last may wait.
func TestClosureOutlastsPatienceOfServices(t *testing.T) {
	r := failingRig(t)
	const patience = 9 * time.Second
	for range 4 {
		for !r.isOpen() {
			r.now += 100 * time.Millisecond
			r.report("w1", workload.Report{})
		}
		var rep workload.Report
		for _, o := range r.planStarts() {
			rep.Ended = append(rep.Ended, r.endOf(o, workload.OutcomeFailed))
		}
		r.report("w1", rep)
		if left := r.m.workers["w1"].closedUntil - r.now; left >= patience {
			t.Fatalf("w1 is closed for %v", left)
		}
		r.addJob(fleet.JobID(fmt.Sprintf("at %v", r.now)), servingStep("img", 1, 100))
	}
}

// Tasks that last waited for a worker that runs of batch jobs had closed, with room for them
// there and nowhere else.
func TestServiceWaitsForClosedWorker(t *testing.T) {
	tests := map[string]func() *rig{
		"by failures": func() *rig { return failingRig(t) },
		"as slow": func() *rig {
			r := newRig(t, "w1")
			r.now += maxServingDelay
			r.m.workers["w1"].closeAsSlow(r.now)
			return r
		},
	}
	for name, closedRig := range tests {
		t.Run(name, func(t *testing.T) {
			r := closedRig()
			reopens := r.m.workers["w1"].closedUntil
			r.addJob("service", servingStep("img", 3, 1000))
			r.report("w1", workload.Report{})
			var rep workload.Report
			for ; r.now < reopens-500*time.Millisecond && len(rep.Running) < 3; r.now += 100 * time.Millisecond {
				starts := r.planStarts()
				if len(starts) > 1 {
					t.Fatalf("started %v at once on a worker that may be at fault", starts)
				}
				for _, o := range starts {
					rep.Running = append(rep.Running, runningOf(o))
				}
				r.report("w1", rep)
			}
			if len(rep.Running) < 3 {
				t.Errorf("%d of 3 tasks run on w1, which is closed for another %v", len(rep.Running), reopens-r.now)
			}
		})
	}
}

// A worker at fault got one serving task after the other while it was closed.
func TestServicesFailOnClosedWorker(t *testing.T) {
	r := failingRig(t)
	r.addJob("service", servingStep("img", 3, 1000))
	r.addJob("batch", cpuStep(3, 1000))
	r.report("w1", workload.Report{})
	tried := 0
	for end := r.now + firstClosure - 500*time.Millisecond; r.now < end; r.now += 100 * time.Millisecond {
		var rep workload.Report
		for _, o := range r.planStarts() {
			tried++
			rep.Ended = append(rep.Ended, r.endOf(o, workload.OutcomeFailed))
		}
		r.report("w1", rep)
	}
	if tried != 1 {
		t.Errorf("%d tasks were tried on a closed worker on which each fails, want 1", tried)
	}
}

// A serving task was tried on a closed worker with room for it on another.
func TestServicePrefersOpenWorker(t *testing.T) {
	r := failingRig(t)
	r.addWorker("w2", testCapacity)
	r.addJob("service", servingStep("img", 1, 1000))
	r.report("w1", workload.Report{})
	starts := r.planStarts()
	if len(starts) == 0 || slices.ContainsFunc(starts, func(o Order) bool { return o.Worker != "w2" }) {
		t.Errorf("started %v, want the tasks on w2", starts)
	}
}
