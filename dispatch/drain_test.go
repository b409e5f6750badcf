package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// A worker with two tasks of a service drains: they leave one by one, or both
// after some time, if there is room elsewhere; batch tasks stay.
func TestServingTasksLeaveDrainingWorker(t *testing.T) {
	tests := map[string]struct {
		mayMiss int
		room    bool // elsewhere
		wait    time.Duration
		stops   int
	}{
		"one may be away":         {mayMiss: 1, room: true, stops: 1},
		"none may be away":        {room: true},
		"none, but time presses":  {room: true, wait: drainPatience, stops: 2},
		"no room elsewhere":       {mayMiss: 1, wait: drainPatience},
		"one may be away, later":  {mayMiss: 1, room: true, wait: drainPatience, stops: 2},
		"two may be away at once": {mayMiss: 2, room: true, stops: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "w1")
			service := servingStep("s", 2, 1000)
			service.MaxUnavailable = tt.mayMiss
			r.job("service", service)
			r.job("batch", cpuStep(1, 500))
			starts := r.starts()
			if len(starts) != 3 {
				t.Fatalf("started %v", starts)
			}
			if tt.room {
				r.worker("w2", fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
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
					t.Errorf("stop %v in the plan that decided it", o)
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
