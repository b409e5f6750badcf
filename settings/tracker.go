package settings

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// DefaultConfirmInterval is the default time between two reads that
	// confirm the snapshot in force.
	DefaultConfirmInterval = time.Second
	// confirmTimeout limits one confirming read. A read that takes longer
	// would confirm a time too far in the past to be useful.
	confirmTimeout = 2 * time.Second
	// maxConcurrentReads is the maximum number of confirming reads in flight.
	maxConcurrentReads = 3
	watchRetryDelay    = time.Second
)

// TrackerOptions configures a Tracker.
type TrackerOptions struct {
	Logger          log.Logger    // nil disables logging
	ConfirmInterval time.Duration // time between confirming reads; 0: DefaultConfirmInterval
}

// Tracker maintains the snapshot in force on this host. It receives newer
// revisions from a watch on the store, from a conditional read in every
// interval and from peers, and never returns to an older one. It is safe for
// concurrent use.
type Tracker struct {
	store    store.Store
	log      log.Logger
	interval time.Duration
	vars     trackerVars

	// Invariants: the revision of current never decreases; confirmedAt never
	// decreases; and every change that the store accepted before confirmedAt
	// is included in current. Both are written under mu, current first, and
	// read without it. A reader that loads confirmedAt before current thus
	// gets a snapshot at least as new as the one that was confirmed.
	current     atomic.Pointer[storedSnapshot]
	confirmedAt atomic.Pointer[time.Time]

	mu             sync.Mutex
	changed        chan struct{}
	corrupt        *CorruptError // newest value that can't be decoded, nil if current is newer
	lastReadFailed bool          // the last confirming read failed
}

// storedSnapshot is a snapshot and the stored value that it was decoded from.
type storedSnapshot struct {
	snapshot Snapshot
	value    []byte
}

var _ View = (*Tracker)(nil)

type trackerVars struct {
	all         *expvar.Map
	revision    *expvar.Int
	corrupt     *expvar.Int
	confirmed   *expvar.Int
	unconfirmed *expvar.Int
	stale       *expvar.Int
}

func newTrackerVars() trackerVars {
	v := trackerVars{
		all:         new(expvar.Map).Init(),
		revision:    new(expvar.Int),
		corrupt:     new(expvar.Int),
		confirmed:   new(expvar.Int),
		unconfirmed: new(expvar.Int),
		stale:       new(expvar.Int),
	}
	v.all.Set("revision", v.revision)
	v.all.Set("corrupt_revision", v.corrupt)
	v.all.Set("reads_confirmed", v.confirmed)
	v.all.Set("reads_unconfirmed", v.unconfirmed)
	v.all.Set("stale", v.stale)
	return v
}

// NewTracker returns a Tracker that holds the default tree at revision 0.
// Serve keeps it up to date with the store.
func NewTracker(s store.Store, opts TrackerOptions) *Tracker {
	t := &Tracker{
		store:    s,
		log:      opts.Logger,
		interval: opts.ConfirmInterval,
		vars:     newTrackerVars(),
		changed:  make(chan struct{}),
	}
	t.current.Store(&storedSnapshot{snapshot: NewSnapshot(DefaultTree(), 0)})
	t.confirmedAt.Store(&time.Time{})
	if t.log == nil {
		t.log = log.NewNopLogger()
	}
	if t.interval == 0 {
		t.interval = DefaultConfirmInterval
	}
	return t
}

// Current implements View.
func (t *Tracker) Current() Snapshot { return t.current.Load().snapshot }

// ConfirmedAt implements View. It returns the time at which the confirming read
// was sent, or the zero time before the first one has succeeded.
func (t *Tracker) ConfirmedAt() time.Time { return *t.confirmedAt.Load() }

// Ready reports whether a read from the store has confirmed the snapshot in
// force since the process started.
func (t *Tracker) Ready() bool { return !t.ConfirmedAt().IsZero() }

// Changed returns a channel that is closed when Current next changes.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Stored returns the stored value and revision of Current, to be passed to
// Offer on a peer. The value is nil for the default tree at revision 0.
func (t *Tracker) Stored() ([]byte, store.Revision) {
	current := t.current.Load()
	return current.value, current.snapshot.Revision()
}

// Corrupt returns the error for a value in the store that is newer than Current
// and can't be decoded, or nil.
func (t *Tracker) Corrupt() *CorruptError {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.corrupt
}

// Vars returns the tracker's metrics.
func (t *Tracker) Vars() *expvar.Map { return t.vars.all }

// Offer passes the tracker a stored value that was obtained elsewhere, for
// example from a peer. It has no effect unless the revision is higher than the
// current one, and it does not change ConfirmedAt. The error is a
// *CorruptError.
func (t *Tracker) Offer(value []byte, revision store.Revision) error {
	if revision <= t.Current().Revision() {
		return nil
	}
	doc, err := decodeDocument(value, revision)
	if err != nil {
		t.recordCorrupt(err)
		return err
	}
	t.advance(NewSnapshot(doc.Tree, revision), value)
	return nil
}

