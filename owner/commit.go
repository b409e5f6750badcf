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

// commitLoop stores the machine's decisions.
func (d *dispatcher) commitLoop(ctx context.Context) {
	slots := make(chan struct{}, maxCommitsInFlight)
	for wait.For(ctx, d.commitDelay()) == nil {
		for more := true; more && ctx.Err() == nil; {
			d.mu.Lock()
			writes := d.machine.TakeWrites(store.MaxTxnEntries-1, steady.Now())
			if len(writes) == 0 {
				d.machine.WritesDone(nil, 0) // task ends of unknown jobs need no write
			}
			d.mu.Unlock()
			if len(writes) == 0 {
				break
			}
			// While the store fails, send one transaction at a time.
			more = d.failedCommits.Load() == 0
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				d.commit(writes)
			}()
		}
	}
}

// commitDelay returns how long to batch changes before the next transactions.
// It backs off exponentially after failures, as refused calls are billed too.
func (d *dispatcher) commitDelay() time.Duration {
	return commitInterval << min(d.failedCommits.Load(), maxCommitBackoffShift)
}

// storeDelay returns how long to wait for changes of jobs and of worker records to be stored.
func (d *dispatcher) storeDelay() time.Duration {
	return max(d.commitDelay(), d.recordCommitDelay())
}

// maxCommitBackoffShift bounds the doubled commitInterval to 480 ms, within the
// time allowed for an acknowledgement.
const maxCommitBackoffShift = 4

// commit writes changes of jobs, on condition that this host still owns
// dispatching. Jobs that the store refuses for their content are held back.
func (d *dispatcher) commit(writes []dispatch.Write) {
	store.CommitDivided(writes, d.commitJobs, d.writeRefused)
}

// commitJobs writes changes of jobs in one transaction, and returns its error. It leaves
// the writes as they are if the transaction is refused for its content.
func (d *dispatcher) commitJobs(writes []dispatch.Write) error {
	txn, err := d.transaction(writes)
	if err != nil {
		return err
	}
	began := steady.Now()
	revision, err := d.deps.Store.Commit(txn)
	d.deps.Metrics.Observe("commit", steady.Now()-began)
	var conflict *store.TxnConflictError
	errors.As(err, &conflict)
	if store.IsRefused(err) {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.failedCommits.Store(0)
		d.machine.WritesDone(writes, revision)
		return nil
	}
	d.machine.WritesFailed(writes)
	if conflict == nil {
		d.failedCommits.Add(1)
	}
	d.deps.Log("commit_failed", "jobs", len(writes), "age", steady.Now()-began, "err", err)
	if conflict == nil {
		return err
	}
	if conflict.At(intake.OwnerKey).Revision != d.revision {
		d.end("the owner key has changed")
		return err
	}
	for _, e := range conflict.Current {
		if id, ok := strings.CutPrefix(e.Key, intake.ProgressPrefix); ok {
			d.machine.ProgressStored(fleet.JobID(id), e.Revision)
		}
		if id, ok := intake.JobIDFromKey(e.Key); ok {
			if record, err := intake.DecodeRecord(e.Value); err == nil {
				d.machine.StateChanged(id, record.State, e.Revision, steady.Now())
			}
		}
	}
	return err
}

// transaction builds the store transaction for writes, conditional on the revisions of the
// keys that it replaces.
func (d *dispatcher) transaction(writes []dispatch.Write) (store.Txn, error) {
	var txn store.Txn
	for _, w := range writes {
		id := string(w.Job)
		if w.StateChanged {
			record := intake.Record{Queue: w.Queue, State: w.State, AcceptedMS: w.AcceptedMS, Workspace: w.Workspace, Bytes: w.Bytes, Source: w.Source}
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
			return txn, &store.BadRequestError{Message: err.Error()}
		}
		txn.Checks = append(txn.Checks, store.Check{Key: intake.ProgressPrefix + id, Revision: w.ProgressRevision})
		txn.Puts = append(txn.Puts, store.Put{Key: intake.ProgressPrefix + id, Value: value})
	}
	return txn, nil
}
