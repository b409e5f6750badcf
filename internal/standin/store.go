package standin

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// historyLimit is the maximum number of events that a Store keeps for watches.
const historyLimit = 4096

// StoreFaults are the faults that a Store injects. Calls fail in the way that
// network faults would make them fail.
type StoreFaults struct {
	Down       bool          // every call fails, nothing is applied
	Delay      time.Duration // before every call
	LoseReply  int           // the next n writes are applied but their replies are lost
	StaleReads int           // the next n Get and GetNewer calls return the value before the last write
}

// Store is an in-memory stand-in for the platform's key-value service. It
// implements store.Store in process; StoreServer serves it over HTTP. It is safe
// for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision store.Revision
	entries  map[string]store.Entry
	previous map[string]store.Entry
	leases   map[store.LeaseID]*lease
	nextID   store.LeaseID
	history  []store.Event
	changed  chan struct{} // closed and replaced on every change
	faults   StoreFaults
	writes   int
	reads    int
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

var _ store.Store = (*Store)(nil)

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{
		entries:  make(map[string]store.Entry),
		previous: make(map[string]store.Entry),
		leases:   make(map[store.LeaseID]*lease),
		changed:  make(chan struct{}),
	}
}

// SetFaults replaces the faults in effect. HTTP watches that wait when the store
// goes down fail.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.signalChange()
}

// Calls returns the number of reads (including watches) and writes so far.
func (s *Store) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// ExpireLease expires a lease, as if its holder had been paused past its TTL.
func (s *Store) ExpireLease(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

// ExpireAllLeases expires every lease.
func (s *Store) ExpireAllLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

func (s *Store) signalChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// enter applies the delay and outage faults. It returns with s.mu held if the
// error is nil.
func (s *Store) enter(ctx context.Context, op string, write bool) error {
	s.mu.Lock()
	delay := s.faults.Delay
	s.mu.Unlock()
	if err := wait.For(ctx, delay); err != nil {
		return eris.Wrap(&store.UnavailableError{Op: op, Cause: err}, "standin")
	}
	s.mu.Lock()
	if s.faults.Down {
		s.mu.Unlock()
		return eris.Wrap(&store.UnavailableError{Op: op, Cause: errDown}, "standin")
	}
	if write {
		s.writes++
	} else {
		s.reads++
	}
	return nil
}

// DownError is the cause of errors of calls that fail in an outage.
type DownError struct{}

func (*DownError) Error() string { return "standin: down" }

// ReplyLostError is the cause of errors of calls whose reply is lost.
type ReplyLostError struct{}

func (*ReplyLostError) Error() string { return "standin: reply lost" }

var (
	errDown      = &DownError{}
	errReplyLost = &ReplyLostError{}
)

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.enter(ctx, "read", false); err != nil {
		return store.Entry{}, err
	}
	defer s.mu.Unlock()
	e, ok := s.read(key)
	if !ok {
		return store.Entry{}, eris.Wrap(&store.NotFoundError{Key: key}, "standin")
	}
	return e, nil
}

func (s *Store) read(key string) (store.Entry, bool) {
	e, ok := s.entries[key]
	if s.faults.StaleReads > 0 {
		s.faults.StaleReads--
		if old, had := s.previous[key]; had {
			return old, true
		}
	}
	return e, ok
}

// GetNewer implements store.Store.
func (s *Store) GetNewer(ctx context.Context, key string, known store.Revision) (store.Entry, bool, error) {
	e, err := s.Get(ctx, key)
	if err != nil {
		return store.Entry{}, false, err
	}
	if e.Revision == known {
		return store.Entry{}, false, nil
	}
	return e, true, nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	if err := s.enter(ctx, "list", false); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	return s.list(prefix), s.revision, nil
}

