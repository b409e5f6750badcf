package settings

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// resolveTimeout limits how long Apply tries to find the outcome of a
	// write whose reply was lost.
	resolveTimeout = 5 * time.Second
	// loadTimeout limits how long stale reads are retried.
	loadTimeout         = 3 * time.Second
	resolveRetryInitial = 20 * time.Millisecond
	resolveRetryMax     = 500 * time.Millisecond
)

// Editor applies changes to the tree in the store. It is safe for concurrent
// use, and any number of editors may work on the same store at once.
type Editor struct {
	store       store.Store
	now         func() time.Time
	applied     func(value []byte, revision store.Revision)
	highestSeen atomic.Int64 // highest revision read or written; never decreases
}

// NewEditor returns an Editor that takes the time of audit records from the
// clock now.
func NewEditor(s store.Store, now func() time.Time) *Editor {
	return &Editor{store: s, now: now, applied: func([]byte, store.Revision) {}}
}

// OnApplied sets a function that is called with the stored value and revision
// of each change that the editor has applied, for example Tracker.Offer. It
// must be set before the first call of Apply.
func (e *Editor) OnApplied(f func(value []byte, revision store.Revision)) { e.applied = f }

// state is the document at one revision.
type state struct {
	doc      *document
	revision store.Revision
}

// Apply applies a change and returns its audit record. It is idempotent: if a
// change with the same ID was applied before, it has no effect and returns the
// first record. Errors are *InvalidError, *ImmutableError, *NotFoundError,
// *ConflictError, *ReusedIDError, *UnavailableError, *UnknownOutcomeError,
// *CorruptError or *store.TooLargeError. After an *UnknownOutcomeError the
// change may have been applied; after any other error it was not.
func (e *Editor) Apply(ctx context.Context, c Change) (Record, error) {
	c, err := c.normalise()
	if err != nil {
		return Record{}, err
	}
	cur, err := e.load(ctx, 0)
	if err != nil {
		return Record{}, err
	}
	if rec, done, err := e.findApplied(ctx, cur, c); done || err != nil {
		return rec, err
	}
	if c.Expect != 0 && c.Expect != cur.revision {
		return Record{}, conflict(c.Expect, cur)
	}
	tree, rec, err := c.apply(cur.doc.Tree, cur.revision, e.now())
	if err != nil {
		return Record{}, err
	}
	value, err := e.appendRecord(ctx, cur, tree, rec)
	if err != nil {
		return Record{}, err
	}
	return e.write(ctx, c, cur.revision, value, rec)
}

func conflict(expect store.Revision, cur state) error {
	return eris.Wrap(&ConflictError{Expect: expect, Actual: cur.revision, Winner: cur.doc.newest()}, "apply")
}

// load reads the document at a revision that is not below minRevision or the
// highest one that this editor has seen. A lower one comes from a stale read,
// which is retried for up to loadTimeout.
func (e *Editor) load(ctx context.Context, minRevision store.Revision) (state, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	minRevision = max(minRevision, store.Revision(e.highestSeen.Load()))
	backOff := newBackOff()
	for {
		cur, err := e.read(ctx)
		if err != nil {
			return state{}, err
		}
		if cur.revision >= minRevision {
			e.recordSeen(cur.revision)
			return cur, nil
		}
		if wait.For(ctx, backOff.NextBackOff()) != nil {
			return state{}, unavailable(&StaleReadError{Revision: cur.revision, Other: minRevision})
		}
	}
}

func (e *Editor) recordSeen(revision store.Revision) {
	for {
		seen := e.highestSeen.Load()
		if seen >= int64(revision) || e.highestSeen.CompareAndSwap(seen, int64(revision)) {
			return
		}
	}
}

func (e *Editor) read(ctx context.Context) (state, error) {
	entry, err := e.store.Get(ctx, TreeKey)
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &missing):
		return state{doc: &document{Tree: DefaultTree()}}, nil
	case err != nil:
		return state{}, unavailable(err)
	}
	doc, err := decodeDocument(entry.Value, entry.Revision)
	if err != nil {
		return state{}, err
	}
	return state{doc: doc, revision: entry.Revision}, nil
}

func unavailable(err error) error {
	return eris.Wrap(&UnavailableError{Cause: err}, "settings")
}

func newBackOff() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = resolveRetryInitial
	retry.MaxInterval = resolveRetryMax
	return retry
}

// write replaces the document by compare-and-swap. If the reply is lost, it
// finds out whether the write was applied.
func (e *Editor) write(ctx context.Context, c Change, expect store.Revision, value []byte, rec Record) (Record, error) {
	revision, err := e.store.CompareAndSwap(ctx, TreeKey, expect, value, 0)
	if mayBeApplied(err) {
		return e.resolve(ctx, c, expect, value, rec, err)
	}
	return e.finishWrite(ctx, c, expect, value, rec, revision, err)
}

// finishWrite turns the known outcome of a write, as the store returned it,
// into the result of Apply.
func (e *Editor) finishWrite(ctx context.Context, c Change, expect store.Revision, value []byte, rec Record, revision store.Revision, err error) (Record, error) {
	var conflicted *store.ConflictError
	var down *store.UnavailableError
	switch {
	case err == nil:
		e.recordSeen(revision)
		e.applied(value, revision)
		rec.Revision = revision
		return rec, nil
	case errors.As(err, &conflicted):
		return e.resolveConflict(ctx, c, expect, conflicted.Actual)
	case errors.As(err, &down):
		return Record{}, unavailable(err)
	}
	return Record{}, err
}

// resolveConflict returns the result of a write that found the tree at another
// revision than expected. The write that came first may be an earlier delivery
// of this same change, through this host or another one.
func (e *Editor) resolveConflict(ctx context.Context, c Change, expect, actual store.Revision) (Record, error) {
	cur, err := e.load(ctx, actual)
	if err != nil {
		return Record{}, unknownOutcome(c, err)
	}
	rec, done, err := e.findApplied(ctx, cur, c)
	switch {
	case done:
		return rec, nil
	case err != nil:
		return Record{}, unknownOutcome(c, err)
	}
	return Record{}, conflict(expect, cur)
}

func unknownOutcome(c Change, cause error) error {
	return eris.Wrap(&UnknownOutcomeError{ID: c.ID, Cause: cause}, "apply")
}

// mayBeApplied reports whether a write that returned err may have been applied
// although its outcome is not known.
func mayBeApplied(err error) bool {
	var (
		conflict    *store.ConflictError
		unavailable *store.UnavailableError
		tooLarge    *store.TooLargeError
		badRequest  *store.BadRequestError
	)
	switch {
	case err == nil, errors.As(err, &conflict), errors.As(err, &unavailable):
		return false
	case errors.As(err, &tooLarge), errors.As(err, &badRequest):
		return false
	}
	return true
}

// resolve repeats a write whose outcome is unknown until the store returns a
// definite result or resolveTimeout has passed. After a conflict it reads the
// tree back, where the change ID shows whether an earlier attempt was applied.
//
// Every attempt writes the same bytes against the same revision, so at most one
// is applied, even if the first one reaches the store late.
func (e *Editor) resolve(ctx context.Context, c Change, expect store.Revision, value []byte, rec Record, cause error) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	backOff := newBackOff()
	for wait.For(ctx, backOff.NextBackOff()) == nil {
		revision, err := e.store.CompareAndSwap(ctx, TreeKey, expect, value, 0)
		var conflicted *store.ConflictError
		if err == nil || errors.As(err, &conflicted) {
			return e.finishWrite(ctx, c, expect, value, rec, revision, err)
		}
	}
	return Record{}, unknownOutcome(c, cause)
}
