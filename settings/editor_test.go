package settings

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// hookedStore is a store that lets a test intercept writes of TreeKey.
type hookedStore struct {
	store.Store
	// write is called instead of the nth write, counted from 1. Calling apply
	// makes that write.
	write  func(n int, apply func() (store.Revision, error)) (store.Revision, error)
	writes int
	// accepted holds the values that the store accepted, if it is not nil.
	accepted map[store.Revision]string
}

func (h *hookedStore) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	apply := func() (store.Revision, error) {
		revision, err := h.Store.CompareAndSwap(ctx, key, expect, value, lease)
		if err == nil && h.accepted != nil {
			h.accepted[revision] = string(value)
		}
		return revision, err
	}
	if key != TreeKey || h.write == nil {
		return apply()
	}
	h.writes++
	return h.write(h.writes, apply)
}

func lostReplyError() error {
	return eris.Wrap(&store.UnknownOutcomeError{Op: "write", Key: TreeKey, Cause: &standin.ReplyLostError{}}, "test")
}

func newSeededStore(t testing.TB) *standin.Store {
	t.Helper()
	s := standin.NewStore()
	value, err := (&document{Tree: mustDecode(t, example)}).encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.CompareAndSwap(t.Context(), TreeKey, 0, value, 0); err != nil {
		t.Fatal(err)
	}
	return s
}

func newTestEditor(s store.Store) *Editor { return NewEditor(s, time.Now) }

func set(id, path, value string) Change {
	return Change{ID: id, Actor: "ana", Path: path, Value: json.RawMessage(value)}
}

