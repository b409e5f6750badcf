package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/mirror"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/store/storetest"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// farFuture is a time at which every pending change is due to be written.
const farFuture = time.Hour

const testService = fleet.Service("service-1")

// testDispatcher returns a dispatcher over an in-memory store, with one worker
// that holds a lease.
func testDispatcher(t *testing.T) (*dispatcher, *storetest.Memory) {
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
	d := newDispatcher(o, 1, revision, lease, 0)
	d.cancel = func() {}
	d.authorityEnd.Store(int64(steady.Now() + time.Hour))
	d.machine.SetConfig(&workload.Config{Queues: []workload.Queue{{Name: "q", Service: testService, MaxAttempts: 3}}})
	d.machine.SetWorker(workload.Worker{ID: "w1", StartedMS: 1, Service: testService, Capacity: fleet.Resources{MilliCores: 8000, MemoryMB: 8000}}, time.Second)
	d.storeRecords(t)
	d.machine.RenewalSent("w1", time.Second)
	d.machine.WorkerReported("w1", workload.Report{StartedMS: 1}, time.Second, time.Second)
	return d, s
}

// replaceStore replaces the store behind that of the term.
func (d *dispatcher) replaceStore(s store.Transactional) {
	d.deps.Store.(*termStore).Transactional = s
}

// storeRecords stores the records of workers that are due.
func (d *dispatcher) storeRecords(t *testing.T) {
	t.Helper()
	if writes := d.machine.TakeWorkerWrites(store.MaxTxnEntries-1, time.Second); len(writes) > 0 {
		d.commitRecords(t.Context(), writes)
	}
}

func submit(t *testing.T, d *dispatcher, s store.Transactional, job workload.Job) {
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
	d.handleSubmissionChange(store.Event{Entry: store.Entry{Key: intake.SubmissionPrefix + string(job.ID), Value: body, Revision: revision}})
}

func (d *dispatcher) commitAll() {
	if writes := d.machine.TakeWrites(10*4, farFuture); len(writes) > 0 {
		d.commit(writes)
	}
}

