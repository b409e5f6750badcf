package storetest

import (
	"errors"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/store"
)

// RunTransactions tests the contract of store.Transactional with s, which must be
// empty.
func RunTransactions(t *testing.T, s store.Transactional) {
	t.Helper()
	first, err := s.Commit(store.Txn{
		Checks: []store.Check{{Key: "t/a"}},
		Puts:   []store.Put{{Key: "t/a", Value: []byte("1")}, {Key: "t/b", Value: []byte{0, 255}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	testConflict(t, s, first)
	testPage(t, s, first)
	testChanges(t, s, first)
	testTxnLease(t, s)
}

func testConflict(t *testing.T, s store.Transactional, first store.Revision) {
	t.Helper()
	_, err := s.Commit(store.Txn{Checks: []store.Check{{Key: "t/a"}, {Key: "t/none", Revision: 3}}, Puts: []store.Put{{Key: "t/c", Value: []byte("x")}}})
	var conflict *store.TxnConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("error %v, want a conflict", err)
	}
	if e := conflict.At("t/a"); e.Revision != first || string(e.Value) != "1" {
		t.Errorf("the conflict holds %+v, want revision %d", e, first)
	}
	if e := conflict.At("t/none"); e.Revision != 0 {
		t.Errorf("the conflict holds %+v for a missing key", e)
	}
	_, err = s.Get("t/c")
	requireError[*store.NotFoundError](t, err)
}

func testPage(t *testing.T, s store.Transactional, first store.Revision) {
	t.Helper()
	entries, more, revision, err := s.Page("t/", "")
	if err != nil || more || len(entries) != 2 || revision < first {
		t.Fatalf("page %+v, more %v, revision %d, error %v", entries, more, revision, err)
	}
	if string(entries[1].Value) != "\x00\xff" || entries[1].Key != "t/b" {
		t.Errorf("second entry %+v", entries[1])
	}
	rest, _, _, err := s.Page("t/", "t/a")
	if err != nil || len(rest) != 1 || rest[0].Key != "t/b" {
		t.Errorf("page after t/a %+v, error %v", rest, err)
	}
}

func testChanges(t *testing.T, s store.Transactional, first store.Revision) {
	t.Helper()
	second, err := s.Commit(store.Txn{Checks: []store.Check{{Key: "t/a", Revision: first}}, Puts: []store.Put{{Key: "t/a", Value: []byte("2")}}, Deletes: []string{"t/b"}})
	if err != nil {
		t.Fatal(err)
	}
	events, revision, err := s.Changes("t/", first, time.Second)
	if err != nil || len(events) != 2 || revision < second {
		t.Fatalf("changes %+v, revision %d, error %v", events, revision, err)
	}
	if events[0].Deleted || string(events[0].Value) != "2" || !events[1].Deleted || events[1].Key != "t/b" {
		t.Errorf("changes %+v", events)
	}
	if events, _, err := s.Changes("t/", revision, 10*time.Millisecond); err != nil || len(events) != 0 {
		t.Errorf("changes %+v, error %v, want none", events, err)
	}
}

func testTxnLease(t *testing.T, s store.Transactional) {
	t.Helper()
	lease, err := s.Grant(time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Commit(store.Txn{Puts: []store.Put{{Key: "t/leased", Value: []byte("x"), Lease: lease}}}); err != nil {
		t.Fatal(err)
	}
	if err := s.Renew(lease); err != nil {
		t.Fatal(err)
	}
	if err := s.Revoke(lease); err != nil {
		t.Fatal(err)
	}
	_, err = s.Get("t/leased")
	requireError[*store.NotFoundError](t, err)
	requireError[*store.LeaseGoneError](t, s.Renew(lease))
	_, err = s.Commit(store.Txn{Puts: []store.Put{{Key: "t/leased", Value: []byte("x"), Lease: lease}}})
	requireError[*store.LeaseGoneError](t, err)
}