func valueAt(t testing.TB, s store.Store, path string) string {
	t.Helper()
	cur, err := newTestEditor(s).load(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	value, err := cur.doc.Tree.Get(path)
	var missing *NotFoundError
	if errors.As(err, &missing) {
		return "unset"
	}
	if err != nil {
		t.Fatal(err)
	}
	return string(value)
}

// countRecords returns the number of audit records with a change ID.
func countRecords(t testing.TB, s store.Store, id string) int {
	t.Helper()
	records, err := newTestEditor(s).History(t.Context(), 0, 1000)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, r := range records {
		if r.ID == id {
			n++
		}
	}
	return n
}

func TestApply(t *testing.T) {
	const leaf = "organisations.balkantrans.data_centres.sofia-1.services.reclaim.objective_ms"
	tests := []struct {
		name   string
		change Change
		old    string
		want   string // value at the path afterwards, or part of the error
		err    any
	}{
		{"replace", set("1", "values.objective_ms", "70"), "100", "70", nil},
		{"add", set("1", "values.grace_ms", "10"), "", "10", nil},
		{"leaf", set("1", leaf, "30"), "40", "30", nil},
		{"new levels", set("1", "organisations.verband.data_centres.ruse.services.plan.objective_ms", "30"), "", "30", nil},
		{"subtree", set("1", "organisations.verband", `{ "values": { "priority": 3 } }`), "{}", `{"values":{"priority":3}}`, nil},
		{"state", set("1", "data_centres.sofia-1.state", `"out"`), `"in"`, `"out"`, nil},
		{"quota", set("1", "teams.fuel.quota.milli_cores", "1"), "64000", "1", nil},
		{"unset", Change{ID: "1", Actor: "ana", Path: leaf}, "40", "unset", nil},
		{"unset a path that is not set", Change{ID: "1", Actor: "ana", Path: "values.grace_ms"}, "", "values.grace_ms is not set", new(*NotFoundError)},
		{"out of range", set("1", leaf, "0"), "", leaf + ": 0 is out of range, allowed: 1 to 600000", new(*InvalidError)},
		{"unknown name", set("1", "values.objective", "1"), "", "values.objective: unknown name", new(*InvalidError)},
		{"below a value", set("1", "values.objective_ms.x", "1"), "", "goes below a value", new(*InvalidError)},
		{"empty name", set("1", "values..x", "1"), "", "empty name", new(*InvalidError)},
		{"invalid JSON", set("1", "values.objective_ms", "{"), "", "not valid JSON", new(*InvalidError)},
		{"too long", set("1", "values.objective_ms", `"`+strings.Repeat("<", MaxChangeBytes/6)+`"`), "", "the limit is", new(*InvalidError)},
		{"no ID", set("", "values.objective_ms", "1"), "", "change ID", new(*InvalidError)},
		{"no path", set("1", "", "1"), "", "path", new(*InvalidError)},
		{"cells", set("1", "data_centres.sofia-1.cells", "4"), "", "data_centres.sofia-1.cells cannot change", new(*ImmutableError)},
		{"cells by subtree", set("1", "data_centres.sofia-1", `{"region": "bulgaria", "state": "in", "cells": 4}`), "", "cells cannot change", new(*ImmutableError)},
		{"region", set("1", "data_centres.ruse.region", `"x"`), "", "region cannot change", new(*ImmutableError)},
		{"remove data centre", Change{ID: "1", Actor: "ana", Path: "data_centres.ruse"}, "", "data_centres.ruse cannot change", new(*ImmutableError)},
		{"change shards of team", set("1", "teams.fuel.shards", "3"), "", "teams.fuel.shards cannot change", new(*ImmutableError)},
		{"region of a team", set("1", "teams.fuel.region", `"x"`), "", "teams.fuel.region", new(*InvalidError)},
		{"organisation of a team", set("1", "teams.fuel.organisation", `"verband"`), "", "teams.fuel.organisation cannot change", new(*ImmutableError)},
		{"remove teams", Change{ID: "1", Actor: "ana", Path: "teams"}, "", "teams.fuel cannot change", new(*ImmutableError)},
		{"stale expectation", Change{ID: "1", Actor: "ana", Path: leaf, Expect: 77}, "", "at revision 1, not 77", new(*ConflictError)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSeededStore(t)
			before := valueAt(t, s, "")
			rec, err := newTestEditor(s).Apply(t.Context(), tt.change)
			if tt.err != nil {
				if !errors.As(err, tt.err) || !strings.Contains(err.Error(), tt.want) {
					t.Errorf("got %v, want %T with %q", err, tt.err, tt.want)
				}
				if after := valueAt(t, s, ""); after != before {
					t.Errorf("a rejected change altered the tree to %s", after)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if got := valueAt(t, s, tt.change.Path); got != tt.want {
				t.Errorf("value is %s, want %s", got, tt.want)
			}
			if string(rec.Old) != tt.old || rec.Predecessor != 1 || rec.Revision != 2 || rec.Actor != "ana" || rec.Time.IsZero() {
				t.Errorf("record %+v, want old %s", rec, tt.old)
			}
		})
	}
}

// After a lost reply Apply must report what the store actually did, and
// repeating the change must never apply it twice.
func TestLostReply(t *testing.T) {
	const path = "values.objective_ms"
	type apply = func() (store.Revision, error)
	tests := []struct {
		name  string
		write func(s *standin.Store, n int, apply apply) (store.Revision, error)
		err   any // nil: the change is accepted
	}{
		{"applied", func(_ *standin.Store, n int, apply apply) (store.Revision, error) {
			rev, err := apply()
			if n == 1 {
				return 0, lostReplyError()
			}
			return rev, err
		}, nil},
		{"not applied", func(_ *standin.Store, n int, apply apply) (store.Revision, error) {
			if n == 1 {
				return 0, lostReplyError()
			}
			return apply()
		}, nil},
		{"replies lost four times, applied by the last write", func(_ *standin.Store, n int, apply apply) (store.Revision, error) {
			if n < 4 {
				return 0, lostReplyError()
			}
			if _, err := apply(); err != nil {
				return 0, err
			}
			return 0, lostReplyError()
		}, nil},
		{"context error instead of a reply", func(_ *standin.Store, n int, apply apply) (store.Revision, error) {
			rev, err := apply()
			if n == 1 {
				return 0, context.DeadlineExceeded
			}
			return rev, err
		}, nil},
		{"first write arrives late, before its repetition", func(_ *standin.Store, n int, apply apply) (store.Revision, error) {
			if n == 1 {
				return 0, lostReplyError()
			}
			// The first write: the same bytes against the same revision.
			if _, err := apply(); err != nil {
				return 0, err
			}
			return apply()
		}, nil},
		{"not applied, another change came first", func(s *standin.Store, n int, apply apply) (store.Revision, error) {
			if n == 1 {
				if _, err := newTestEditor(s).Apply(context.Background(), Change{ID: "winner", Actor: "boris", Path: path, Value: json.RawMessage("60")}); err != nil {
					return 0, err
				}
				return 0, lostReplyError()
			}
			return apply()
		}, new(*ConflictError)},
		{"applied, then overwritten", func(s *standin.Store, n int, apply apply) (store.Revision, error) {
			if _, err := apply(); err != nil {
				return 0, err
			}
			if _, err := newTestEditor(s).Apply(context.Background(), Change{ID: "winner", Actor: "boris", Path: path, Value: json.RawMessage("60")}); err != nil {
				return 0, err
			}
			return 0, lostReplyError()
		}, nil},
		{"applied, then the store goes down", func(s *standin.Store, _ int, apply apply) (store.Revision, error) {
			if _, err := apply(); err != nil {
				return 0, err
			}
			s.SetFaults(standin.StoreFaults{Down: true})
			return 0, lostReplyError()
		}, new(*UnknownOutcomeError)},
		{"not applied, then the store goes down", func(s *standin.Store, n int, apply apply) (store.Revision, error) {
			if n > 1 {
				return apply()
			}
			s.SetFaults(standin.StoreFaults{Down: true})
			return 0, lostReplyError()
		}, new(*UnknownOutcomeError)},
		{"conflict, then the store goes down", func(s *standin.Store, _ int, apply apply) (store.Revision, error) {
			if _, err := newTestEditor(s).Apply(context.Background(), Change{ID: "winner", Actor: "boris", Path: path, Value: json.RawMessage("60")}); err != nil {
				return 0, err
			}
			_, err := apply()
			s.SetFaults(standin.StoreFaults{Down: true})
			return 0, err
		}, new(*UnknownOutcomeError)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSeededStore(t)
				hooked := &hookedStore{Store: s}
				hooked.write = func(n int, apply apply) (store.Revision, error) { return tt.write(s, n, apply) }
				change := set("mine", path, "70")
				rec, err := newTestEditor(hooked).Apply(t.Context(), change)
				if tt.err != nil {
					if !errors.As(err, tt.err) {
						t.Fatalf("got %v, want %T", err, tt.err)
					}
					var conflict *ConflictError
					if errors.As(err, &conflict) && conflict.Winner.ID != "winner" {
						t.Errorf("got winner %+v", conflict.Winner)
					}
				} else if err != nil || rec.Revision == 0 || rec.ID != "mine" {
					t.Fatalf("got %+v, %v, want the record", rec, err)
				}
				s.SetFaults(standin.StoreFaults{})
				want := 1
				if tt.err != nil {
					want = countRecords(t, s, "mine")
				}
				// Repeating the change must not apply it again.
				repeated, err := newTestEditor(s).Apply(t.Context(), change)
				if err != nil {
					t.Fatal(err)
				}
				if want == 1 && rec.ID != "" && repeated.Revision != rec.Revision {
					t.Errorf("repeated change returned revision %d, first returned %d", repeated.Revision, rec.Revision)
				}
				if n := countRecords(t, s, "mine"); n != 1 {
					t.Errorf("change applied %d times, want once", n)
				}
			})
		})
	}
}

