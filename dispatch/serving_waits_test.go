package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// servingWaits returns the counts of the last serving_waits event, or nil if there is none.
func (r *rig) servingWaits() map[string]int {
	var counts map[string]int
	for _, e := range r.m.TakeEvents() {
		if e.Name != "serving_waits" {
			continue
		}
		counts = make(map[string]int)
		for i := 0; i < len(e.KeyVals); i += 2 {
			if n, ok := e.KeyVals[i+1].(int); ok && n > 0 {
				counts[e.KeyVals[i].(string)] = n
			}
		}
	}
	return counts
}

// The log did not tell whether a service waited for room or for the leases of a lost worker.
func TestLogHidesWhyServicesWait(t *testing.T) {
	tests := map[string]struct {
		marks WorkerMarks
		need  int64
		wait  time.Duration
		want  string
	}{
		"a worker that has not reported": {WorkerMarks{}, 1000, 200 * time.Millisecond, "takeover"},
		"its lost worker":                {WorkerMarks{Closed: true}, 1000, 2 * time.Second, "former_run"},
		"the delay after a takeover":     {WorkerMarks{Closed: true}, 1000, 200 * time.Millisecond, "delay"},
		"room":                           {WorkerMarks{Closed: true}, 9000, 2 * time.Second, "room"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.m = New(testLimits, 2, r.now)
			r.m.SetConfig(&workload.Config{
				Queues:   []workload.Queue{{Name: testQueue, Service: testService}},
				Services: map[fleet.Service]workload.Service{testService: {Name: testService}},
			})
			r.m.RestoreWorker(WorkerRecord{Worker: workload.Worker{ID: "lost", Service: testService}, WorkerMarks: test.marks}, 5, r.now)
			r.addWorker("w1", testCapacity)
			task := workload.TaskProgress{Run: 1}
			if test.want == "former_run" {
				task.Worker, task.Confirmed = "lost", true
			}
			progress := workload.Progress{Tasks: []workload.TaskProgress{task}}
			r.m.AddJob(&workload.Job{ID: "j", Queue: testQueue, Steps: []workload.Step{servingStep("img", 1, test.need)}}, workload.StateRunning, 1, progress, r.now, true)
			r.now += test.wait
			r.report("w1", workload.Report{})
			r.m.Plan(r.now, 0)
			if counts := r.servingWaits(); len(counts) != 1 || counts[test.want] != 1 {
				t.Errorf("the log has %v, want one task that waits for %s", counts, test.want)
			}
		})
	}
}
