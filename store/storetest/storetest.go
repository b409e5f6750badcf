// Package storetest holds tests of the contracts of store.Store and
// store.Transactional, and an in-memory implementation of the latter.
package storetest

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/store"
)

const leaseTTL = 200 * time.Millisecond

// Run tests the contract of store.Store. Each subtest calls open for an empty
// store.
func Run(t *testing.T, open func(t *testing.T) store.Store) {
	t.Run("compare-and-swap", func(t *testing.T) { testCompareAndSwap(t, open(t)) })
	t.Run("delete", func(t *testing.T) { testDelete(t, open(t)) })
	t.Run("list", func(t *testing.T) { testList(t, open(t)) })
	t.Run("lease", func(t *testing.T) { testLease(t, open(t)) })
	t.Run("watch", func(t *testing.T) { testWatch(t, open(t)) })
	t.Run("too large", func(t *testing.T) { testTooLarge(t, open(t)) })
}

// requireError fails the test unless err wraps a T.
func requireError[T error](t *testing.T, err error) {
	t.Helper()
	var target T
	if !errors.As(err, &target) {
		t.Fatalf("error %v, want a %T", err, target)
	}
}

// write writes by compare-and-swap and returns the new revision.
func write(t *testing.T, s store.Store, key string, expect store.Revision, value string, lease store.LeaseID) store.Revision {
	t.Helper()
	rev, err := s.CompareAndSwap(t.Context(), key, expect, []byte(value), lease)
	if err != nil {
		t.Fatal(err)
	}
	return rev
}

func testCompareAndSwap(t *testing.T, s store.Store) {
	_, err := s.Get(t.Context(), "a")
	requireError[*store.NotFoundError](t, err)
	first := write(t, s, "a", 0, "1", 0)
	_, err = s.CompareAndSwap(t.Context(), "a", 0, []byte("2"), 0)
	requireError[*store.ConflictError](t, err)
	second := write(t, s, "a", first, "2", 0)
	if second <= first {
		t.Fatalf("revision %d after %d", second, first)
	}
	e, newer, err := s.GetNewer(t.Context(), "a", first)
	if err != nil || !newer || string(e.Value) != "2" || e.Revision != second {
		t.Fatalf("got %+v, newer %v, error %v", e, newer, err)
	}
	e, newer, err = s.GetNewer(t.Context(), "a", second)
	if err != nil || newer || e.Revision != 0 || e.Value != nil {
		t.Fatalf("got %+v, newer %v, error %v", e, newer, err)
	}
}

func testDelete(t *testing.T, s store.Store) {
	rev := write(t, s, "a", 0, "1", 0)
	requireError[*store.ConflictError](t, s.Delete(t.Context(), "a", rev+1))
	if err := s.Delete(t.Context(), "a", rev); err != nil {
		t.Fatal(err)
	}
	_, err := s.Get(t.Context(), "a")
	requireError[*store.NotFoundError](t, err)
}

func testList(t *testing.T, s store.Store) {
	write(t, s, "a/2", 0, "2", 0)
	write(t, s, "a/1", 0, "1", 0)
	last := write(t, s, "b", 0, "3", 0)
	entries, rev, err := s.List(t.Context(), "a/")
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) != 2 || entries[0].Key != "a/1" || rev != last {
		t.Fatalf("got %v at %d", entries, rev)
	}
}

func testLease(t *testing.T, s store.Store) {
	_, err := s.CompareAndSwap(t.Context(), "a", 0, nil, 9999)
	requireError[*store.LeaseGoneError](t, err)
	lease, err := s.Grant(t.Context(), leaseTTL)
	if err != nil {
		t.Fatal(err)
	}
	write(t, s, "a", 0, "1", lease)
	for range 4 {
		time.Sleep(leaseTTL / 2)
		if err := s.Renew(t.Context(), lease); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Get(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * leaseTTL)
	_, err = s.Get(t.Context(), "a")
	requireError[*store.NotFoundError](t, err)
	requireError[*store.LeaseGoneError](t, s.Renew(t.Context(), lease))
	requireError[*store.LeaseGoneError](t, s.Revoke(t.Context(), lease))
}

func testWatch(t *testing.T, s store.Store) {
	ctx, cancel := context.WithCancel(t.Context())
	first := write(t, s, "a/1", 0, "1", 0)
	second := write(t, s, "a/1", first, "2", 0)
	events, err := s.Watch(ctx, "a/", first)
	if err != nil {
		t.Fatal(err)
	}
	if ev := <-events; ev.Revision != second || string(ev.Value) != "2" {
		t.Fatalf("got %+v", ev)
	}
	write(t, s, "b", 0, "other prefix", 0)
	if err := s.Delete(t.Context(), "a/1", second); err != nil {
		t.Fatal(err)
	}
	if ev := <-events; !ev.Deleted || ev.Key != "a/1" || ev.Revision <= second {
		t.Fatalf("got %+v", ev)
	}
	cancel()
	for range events {
		t.Fatal("event after the context ended")
	}
}

func testTooLarge(t *testing.T, s store.Store) {
	_, err := s.CompareAndSwap(t.Context(), "a", 0, make([]byte, store.MaxValueBytes+1), 0)
	requireError[*store.TooLargeError](t, err)
}
