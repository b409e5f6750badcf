package owner

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// The hosts of a site differ in memory, so that the next owner may have less than the one before.
// It holds the jobs that have runs and as many others as fit, and gets to all of them.
func TestTakeoverLosesJobsThatDoNotFit(t *testing.T) {
	const jobs, started = 60, 7 // job started has a run
	job := workload.Job{Queue: "q", Steps: []workload.Step{{Count: 1, Need: fleet.Resources{MilliCores: 100}, EstimateMS: 1000}}}
	for name, limitJobs := range map[string]int64{"a part fits": 10, "one fits": 1, "none fits": 0} {
		t.Run(name, func(t *testing.T) {
			d, s := testDispatcher(t)
			for i := range jobs {
				job.ID, job.AcceptedMS = fleet.JobID(fmt.Sprintf("%016x", i)), int64(i+1)
				body, err := json.Marshal(job)
				if err != nil {
					t.Fatal(err)
				}
				record := intake.Record{Queue: "q", State: workload.StateQueued, AcceptedMS: job.AcceptedMS, Bytes: dispatch.JobBytes(&job)}
				puts := []store.Put{{Key: intake.SubmissionPrefix + string(job.ID), Value: body}}
				if i == started {
					record.State = workload.StateRunning
					puts = append(puts, store.Put{Key: intake.ProgressPrefix + string(job.ID), Value: []byte(`{"t":[{"r":1,"w":"w1","a":true}]}`)})
				}
				puts = append(puts, store.Put{Key: intake.StatePrefix + string(job.ID), Value: record.Encode()})
				if _, err := s.Commit(store.Txn{Puts: puts}); err != nil {
					t.Fatal(err)
				}
			}
			limit := max(1, limitJobs*dispatch.JobBytes(&job))
			d.deps.Settings.Clients.JobBytes = limit
			d.machine = dispatch.New(dispatch.Limits{JobBytes: limit}, 2, steady.Now())
			d.machine.SetConfig(&workload.Config{Queues: []workload.Queue{{Name: "q", Service: testService, MaxAttempts: 3}}})
			if err := d.load(t.Context()); err != nil {
				t.Fatal(err)
			}
			if d.machine.Step(workload.TaskName{Job: fleet.JobID(fmt.Sprintf("%016x", started))}) == nil {
				t.Error("the job that has a run is not held")
			}
			if held, most := d.machine.HeldBytes(), max(limit, dispatch.JobBytes(&job)); held > most {
				t.Errorf("%d bytes are held, the limit is %d", held, most)
			}
			seen := make(map[fleet.JobID]bool)
			for range jobs {
				for i := range jobs {
					id := fleet.JobID(fmt.Sprintf("%016x", i))
					if d.machine.Step(workload.TaskName{Job: id}) == nil {
						continue
					}
					seen[id] = true
					d.machine.StateChanged(id, workload.StateCancelled, 1<<40, steady.Now()) // makes room
				}
				d.machine.WritesDone(d.machine.TakeWrites(1000, farFuture), 1<<40)
				for d.addHeldBack() {
				}
			}
			if len(seen) != jobs {
				t.Errorf("%d of %d jobs were held", len(seen), jobs)
			}
		})
	}
}
