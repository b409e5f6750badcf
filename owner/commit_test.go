package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/mirror"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/store/storetest"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// later is a time at which every change is due to be written.
const later = time.Hour

const testService = fleet.Service("service-1")

// testReign returns a reign over a store in memory, with one worker that has
// a lease.
func testReign(t *testing.T) (*reign, *storetest.Memory) {
	t.Helper()
	s := storetest.NewMemory()
	log := func(name string, keyvals ...any) { t.Log(append([]any{name}, keyvals...)...) }
	shared := mirror.New(s, intake.SharedPrefix, 0, func(store.Event) {}, log)
	o := New(Deps{Settings: &platform.Settings{Host: "h1", MaxTaskLease: 6 * time.Second}, Store: s, Shared: shared, Log: log, Metrics: NewMetrics()})
	lease, err := s.Grant(ownerTTL)
	if err != nil {
		t.Fatal(err)
	}
	revision, err := s.Commit(store.Txn{Puts: []store.Put{{Key: intake.OwnerKey, Value: []byte("{}"), Lease: lease}}})
	if err != nil {
		t.Fatal(err)
	}
	r := newReign(o, 1, revision, lease, 0)
	r.cancel = func() {}
	r.machine.SetConfig(&workload.Config{Queues: []workload.Queue{{Name: "q", Service: testService, MaxAttempts: 3}}})
	r.machine.SetWorker(workload.Worker{ID: "w1", StartedMS: 1, Service: testService, Capacity: fleet.Resources{MilliCores: 8000, MemoryMB: 8000}}, time.Second)
	r.machine.RenewalSent("w1", time.Second)
	r.machine.WorkerReported("w1", workload.Report{StartedMS: 1}, time.Second, time.Second)
	return r, s
}

func submit(t *testing.T, r *reign, s store.Transactional, job workload.Job) {
	t.Helper()
	body, err := json.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	state := intake.Record{Queue: job.Queue, State: workload.StateQueued}
	revision, err := s.Commit(store.Txn{Puts: []store.Put{
		{Key: intake.StatePrefix + string(job.ID), Value: state.Encode()}, {Key: intake.SubmissionPrefix + string(job.ID), Value: body},
	}})
	if err != nil {
		t.Fatal(err)
	}
	r.bodyChanged(store.Event{Entry: store.Entry{Key: intake.SubmissionPrefix + string(job.ID), Value: body, Revision: revision}})
}

func (r *reign) commitAll() {
	if writes := r.machine.TakeWrites(10*4, later); len(writes) > 0 {
		r.commit(writes)
	}
}

// A commit whose answer is lost has written the state, and what changed
// meanwhile is not durable yet: the next commit meets its own state and must
// still write the tasks' progress before a worker forgets an end.
func TestProgressAfterLostAnswerIsWritten(t *testing.T) {
	r, s := testReign(t)
	submit(t, r, s, workload.Job{ID: "a", Queue: "q", Steps: []workload.Step{{Count: 2, Need: fleet.Resources{MilliCores: 100}, EstimateMS: 1000}}})
	r.machine.Plan(2*time.Second, 0)
	orders := r.machine.TakeOrders()
	if len(orders) != 2 {
		t.Fatalf("orders %+v, want two starts", orders)
	}
	s.SetFault(storetest.FaultLostResponse)
	r.commitAll()
	s.SetFault(storetest.FaultNone)
	end := workload.EndedRun{Sequence: 1, Task: orders[0].Task, Run: orders[0].Run, Outcome: workload.OutcomeDone}
	r.machine.WorkerReported("w1", workload.Report{StartedMS: 1, Ended: []workload.EndedRun{end}}, 2*time.Second, 2*time.Second)
	for range 3 {
		r.commitAll()
	}
	if seen := r.machine.AcknowledgedEnd("w1"); seen != 1 {
		t.Fatalf("the worker may forget ends up to %d, want 1", seen)
	}
	e, err := s.Get(intake.ProgressPrefix + "a")
	if err != nil {
		t.Fatal(err)
	}
	var p workload.Progress
	if err := json.Unmarshal(e.Value, &p); err != nil {
		t.Fatal(err)
	}
	done := 0
	for _, task := range p.Tasks {
		if task.Done {
			done++
		}
	}
	if done != 1 {
		t.Fatalf("%d tasks are stored as done, want 1: %s", done, e.Value)
	}
}

