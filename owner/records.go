package owner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// maxRecordCommitsInFlight bounds the concurrent transactions of worker records, of
	// 15 workers each. Together with maxRecordAttempts it takes up to half of the
	// connections to the store if no call is answered.
	maxRecordCommitsInFlight = 8
	// recordRetryDelay is the time without an answer after which a transaction of
	// worker records is sent again, as workers get no work before it is known to be
	// executed. The store usually takes 15 ms, a slow one up to 240 ms.
	recordRetryDelay = 120 * time.Millisecond
	// maxRecordAttempts bounds how often it is sent.
	maxRecordAttempts = 4
)

// recordLoop stores the records of workers.
func (d *dispatcher) recordLoop(ctx context.Context) {
	slots := make(chan struct{}, maxRecordCommitsInFlight)
	for wait.For(ctx, d.recordCommitDelay()) == nil {
		for more := true; more && ctx.Err() == nil; {
			slots <- struct{}{}
			d.mu.Lock()
			writes := d.machine.TakeWorkerWrites(store.MaxTxnEntries-1, steady.Now())
			d.mu.Unlock()
			if len(writes) == 0 {
				<-slots
				break
			}
			// While the store fails, send one transaction at a time.
			more = d.failedRecordCommits.Load() == 0
			go func() {
				defer func() { <-slots }()
				d.commitRecords(ctx, writes)
			}()
		}
	}
}

// recordCommitDelay is commitDelay for worker records.
func (d *dispatcher) recordCommitDelay() time.Duration {
	return commitInterval << min(d.failedRecordCommits.Load(), maxCommitBackoffShift)
}

// commitRecords stores changes of worker records, on condition that this host still
// owns dispatching. Records that the store refuses for their content are held back.
func (d *dispatcher) commitRecords(ctx context.Context, writes []dispatch.WorkerWrite) {
	commit := func(writes []dispatch.WorkerWrite) error { return d.commitWorkers(ctx, writes) }
	store.CommitDivided(writes, commit, d.workerWriteRefused)
}

// commitWorkers stores changes of worker records in one transaction, and returns its
// error. It leaves the writes as they are if the transaction is refused for its content.
func (d *dispatcher) commitWorkers(ctx context.Context, writes []dispatch.WorkerWrite) error {
	began := steady.Now()
	revision, err := d.commitRepeatedly(ctx, recordTransaction(writes))
	var conflict *store.TxnConflictError
	switch {
	case store.IsRefused(err):
		return err
	case err == nil, errors.As(err, &conflict):
		d.failedRecordCommits.Store(0)
	default:
		d.failedRecordCommits.Add(1)
	}
	if err != nil {
		d.deps.Log("commit_failed", "workers", len(writes), "age", steady.Now()-began, "err", err)
	}
	if conflict != nil && conflict.At(intake.OwnerKey).Revision != d.revision {
		d.end("the owner key has changed")
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.machine.WorkerWritesDone(writes, revision)
	} else {
		d.machine.WorkerWritesFailed(writes, d.currentRecords(conflict, writes))
	}
	d.requestPlan()
	return err
}

// commitRepeatedly sends a transaction until one of its attempts is answered. At most
// one of them is executed, as each puts or deletes every key whose revision it checks;
// the others conflict with it.
func (d *dispatcher) commitRepeatedly(ctx context.Context, txn store.Txn) (store.Revision, error) {
	type answer struct {
		revision store.Revision
		err      error
	}
	answers := make(chan answer, maxRecordAttempts)
	sent, answered := 0, 0
	for {
		if sent < maxRecordAttempts {
			sent++
			go func() {
				revision, err := d.deps.Store.Commit(txn)
				answers <- answer{revision, err}
			}()
		}
		retry := time.After(recordRetryDelay)
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case a := <-answers:
			answered++
			var unknown *store.UnknownOutcomeError
			if !errors.As(a.err, &unknown) || answered == maxRecordAttempts {
				return a.revision, a.err
			}
		case <-retry:
		}
	}
}

// recordTransaction builds the store transaction for changes of worker records.
func recordTransaction(writes []dispatch.WorkerWrite) store.Txn {
	var txn store.Txn
	for _, w := range writes {
		key := intake.WorkerPrefix + string(w.ID)
		txn.Checks = append(txn.Checks, store.Check{Key: key, Revision: w.Revision})
		if w.Delete {
			txn.Deletes = append(txn.Deletes, key)
			continue
		}
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: encodeWorkerRecord(w.WorkerRecord)})
	}
	return txn
}

// currentRecords returns the present records of the workers as a conflict shows them,
// or nil if there was none.
func (d *dispatcher) currentRecords(conflict *store.TxnConflictError, writes []dispatch.WorkerWrite) map[fleet.WorkerID]dispatch.StoredRecord {
	if conflict == nil {
		return nil
	}
	current := make(map[fleet.WorkerID]dispatch.StoredRecord, len(writes))
	for _, w := range writes {
		e := conflict.At(intake.WorkerPrefix + string(w.ID))
		if e.Revision == 0 {
			current[w.ID] = dispatch.StoredRecord{}
			continue
		}
		record, err := decodeWorkerRecord(e.Value)
		if err != nil {
			d.deps.Log("known_worker_unreadable", "key", e.Key, "revision", e.Revision, "err", err)
			// Nothing is started on the worker until the record has been replaced.
			record = dispatch.WorkerRecord{Worker: workload.Worker{ID: w.ID}, WorkerMarks: dispatch.WorkerMarks{Closed: true}}
		}
		current[w.ID] = dispatch.StoredRecord{WorkerRecord: record, Revision: e.Revision}
	}
	return current
}

// encodeWorkerRecord returns the stored value of a worker's record.
func encodeWorkerRecord(worker dispatch.WorkerRecord) []byte {
	value, err := json.Marshal(worker)
	if err != nil {
		panic("owner: worker: " + err.Error()) // strings and numbers always encode
	}
	return value
}

func decodeWorkerRecord(value []byte) (dispatch.WorkerRecord, error) {
	var record dispatch.WorkerRecord
	err := json.Unmarshal(value, &record)
	return record, err
}
