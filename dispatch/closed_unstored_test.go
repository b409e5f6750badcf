package dispatch

import (
	"testing"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// A closed worker is not awaited for runs that are not stored. One that had ended, with neither
// its placement nor its end stored, was started again by the next owner.
func TestWorkerIsClosedBeforeItsEndsAreStored(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(1, 1000))
	first := r.planStarts()[0]
	r.report("w1", workload.Report{Ended: []workload.EndedRun{r.endOf(first, workload.OutcomeDone)}})
	draining := r.m.workers["w1"].Worker
	draining.Draining = true
	r.m.SetWorker(draining, r.now)
	if r.m.marks(r.m.workers["w1"], r.now).Closed {
		t.Error("the worker is recorded as closed before the end of its run is stored")
	}
	r.store()
	if !r.m.marks(r.m.workers["w1"], r.now).Closed {
		t.Error("the worker is not recorded as closed once the end of its run is stored")
	}
}
