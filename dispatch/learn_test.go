package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// A run that was held back tells nothing of how long its task takes by itself:
// jobs would seem to have more time the more the workers are pressed.
func TestSlowedRunsTeachRunTimes(t *testing.T) {
	tests := map[string]struct {
		pace int
		want float64 // run time to the estimate
	}{
		"at full pace": {pace: fullPace, want: 2},
		"held back":    {pace: 50, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "w1")
			r.job("a", fillingStep("f", 1, 1000))
			starts := r.starts()
			if len(starts) != 1 {
				t.Fatalf("started %d tasks, want 1", len(starts))
			}
			run := r.m.workers["w1"].runs[0]
			r.m.setPace(run, tt.pace)
			r.m.setPace(run, fullPace)
			r.now = run.ordered + 2*time.Second - 10*time.Millisecond
			r.report("w1", workload.Report{Ended: []workload.EndedRun{r.ended(starts[0], workload.OutcomeDone)}})
			s := &r.m.jobs["a"].Steps[0]
			if got := r.m.expected(testQueue, s).Seconds() / s.Estimate().Seconds(); got < tt.want*0.95 || got > tt.want*1.05 {
				t.Errorf("run time is taken for %.2f of the estimate, want %.2f", got, tt.want)
			}
		})
	}
}
