// Package intake accepts and cancels jobs and returns their states, on every
// entry host. A result is durable in the store before it is returned.
package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/mirror"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
	"github.com/fuchsiahill/fuchsiahill/workspace"
)

const (
	// batchDelay is how long a submission waits for others to share its
	// transaction: half of the 4 ms of a store call.
	batchDelay = 2 * time.Millisecond
	// maxJobsPerTxn bounds the submissions of one transaction; each takes three
	// entries.
	maxJobsPerTxn = store.MaxTxnEntries / 3
	// maxCommitsInFlight bounds the concurrent transactions. A slow store takes
	// 240 ms per call; ten calls in flight carry 400 submissions per second.
	maxCommitsInFlight = 10
	// maxViewAge is the age of the host's view above which the store counts as
	// unavailable. A poll takes 0.8 s, and 0.24 s more on a slow store.
	maxViewAge = 1400 * time.Millisecond
	// maxCASAttempts bounds the attempts of a conditional write under conflicts.
	maxCASAttempts = 5
)

// RefusedError reports a request that was definitely not carried out.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	// StoreUnavailable says that this host can't reach the store; other hosts
	// may be able to.
	StoreUnavailable bool
	// Prediction is set if the job would have ended too late to be of use.
	Prediction *Prediction
	// OutOfMemory says that the owner has no memory for the job.
	OutOfMemory bool
}

func (e *RefusedError) Error() string { return "intake: not accepted: " + e.Reason }

// UnknownOutcomeError reports a call that may or may not have taken effect. The
// call may be repeated.
type UnknownOutcomeError struct{ Cause error }

func (e *UnknownOutcomeError) Error() string { return "intake: outcome unknown: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// JobNotFoundError reports a job that does not exist in its queue.
type JobNotFoundError struct{ ID fleet.JobID }

func (e *JobNotFoundError) Error() string { return fmt.Sprintf("intake: no job %s", e.ID) }

// Intake accepts and cancels jobs. It is safe for concurrent use.
type Intake struct {
	store   store.Transactional
	shared  *mirror.Mirror
	queue   chan *submission
	ledger  *ledger
	lookups *rate.Limiter
}

type submission struct {
	caller workspace.Caller
	job    *workload.Job
	body   []byte
	done   chan error
}

// New returns an Intake that accepts jobs up to an amount of memory in bytes, 0 for any; see
// JobBytes of package dispatch. Submissions are committed only while Serve runs, and changes
// of the mirror must be passed to HandleSharedChange.
func New(s store.Transactional, shared *mirror.Mirror, jobBytes int64) *Intake {
	return &Intake{
		store: s, shared: shared, queue: make(chan *submission, 1024),
		ledger: newLedger(jobBytes), lookups: rate.NewLimiter(lookupsPerSecond, lookupBurst),
	}
}

// HandleSharedChange counts a change in the mirror.
func (in *Intake) HandleSharedChange(e store.Event) { in.ledger.apply(e, steady.Now()) }

// SetOwnerFull records whether the owner has published that it holds jobs back for want of
// memory: no further ones are accepted.
func (in *Intake) SetOwnerFull(full bool) { in.ledger.setOwnerFull(full, steady.Now()) }

// Serve commits submissions until ctx ends. It returns ctx's error.
func (in *Intake) Serve(ctx context.Context) error {
	slots := make(chan struct{}, maxCommitsInFlight)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-in.queue:
			batch := in.collectBatch(first)
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				in.commitBatch(batch)
			}()
		}
	}
}

