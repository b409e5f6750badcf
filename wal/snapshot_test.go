package wal

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const testPartBytes = 10 // bytes

// positionAfter returns the position of an owner whose newest durable entry is
// last, with the next slot empty.
func positionAfter(last Sequence) position {
	return position{last: last, nextKey: slotKey("q", int(last+1)), revision: 0}
}

func testClient(st store.Store) *client {
	return &client{store: st, onRetry: func() {}, onRestart: func() {}}
}

// snapshotterOn returns the snapshotter of an owner that has just read the journal
// in st.
func snapshotterOn(t *testing.T, st store.Store, epoch fleet.Epoch) *snapshotter {
	t.Helper()
	c := testClient(st)
	r, err := c.readOnce(t.Context(), "q", 8)
	if err != nil {
		t.Fatal(err)
	}
	return &snapshotter{
		client:       c,
		shard:        "q",
		owner:        testOwner(epoch),
		maxPartBytes: testPartBytes,
		durable:      r.header,
		revision:     r.headerRev,
		revisions:    make(map[string]store.Revision),
	}
}

func startSnapshot(t *testing.T, s *snapshotter, n Sequence, data string) {
	t.Helper()
	if err := s.start(n, []byte(data)); err != nil {
		t.Fatal(err)
	}
}

func runSteps(t *testing.T, s *snapshotter, last Sequence, count int) {
	t.Helper()
	for range count {
		if err := s.step(t.Context(), positionAfter(last)); err != nil {
			t.Fatal(err)
		}
	}
}

func completeSnapshot(t *testing.T, s *snapshotter, n Sequence, data string) {
	t.Helper()
	startSnapshot(t, s, n, data)
	for s.inProgress != nil {
		runSteps(t, s, n, 1)
	}
}

func wantSnapshot(t *testing.T, st store.Store, want string) {
	t.Helper()
	r, err := testClient(st).readOnce(t.Context(), "q", 8)
	if err != nil {
		t.Fatalf("read the snapshot: %v", err)
	}
	if string(r.snapshot) != want {
		t.Fatalf("snapshot %q, want %q", r.snapshot, want)
	}
}

func wantCollision(t *testing.T, err error) {
	t.Helper()
	var collision *CollisionError
	var superseded *SupersededError
	if !errors.As(err, &collision) && !errors.As(err, &superseded) {
		t.Fatalf("error %v, want a collision", err)
	}
}

var (
	first  = strings.Repeat("a", 35)
	second = strings.Repeat("b", 35)
	third  = strings.Repeat("c", 35)
)

// partSteps is the number of part writes that each of these snapshots needs.
const partSteps = 4

func TestUnfinishedSnapshotLeavesTheLastOneWhole(t *testing.T) {
	st := standin.NewStore()
	s := snapshotterOn(t, st, 1)
	completeSnapshot(t, s, 1, first)
	startSnapshot(t, s, 2, second)
	for range partSteps {
		runSteps(t, s, 2, 1)
		wantSnapshot(t, st, first)
	}
	runSteps(t, s, 2, 1)
	wantSnapshot(t, st, second)
}

func TestPredecessorCannotCompleteOverwrittenParts(t *testing.T) {
	st := standin.NewStore()
	completeSnapshot(t, snapshotterOn(t, st, 1), 1, first)
	old := snapshotterOn(t, st, 2)
	startSnapshot(t, old, 2, second)
	runSteps(t, old, 2, 1+partSteps) // all but the header
	successor := snapshotterOn(t, st, 3)
	startSnapshot(t, successor, 3, third)
	runSteps(t, successor, 3, 2)
	wantCollision(t, old.step(t.Context(), positionAfter(2)))
	wantSnapshot(t, st, first)
	runSteps(t, successor, 3, partSteps)
	wantSnapshot(t, st, third)
}

func TestPredecessorCannotOverwriteParts(t *testing.T) {
	tests := map[string]struct {
		earlier []string // snapshots that the previous owner completed
		steps   int      // performed of the snapshot in progress
	}{
		"parts never written before": {earlier: []string{first}, steps: 1},
		"parts written before":       {earlier: []string{first, second}, steps: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			st := standin.NewStore()
			old := snapshotterOn(t, st, 1)
			for i, data := range tt.earlier {
				completeSnapshot(t, old, Sequence(i+1), data)
			}
			startSnapshot(t, old, 3, second)
			runSteps(t, old, 3, tt.steps)
			successor := snapshotterOn(t, st, 2)
			startSnapshot(t, successor, 3, third)
			runSteps(t, successor, 3, 1+partSteps) // all but the header
			for range 3 {
				if err := old.step(t.Context(), positionAfter(3)); err != nil {
					wantCollision(t, err)
					break
				}
			}
			runSteps(t, successor, 3, 1)
			wantSnapshot(t, st, third)
		})
	}
}

