package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// The closure of a worker with more than 33 consecutive failures overflowed, and it was open
// while it went on failing.
func TestClosureOverflowsAfterMinutesOfFailures(t *testing.T) {
	r := failingRig(t)
	for i := range 80 {
		for !r.isOpen() {
			r.now += 100 * time.Millisecond
			r.report("w1", workload.Report{})
		}
		r.addJob(fleet.JobID(fmt.Sprintf("k%d", i)), cpuStep(1, 100))
		var rep workload.Report
		for _, o := range r.planStarts() {
			rep.Ended = append(rep.Ended, r.endOf(o, workload.OutcomeFailed))
		}
		if len(rep.Ended) == 0 {
			t.Fatalf("nothing was started in round %d", i)
		}
		r.report("w1", rep)
		if left := r.m.workers["w1"].closedUntil - r.now; left < firstClosure {
			t.Fatalf("w1 is closed for %v after %d consecutive failures", left, r.m.workers["w1"].failureStreak)
		}
	}
}
