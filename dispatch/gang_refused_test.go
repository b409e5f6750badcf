package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// A member of a gang whose start was refused left the others waiting for it until their
// timeout of 3 s, in which they held their processor for nothing and then ended alone.
func TestGangWaitsForRefusedMember(t *testing.T) {
	const members = 3
	for name, outcome := range map[string]Outcome{"no room or late": Refused, "unhealthy": Unhealthy} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "w1", "w2", "w3")
			gang := cpuStep(members, 1000)
			gang.Gang, gang.MaxPerWorker = true, 1
			r.addJob("a", gang)
			r.now += 10 * time.Millisecond
			r.m.Plan(r.now, 0)
			starts := r.m.TakeOrders()
			if len(starts) != members {
				t.Fatalf("%d starts, want %d", len(starts), members)
			}
			for i, o := range starts {
				if i == 1 {
					r.m.StartAnswered(o, outcome, r.now)
				} else {
					r.m.StartAnswered(o, Accepted, r.now)
				}
			}
			r.now += 10 * time.Millisecond
			r.m.Plan(r.now, 0)
			stopped := 0
			for _, o := range r.m.TakeOrders() {
				if o.Kind != OrderStop || o.Run != starts[0].Run || o.Task == starts[1].Task {
					t.Errorf("unexpected order %+v", o)
				}
				stopped++
				r.m.StopAnswered(o, Accepted, r.now)
			}
			if stopped != members-1 {
				t.Fatalf("%d members are stopped, want %d", stopped, members-1)
			}
			r.m.TakeOrders()
			for _, o := range []Order{starts[0], starts[2]} {
				r.report(o.Worker, workload.Report{Ended: []workload.EndedRun{r.endOf(o, workload.OutcomeStopped)}})
			}
			again, _ := r.startAgain(2*firstAvoidance, "w1", "w2", "w3")
			if len(again) != members || again[0].Run <= starts[0].Run {
				t.Errorf("started %v, want the whole gang as a later run", again)
			}
		})
	}
}
