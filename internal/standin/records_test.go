package standin

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// A task finishes on one worker and then starts on another. That is a fault of
// the scheduler if the end was reported to a host, or still can be.
func TestSecondRunAfterFinish(t *testing.T) {
	tests := map[string]struct {
		renewals    int // renewals that report the end before the worker dies
		lostReplies int // how many of these, from the first, lose their reply
		workerDies  bool
		repeated    bool
	}{
		"end reported, worker alive":     {renewals: 1, repeated: true},
		"end reported, then worker died": {renewals: 1, workerDies: true, repeated: true},
		"end not reported, worker alive": {repeated: true},
		"worker died before any renewal": {workerDies: true},
		"worker died, reply lost":        {renewals: 1, lostReplies: 1, workerDies: true},
		"reported by the second renewal": {renewals: 2, lostReplies: 1, workerDies: true, repeated: true},
		"reply lost, worker alive":       {renewals: 1, lostReplies: 1, repeated: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			records := NewRecords()
			capacity := fleet.Resources{MilliCores: 4000, MemoryMB: 4000}
			worker := func(id fleet.WorkerID) *Worker {
				return NewWorker(inventory.Worker{ID: id, Capacity: capacity}, fleet.Resources{}, func(inventory.StartRequest) time.Duration { return time.Hour }, records)
			}
			start := func(w *Worker, n fleet.Attempt) {
				_, err := w.Start(t.Context(), inventory.StartRequest{
					Cell: "c", Token: 1, Task: "job/0", Attempt: n, Resources: fleet.Resources{MilliCores: 1000},
					LeaseMS: time.Hour.Milliseconds(), DeadlineMS: time.Now().Add(time.Hour).UnixMilli(),
				})
				if err != nil {
					t.Fatal(err)
				}
			}
			first := worker("w1")
			start(first, 1)
			first.mu.Lock()
			first.finish(first.runs[inventory.AttemptRef{Task: "job/0", Attempt: 1}], inventory.TaskFinished, "")
			first.mu.Unlock()
			first.SetFaults(WorkerFaults{LoseReply: tt.lostReplies})
			for n := range tt.renewals {
				_, err := first.Renew(t.Context(), inventory.RenewRequest{Cell: "c", Token: 1, LeaseMS: 1000})
				if lost := n < tt.lostReplies; lost != (err != nil) {
					t.Fatalf("renewal %d: %v", n, err)
				}
			}
			if tt.workerDies {
				first.Kill()
			}
			start(worker("w2"), 2)
			if got := len(records.Violations().RepeatedRuns) == 1; got != tt.repeated {
				t.Errorf("repeated run recorded: %v, want %v", got, tt.repeated)
			}
		})
	}
}
