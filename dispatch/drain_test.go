package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// The serving tasks of a draining worker are moved within the bound on missing tasks,
// or all at once after drainGrace, if another worker has capacity. Batch tasks stay.
func TestServingTasksLeaveDrainingWorker(t *testing.T) {
	tests := map[string]struct {
		mayMiss  int
		capacity bool // on another worker
		wait     time.Duration
		stops    int
	}{
		"one may be missing":              {mayMiss: 1, capacity: true, stops: 1},
		"none may be missing":             {capacity: true},
		"none may be missing, grace over": {capacity: true, wait: drainGrace, stops: 2},
		"no capacity elsewhere":           {mayMiss: 1, wait: drainGrace},
		"one may be missing, grace over":  {mayMiss: 1, capacity: true, wait: drainGrace, stops: 2},
		"two may be missing":              {mayMiss: 2, capacity: true, stops: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "w1")
			service := servingStep("s", 2, 1000)
			service.MaxUnavailable = tt.mayMiss
			r.addJob("service", service)
			r.addJob("batch", cpuStep(1, 500))
			starts := r.planStarts()
			if len(starts) != 3 {
				t.Fatalf("started %v", starts)
			}
			if tt.capacity {
				r.addWorker("w2", fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
			}
			info := r.m.workers["w1"].Worker
			info.Draining = true
			r.m.SetWorker(info, r.now)
			r.now += tt.wait
			r.reportAll(starts, nil)
			r.m.Plan(r.now, 0)
			stops := 0
			for _, o := range r.m.TakeOrders() {
				if o.Kind == OrderStart {
					t.Errorf("started %v", o)
				}
				if o.Kind == OrderStop {
					t.Errorf("stop %v already in the plan that requested it", o)
				}
			}
			r.m.Plan(r.now, 0)
			for _, o := range r.m.TakeOrders() {
				if o.Kind == OrderStop && o.Task.Job == "service" {
					stops++
				} else {
					t.Errorf("order %v", o)
				}
			}
			if stops != tt.stops {
				t.Errorf("%d serving tasks stopped, want %d", stops, tt.stops)
			}
		})
	}
}
