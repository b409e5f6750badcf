package dispatch

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// A second owner takes over in the middle of a burst of a filling image that
// presses hard on what is served: it starts none of it beside, as the first one
// has learned.
func TestLessonsOutliveTheOwner(t *testing.T) {
	first := newRig(t, "w1")
	in := first.m.interference
	*in.at(in.filling.number("f"), in.serving.number("s")) = 20
	first.m.queues[testQueue] = &queueStats{ratio: 2, seen: 500}
	data, err := json.Marshal(first.m.Estimates())
	if err != nil {
		t.Fatal(err)
	}
	var lessons Estimates
	if err := json.Unmarshal(data, &lessons); err != nil {
		t.Fatal(err)
	}
	for name, recalled := range map[string]bool{"with lessons": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			second := newRig(t, "w1")
			if recalled {
				second.m.RestoreEstimates(lessons)
			}
			second.job("service", servingStep("s", 1, 1000))
			second.starts()
			second.job("burst", fillingStep("f", 4, 800))
			started := len(second.starts())
			if recalled != (started == 0) {
				t.Errorf("%d tasks of the pressing image started", started)
			}
			if recalled {
				s := cpuStep(1, 1000)
				if got := second.m.expected(testQueue, &s); got != 2*time.Second {
					t.Errorf("expected run time %v, want twice the estimate", got)
				}
			}
		})
	}
}

func TestRecallKeepsToRange(t *testing.T) {
	r := newRig(t)
	r.m.RestoreEstimates(Estimates{
		RunTimes:  []RunTimeEstimate{{Queue: "a", Ratio: 1e9, Samples: 1 << 30}, {Queue: "b", Ratio: -1, Samples: 1}, {Queue: "c", Ratio: 1}},
		Pressures: []PressureEstimate{{"f", "s", 1e9}, {"f", "s2", -3}, {"f2", "s", 1e-9}},
	})
	want := Estimates{
		RunTimes:  []RunTimeEstimate{{Queue: "a", Ratio: ratioMax, Samples: seenMost}},
		Pressures: []PressureEstimate{{"f", "s", pressureMost}, {"f2", "s", pressureLeast}},
	}
	if diff := cmp.Diff(want, r.m.Estimates()); diff != "" {
		t.Errorf("lessons (-want +got):\n%s", diff)
	}
	if e := r.m.expected("b", &workload.Step{EstimateMS: 1000}); e != time.Second {
		t.Errorf("a bad ratio was taken in: %v", e)
	}
}
