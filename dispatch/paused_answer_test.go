package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// A process that was paused reads the answers that arrived meanwhile when it wakes. They do not
// show that the workers accept this owner now.
func TestAnswerReadAfterPauseCountsAsRecent(t *testing.T) {
	r := newRig(t, "w1", "w2")
	r.now += time.Minute
	sent := r.now
	r.now += 4 * time.Second // paused
	for _, w := range r.m.workerList {
		r.m.WorkerReported(w.ID, workload.Report{StartedMS: 1}, sent, r.now)
	}
	if total, reported := r.m.CountReporting(r.now - 2*time.Second); total != 2 || reported != 0 {
		t.Errorf("%d of %d workers count as answering, want none of 2", reported, total)
	}
}
