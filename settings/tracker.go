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
	// DefaultConfirmInterval is the time between two reads that confirm the
	// snapshot in force.
	DefaultConfirmInterval = time.Second
	// confirmTimeout bounds one such read. A later answer confirms nothing
	// that is still of use.
	confirmTimeout = 2 * time.Second
	// maxReads is how many such reads may be under way at once.
	maxConcurrentReads = 3
	watchRetryDelay    = time.Second
)

// TrackerOptions configure a Tracker.
type TrackerOptions struct {
	Logger          log.Logger    // nil: no logs
	ConfirmInterval time.Duration // 0: DefaultConfirmInterval
}

// Tracker keeps the snapshot in force on this host. It learns newer ones
// from a watch, from a conditional read in every interval and from peers, and
// never goes back to an older one. It is safe for concurrent use.
type Tracker struct {
	store    store.Store
	log      log.Logger
	interval time.Duration
	vars     trackerVars

	// Invariants: current's revision never decreases; confirmedAt never
	// decreases, and every change that the store accepted before confirmedAt
	// is in current. Both are written under mu, current first, and read
	// without it: a reader that takes confirmedAt before current can't see it
	// with an older snapshot than the one it was written for.
	current     atomic.Pointer[storedSnapshot]
	confirmedAt atomic.Pointer[time.Time]

	mu             sync.Mutex
	changed        chan struct{}
	corrupt        *CorruptError // newest value that can't be decoded, nil if current is newer
	lastReadFailed bool          // the last read confirmed nothing
}

// inForce is a snapshot with the value in the store that it was decoded from.
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

// NewTracker returns a Tracker with the default tree at revision 0. Serve
// makes it follow the store.
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

// ConfirmedAt implements View. It is the time before the confirming read was
// sent, and zero before the first one.
func (t *Tracker) ConfirmedAt() time.Time { return *t.confirmedAt.Load() }

// Ready reports whether the store has confirmed a snapshot to this process.
func (t *Tracker) Ready() bool { return !t.ConfirmedAt().IsZero() }

// Changed returns a channel that is closed at the next change of Current.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Stored returns what the store holds of Current, for Offer at a peer.
func (t *Tracker) Stored() ([]byte, store.Revision) {
	current := t.current.Load()
	return current.value, current.snapshot.Revision()
}

// Corrupt returns the error of a newer value in the store that can't be
// decoded, or nil.
func (t *Tracker) Corrupt() *CorruptError {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.corrupt
}

// Vars returns the tracker's metrics.
func (t *Tracker) Vars() *expvar.Map { return t.vars.all }

// Offer gives the tracker a stored value that was learned elsewhere, for
// example from a peer. A revision that is not above the current one has no
// effect. It confirms nothing. The error is a *CorruptError.
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
	// Another goroutine may have advanced since the caller looked.
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

// Serve follows the store until ctx ends.
func (t *Tracker) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.confirmLoop(ctx) })
	group.Go(func() error { return t.watchLoop(ctx) })
	return group.Wait()
}

// confirmLoop starts a read in every interval, also while earlier ones are
// not answered: a connection that went silent costs one read, and a slow
// store delays the confirmation but does not make it rarer.
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

// confirm makes one read that is conditional on the newest revision seen.
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

// readNewest puts the newest revision in the store in force. It returns nil
// if every change that was accepted before the call is in force after it.
//
// An answer below what was seen before the call is stale. One below the
// current revision is not, if that one came into force during the call.
func (t *Tracker) readNewest(ctx context.Context) error {
	seen := t.newestSeen()
	entry, newer, err := t.store.GetNewer(ctx, TreeKey, seen)
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &missing):
		// No tree was ever accepted. The key is never deleted, so after a
		// tree was seen the answer is stale.
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

// corruptAt returns the error of a value that can't be decoded if it is that
// of revision, and nil otherwise.
func (t *Tracker) corruptAt(revision store.Revision) error {
	if c := t.Corrupt(); c != nil && c.Revision == revision {
		return c
	}
	return nil
}

// crossCheck makes a second read of another kind. A process that has just
// started knows no revision that would give a stale answer away, so it takes
// its first one only if both reads agree.
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

// StaleReadError reports two reads of the tree that disagree.
type StaleReadError struct {
	Revision store.Revision
	Other    store.Revision
}

func (e *StaleReadError) Error() string {
	return fmt.Sprintf("settings: reads of the tree disagree: revisions %d and %d", e.Revision, e.Other)
}

// newestSeen returns the highest revision that needs no transfer: the one in
// force, or a higher one that can't be decoded.
func (t *Tracker) newestSeen() store.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.corrupt != nil {
		return max(t.corrupt.Revision, t.Current().Revision())
	}
	return t.Current().Revision()
}

// note takes the result of a read that was sent at a time.
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

// watchLoop makes changes known at once. What it misses, confirmLoop finds.
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
		// An error is noted, and the confirming read keeps failing visibly.
		_ = t.Offer(ev.Value, ev.Revision)
	}
}
