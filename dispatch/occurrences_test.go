package dispatch

import (
	"testing"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// A job may have 100,000 occurrences that are due at once. Only some of them are open, and all
// are executed.
func TestDueOccurrencesOpenAllAtOnce(t *testing.T) {
	const occurrences, steps = 12_000, 2
	r := newRig(t)
	r.addWorker("w1", fleet.Resources{MilliCores: 64_000, MemoryMB: 64_000})
	second := cpuStep(1, 10)
	second.After = []int{0}
	first, second := cpuStep(1, 10), second
	first.Need.MemoryMB, second.Need.MemoryMB = 1, 1
	job := workload.Job{ID: "a", Queue: testQueue, Repeats: occurrences, FirstMS: -5, Steps: []workload.Step{first, second}}
	r.m.AddJob(&job, workload.StateQueued, 1, workload.Progress{}, r.now, false)
	done, most := make(map[int]int), 0
	for r.m.jobs["a"] != nil {
		orders := r.planStarts()
		if j := r.m.jobs["a"]; j != nil {
			most = max(most, j.openSteps())
		}
		if len(orders) == 0 {
			break
		}
		var ends []workload.EndedRun
		for _, o := range orders {
			done[o.Task.Occurrence]++
			ends = append(ends, r.endOf(o, workload.OutcomeDone))
		}
		r.report("w1", workload.Report{Ended: ends})
		r.store()
		r.m.TakeEvents()
	}
	if most > maxOpenSteps+steps {
		t.Errorf("%d steps are open at once, want at most %d", most, maxOpenSteps+steps)
	}
	for k := range occurrences {
		if done[k] != steps {
			t.Fatalf("%d of %d tasks of occurrence %d were executed", done[k], steps, k)
		}
	}
	if r.m.jobs["a"] != nil {
		t.Error("the job has not ended")
	}
}
