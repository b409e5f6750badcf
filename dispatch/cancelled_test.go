package dispatch

import (
	"testing"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// A job that was cancelled before its owner knew of it left its submission in the store, which
// each later owner loaded.
func TestSubmissionOfCancelledJobIsKept(t *testing.T) {
	r := newRig(t)
	r.m.AddJob(&workload.Job{ID: "a", Queue: testQueue, Steps: []workload.Step{cpuStep(1, 100)}}, workload.StateCancelled, 1, workload.Progress{}, r.now, false)
	writes := r.m.TakeWrites(31, r.now)
	if len(writes) != 1 || !writes[0].State.Final() || writes[0].StateChanged {
		t.Fatalf("writes %+v, want one that deletes the submission", writes)
	}
	r.m.WritesDone(writes, 2)
	if len(r.m.jobs) != 0 || r.m.HeldBytes() != 0 {
		t.Errorf("%d jobs and %d bytes are held", len(r.m.jobs), r.m.HeldBytes())
	}
}
