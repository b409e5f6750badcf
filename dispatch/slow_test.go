package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// One of four workers works at a sixth of the others' speed while it reports
// as usual: it takes no new work and its run starts again elsewhere.
func TestSlowWorkerIsLeft(t *testing.T) {
	r := newRig(t, "w1", "w2", "w3", "w4")
	step := cpuStep(4, 900)
	step.EstimateMS = 4000
	r.job("a", step)
	starts := r.starts()
	on := make(map[fleet.WorkerID]Order)
	for _, o := range starts {
		on[o.Worker] = o
	}
	if len(on) != 4 {
		t.Fatalf("starts on %d workers, want all four", len(on))
	}
	began := r.now
	var moved []Order
	for r.now-began < 3*time.Second && len(moved) == 0 {
		for _, id := range []fleet.WorkerID{"w1", "w2", "w3", "w4"} {
			percent := int(25 * (r.now - began).Seconds())
			if id == "w4" {
				percent /= 6
			}
			rep := workload.Report{}
			if o, ok := on[id]; ok {
				rep.Running = append(rep.Running, workload.ActiveRun{Task: o.Task, Run: o.Run, PercentDone: percent})
			}
			r.report(id, rep)
		}
		r.now += 100 * time.Millisecond
		r.m.Plan(r.now, 0)
		for _, o := range r.m.TakeOrders() {
			if o.Kind == OrderStop {
				moved = append(moved, o)
			}
		}
	}
	if len(moved) != 1 || moved[0].Worker != "w4" {
		t.Fatalf("stops %v, want the run on w4", moved)
	}
	if took := r.now - began; took > 2500*time.Millisecond {
		t.Errorf("took %v to notice", took)
	}
	r.m.StopAnswered(moved[0], Accepted, r.now)
	r.now += 10 * time.Millisecond
	r.report("w4", workload.Report{Ended: []workload.EndedRun{r.ended(moved[0], workload.OutcomeStopped)}})
	again := r.starts()
	if len(again) != 1 || again[0].Worker == "w4" {
		t.Fatalf("started %v, want the task elsewhere", again)
	}
}