func (t *Tracker) advance(next Snapshot, value []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Another goroutine may have advanced since the caller checked.
	previous := t.Current().Revision()
	if next.Revision() <= previous {
		return
	}
	t.log.Log("event", "settings_in_force", "revision", next.Revision(), "previous", previous)
	t.current.Store(&storedSnapshot{next, value})
	t.vars.revision.Set(int64(next.Revision()))
	if t.corrupt != nil && t.corrupt.Revision <= next.Revision() {
		t.corrupt = nil
		t.vars.corrupt.Set(0)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Tracker) recordCorrupt(err error) {
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.corrupt != nil && t.corrupt.Revision >= corrupt.Revision {
		return
	}
	t.corrupt = corrupt
	t.vars.corrupt.Set(int64(corrupt.Revision))
	t.log.Log("event", "settings_corrupt", "revision", corrupt.Revision, "in_force", t.Current().Revision(), "err", corrupt.Cause)
}

// Serve keeps the tracker up to date with the store until ctx ends. It returns
// the error of ctx.
func (t *Tracker) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.confirmLoop(ctx) })
	group.Go(func() error { return t.watchLoop(ctx) })
	return group.Wait()
}

// confirmLoop starts a confirming read in every interval, even while earlier
// ones are unanswered. An unresponsive connection thus fails only one read, and
// a slow store delays confirmations without making them less frequent.
func (t *Tracker) confirmLoop(ctx context.Context) error {
	var reads errgroup.Group
	reads.SetLimit(maxConcurrentReads)
	defer func() { _ = reads.Wait() }()
	ticker := time.NewTicker(t.interval)
	defer ticker.Stop()
	for {
		reads.TryGo(func() error {
			t.confirm(ctx)
			return nil
		})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// confirm makes one confirming read and records its result.
func (t *Tracker) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sent := time.Now()
	err := t.readNewest(ctx)
	if ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	t.recordRead(sent, err)
}

// readNewest puts the newest revision in the store in force, by a read that is
// conditional on the newest revision seen. It returns nil if every change that
// was accepted before the call is in force after it.
//
// A response below the revision seen before the call is stale. A response below
// the current revision is not, if that revision came into force during the
// call.
func (t *Tracker) readNewest(ctx context.Context) error {
	seen := t.newestSeen()
	entry, newer, err := t.store.GetNewer(ctx, TreeKey, seen)
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &missing):
		// No tree has been stored yet. The key is never deleted, so this
		// response is stale if a tree has been seen before.
		entry = store.Entry{}
	case err != nil:
		return err
	case !newer:
		entry.Revision = seen
	}
	if entry.Revision < seen {
		t.vars.stale.Add(1)
		return eris.Wrap(&StaleReadError{Revision: entry.Revision, Other: seen}, "settings")
	}
	if !t.Ready() {
		if err := t.crossCheck(ctx, entry.Revision); err != nil {
			return err
		}
	}
	if entry.Revision == seen {
		return t.corruptAt(seen)
	}
	return t.Offer(entry.Value, entry.Revision)
}

// corruptAt returns the error for the value at revision if that value is known
// to be undecodable, and nil otherwise.
func (t *Tracker) corruptAt(revision store.Revision) error {
	if c := t.Corrupt(); c != nil && c.Revision == revision {
		return c
	}
	return nil
}

// crossCheck compares revision with the result of a second, different kind of
// read. A process that has just started has seen no revision by which it could
// detect a stale read, so it accepts its first read only if both agree.
func (t *Tracker) crossCheck(ctx context.Context, revision store.Revision) error {
	entries, _, err := t.store.List(ctx, TreeKey)
	if err != nil {
		return err
	}
	var listedRevision store.Revision
	for _, entry := range entries {
		if entry.Key == TreeKey {
			listedRevision = entry.Revision
		}
	}
	if listedRevision != revision {
		return eris.Wrap(&StaleReadError{Revision: revision, Other: listedRevision}, "settings")
	}
	return nil
}

// StaleReadError reports a read of the tree that disagrees with another read or
// with a revision that was seen before.
type StaleReadError struct {
	Revision store.Revision
	Other    store.Revision
}

func (e *StaleReadError) Error() string {
	return fmt.Sprintf("settings: reads of the tree disagree: revisions %d and %d", e.Revision, e.Other)
}

// newestSeen returns the highest revision whose value need not be read again:
// the one in force, or a higher one that can't be decoded.
func (t *Tracker) newestSeen() store.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.corrupt != nil {
		return max(t.corrupt.Revision, t.Current().Revision())
	}
	return t.Current().Revision()
}

// recordRead records the result of a confirming read that was sent at the time
// sent.
func (t *Tracker) recordRead(sent time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	revision := t.Current().Revision()
	if err != nil {
		t.vars.unconfirmed.Add(1)
		if !t.lastReadFailed {
			t.log.Log("event", "settings_unconfirmed", "revision", revision, "err", err)
		}
		t.lastReadFailed = true
		return
	}
	t.vars.confirmed.Add(1)
	if t.lastReadFailed || !t.Ready() {
		t.log.Log("event", "settings_confirmed", "revision", revision)
	}
	t.lastReadFailed = false
	if sent.After(t.ConfirmedAt()) {
		t.confirmedAt.Store(&sent)
	}
}

// watchLoop applies changes as soon as the store reports them. confirmLoop
// picks up any change that the watch misses.
func (t *Tracker) watchLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		events, err := t.store.Watch(ctx, TreeKey, t.newestSeen())
		if err == nil {
			t.applyEvents(events)
		}
		if wait.For(ctx, watchRetryDelay) != nil {
			break
		}
	}
	return ctx.Err()
}

func (t *Tracker) applyEvents(events <-chan store.Event) {
	for ev := range events {
		if ev.Key != TreeKey || ev.Deleted {
			continue
		}
		// Offer has recorded the error, and the confirming reads keep
		// reporting it.
		_ = t.Offer(ev.Value, ev.Revision)
	}
}
