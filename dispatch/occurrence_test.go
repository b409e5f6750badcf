package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// An occurrence waited for its only worker while the next one ran. The next owner counted on from
// the latest stored one, and the job never completed.
func TestNextOwnerForgetsWaitingOccurrence(t *testing.T) {
	for name, progress := range map[string]workload.Progress{
		"the later one is done":      {EndedOccurrences: []workload.Range{{First: 1, Count: 1}}},
		"the later one has started":  {Tasks: []workload.TaskProgress{{Occurrence: 1, Run: 1}}},
		"stored by an earlier build": {Tasks: []workload.TaskProgress{{Occurrence: 1, Run: 1, Done: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "w1")
			j := &workload.Job{ID: "a", Queue: testQueue, Repeats: 3, FirstMS: 1, IntervalMS: 1000, Steps: []workload.Step{cpuStep(1, 500)}}
			r.m.AddJob(j, workload.StateRunning, 1, progress, 0, true)
			r.now += time.Minute
			r.report("w1", workload.Report{})
			r.m.Plan(r.now, 1500) // two of three are due
			orders := r.m.TakeOrders()
			if !slices.ContainsFunc(orders, func(o Order) bool { return o.Kind == OrderStart && o.Task.Occurrence == 0 }) {
				t.Errorf("orders %v, want a start of occurrence 0", orders)
			}
			if slices.ContainsFunc(orders, func(o Order) bool { return o.Task.Occurrence == 2 }) {
				t.Errorf("orders %v, the last occurrence is not due", orders)
			}
		})
	}
}
