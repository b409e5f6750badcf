package owner

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/standin/wire"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// A timed job with many tasks must not stop the writes of other jobs: its progress outgrew
// a value of the store, which refused each transaction with it for good.
func TestOutgrownProgressStopsAllWrites(t *testing.T) {
	const (
		occurrences, tasks = 400, 100 // fewer than the 100,000 tasks that a job may have
		ended              = 390      // occurrences
		rounds             = 20
	)
	d, _ := testDispatcher(t)
	standIn, err := wire.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standIn.Close)
	s := platform.NewStore(standIn.Address())
	d.deps.Store = s
	if d.revision, err = s.Commit(store.Txn{Puts: []store.Put{{Key: intake.OwnerKey, Value: []byte("{}")}}}); err != nil {
		t.Fatal(err)
	}
	step := workload.Step{Count: tasks, Need: fleet.Resources{MilliCores: 10}, EstimateMS: 1000}
	large := workload.Job{ID: "large", Queue: "q", Repeats: occurrences, FirstMS: 1, IntervalMS: 100, Steps: []workload.Step{step}}
	if large.Validate() != nil {
		return // refused at the door
	}
	var progress workload.Progress
	for k := range ended {
		for i := range tasks {
			progress.Tasks = append(progress.Tasks, workload.TaskProgress{Occurrence: k, Index: i, Run: 101, Done: true, Confirmed: true})
		}
	}
	d.machine.AddJob(&large, workload.StateRunning, 0, progress, time.Second, true)
	step.Count = 1
	now := 2 * time.Second
	for round := range rounds {
		now += time.Second
		if round == rounds/2 {
			submit(t, d, s, workload.Job{ID: "small", Queue: "q", Steps: []workload.Step{step}})
		}
		d.machine.RenewalSent("w1", now)
		d.machine.WorkerReported("w1", workload.Report{StartedMS: 1}, now, now)
		d.machine.Plan(now, time.Now().UnixMilli())
		for _, o := range d.machine.TakeOrders() {
			d.machine.StartAnswered(o, dispatch.Accepted, now)
		}
		for more := true; more; {
			writes := d.machine.TakeWrites(store.MaxTxnEntries-1, now)
			failed := d.failedCommits.Load()
			if len(writes) > 0 {
				d.commit(writes)
			}
			more = len(writes) > 0 && d.failedCommits.Load() == failed
		}
	}
	e, err := s.Get(intake.StatePrefix + "small")
	if err != nil {
		t.Fatal(err)
	}
	var record intake.Record
	if err := json.Unmarshal(e.Value, &record); err != nil {
		t.Fatal(err)
	}
	if record.State != workload.StateRunning {
		t.Errorf("the small job is stored as %q after %d failed transactions, want %q", record.State, d.failedCommits.Load(), workload.StateRunning)
	}
	if d.failedCommits.Load() > 0 {
		t.Errorf("%d transactions in a row have failed", d.failedCommits.Load())
	}
}
