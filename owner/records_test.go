package owner

import (
	"errors"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/store/storetest"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// The record of a worker is stored, but the answer to the write is lost, or every
// answer is. The worker gets work if and only if the owner knows of the record.
func TestLostAnswerToRecordOfWorker(t *testing.T) {
	tests := map[string]struct {
		fault    storetest.Fault
		recovers bool // after the first attempt
		starts   int
	}{
		"answer lost":         {storetest.FaultLostResponse, true, 1},
		"request lost":        {storetest.FaultLostRequest, true, 1},
		"all answers lost":    {storetest.FaultLostResponse, false, 0},
		"all requests lost":   {storetest.FaultLostRequest, false, 0},
		"down and back later": {storetest.FaultDown, true, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, s := testDispatcher(t)
			d.machine.WorkerGone("w1", time.Second)
			d.machine.SetWorker(workload.Worker{ID: "w2", StartedMS: 1, Service: testService, Capacity: fleet.Resources{MilliCores: 8000, MemoryMB: 8000}}, time.Second)
			d.machine.RenewalSent("w2", 2*time.Second)
			d.machine.WorkerReported("w2", workload.Report{StartedMS: 1}, 2*time.Second, 2*time.Second)
			writes := d.machine.TakeWorkerWrites(store.MaxTxnEntries-1, time.Second)
			if len(writes) != 1 || writes[0].ID != "w2" {
				t.Fatalf("writes %v, want the record of w2", writes)
			}
			faulty := &faultyStore{Transactional: s, memory: s, fault: tt.fault, always: !tt.recovers}
			d.replaceStore(faulty)
			began := steady.Now()
			d.commitRecords(t.Context(), writes)
			if took := steady.Now() - began; tt.starts > 0 && took > 2*recordRetryDelay {
				t.Errorf("settled after %v, want at most %v", took, 2*recordRetryDelay)
			}
			s.SetFault(storetest.FaultNone)
			submit(t, d, s, workload.Job{ID: "a", Queue: "q", Steps: []workload.Step{{Count: 1, Need: fleet.Resources{MilliCores: 100}, EstimateMS: 1000}}})
			d.machine.Plan(2*time.Second, 0)
			if orders := d.machine.TakeOrders(); len(orders) != tt.starts {
				t.Fatalf("orders %v, want %d", orders, tt.starts)
			}
			if tt.starts == 0 {
				return
			}
			if _, err := s.Get(intake.WorkerPrefix + "w2"); err != nil {
				t.Errorf("record of w2: %v", err)
			}
		})
	}
}

// faultyStore fails the first commit, or all of them.
type faultyStore struct {
	store.Transactional
	memory *storetest.Memory
	fault  storetest.Fault
	always bool
}

func (f *faultyStore) Commit(txn store.Txn) (store.Revision, error) {
	f.memory.SetFault(f.fault)
	if !f.always {
		f.fault = storetest.FaultNone
		return f.memory.Commit(txn)
	}
	var conflict *store.TxnConflictError
	revision, err := f.memory.Commit(txn)
	if errors.As(err, &conflict) {
		return 0, &store.UnknownOutcomeError{Op: "commit", Cause: storetest.ErrInjected}
	}
	return revision, err
}

// An owner that can't renew its lease still follows the submissions. A job that was
// accepted under the next owner is new there and waits for no worker, so that the former
// owner must not start it.
func TestFormerOwnerStartsJobAcceptedUnderTheNext(t *testing.T) {
	d, s := testDispatcher(t)
	d.authorityEnd.Store(int64(steady.Now()))
	submit(t, d, s, workload.Job{ID: "a", Queue: "q", Steps: []workload.Step{{Count: 1, Need: fleet.Resources{MilliCores: 100}, EstimateMS: 1000}}})
	d.machine.Plan(2*time.Second, 0)
	if orders := d.machine.TakeOrders(); len(orders) > 0 {
		t.Fatalf("orders %v while another host could be the owner", orders)
	}
	d.releaseWithheld() // the lease has been renewed
	d.machine.Plan(2*time.Second, 0)
	if orders := d.machine.TakeOrders(); len(orders) != 1 {
		t.Fatalf("orders %v once the lease was renewed, want a start", orders)
	}
}