// A commit whose answer was lost may be carried out seconds later, after a
// newer one: it must not bring back older progress.
func TestLateCommitDoesNotReplaceProgress(t *testing.T) {
	r, s := testReign(t)
	submit(t, r, s, workload.Job{ID: "a", Queue: "q", Steps: []workload.Step{{Count: 2, Need: fleet.Resources{MilliCores: 100}, EstimateMS: 1000}}})
	r.machine.Plan(2*time.Second, 0)
	orders := r.machine.TakeOrders()
	r.commitAll()
	first := workload.EndedRun{Sequence: 1, Task: orders[0].Task, Run: orders[0].Run, Outcome: workload.OutcomeFailed}
	r.machine.WorkerReported("w1", workload.Report{StartedMS: 1, Ended: []workload.EndedRun{first}}, 2*time.Second, 2*time.Second)
	late := r.machine.TakeWrites(31, later)
	lateTxn, err := r.transaction(late)
	if err != nil {
		t.Fatal(err)
	}
	r.machine.WritesFailed(late) // no answer
	second := workload.EndedRun{Sequence: 2, Task: orders[1].Task, Run: orders[1].Run, Outcome: workload.OutcomeDone}
	r.machine.WorkerReported("w1", workload.Report{StartedMS: 1, Ended: []workload.EndedRun{second}}, 2*time.Second, 2*time.Second)
	r.commitAll()
	if seen := r.machine.AcknowledgedEnd("w1"); seen != 2 {
		t.Fatalf("the worker may forget ends up to %d, want 2", seen)
	}
	var conflict *store.TxnConflictError
	if _, err := s.Commit(lateTxn); !errors.As(err, &conflict) {
		t.Fatalf("the late commit was carried out: error %v", err)
	}
}

// A commit of a former owner is refused, and ends its dispatching.
func TestCommitNeedsOwnership(t *testing.T) {
	r, s := testReign(t)
	submit(t, r, s, workload.Job{ID: "a", Queue: "q", Steps: []workload.Step{{Count: 1, EstimateMS: 1000}}})
	r.machine.Plan(2*time.Second, 0)
	ended := false
	r.cancel = func() { ended = true }
	s.ExpireLease(r.lease)
	r.commitAll()
	if _, err := s.Get(intake.ProgressPrefix + "a"); err == nil {
		t.Fatal("progress was written without ownership")
	}
	if !ended {
		t.Fatal("dispatching goes on without ownership")
	}
	if dirty := len(r.machine.TakeWrites(31, later)); dirty != 1 {
		t.Fatalf("%d jobs wait to be written, want 1", dirty)
	}
}

// A new owner knows all workers before it judges whether all have shown what
// they hold, though their entries come in pages.
func TestLoadKnowsAllWorkers(t *testing.T) {
	r, s := testReign(t)
	const workers = 120 // several pages
	for i := range workers {
		value := `{"service":"service-1","address":"127.0.0.1:1","zone":"dc-1","state":"ready","capacity":{"cpu":1000},"born":1}`
		if _, err := s.Commit(store.Txn{Puts: []store.Put{{Key: fmt.Sprintf("%s%03d", platform.WorkerPrefix, i), Value: []byte(value)}}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.load(); err != nil {
		t.Fatal(err)
	}
	if total, _ := r.machine.CountReporting(0); total != workers+1 {
		t.Fatalf("%d workers are known after the load, want %d", total, workers+1)
	}
}

// Ended jobs are forgotten after the time they have to be known; others stay.
func TestSweepForgetsEndedJobs(t *testing.T) {
	r, s := testReign(t)
	now := time.UnixMilli(1_000_000)
	for key, record := range map[string]intake.Record{
		"old":     {State: workload.StateCompleted, EndedMS: now.UnixMilli() - 1},
		"recent":  {State: workload.StateFailed, EndedMS: now.UnixMilli() + 1},
		"running": {State: workload.StateRunning},
	} {
		if _, err := s.Commit(store.Txn{Puts: []store.Put{{Key: intake.StatePrefix + key, Value: record.Encode()}}}); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = r.deps.Shared.Serve(ctx) }() // ends with ctx
	for {
		if _, loaded := r.deps.Shared.LastSync(); loaded {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if keys := r.endedBefore(now); len(keys) != 1 || keys[0] != intake.StatePrefix+"old" {
		t.Fatalf("to be forgotten: %v, want the old one", keys)
	}
}

// While the store fails, commits are not repeated without a pause.
func TestCommitsBackOff(t *testing.T) {
	r, s := testReign(t)
	for i := range 400 {
		submit(t, r, s, workload.Job{ID: fleet.JobID(fmt.Sprintf("j%d", i)), Queue: "q", Steps: []workload.Step{{Count: 1, EstimateMS: 1000}}})
	}
	r.machine.Plan(2*time.Second, 0)
	s.SetFault(storetest.FaultDown)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	r.commitLoop(ctx)
	if failed := r.failures.Load(); failed == 0 || failed > 20 {
		t.Fatalf("%d commits failed in a second, want some, and 20 at most", failed)
	}
}