// Guards against lost progress after a commit whose response is lost. The commit
// has written the state, so the next one conflicts with it; task ends reported
// in between must still be stored before the worker may discard them.
func TestProgressAfterLostAnswerIsWritten(t *testing.T) {
	d, s := testDispatcher(t)
	submit(t, d, s, workload.Job{ID: "a", Queue: "q", Steps: []workload.Step{{Count: 2, Need: fleet.Resources{MilliCores: 100}, EstimateMS: 1000}}})
	d.machine.Plan(2*time.Second, 0)
	orders := d.machine.TakeOrders()
	if len(orders) != 2 {
		t.Fatalf("orders %+v, want two starts", orders)
	}
	s.SetFault(storetest.FaultLostResponse)
	d.commitAll()
	s.SetFault(storetest.FaultNone)
	end := workload.EndedRun{Sequence: 1, Task: orders[0].Task, Run: orders[0].Run, Outcome: workload.OutcomeDone}
	d.machine.WorkerReported("w1", workload.Report{StartedMS: 1, Ended: []workload.EndedRun{end}}, 2*time.Second, 2*time.Second)
	for range 3 {
		d.commitAll()
	}
	if seen := d.machine.AcknowledgedEnd("w1"); seen != 1 {
		t.Fatalf("worker may discard ends up to number %d, want 1", seen)
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
	for _, r := range p.Done {
		done += r.Count
	}
	if done != 1 {
		t.Fatalf("%d tasks stored as done, want 1: %s", done, e.Value)
	}
}

// Guards against a delayed commit that overwrites newer progress. A commit whose
// response was lost may be applied seconds later, after a newer one.
func TestLateCommitDoesNotReplaceProgress(t *testing.T) {
	d, s := testDispatcher(t)
	submit(t, d, s, workload.Job{ID: "a", Queue: "q", Steps: []workload.Step{{Count: 2, Need: fleet.Resources{MilliCores: 100}, EstimateMS: 1000}}})
	d.machine.Plan(2*time.Second, 0)
	orders := d.machine.TakeOrders()
	d.commitAll()
	first := workload.EndedRun{Sequence: 1, Task: orders[0].Task, Run: orders[0].Run, Outcome: workload.OutcomeFailed}
	d.machine.WorkerReported("w1", workload.Report{StartedMS: 1, Ended: []workload.EndedRun{first}}, 2*time.Second, 2*time.Second)
	late := d.machine.TakeWrites(31, farFuture)
	lateTxn, err := d.transaction(late)
	if err != nil {
		t.Fatal(err)
	}
	d.machine.WritesFailed(late) // no response
	second := workload.EndedRun{Sequence: 2, Task: orders[1].Task, Run: orders[1].Run, Outcome: workload.OutcomeDone}
	d.machine.WorkerReported("w1", workload.Report{StartedMS: 1, Ended: []workload.EndedRun{second}}, 2*time.Second, 2*time.Second)
	d.commitAll()
	if seen := d.machine.AcknowledgedEnd("w1"); seen != 2 {
		t.Fatalf("worker may discard ends up to number %d, want 2", seen)
	}
	var conflict *store.TxnConflictError
	if _, err := s.Commit(lateTxn); !errors.As(err, &conflict) {
		t.Fatalf("delayed commit: error %v, want a conflict", err)
	}
}

// A commit by a former owner is refused and stops its dispatcher.
func TestCommitNeedsOwnership(t *testing.T) {
	d, s := testDispatcher(t)
	submit(t, d, s, workload.Job{ID: "a", Queue: "q", Steps: []workload.Step{{Count: 1, EstimateMS: 1000}}})
	d.machine.Plan(2*time.Second, 0)
	ended := false
	d.cancel = func() { ended = true }
	s.ExpireLease(d.lease)
	d.commitAll()
	if _, err := s.Get(intake.ProgressPrefix + "a"); err == nil {
		t.Fatal("progress was written without ownership")
	}
	if !ended {
		t.Fatal("dispatching continues without ownership")
	}
	if dirty := len(d.machine.TakeWrites(31, farFuture)); dirty != 1 {
		t.Fatalf("%d jobs pending to be written, want 1", dirty)
	}
}

// A new owner must load the workers of all pages before it checks whether every
// worker has reported its running tasks.
func TestLoadIncludesAllWorkerPages(t *testing.T) {
	d, s := testDispatcher(t)
	const workers = 120 // several pages
	for i := range workers {
		value := `{"service":"service-1","address":"127.0.0.1:1","zone":"dc-1","state":"ready","capacity":{"cpu":1000},"born":1}`
		if _, err := s.Commit(store.Txn{Puts: []store.Put{{Key: fmt.Sprintf("%s%03d", platform.WorkerPrefix, i), Value: []byte(value)}}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.load(t.Context()); err != nil {
		t.Fatal(err)
	}
	if total, _ := d.machine.CountReporting(0); total != workers+1 {
		t.Fatalf("%d workers known after the load, want %d", total, workers+1)
	}
}

// Jobs are deleted once their retention time after the end has passed; others
// are kept.
func TestSweepForgetsEndedJobs(t *testing.T) {
	d, s := testDispatcher(t)
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
	go func() { _ = d.deps.Shared.Serve(ctx) }() // ends with ctx
	for {
		if _, loaded := d.deps.Shared.LastSync(); loaded {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if keys := d.keysEndedBefore(now); len(keys) != 1 || keys[0] != intake.StatePrefix+"old" {
		t.Fatalf("keys to delete: %v, want only the old one", keys)
	}
}

// Commits back off while the store fails.
func TestCommitsBackOff(t *testing.T) {
	d, s := testDispatcher(t)
	for i := range 400 {
		submit(t, d, s, workload.Job{ID: fleet.JobID(fmt.Sprintf("j%d", i)), Queue: "q", Steps: []workload.Step{{Count: 1, EstimateMS: 1000}}})
	}
	d.machine.Plan(2*time.Second, 0)
	s.SetFault(storetest.FaultDown)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	d.commitLoop(ctx)
	if failed := d.failedCommits.Load(); failed == 0 || failed > 20 {
		t.Fatalf("%d commits failed in one second, want between 1 and 20", failed)
	}
}

// TestWorkerRecordKeepsItsKeys guards against a renamed field: worker records are
// stored as JSON, mostly under their field names, so another key would lose the value when
// an owner of a newer build reads the record of an older one, or the reverse.
func TestWorkerRecordKeepsItsKeys(t *testing.T) {
	record := dispatch.WorkerRecord{
		Worker: workload.Worker{
			ID: "w1", StartedMS: 1700000000123, Service: testService, Address: "10.0.0.1:7500", DataCentre: "dc-1",
			Labels: []string{"ssd"}, Rack: "r1-1", Capacity: fleet.Resources{MilliCores: 8000, MemoryMB: 16000, Accelerators: 2}, Draining: true,
		},
		WorkerMarks: dispatch.WorkerMarks{Closed: true, UnreachedSince: 3, LeaseEnd: dispatch.LeaseEnd{Term: 2, AfterMS: 5500, OrdersAfterMS: 13000}, Unanswered: dispatch.UnansweredEnd{Term: 4, AfterMS: 16000}},
	}
	for _, v := range []reflect.Value{reflect.ValueOf(record), reflect.ValueOf(record.Worker), reflect.ValueOf(record.WorkerMarks), reflect.ValueOf(record.LeaseEnd), reflect.ValueOf(record.Unanswered), reflect.ValueOf(record.Capacity)} {
		for i := range v.NumField() {
			if v.Field(i).IsZero() {
				t.Errorf("%s.%s is not set: the test must cover every field", v.Type(), v.Type().Field(i).Name)
			}
		}
	}

	var fields map[string]json.RawMessage
	if err := json.Unmarshal(encodeWorkerRecord(record), &fields); err != nil {
		t.Fatal(err)
	}
	want := []string{"Address", "BornMS", "Capacity", "DataCentre", "Draining", "ID", "Labels", "LeaseEnd", "Quiet", "Rack", "Service", "Unanswered", "Unreached"}
	if keys := slices.Sorted(maps.Keys(fields)); !slices.Equal(keys, want) {
		t.Errorf("record has the keys %v, want %v", keys, want)
	}

	const stored = `{"ID":"w1","BornMS":1700000000123,"Service":"service-1","Address":"10.0.0.1:7500","DataCentre":"dc-1",` +
		`"Labels":["ssd"],"Rack":"r1-1","Capacity":{"milli_cores":8000,"memory_mb":16000,"accelerators":2},"Draining":true,"Quiet":true,"Unreached":3,"LeaseEnd":{"Term":2,"AfterMS":5500,"OrdersAfterMS":13000},"Unanswered":{"Term":4,"AfterMS":16000}}`
	var decoded dispatch.WorkerRecord
	if err := json.Unmarshal([]byte(stored), &decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, record) {
		t.Errorf("stored record decodes to %+v, want %+v", decoded, record)
	}
}
