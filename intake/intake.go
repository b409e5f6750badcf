// Package intake accepts, cancels and tells of jobs on every entry host. What
// it answers is durable in the store before the answer.
package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/mirror"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// gatherTime is how long a submission waits for others to share its
	// transaction. Source: a store call takes 4 ms; half of that.
	gatherTime = 2 * time.Millisecond
	// jobsPerTxn bounds the submissions of one transaction, with three
	// entries each.
	jobsPerTxn = store.MaxTxnEntries / 3
	// commitsInFlight bounds the transactions on their way. Source: a slow
	// store takes 240 ms a call; ten of them carry 400 submissions a second.
	commitsInFlight = 10
	// viewAge is how old the host's view may be while the store is taken to be
	// there. Source: a poll takes 0.8 s, and on a slow store 0.24 s more.
	viewAge = 1400 * time.Millisecond
	// casTries bounds the tries of a change against others.
	casTries = 5
)

// RefusedError reports a submission that was surely not accepted.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	// StoreUnavailable says that this host does not reach the store; others may.
	StoreUnavailable bool
}

func (e *RefusedError) Error() string { return "intake: not accepted: " + e.Reason }

// UnknownOutcomeError reports a call whose outcome is unknown; it may be repeated.
type UnknownOutcomeError struct{ Cause error }

func (e *UnknownOutcomeError) Error() string { return "intake: outcome unknown: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// JobNotFoundError reports a job that does not exist in its queue.
type JobNotFoundError struct{ ID fleet.JobID }

func (e *JobNotFoundError) Error() string { return fmt.Sprintf("intake: no job %s", e.ID) }

// Intake is safe for concurrent use.
type Intake struct {
	store  store.Transactional
	shared *mirror.Mirror
	queue  chan *submission
}

type submission struct {
	job  *workload.Job
	body []byte
	done chan error
}

// New returns an intake; Serve must run.
func New(s store.Transactional, shared *mirror.Mirror) *Intake {
	return &Intake{store: s, shared: shared, queue: make(chan *submission, 1024)}
}

// Serve commits submissions until ctx ends.
func (in *Intake) Serve(ctx context.Context) error {
	slots := make(chan struct{}, commitsInFlight)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-in.queue:
			batch := in.gather(first)
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				in.commit(batch)
			}()
		}
	}
}