// collectBatch adds the submissions of the next batchDelay to first, up to
// maxJobsPerTxn.
func (in *Intake) collectBatch(first *submission) []*submission {
	batch := []*submission{first}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < maxJobsPerTxn {
		select {
		case s := <-in.queue:
			batch = append(batch, s)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// Submit stores a job durably, with its caller's workspace. nil means that the job is accepted,
// now or by an earlier call. Errors are *RefusedError and *UnknownOutcomeError. A job of
// another workspace with its ID takes the same path as a new one.
func (in *Intake) Submit(ctx context.Context, caller workspace.Caller, job *workload.Job) error {
	if e, ok := in.shared.Get(StatePrefix + string(job.ID)); ok && mayUse(caller, e) {
		return checkExisting(e, caller, job)
	}
	stored := *job
	stored.Workspace = caller.Workspace
	stored.Source = sourceOf(&stored)
	job = &stored
	if refused := in.ledger.reserve(job, steady.Now()); refused != nil {
		return in.confirmRefusal(caller, job, refused)
	}
	err := in.submit(ctx, caller, job)
	var refused *RefusedError
	if errors.As(err, &refused) {
		in.ledger.release(job.ID, steady.Now())
	}
	return err
}

// submit stores a job that has been counted.
func (in *Intake) submit(ctx context.Context, caller workspace.Caller, job *workload.Job) error {
	body, err := json.Marshal(job)
	if err != nil {
		return &RefusedError{Reason: err.Error()}
	}
	s := &submission{caller: caller, job: job, body: body, done: make(chan error, 1)}
	select {
	case in.queue <- s:
	default:
		return &RefusedError{Reason: "too many submissions wait for the store", RetryAfter: time.Second}
	}
	select {
	case err := <-s.done:
		return err
	case <-ctx.Done():
		return &UnknownOutcomeError{Cause: ctx.Err()}
	}
}

// confirmRefusal returns the outcome of a submission for which there is no room: the refusal, unless
// the job has been accepted before or that isn't known.
func (in *Intake) confirmRefusal(caller workspace.Caller, job *workload.Job, refused *RefusedError) error {
	e, err := in.lookup(caller, job.ID)
	var missing *JobNotFoundError
	var limited *LookupLimitError
	switch {
	case err == nil:
		return checkExisting(e, caller, job)
	case errors.As(err, &missing):
		return refused
	case errors.As(err, &limited):
		return err
	default:
		return &UnknownOutcomeError{Cause: err}
	}
}

const (
	// lookupsPerSecond bounds the calls to the store for jobs that this host does not know: all
	// hosts share the calls that the store accepts.
	lookupsPerSecond = 100
	lookupBurst      = 200
)

// LookupLimitError reports that requests for jobs that this host does not know exceed the calls to
// the store that it may make for them. Whether there is such a job is not known.
type LookupLimitError struct{ ID fleet.JobID }

func (e *LookupLimitError) Error() string {
	return fmt.Sprintf("intake: too many requests for unknown jobs to look for %s", e.ID)
}

// errIDInUse is the cause of an unknown outcome that tells the caller nothing.
var errIDInUse = errors.New("not confirmed")

// mayUse reports whether a caller may know of the job of an entry.
func mayUse(caller workspace.Caller, e store.Entry) bool {
	if caller.Workspace == "" {
		return true // by MayUse, of whichever workspace the job is
	}
	r, err := DecodeRecord(e.Value)
	return err != nil || caller.MayUse(r.Workspace)
}

// checkExisting returns nil if an existing entry is of a job in the same queue, and
// *RefusedError otherwise. For a job of another workspace it returns
// *UnknownOutcomeError: the caller may have submitted that job itself, before its key was
// given to another workspace, so that "never runs" might be false.
func checkExisting(e store.Entry, caller workspace.Caller, job *workload.Job) error {
	r, err := DecodeRecord(e.Value)
	if err == nil && !caller.MayUse(r.Workspace) {
		return &UnknownOutcomeError{Cause: errIDInUse}
	}
	if err != nil || r.Queue != job.Queue {
		return &RefusedError{Reason: "another queue has a job of this ID"}
	}
	return nil
}

// commitBatch writes a batch, and answers its submissions.
func (in *Intake) commitBatch(batch []*submission) {
	store.CommitDivided(batch, in.commitTogether, func(s *submission, err error) {
		s.done <- &RefusedError{Reason: "the store refuses the job: " + err.Error()}
	})
}

// commitTogether writes submissions in one transaction. On a conflict it answers those of
// existing jobs and retries the others. Unless the transaction is refused for its content,
// it answers all of them.
func (in *Intake) commitTogether(batch []*submission) error {
	for attempt := range maxCASAttempts {
		var txn store.Txn
		for _, s := range batch {
			key := StatePrefix + string(s.job.ID)
			record := Record{Queue: s.job.Queue, State: workload.StateQueued, AcceptedMS: s.job.AcceptedMS, Workspace: s.job.Workspace, Bytes: dispatch.JobBytes(s.job), Source: s.job.Source}
			txn.Checks = append(txn.Checks, store.Check{Key: key})
			txn.Puts = append(txn.Puts, store.Put{Key: key, Value: record.Encode()}, store.Put{Key: SubmissionPrefix + string(s.job.ID), Value: s.body})
		}
		_, err := in.store.Commit(txn)
		var conflict *store.TxnConflictError
		switch {
		case store.IsRefused(err) && attempt == 0:
			return err
		case store.IsRefused(err):
			in.commitBatch(batch) // without those that have been answered
			return nil
		case !errors.As(err, &conflict):
			in.replyAll(batch, err)
			return nil
		}
		var remaining []*submission
		for _, s := range batch {
			if e := conflict.At(StatePrefix + string(s.job.ID)); e.Revision != 0 {
				s.done <- checkExisting(e, s.caller, s.job)
			} else {
				remaining = append(remaining, s)
			}
		}
		if batch = remaining; len(batch) == 0 {
			return nil
		}
	}
	in.replyAll(batch, &store.UnavailableError{Op: "submit", Cause: errors.New("conflicts")})
	return nil
}

// replyAll answers the submissions of a batch with the outcome of a commit.
func (in *Intake) replyAll(batch []*submission, err error) {
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
	case errors.As(err, &unavailable):
		err = storeUnavailableError()
	default:
		err = &UnknownOutcomeError{Cause: err}
	}
	for _, s := range batch {
		s.done <- err
	}
}

// storeUnavailableError returns the error for a request that definitely had no
// effect in the store.
func storeUnavailableError() *RefusedError {
	return &RefusedError{Reason: "the store is unavailable", RetryAfter: time.Second, StoreUnavailable: true}
}

// MayExist reports whether a job of the caller may already have been accepted by any host.
// It is true if the store can't be read. Errors are *LookupLimitError.
func (in *Intake) MayExist(caller workspace.Caller, id fleet.JobID) (bool, error) {
	_, err := in.lookup(caller, id)
	var missing *JobNotFoundError
	var limited *LookupLimitError
	if errors.As(err, &limited) {
		return true, err
	}
	return !errors.As(err, &missing), nil
}

// lookup returns the entry of a job that the caller may use. Errors are *JobNotFoundError,
// *LookupLimitError and those of the store. A job of another workspace is read from the store like an unknown
// one.
func (in *Intake) lookup(caller workspace.Caller, id fleet.JobID) (store.Entry, error) {
	if e, ok := in.shared.Get(StatePrefix + string(id)); ok && mayUse(caller, e) {
		return e, nil
	}
	if !in.lookups.Allow() {
		return store.Entry{}, &LookupLimitError{ID: id}
	}
	return in.read(caller, id)
}

// read is lookup without the host's copy of the store, which may be outdated.
func (in *Intake) read(caller workspace.Caller, id fleet.JobID) (store.Entry, error) {
	e, err := in.store.Get(StatePrefix + string(id))
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &missing), err == nil && !mayUse(caller, e):
		return store.Entry{}, &JobNotFoundError{ID: id}
	case err != nil:
		return store.Entry{}, err
	}
	return e, nil
}

