package storetest

import (
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/store"
)

// Memory is an in-memory store.Transactional with injectable faults. It is safe
// for concurrent use.
type Memory struct {
	mu          sync.Mutex
	changed     chan struct{}
	revision    store.Revision
	entries     map[string]store.Entry
	history     []store.Event
	compactedTo store.Revision // changes up to this revision are no longer available
	leases      map[store.LeaseID]bool
	nextLease   store.LeaseID
	fault       Fault
	commits     int
}

// Fault is a fault that a Memory injects.
type Fault int

// Faults.
const (
	FaultNone         Fault = iota
	FaultDown               // every call fails and nothing is applied
	FaultLostResponse       // commits are applied, but their responses lost
	FaultLostRequest        // commits are lost and not applied; their outcome is unknown
)

// ErrInjected is the cause of injected failures.
var ErrInjected = errors.New("storetest: injected fault")

// NewMemory returns an empty store at revision 1.
func NewMemory() *Memory {
	return &Memory{changed: make(chan struct{}), revision: 1, entries: make(map[string]store.Entry), leases: make(map[store.LeaseID]bool)}
}

// SetFault selects the fault to inject from now on.
func (m *Memory) SetFault(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Compact drops the history of changes.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history, m.compactedTo = nil, m.revision
}

// CompactTo drops the history of changes up to a revision.
func (m *Memory) CompactTo(revision store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.compactedTo {
		return
	}
	m.compactedTo = revision
	m.history = slices.DeleteFunc(m.history, func(e store.Event) bool { return e.Revision <= revision })
}

// ExpireLease ends a lease as if its holder had not renewed it.
func (m *Memory) ExpireLease(id store.LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endLease(id)
}

// Commits returns the number of transactions applied so far.
func (m *Memory) Commits() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.commits
}

// failIfDown returns an error if FaultDown is set. The caller holds the mutex.
func (m *Memory) failIfDown(op string) error {
	if m.fault == FaultDown {
		return &store.UnavailableError{Op: op, Cause: ErrInjected}
	}
	return nil
}

// Get implements store.Transactional.
func (m *Memory) Get(key string) (store.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.failIfDown("get"); err != nil {
		return store.Entry{}, err
	}
	e, ok := m.entries[key]
	if !ok {
		return store.Entry{}, &store.NotFoundError{Key: key}
	}
	return e, nil
}

// pageEntries is the maximum number of entries per page. It is small so that tests
// read several pages.
const pageEntries = 50

// Page implements store.Transactional.
func (m *Memory) Page(prefix, after string) ([]store.Entry, bool, store.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.failIfDown("range"); err != nil {
		return nil, false, 0, err
	}
	var keys []string
	for key := range m.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageEntries
	if more {
		keys = keys[:pageEntries]
	}
	var entries []store.Entry
	for _, key := range keys {
		entries = append(entries, m.entries[key])
	}
	return entries, more, m.revision, nil
}

// Changes implements store.Transactional.
func (m *Memory) Changes(prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	deadline := time.After(wait)
	for {
		m.mu.Lock()
		if err := m.failIfDown("watch"); err != nil {
			m.mu.Unlock()
			return nil, 0, err
		}
		if after < m.compactedTo {
			m.mu.Unlock()
			return nil, 0, &store.CompactedError{After: after}
		}
		var events []store.Event
		for _, e := range m.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := m.revision, m.changed
		m.mu.Unlock()
		if len(events) > 0 {
			return events, revision, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, revision, nil
		}
	}
}

// Commit implements store.Transactional.
func (m *Memory) Commit(txn store.Txn) (store.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.failIfDown("commit"); err != nil {
		return 0, err
	}
	if txn.Entries() > store.MaxTxnEntries {
		return 0, &store.BadRequestError{Message: "too many entries"}
	}
	if m.fault == FaultLostRequest {
		return 0, &store.UnknownOutcomeError{Op: "commit", Cause: ErrInjected}
	}
	if err := m.check(txn); err != nil {
		return 0, err
	}
	m.apply(txn)
	m.commits++
	if m.fault == FaultLostResponse {
		return 0, &store.UnknownOutcomeError{Op: "commit", Cause: ErrInjected}
	}
	return m.revision, nil
}

func (m *Memory) check(txn store.Txn) error {
	conflict := false
	var current []store.Entry
	for _, c := range txn.Checks {
		e := m.entries[c.Key]
		conflict = conflict || e.Revision != c.Revision
		if e.Revision != 0 {
			current = append(current, e)
		}
	}
	if conflict {
		return &store.TxnConflictError{Current: current}
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && !m.leases[p.Lease] {
			return &store.LeaseGoneError{Lease: p.Lease}
		}
	}
	return nil
}

func (m *Memory) apply(txn store.Txn) {
	m.revision++
	for _, p := range txn.Puts {
		m.entries[p.Key] = store.Entry{Key: p.Key, Value: slices.Clone(p.Value), Revision: m.revision, Lease: p.Lease}
		m.history = append(m.history, store.Event{Entry: m.entries[p.Key]})
	}
	for _, key := range txn.Deletes {
		m.remove(key)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) remove(key string) {
	if _, ok := m.entries[key]; !ok {
		return
	}
	delete(m.entries, key)
	m.history = append(m.history, store.Event{Entry: store.Entry{Key: key, Revision: m.revision}, Deleted: true})
}

// Grant implements store.Transactional.
func (m *Memory) Grant(time.Duration) (store.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.failIfDown("grant"); err != nil {
		return 0, err
	}
	m.nextLease++
	m.leases[m.nextLease] = true
	return m.nextLease, nil
}

// Renew implements store.Transactional.
func (m *Memory) Renew(id store.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.failIfDown("renew"); err != nil {
		return err
	}
	if !m.leases[id] {
		return &store.LeaseGoneError{Lease: id}
	}
	return nil
}

// Revoke implements store.Transactional.
func (m *Memory) Revoke(id store.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.failIfDown("revoke"); err != nil {
		return err
	}
	m.endLease(id)
	return nil
}

func (m *Memory) endLease(id store.LeaseID) {
	delete(m.leases, id)
	m.revision++
	for key, e := range m.entries {
		if e.Lease == id {
			m.remove(key)
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}
