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

// patience bounds the wait for a copy to follow the store in memory.
const patience = 5 * time.Second

// following is a mirror that runs, with the events that it has told.
type following struct {
	*Mirror
	mu     sync.Mutex
	events []store.Event
	names  []string
}

func follow(t *testing.T, s store.Transactional) *following {
	t.Helper()
	f := &following{}
	f.Mirror = New(s, "a/", 0, func(e store.Event) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.events = append(f.events, e)
	}, func(name string, _ ...any) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.names = append(f.names, name)
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = f.Serve(ctx) // ends with ctx only
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return f
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

func put(t *testing.T, s store.Transactional, key, value string) {
	t.Helper()
	if _, err := s.Commit(store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

func (f *following) shows(key, value string) func() bool {
	return func() bool {
		e, ok := f.Get(key)
		return ok && string(e.Value) == value
	}
}

func TestMirrorFollows(t *testing.T) {
	s := storetest.NewMemory()
	put(t, s, "a/1", "before")
	put(t, s, "b/1", "of another prefix")
	f := follow(t, s)
	await(t, "what was there", f.shows("a/1", "before"))
	put(t, s, "a/1", "after")
	await(t, "a change", f.shows("a/1", "after"))
	if _, err := s.Commit(store.Txn{Deletes: []string{"a/1"}}); err != nil {
		t.Fatal(err)
	}
	await(t, "a deletion", func() bool { _, ok := f.Get("a/1"); return !ok })
	if _, ok := f.Get("b/1"); ok {
		t.Error("a key of another prefix is copied")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	last := store.Revision(0)
	for _, e := range f.events {
		if e.Revision <= last {
			t.Errorf("revision %d told after %d", e.Revision, last)
		}
		last = e.Revision
	}
}

// The store drops its history while keys come and go: the copy is read anew,
// and what is gone is told as deleted.
func TestMirrorAfterHistoryIsDropped(t *testing.T) {
	s := storetest.NewMemory()
	for i := range 5 {
		put(t, s, fmt.Sprintf("a/%d", i), "old")
	}
	f := follow(t, s)
	await(t, "the first copy", f.shows("a/4", "old"))
	s.SetFault(storetest.FaultDown)
	await(t, "the loss of the store", f.Disconnected)
	s.SetFault(storetest.FaultNone)
	if _, err := s.Commit(store.Txn{Deletes: []string{"a/0"}}); err != nil {
		t.Fatal(err)
	}
	put(t, s, "a/4", "new")
	s.Compact()
	await(t, "the change", f.shows("a/4", "new"))
	await(t, "the deletion", func() bool { _, ok := f.Get("a/0"); return !ok })
	await(t, "contact", func() bool { return !f.Disconnected() })
}

// A page that was read before a change came must not bring the old value back.
func TestMirrorNeverGoesBack(t *testing.T) {
	var told []store.Event
	m := New(storetest.NewMemory(), "a/", 0, func(e store.Event) { told = append(told, e) }, func(string, ...any) {})
	at := func(revision store.Revision, deleted bool) store.Event {
		return store.Event{Entry: store.Entry{Key: "a/1", Value: []byte{byte(revision)}, Revision: revision}, Deleted: deleted}
	}
	m.take([]store.Event{at(5, false), at(3, false), at(7, true), at(6, false), at(7, false)})
	if len(told) != 2 || told[1].Revision != 7 || !told[1].Deleted {
		t.Errorf("told %v, want revisions 5 and 7", told)
	}
	if _, ok := m.Get("a/1"); ok {
		t.Error("a deleted key came back")
	}
}
