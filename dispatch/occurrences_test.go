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

// Between two occurrences of a repeated job nothing of it waits.
func TestEndedOccurrencesCountAsWaiting(t *testing.T) {
	const untilNext = 10_000 // ms
	serving := cpuStep(1, 100)
	serving.Serving = true
	for name, step := range map[string]workload.Step{"batch": cpuStep(1, 100), "serving": serving} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "w1")
			job := workload.Job{ID: "a", Queue: testQueue, Repeats: 3, FirstMS: 0, IntervalMS: untilNext, Steps: []workload.Step{step}}
			r.m.AddJob(&job, workload.StateQueued, 1, workload.Progress{}, r.now, false)
			j := r.m.jobs["a"]
			if r.m.waitingWork(j) == 0 {
				t.Fatal("nothing waits before the first plan")
			}
			orders := r.planStarts()
			if len(orders) != 1 {
				t.Fatalf("%d starts", len(orders))
			}
			r.report("w1", workload.Report{Ended: []workload.EndedRun{r.endOf(orders[0], workload.OutcomeDone)}})
			if r.planStarts(); j.firstOccurrence != 1 {
				t.Fatalf("%d occurrences have ended", j.firstOccurrence)
			}
			if work, cores := r.m.waitingWork(j), j.waitingServing(); work != 0 || cores != 0 {
				t.Errorf("%v core-seconds and %d millicores wait", work, cores)
			}
		})
	}
}
