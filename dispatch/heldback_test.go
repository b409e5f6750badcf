package dispatch

import (
	"testing"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// heldBackRig returns a rig whose owner has no room for job b beside job a.
func heldBackRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(1, 100))
	r.m.limits.JobBytes = r.m.HeldBytes() + 1
	r.m.HoldBack("b", JobBytes(&workload.Job{Steps: []workload.Step{cpuStep(1, 100)}}), 2, true)
	return r
}

func TestHeldBackJobsOvertakeEachOther(t *testing.T) {
	tests := map[string]struct {
		prepare func(r *rig)
		want    fleet.JobID // empty: none is due
	}{
		"no room":                         {func(*rig) {}, ""},
		"the oldest comes first":          {func(r *rig) { r.m.HoldBack("c", 1, 1, false); r.m.limits.JobBytes = 1 << 30 }, "c"},
		"a small one waits for the older": {func(r *rig) { r.m.HoldBack("c", 1, 3, false) }, ""},
		"a cancelled one is due at once":  {func(r *rig) { r.m.StateChanged("b", workload.StateCancelled, 5, r.now) }, "b"},
		"one that a worker runs": {func(r *rig) {
			r.report("w1", workload.Report{Running: []workload.ActiveRun{{Task: workload.TaskName{Job: "b"}, Run: 1}}})
		}, "b"},
		"one that a worker has ended": {func(r *rig) {
			r.report("w1", workload.Report{Ended: []workload.EndedRun{{Sequence: 1, Task: workload.TaskName{Job: "b"}, Run: 1, Outcome: workload.OutcomeDone}}})
		}, "b"},
		"one alone, however large": {func(r *rig) {
			r.m.limits.JobBytes = 1
			r.m.StateChanged("a", workload.StateCancelled, 5, r.now)
			r.store()
		}, "b"},
		"dropped": {func(r *rig) { r.m.DropHeldBack("b"); r.m.limits.JobBytes = 1 << 30 }, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := heldBackRig(t)
			tt.prepare(r)
			got, due := r.m.NextHeldBack()
			if due != (tt.want != "") || due && got != tt.want {
				t.Errorf("job %q is due: %t, want %q", got, due, tt.want)
			}
		})
	}
}

// A former owner may have started a task of a job without storing that. Its end must not be
// acknowledged before the job is there, or the task would be started again after it is done.
func TestEndOfHeldBackJobIsForgotten(t *testing.T) {
	r := heldBackRig(t)
	end := workload.EndedRun{Sequence: 1, Task: workload.TaskName{Job: "b"}, Run: 1, Outcome: workload.OutcomeDone}
	r.report("w1", workload.Report{Ended: []workload.EndedRun{end}})
	r.store()
	if got := r.m.AcknowledgedEnd("w1"); got != 0 {
		t.Fatalf("ends up to %d are acknowledged", got)
	}
	r.m.AddJob(&workload.Job{ID: "b", Queue: testQueue, Steps: []workload.Step{cpuStep(1, 100)}}, workload.StateQueued, 1, workload.Progress{}, r.now, true)
	r.report("w1", workload.Report{Ended: []workload.EndedRun{end}})
	for _, o := range r.planStarts() {
		if o.Task.Job == "b" {
			t.Error("a task that is done was started")
		}
	}
	r.store()
	if got := r.m.AcknowledgedEnd("w1"); got != 1 {
		t.Errorf("ends up to %d are acknowledged, want 1", got)
	}
}

// A run of a job that is held back must not be stopped as one of an unknown job.
func TestRunOfHeldBackJobIsStopped(t *testing.T) {
	r := heldBackRig(t)
	running := workload.Report{Running: []workload.ActiveRun{{Task: workload.TaskName{Job: "b"}, Run: 1}}}
	r.report("w1", running)
	r.m.AddJob(&workload.Job{ID: "b", Queue: testQueue, Steps: []workload.Step{cpuStep(1, 100)}}, workload.StateQueued, 1, workload.Progress{}, r.now, true)
	r.report("w1", running)
	r.m.Plan(r.now, 0)
	for _, o := range r.m.TakeOrders() {
		if o.Task.Job == "b" {
			t.Errorf("order %s for the task", o.Kind)
		}
	}
	if runs := len(r.m.jobs["b"].occurrence(0).steps[0].record(0).runs); runs != 1 {
		t.Errorf("the task has %d runs, want the one that the worker reports", runs)
	}
}