func (s *Store) list(prefix string) []store.Entry {
	var found []store.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b store.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return found
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, id store.LeaseID) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, eris.Wrap(&store.TooLargeError{Key: key, Bytes: len(value)}, "standin")
	}
	if err := s.enter(ctx, "write", true); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if actual := s.entries[key].Revision; actual != expect {
		return 0, eris.Wrap(&store.ConflictError{Key: key, Expect: expect, Actual: actual}, "standin")
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return 0, eris.Wrap(&store.LeaseGoneError{Lease: id}, "standin")
	}
	s.revision++
	e := store.Entry{Key: key, Value: slices.Clone(value), Revision: s.revision, Lease: id}
	if old, ok := s.entries[key]; ok {
		s.previous[key] = old
	}
	s.entries[key] = e
	s.appendHistory(store.Event{Entry: e})
	return s.revision, s.loseReply("write", key)
}

func (s *Store) loseReply(op, key string) error {
	if s.faults.LoseReply == 0 {
		return nil
	}
	s.faults.LoseReply--
	return eris.Wrap(&store.UnknownOutcomeError{Op: op, Key: key, Cause: errReplyLost}, "standin")
}

func (s *Store) appendHistory(ev store.Event) {
	s.history = append(s.history, ev)
	if len(s.history) > historyLimit {
		s.history = slices.Clone(s.history[len(s.history)-historyLimit/2:])
	}
	s.signalChange()
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, expect store.Revision) error {
	if err := s.enter(ctx, "delete", true); err != nil {
		return err
	}
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok || e.Revision != expect {
		return eris.Wrap(&store.ConflictError{Key: key, Expect: expect, Actual: e.Revision}, "standin")
	}
	s.remove(key)
	return s.loseReply("delete", key)
}

func (s *Store) remove(key string) {
	s.revision++
	delete(s.entries, key)
	delete(s.previous, key)
	s.appendHistory(store.Event{Entry: store.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.enter(ctx, "grant", true); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.ExpireLease(id) })}
	return id, nil
}

// Renew implements store.Store.
func (s *Store) Renew(ctx context.Context, id store.LeaseID) error {
	if err := s.enter(ctx, "renew", true); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return eris.Wrap(&store.LeaseGoneError{Lease: id}, "standin")
	}
	l.timer.Reset(l.ttl)
	return nil
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := s.enter(ctx, "revoke", true); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return eris.Wrap(&store.LeaseGoneError{Lease: id}, "standin")
	}
	s.endLease(id)
	return nil
}

func (s *Store) endLease(id store.LeaseID) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for _, e := range s.list("") {
		if e.Lease == id {
			s.remove(e.Key)
		}
	}
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision) (<-chan store.Event, error) {
	if err := s.enter(ctx, "watch", false); err != nil {
		return nil, err
	}
	s.mu.Unlock()
	events := make(chan store.Event)
	go func() {
		defer close(events)
		s.watch(ctx, prefix, after, events)
	}()
	return events, nil
}

func (s *Store) watch(ctx context.Context, prefix string, after store.Revision, events chan<- store.Event) {
	for ctx.Err() == nil {
		list, changed := s.since(prefix, after)
		for _, ev := range list.Events {
			select {
			case events <- ev:
			case <-ctx.Done():
				return
			}
		}
		after = max(after, list.Revision)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// since returns the events under prefix after a revision, and a channel that is
// closed on the next change. In an outage it returns no events.
func (s *Store) since(prefix string, after store.Revision) (store.WireList, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return store.WireList{Revision: after}, s.changed
	}
	list := store.WireList{Revision: s.revision}
	if len(s.history) > 0 && s.history[0].Revision > after+1 && s.revision > after {
		list.Compacted = true
		list.Entries = s.list(prefix)
		for _, e := range list.Entries {
			if e.Revision > after {
				list.Events = append(list.Events, store.Event{Entry: e})
			}
		}
		slices.SortFunc(list.Events, func(a, b store.Event) int { return cmp.Compare(a.Revision, b.Revision) })
		return list, s.changed
	}
	for _, ev := range s.history {
		if ev.Revision > after && strings.HasPrefix(ev.Key, prefix) {
			list.Events = append(list.Events, ev)
		}
	}
	return list, s.changed
}