// StoreUnavailable reports whether the host's view of the store is not loaded or
// older than maxViewAge, so that a submission is unlikely to succeed.
func (in *Intake) StoreUnavailable() bool {
	lastSync, loaded := in.shared.LastSync()
	return !loaded || steady.Now()-lastSync > maxViewAge
}

// CachedState returns the state of a job from this host's copy of the store, and
// whether the job is there, in the queue and one that the caller may use.
func (in *Intake) CachedState(caller workspace.Caller, id fleet.JobID, queue string) (workload.State, bool) {
	e, ok := in.shared.Get(StatePrefix + string(id))
	if !ok {
		return "", false
	}
	r, err := DecodeRecord(e.Value) // once: callers ask often
	if err != nil || !caller.MayUse(r.Workspace) || r.Queue != queue {
		return "", false
	}
	return r.State, true
}

// State returns the state of a job. Errors are *JobNotFoundError, *RefusedError if
// the store can't be read, and *UnknownOutcomeError if the record can't be
// decoded.
func (in *Intake) State(caller workspace.Caller, id fleet.JobID, queue string) (workload.State, error) {
	e, err := in.lookup(caller, id)
	var missing *JobNotFoundError
	var limited *LookupLimitError
	switch {
	case err == nil:
		return in.decodeState(e, id, queue)
	case errors.As(err, &missing):
		return "", err
	case errors.As(err, &limited):
		return "", &RefusedError{Reason: err.Error(), RetryAfter: time.Second}
	default: // a failed read has no effect
		refused := storeUnavailableError()
		refused.Reason += ": " + err.Error()
		return "", refused
	}
}