func TestConflictNamesWinner(t *testing.T) {
	s := newSeededStore(t)
	hooked := &hookedStore{Store: s}
	hooked.write = func(n int, apply func() (store.Revision, error)) (store.Revision, error) {
		if n == 1 {
			if _, err := newTestEditor(s).Apply(t.Context(), Change{ID: "b", Actor: "boris", Path: "values.objective_ms", Value: json.RawMessage("60")}); err != nil {
				t.Error(err)
			}
		}
		return apply()
	}
	_, err := newTestEditor(hooked).Apply(t.Context(), set("a", "values.objective_ms", "70"))
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v, want a ConflictError", err)
	}
	if w := conflict.Winner; w.ID != "b" || w.Actor != "boris" || string(w.New) != "60" || w.Revision != 2 {
		t.Errorf("got winner %+v", w)
	}
	if conflict.Expect != 1 || conflict.Actual != 2 {
		t.Errorf("conflict has expected revision %d and actual revision %d, want 1 and 2", conflict.Expect, conflict.Actual)
	}
	if got := valueAt(t, s, "values.objective_ms"); got != "60" {
		t.Errorf("value is %s, want the winner's, 60", got)
	}
}

func TestStaleReadIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSeededStore(t)
		e := newTestEditor(s)
		for i := range 3 {
			s.SetFaults(standin.StoreFaults{StaleReads: 2})
			if _, err := e.Apply(t.Context(), set(fmt.Sprint(i), "values.priority", fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
		}
		// A new editor, which can't detect a stale read, must get a conflict and
		// not overwrite the newer changes.
		s.SetFaults(standin.StoreFaults{StaleReads: 1})
		_, err := newTestEditor(s).Apply(t.Context(), set("new", "values.priority", "9"))
		var conflict *ConflictError
		if !errors.As(err, &conflict) || conflict.Winner.ID != "2" {
			t.Errorf("got %v, want a ConflictError with the newest change", err)
		}
	})
}

func TestOutage(t *testing.T) {
	s := newSeededStore(t)
	s.SetFaults(standin.StoreFaults{Down: true})
	_, err := newTestEditor(s).Apply(t.Context(), set("a", "values.priority", "9"))
	var down *UnavailableError
	if !errors.As(err, &down) {
		t.Fatalf("got %v, want an UnavailableError", err)
	}
	if _, err := newTestEditor(s).History(t.Context(), 0, 10); !errors.As(err, &down) {
		t.Errorf("history: got %v, want an UnavailableError", err)
	}
	s.SetFaults(standin.StoreFaults{})
	if n := countRecords(t, s, "a"); n != 0 {
		t.Errorf("change applied %d times during the outage", n)
	}
}
