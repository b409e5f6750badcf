package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Runs that were throttled must not affect the run time estimates: target durations
// grow with the estimates, so jobs would seem to have more time on busier workers.
func TestSlowedRunsAffectRunTimeEstimates(t *testing.T) {
	tests := map[string]struct {
		cpuShare int
		want     float64 // run time relative to the estimate
	}{
		"at full pace": {cpuShare: fullCPUShare, want: 2},
		"slowed":       {cpuShare: 50, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "w1")
			r.addJob("a", bestEffortStep("f", 1, 1000))
			starts := r.planStarts()
			if len(starts) != 1 {
				t.Fatalf("started %d tasks, want 1", len(starts))
			}
			run := r.m.workers["w1"].runs[0]
			r.m.setCPUShare(run, tt.cpuShare)
			r.m.setCPUShare(run, fullCPUShare)
			r.now = run.orderedAt + 2*time.Second - 10*time.Millisecond
			r.report("w1", workload.Report{Ended: []workload.EndedRun{r.endOf(starts[0], workload.OutcomeDone)}})
			s := &r.m.jobs["a"].Steps[0]
			if got := r.m.expectedRunTime(testQueue, s).Seconds() / s.Estimate().Seconds(); got < tt.want*0.95 || got > tt.want*1.05 {
				t.Errorf("expected run time is %.2f of the estimate, want %.2f", got, tt.want)
			}
		})
	}
}
