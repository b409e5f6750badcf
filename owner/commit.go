package owner

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// commitWorkers makes the set of workers durable.
func (r *reign) commitWorkers() {
	r.mu.Lock()
	writes := r.machine.TakeWorkerWrites(store.MaxTxnEntries-1, steady.Now())
	r.mu.Unlock()
	if len(writes) == 0 {
		return
	}
	txn := store.Txn{Checks: []store.Check{{Key: intake.OwnerKey, Revision: r.revision}}}
	for _, w := range writes {
		key := intake.WorkerPrefix + string(w.ID)
		txn.Checks = append(txn.Checks, store.Check{Key: key, Revision: w.Revision})
		if w.Delete {
			txn.Deletes = append(txn.Deletes, key)
			continue
		}
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: encodeKnown(w.WorkerRecord)})
	}
	revision, err := r.deps.Store.Commit(txn)
	if err != nil {
		r.deps.Log("commit_failed", "workers", len(writes), "err", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.machine.WorkerWritesDone(writes, revision)
		return
	}
	r.machine.WorkerWritesFailed(writes, revisionsOf(err, writes))
}

// revisionsOf returns the present revisions of the workers' keys if a
// transaction failed because some of them had changed.
func revisionsOf(err error, writes []dispatch.WorkerWrite) map[fleet.WorkerID]store.Revision {
	var conflict *store.TxnConflictError
	if !errors.As(err, &conflict) {
		return nil
	}
	current := make(map[fleet.WorkerID]store.Revision, len(writes))
	for _, w := range writes {
		current[w.ID] = conflict.At(intake.WorkerPrefix + string(w.ID)).Revision
	}
	return current
}

// encodeKnown returns the value of a worker's record.
func encodeKnown(w dispatch.WorkerRecord) []byte {
	value, err := json.Marshal(w)
	if err != nil {
		panic("owner: worker: " + err.Error()) // strings and numbers always encode
	}
	return value
}

// commitLoop makes what the machine has decided durable.
func (r *reign) commitLoop(ctx context.Context) {
	slots := make(chan struct{}, commitsInFlight)
	for wait.For(ctx, r.commitPause()) == nil {
		r.commitWorkers()
		for more := true; more && ctx.Err() == nil; {
			r.mu.Lock()
			writes := r.machine.TakeWrites(store.MaxTxnEntries-1, steady.Now())
			if len(writes) == 0 {
				r.machine.WritesDone(nil, 0) // ends of unknown jobs need no write
			}
			r.mu.Unlock()
			if len(writes) == 0 {
				break
			}
			// A store that fails gets one transaction at a time.
			more = r.failures.Load() == 0
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				r.commit(writes)
			}()
		}
	}
}

// commitPause is how long to gather before the next transactions: longer
// after some have failed, as refused calls are priced too.
func (r *reign) commitPause() time.Duration {
	return commitInterval << min(r.failures.Load(), commitBackoffMost)
}

// commitBackoffMost bounds the doublings of commitInterval to 480 ms, within
// an ack's time.
const commitBackoffMost = 4

// commit writes what belongs to some jobs, under the condition that this host
// still owns dispatching.
func (r *reign) commit(writes []dispatch.Write) {
	txn, err := r.transaction(writes)
	if err != nil {
		r.deps.Log("commit_failed", "jobs", len(writes), "err", err)
		return
	}
	began := steady.Now()
	revision, err := r.deps.Store.Commit(txn)
	r.deps.Metrics.Observe("commit", steady.Now()-began)
	var conflict *store.TxnConflictError
	errors.As(err, &conflict)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.failures.Store(0)
		r.machine.WritesDone(writes, revision)
		return
	}
	r.machine.WritesFailed(writes)
	if conflict == nil {
		r.failures.Add(1)
	}
	r.deps.Log("commit_failed", "jobs", len(writes), "age", steady.Now()-began, "err", err)
	if conflict == nil {
		return
	}
	if conflict.At(intake.OwnerKey).Revision != r.revision {
		r.end("the owner's key has changed")
		return
	}
	for _, e := range conflict.Current {
		if id, ok := strings.CutPrefix(e.Key, intake.ProgressPrefix); ok {
			r.machine.ProgressStored(fleet.JobID(id), e.Revision)
		}
		if id, ok := intake.JobIDFromKey(e.Key); ok {
			if record, err := intake.DecodeRecord(e.Value); err == nil {
				r.machine.StateChanged(id, record.State, e.Revision, steady.Now())
			}
		}
	}
}

func (r *reign) transaction(writes []dispatch.Write) (store.Txn, error) {
	txn := store.Txn{Checks: []store.Check{{Key: intake.OwnerKey, Revision: r.revision}}}
	for _, w := range writes {
		id := string(w.Job)
		if w.StateChanged {
			record := intake.Record{Queue: w.Queue, State: w.State, AcceptedMS: w.AcceptedMS}
			if w.State.Final() {
				record.EndedMS = time.Now().UnixMilli()
			}
			txn.Checks = append(txn.Checks, store.Check{Key: intake.StatePrefix + id, Revision: w.Revision})
			txn.Puts = append(txn.Puts, store.Put{Key: intake.StatePrefix + id, Value: record.Encode()})
		}
		if w.State.Final() {
			txn.Deletes = append(txn.Deletes, intake.SubmissionPrefix+id, intake.ProgressPrefix+id)
			continue
		}
		value, err := json.Marshal(w.Progress)
		if err != nil {
			return txn, err
		}
		txn.Checks = append(txn.Checks, store.Check{Key: intake.ProgressPrefix + id, Revision: w.ProgressRevision})
		txn.Puts = append(txn.Puts, store.Put{Key: intake.ProgressPrefix + id, Value: value})
	}
	return txn, nil
}
