package dispatch

import (
	"testing"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Tasks that request nothing fit on any worker in any number.
func TestTasksUnderWayExceedTheMemory(t *testing.T) {
	const limit = 10
	free := workload.Step{Count: 100, EstimateMS: 1000}
	gang := workload.Step{Count: 20, EstimateMS: 1000, Gang: true}
	tests := map[string]struct {
		steps []workload.Step
		want  int
	}{
		"tasks without requests":                     {[]workload.Step{free}, limit},
		"a gang starts as a whole":                   {[]workload.Step{gang}, 20},
		"a gang after others, which leave room":      {[]workload.Step{{Count: 5, EstimateMS: 1000}, gang}, 25},
		"tasks after a gang, which leaves none":      {[]workload.Step{gang, free}, 20},
		"a second gang after one that leaves none":   {[]workload.Step{gang, gang}, 20},
		"tasks of several steps share what is there": {[]workload.Step{{Count: 6}, {Count: 6}}, limit},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "w1")
			r.m.limits.Records = limit
			r.addJob("a", tt.steps...)
			running := 0
			for range 5 {
				running += len(r.planStarts())
			}
			if running != tt.want {
				t.Fatalf("%d tasks are under way, want %d", running, tt.want)
			}
		})
	}
}

// Each task that is done lets another one start, up to the last one.
func TestDoneTasksLeaveNoRoom(t *testing.T) {
	const limit, tasks = 10, 95
	r := newRig(t, "w1")
	r.m.limits.Records = limit
	r.addJob("a", workload.Step{Count: tasks, EstimateMS: 1000})
	executed := 0
	for range tasks {
		orders := r.planStarts()
		if len(orders) > limit {
			t.Fatalf("%d tasks under way, the limit is %d", len(orders), limit)
		}
		executed += len(orders)
		var ends []workload.EndedRun
		for _, o := range orders {
			ends = append(ends, r.endOf(o, workload.OutcomeDone))
		}
		r.report("w1", workload.Report{Ended: ends})
	}
	if executed != tasks {
		t.Errorf("%d of %d tasks were executed", executed, tasks)
	}
}