func (in *Intake) gather(first *submission) []*submission {
	batch := []*submission{first}
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for len(batch) < jobsPerTxn {
		select {
		case s := <-in.queue:
			batch = append(batch, s)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// Submit makes a job durable. nil means accepted, now or before.
func (in *Intake) Submit(ctx context.Context, job *workload.Job) error {
	if e, ok := in.shared.Get(StatePrefix + string(job.ID)); ok {
		return sameQueue(e, job)
	}
	body, err := json.Marshal(job)
	if err != nil {
		return &RefusedError{Reason: err.Error()}
	}
	s := &submission{job: job, body: body, done: make(chan error, 1)}
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

func sameQueue(e store.Entry, job *workload.Job) error {
	r, err := DecodeRecord(e.Value)
	if err != nil || r.Queue != job.Queue {
		return &RefusedError{Reason: "another queue has a job of this ID"}
	}
	return nil
}

// commit writes a batch; those that exist already are answered as such and the
// others tried again.
func (in *Intake) commit(batch []*submission) {
	for range casTries {
		var txn store.Txn
		for _, s := range batch {
			key := StatePrefix + string(s.job.ID)
			record := Record{Queue: s.job.Queue, State: workload.StateQueued, AcceptedMS: s.job.AcceptedMS}
			txn.Checks = append(txn.Checks, store.Check{Key: key})
			txn.Puts = append(txn.Puts, store.Put{Key: key, Value: record.Encode()}, store.Put{Key: SubmissionPrefix + string(s.job.ID), Value: s.body})
		}
		_, err := in.store.Commit(txn)
		var conflict *store.TxnConflictError
		if !errors.As(err, &conflict) {
			in.answer(batch, err)
			return
		}
		var left []*submission
		for _, s := range batch {
			if e := conflict.At(StatePrefix + string(s.job.ID)); e.Revision != 0 {
				s.done <- sameQueue(e, s.job)
			} else {
				left = append(left, s)
			}
		}
		if batch = left; len(batch) == 0 {
			return
		}
	}
	in.answer(batch, &store.UnavailableError{Op: "submit", Cause: errors.New("conflicts")})
}

func (in *Intake) answer(batch []*submission, err error) {
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
	case errors.As(err, &unavailable):
		err = storeAway()
	default:
		err = &UnknownOutcomeError{Cause: err}
	}
	for _, s := range batch {
		s.done <- err
	}
}

// storeAway is the outcome of a request that the store has surely not seen.
func storeAway() *RefusedError {
	return &RefusedError{Reason: "the store is unavailable", RetryAfter: time.Second, StoreUnavailable: true}
}

// MayExist reports whether a job may have been accepted before, by any host.
func (in *Intake) MayExist(id fleet.JobID) bool {
	key := StatePrefix + string(id)
	if _, ok := in.shared.Get(key); ok {
		return true
	}
	_, err := in.store.Get(key)
	var missing *store.NotFoundError
	return !errors.As(err, &missing)
}

// StoreUnavailable reports whether the store has not answered for so long that a
// submission has no prospect.
func (in *Intake) StoreUnavailable() bool {
	fresh, loaded := in.shared.LastSync()
	return !loaded || steady.Now()-fresh > viewAge
}

// CachedState returns the state of a job that this host knows of.
func (in *Intake) CachedState(id fleet.JobID, queue string) (workload.State, bool) {
	e, ok := in.shared.Get(StatePrefix + string(id))
	if !ok {
		return "", false
	}
	state, err := in.stateOf(e, id, queue)
	return state, err == nil
}

// State tells the state of a job, or *JobNotFoundError, or *RefusedError.
func (in *Intake) State(id fleet.JobID, queue string) (workload.State, error) {
	e, ok := in.shared.Get(StatePrefix + string(id))
	if ok {
		return in.stateOf(e, id, queue)
	}
	e, err := in.store.Get(StatePrefix + string(id))
	var missing *store.NotFoundError
	switch {
	case err == nil:
		return in.stateOf(e, id, queue)
	case errors.As(err, &missing):
		return "", &JobNotFoundError{ID: id}
	default: // a question that was not answered has done nothing
		refused := storeAway()
		refused.Reason += ": " + err.Error()
		return "", refused
	}
}

func (in *Intake) stateOf(e store.Entry, id fleet.JobID, queue string) (workload.State, error) {
	r, err := DecodeRecord(e.Value)
	if err != nil {
		return "", &UnknownOutcomeError{Cause: err}
	}
	if r.Queue != queue {
		return "", &JobNotFoundError{ID: id}
	}
	return r.State, nil
}

// Cancel makes a cancellation durable. A job that has ended stays as it is.
func (in *Intake) Cancel(id fleet.JobID, queue string) error {
	key := StatePrefix + string(id)
	e, ok := in.shared.Get(key)
	for range casTries {
		if !ok {
			var err error
			if e, err = in.store.Get(key); err != nil {
				var missing *store.NotFoundError
				if errors.As(err, &missing) {
					return &JobNotFoundError{ID: id}
				}
				return storeAway()
			}
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
			return storeAway()
		case errors.As(err, &conflict):
			e = conflict.At(key)
			ok = e.Revision != 0
		default:
			return &UnknownOutcomeError{Cause: err}
		}
	}
	return &UnknownOutcomeError{Cause: errors.New("the job keeps changing")}
}

// Pending counts the jobs of a queue of which no task has started.
func (in *Intake) Pending(queue string) int {
	n := 0
	in.shared.Each(func(e store.Entry) {
		if _, ok := JobIDFromKey(e.Key); !ok {
			return
		}
		if r, err := DecodeRecord(e.Value); err == nil && r.Queue == queue && r.State == workload.StateQueued {
			n++
		}
	})
	return n
}
