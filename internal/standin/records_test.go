package standin

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// A task finishes on one worker and then starts on another. That is a fault of
// the scheduler if a host was told of the end, or still could be.
func TestSecondRunAfterTheEnd(t *testing.T) {
	tests := map[string]struct {
		looks   int // renewals that list the end before the worker dies
		lost    int // of these, the first whose answers are lost
		dies    bool
		doubled bool
	}{
		"end told, worker lives":       {looks: 1, doubled: true},
		"end told, then worker died":   {looks: 1, dies: true, doubled: true},
		"end not told, worker lives":   {doubled: true},
		"worker died before any look":  {dies: true},
		"worker died, answer lost":     {looks: 1, lost: 1, dies: true},
		"told by the second of two":    {looks: 2, lost: 1, dies: true, doubled: true},
		"answer lost, worker lives on": {looks: 1, lost: 1, doubled: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			records := NewRecords()
			room := fleet.Resources{MilliCores: 4000, MemoryMB: 4000}
			worker := func(id fleet.WorkerID) *Worker {
				return NewWorker(inventory.Worker{ID: id, Capacity: room}, fleet.Resources{}, func(inventory.StartRequest) time.Duration { return time.Hour }, records)
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
			first.SetFaults(WorkerFaults{LoseReply: tt.lost})
			for n := range tt.looks {
				_, err := first.Renew(t.Context(), inventory.RenewRequest{Cell: "c", Token: 1, LeaseMS: 1000})
				if lost := n < tt.lost; lost != (err != nil) {
					t.Fatalf("renewal %d: %v", n, err)
				}
			}
			if tt.dies {
				first.Kill()
			}
			start(worker("w2"), 2)
			if got := len(records.Violations().RepeatedRuns) == 1; got != tt.doubled {
				t.Errorf("doubled %v, want %v", got, tt.doubled)
			}
		})
	}
}