// decodeState returns the state in an entry, or *JobNotFoundError if the job is in
// another queue.
func (in *Intake) decodeState(e store.Entry, id fleet.JobID, queue string) (workload.State, error) {
	r, err := DecodeRecord(e.Value)
	if err != nil {
		return "", &UnknownOutcomeError{Cause: err}
	}
	if r.Queue != queue {
		return "", &JobNotFoundError{ID: id}
	}
	return r.State, nil
}

// Cancel stores the cancellation of a job durably; it has no effect on a job that
// has ended. Errors are *JobNotFoundError, *RefusedError and
// *UnknownOutcomeError.
func (in *Intake) Cancel(caller workspace.Caller, id fleet.JobID, queue string) error {
	key := StatePrefix + string(id)
	e, lookupErr := in.lookup(caller, id)
	for range maxCASAttempts {
		var missing *JobNotFoundError
		var limited *LookupLimitError
		switch {
		case errors.As(lookupErr, &missing):
			return lookupErr
		case errors.As(lookupErr, &limited):
			return &RefusedError{Reason: lookupErr.Error(), RetryAfter: time.Second}
		case lookupErr != nil:
			return storeUnavailableError()
		}
		r, err := DecodeRecord(e.Value)
		if err != nil {
			return &UnknownOutcomeError{Cause: err}
		}
		if r.Queue != queue {
			return &JobNotFoundError{ID: id}
		}
		if r.State.Final() {
			return nil
		}
		r.State, r.EndedMS = workload.StateCancelled, time.Now().UnixMilli()
		_, err = in.store.Commit(store.Txn{
			Checks: []store.Check{{Key: key, Revision: e.Revision}},
			Puts:   []store.Put{{Key: key, Value: r.Encode()}},
		})
		var conflict *store.TxnConflictError
		var unavailable *store.UnavailableError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &unavailable):
			return storeUnavailableError()
		case errors.As(err, &conflict):
			if e = conflict.At(key); e.Revision == 0 || !mayUse(caller, e) {
				e, lookupErr = in.read(caller, id)
			}
		default:
			return &UnknownOutcomeError{Cause: err}
		}
	}
	return &UnknownOutcomeError{Cause: errors.New("the job keeps changing")}
}

// Pending returns the number of jobs in a queue that have started no task.
func (in *Intake) Pending(queue string) int { return in.ledger.pending(queue) }
