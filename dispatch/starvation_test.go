package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Jobs past three times their target waited for all others like them with a lower ID.
func TestExpiredJobWaitsForAllOfLowerID(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(40, 1000))
	r.addJob("b", cpuStep(1, 1000))
	r.now += time.Minute
	r.report("w1", workload.Report{})
	working := r.planStarts()
	for ended := 0; ; ended++ {
		if slices.ContainsFunc(working, func(o Order) bool { return o.Task.Job == "b" }) {
			return
		}
		if ended > 4 {
			t.Fatalf("job b waits after %d tasks of job a have ended", ended)
		}
		rep := workload.Report{Ended: []workload.EndedRun{r.endOf(working[0], workload.OutcomeDone)}}
		working = working[1:]
		for _, o := range working {
			rep.Running = append(rep.Running, runningOf(o))
		}
		r.report("w1", rep)
		working = append(working, r.planStarts()...)
	}
}
