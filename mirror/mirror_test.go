package mirror

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/store/storetest"
)

// syncTimeout bounds the wait for a mirror to catch up with the in-memory store.
const syncTimeout = 5 * time.Second

// runningMirror is a mirror that is being served, with the events that it has
// applied and the log events.
type runningMirror struct {
	*Mirror
	mu     sync.Mutex
	events []store.Event
	names  []string
}

func startMirror(t *testing.T, s store.Transactional) *runningMirror {
	t.Helper()
	m := &runningMirror{}
	m.Mirror = New(s, "a/", 0, func(e store.Event) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.events = append(m.events, e)
	}, func(name string, _ ...any) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.names = append(m.names, name)
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = m.Serve(ctx) // ends with ctx only
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return m
}

// waitUntil waits until a condition holds, and fails the test after syncTimeout.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(syncTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v waiting for %s", syncTimeout, what)
		}
	}
}

func put(t *testing.T, s store.Transactional, key, value string) {
	t.Helper()
	if _, err := s.Commit(store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

func (f *runningMirror) hasValue(key, value string) func() bool {
	return func() bool {
		e, ok := f.Get(key)
		return ok && string(e.Value) == value
	}
}

func TestMirrorFollows(t *testing.T) {
	s := storetest.NewMemory()
	put(t, s, "a/1", "before")
	put(t, s, "b/1", "under another prefix")
	f := startMirror(t, s)
	waitUntil(t, "the existing key", f.hasValue("a/1", "before"))
	put(t, s, "a/1", "after")
	waitUntil(t, "the changed value", f.hasValue("a/1", "after"))
	if _, err := s.Commit(store.Txn{Deletes: []string{"a/1"}}); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the deletion", func() bool { _, ok := f.Get("a/1"); return !ok })
	if _, ok := f.Get("b/1"); ok {
		t.Error("a key under another prefix was copied")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	last := store.Revision(0)
	for _, e := range f.events {
		if e.Revision <= last {
			t.Errorf("revision %d applied after %d", e.Revision, last)
		}
		last = e.Revision
	}
}

// After the store has dropped history that the mirror has not read, the mirror
// reloads all keys and reports those no longer present as deleted.
func TestMirrorAfterHistoryIsDropped(t *testing.T) {
	s := storetest.NewMemory()
	for i := range 5 {
		put(t, s, fmt.Sprintf("a/%d", i), "old")
	}
	f := startMirror(t, s)
	waitUntil(t, "the initial load", f.hasValue("a/4", "old"))
	s.SetFault(storetest.FaultDown)
	waitUntil(t, "the connection loss", f.Disconnected)
	s.SetFault(storetest.FaultNone)
	if _, err := s.Commit(store.Txn{Deletes: []string{"a/0"}}); err != nil {
		t.Fatal(err)
	}
	put(t, s, "a/4", "new")
	s.Compact()
	waitUntil(t, "the change", f.hasValue("a/4", "new"))
	waitUntil(t, "the deletion", func() bool { _, ok := f.Get("a/0"); return !ok })
	waitUntil(t, "contact", func() bool { return !f.Disconnected() })
}

// Guards against a page that was read before a change and restores the old value
// when applied after it.
func TestMirrorIgnoresOlderRevisions(t *testing.T) {
	var applied []store.Event
	m := New(storetest.NewMemory(), "a/", 0, func(e store.Event) { applied = append(applied, e) }, func(string, ...any) {})
	at := func(revision store.Revision, deleted bool) store.Event {
		return store.Event{Entry: store.Entry{Key: "a/1", Value: []byte{byte(revision)}, Revision: revision}, Deleted: deleted}
	}
	m.applyNewer([]store.Event{at(5, false), at(3, false), at(7, true), at(6, false), at(7, false)})
	if len(applied) != 2 || applied[1].Revision != 7 || !applied[1].Deleted {
		t.Errorf("applied %v, want revisions 5 and 7", applied)
	}
	if _, ok := m.Get("a/1"); ok {
		t.Error("a deleted key was restored")
	}
}
