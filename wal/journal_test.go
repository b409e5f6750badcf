package wal

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
)

// listMachine stores every record in order.
type listMachine struct{ Records []string }

type badRecordError struct{}

func (*badRecordError) Error() string { return "refused" }

func (m *listMachine) Apply(record []byte) error {
	if string(record) == "bad" {
		return &badRecordError{}
	}
	m.Records = append(m.Records, string(record))
	return nil
}

func (m *listMachine) Snapshot() ([]byte, error) { return Encode(m.Records) }

func (m *listMachine) Restore(snapshot []byte) error {
	m.Records = nil
	if len(snapshot) == 0 {
		return nil
	}
	return Decode(snapshot, &m.Records)
}

func testOwner(epoch fleet.Epoch) Owner {
	return Owner{Host: "h", Incarnation: 1, Epoch: epoch}
}

func testDeps(s *standin.Store) Deps {
	return Deps{Store: s, Logger: log.NewNopLogger()}
}

// serve opens a shard and runs it until the returned function is called, which
// returns the error of Serve.
func serve(t *testing.T, deps Deps, epoch fleet.Epoch, m Machine, ring, limit int) (*Shard, func() error) {
	t.Helper()
	s, err := open(t.Context(), deps, "queue/a/0", testOwner(epoch), m, ring, limit)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	return s, func() error {
		cancel()
		return <-ended
	}
}

func appendRecord(ctx context.Context, s *Shard, record string) error {
	return s.Do(ctx, func(tx Tx) error {
		tx.Append([]byte(record))
		return nil
	})
}

func TestRecoveryRestoresEveryRecord(t *testing.T) {
	tests := map[string]struct{ ring, limit, records int }{
		"entries only":      {ring: 8, limit: partBytes, records: 3},
		"inline snapshot":   {ring: 8, limit: partBytes, records: 50},
		"snapshot in parts": {ring: 8, limit: 200, records: 60},
		"full ring":         {ring: 4, limit: 100, records: 33},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := standin.NewStore()
				for epoch := range fleet.Epoch(3) {
					s, stop := serve(t, testDeps(st), epoch+1, &listMachine{}, tt.ring, tt.limit)
					for i := range tt.records {
						if err := appendRecord(t.Context(), s, fmt.Sprintf("%d-%d", epoch, i)); err != nil {
							t.Fatal(err)
						}
					}
					_ = stop()
				}
				m := &listMachine{}
				_, stop := serve(t, testDeps(st), 4, m, tt.ring, tt.limit)
				_ = stop()
				if len(m.Records) != 3*tt.records {
					t.Fatalf("%d records recovered, want %d", len(m.Records), 3*tt.records)
				}
				for i, r := range m.Records {
					if want := fmt.Sprintf("%d-%d", i/tt.records, i%tt.records); r != want {
						t.Fatalf("record %d is %s, want %s", i, r, want)
					}
				}
			})
		})
	}
}

func TestSupersededOwnerStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := standin.NewStore()
		old, stopOld := serve(t, testDeps(st), 1, &listMachine{}, RingSize, partBytes)
		_, stopNew := serve(t, testDeps(st), 2, &listMachine{}, RingSize, partBytes)
		err := appendRecord(t.Context(), old, "late")
		var stopped *StoppedError
		var collision *CollisionError
		if !errors.As(err, &stopped) || !errors.As(err, &collision) {
			t.Fatalf("error %v, want a collision", err)
		}
		_ = stopOld()
		_ = stopNew()
	})
}