func TestLateSnapshotOfPredecessorIsAdopted(t *testing.T) {
	tests := map[string]string{"inline": "short", "parts": second}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			st := standin.NewStore()
			completeSnapshot(t, snapshotterOn(t, st, 1), 1, first)
			old := snapshotterOn(t, st, 2)
			successor := snapshotterOn(t, st, 3)
			completeSnapshot(t, old, 4, data)
			startSnapshot(t, successor, 6, third)
			runSteps(t, successor, 6, 1)
			if successor.durable.Sequence != 4 {
				t.Fatalf("durable snapshot covers entry %d, want 4", successor.durable.Sequence)
			}
			for successor.inProgress != nil {
				wantSnapshot(t, st, data)
				runSteps(t, successor, 6, 1)
			}
			wantSnapshot(t, st, third)
		})
	}
}

func TestSnapshotOutsideTheJournalStopsTheOwner(t *testing.T) {
	st := standin.NewStore()
	old := snapshotterOn(t, st, 1)
	successor := snapshotterOn(t, st, 2)
	completeSnapshot(t, old, 9, "short")
	startSnapshot(t, successor, 3, "other")
	wantCollision(t, successor.step(t.Context(), positionAfter(3)))
}

// TestSnapshotHoldsNoLaterEntry guards against a snapshot that contains records of
// entries after the one it claims to cover: recovery would apply them twice. Each
// transaction fills two entries, so the state is ahead of the first when that is
// sent.
func TestSnapshotHoldsNoLaterEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := standin.NewStore()
		m := &countMachine{}
		s, stop := serve(t, testDeps(st), 1, m, 4, partBytes)
		const transactions = 6 // the last snapshot becomes due at the first entry of a transaction
		record := bytes.Repeat([]byte("x"), maxBatchBytes)
		for range transactions {
			err := s.Do(t.Context(), func(tx Tx) error {
				tx.Append(record)
				tx.Append(record)
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		_ = stop()
		recovered := &countMachine{}
		_, stop = serve(t, testDeps(st), 2, recovered, 4, partBytes)
		_ = stop()
		if recovered.Count != 2*transactions {
			t.Fatalf("%d records recovered, want %d", recovered.Count, 2*transactions)
		}
	})
}

// TestEntriesWaitForTheSnapshotThatCoversThem guards against overwriting an entry
// before a snapshot that covers it is durable. It stops an owner after each number
// of records, so that it stops at every step of a snapshot with many parts.
func TestEntriesWaitForTheSnapshotThatCoversThem(t *testing.T) {
	const ring, limit = 4, 40
	for n := range 40 {
		synctest.Test(t, func(t *testing.T) {
			st := standin.NewStore()
			st.SetFaults(standin.StoreFaults{Delay: time.Millisecond})
			deps := testDeps(st)
			deps.Pace.MaxBytes = 1 // entries do not wait
			s, stop := serve(t, deps, 1, &listMachine{}, ring, limit)
			for range n {
				if err := appendRecord(t.Context(), s, "0123456789"); err != nil {
					t.Fatal(err)
				}
			}
			_ = stop()
			ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
			defer cancel()
			m := &listMachine{}
			if _, err := open(ctx, testDeps(st), "queue/a/0", testOwner(2), m, ring, limit); err != nil {
				t.Fatalf("%d records: %v", n, err)
			}
			if len(m.Records) != n {
				t.Fatalf("%d records recovered, want %d", len(m.Records), n)
			}
		})
	}
}

// countMachine counts records.
type countMachine struct{ Count int }

func (m *countMachine) Apply([]byte) error { m.Count++; return nil }

func (m *countMachine) Snapshot() ([]byte, error) { return Encode(m.Count) }

func (m *countMachine) Restore(snapshot []byte) error {
	m.Count = 0
	if len(snapshot) == 0 {
		return nil
	}
	return Decode(snapshot, &m.Count)
}
