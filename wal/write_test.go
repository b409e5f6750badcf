package wal

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// TestWriteOutcomes writes a key under faults and checks the value in the store
// and the result that the writer gets.
func TestWriteOutcomes(t *testing.T) {
	tests := map[string]struct {
		faults    []fault
		other     string // value that another process wrote first
		want      string
		collision bool
	}{
		"answered":                            {want: "own"},
		"unavailable, then answered":          {faults: []fault{{unavailable: true}, {unavailable: true}}, want: "own"},
		"reply lost":                          {faults: []fault{{loseReply: true}}, want: "own"},
		"reply lost, reads unavailable":       {faults: []fault{{loseReply: true}, {unavailable: true}, {unavailable: true}}, want: "own"},
		"write late":                          {faults: []fault{{before: 7 * time.Second}}, want: "own"},
		"every write late":                    {faults: []fault{{before: 40 * time.Second}, {}, {before: 40 * time.Second}, {}, {before: 40 * time.Second}}, want: "own"},
		"other value":                         {other: "other", want: "other", collision: true},
		"other value, reply lost":             {faults: []fault{{loseReply: true}}, other: "other", want: "other", collision: true},
		"other value, unavailable in between": {faults: []fault{{unavailable: true}, {loseReply: true}, {unavailable: true}}, other: "other", want: "other", collision: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := standin.NewStore()
				if tt.other != "" {
					if _, err := st.CompareAndSwap(t.Context(), "k", 0, []byte(tt.other), 0); err != nil {
						t.Fatal(err)
					}
				}
				c := testClient(&faultyStore{Store: st, faults: tt.faults})
				rev, err := c.write(t.Context(), "k", 0, []byte("own"))
				var collision *CollisionError
				if errors.As(err, &collision) != tt.collision {
					t.Fatalf("error %v, want collision %v", err, tt.collision)
				}
				time.Sleep(time.Minute)
				e, err := st.Get(t.Context(), "k")
				if err != nil || string(e.Value) != tt.want {
					t.Fatalf("stored value %q, error %v, want %q", e.Value, err, tt.want)
				}
				if !tt.collision && rev != e.Revision {
					t.Fatalf("revision %d, want %d", rev, e.Revision)
				}
			})
		})
	}
}

// TestOutage checks that a record which is pending during an outage of the store
// is neither acknowledged nor lost, and becomes durable after the outage.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := standin.NewStore()
		m := &listMachine{}
		s, stop := serve(t, testDeps(st), 1, m, RingSize, partBytes)
		defer func() { _ = stop() }()
		st.SetFaults(standin.StoreFaults{Down: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := appendRecord(ctx, s, "a"); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("error %v, want context.DeadlineExceeded", err)
		}
		if s.StalledFor() < 50*time.Second {
			t.Fatalf("stalled for %v, want at least 50 s", s.StalledFor())
		}
		st.SetFaults(standin.StoreFaults{})
		if err := appendRecord(t.Context(), s, "b"); err != nil {
			t.Fatal(err)
		}
		if len(m.Records) != 2 {
			t.Fatalf("records %v, want a and b", m.Records)
		}
	})
}

func TestRecordThatCannotBeAppliedStopsTheShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := standin.NewStore()
		s, stop := serve(t, testDeps(st), 1, &listMachine{}, RingSize, partBytes)
		err := appendRecord(t.Context(), s, "bad")
		var refused *badRecordError
		var stopped *StoppedError
		if !errors.As(err, &refused) || !errors.As(err, &stopped) {
			t.Fatalf("error %v, want badRecordError in a StoppedError", err)
		}
		if err := appendRecord(t.Context(), s, "good"); !errors.As(err, &stopped) {
			t.Fatalf("error %v, want a StoppedError", err)
		}
		_ = stop()
		m := &listMachine{}
		_, stop = serve(t, testDeps(st), 2, m, RingSize, partBytes)
		_ = stop()
		if len(m.Records) != 0 {
			t.Fatalf("records %v, want none", m.Records)
		}
	})
}

// TestUndecodableValuesAreRefused checks that recovery fails with a DecodeError
// for the key that holds an invalid value.
func TestUndecodableValuesAreRefused(t *testing.T) {
	entryOf := func(e entry) []byte {
		data, err := Encode(e)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	tests := map[string]struct {
		key   string
		value []byte
	}{
		"entry with garbage":        {slotKey("queue/a/0", 1), []byte("garbage")},
		"entry of a later version":  {slotKey("queue/a/0", 1), entryOf(entry{Version: 2, Sequence: 1})},
		"entry in a wrong slot":     {slotKey("queue/a/0", 1), entryOf(entry{Version: 1, Sequence: 7})},
		"entry with trailing bytes": {slotKey("queue/a/0", 1), append(entryOf(entry{Version: 1, Sequence: 1}), 0)},
		"record that is rejected":   {slotKey("queue/a/0", 1), entryOf(entry{Version: 1, Sequence: 1, Records: [][]byte{[]byte("bad")}})},
		"snapshot with garbage":     {headerKey("queue/a/0"), []byte{0xff}},
		"empty entry":               {slotKey("queue/a/0", 1), nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			st := standin.NewStore()
			if _, err := st.CompareAndSwap(t.Context(), tt.key, 0, tt.value, 0); err != nil {
				t.Fatal(err)
			}
			_, err := Open(t.Context(), testDeps(st), "queue/a/0", testOwner(1), &listMachine{})
			var decode *DecodeError
			if !errors.As(err, &decode) || decode.Key != tt.key {
				t.Fatalf("error %v, want a DecodeError for %s", err, tt.key)
			}
		})
	}
}

func TestEarlierOwnerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := standin.NewStore()
		_, stop := serve(t, testDeps(st), 5, &listMachine{}, RingSize, partBytes)
		_ = stop()
		_, err := Open(t.Context(), testDeps(st), "queue/a/0", testOwner(4), &listMachine{})
		var superseded *SupersededError
		if !errors.As(err, &superseded) || superseded.Epoch != 5 {
			t.Fatalf("error %v, want a SupersededError with epoch 5", err)
		}
	})
}

var _ store.Store = (*faultyStore)(nil)

func FuzzDecode(f *testing.F) {
	seed := func(v any) {
		data, err := Encode(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	seed(entry{Version: 1, Sequence: 7, Owner: testOwner(2), Records: [][]byte{{1}, {2, 3}}})
	seed(entry{Version: 2, Sequence: 7, Owner: testOwner(2), Compressed: recordCodec.Compress([]byte{0x81, 0x41, 1})})
	seed(entry{Version: 2, Sequence: 7, Owner: testOwner(2), Compressed: recordCodec.Compress(make([]byte, 2*store.MaxValueBytes))})
	seed(entry{Version: 2, Sequence: 7, Owner: testOwner(2), Compressed: []byte("x")})
	seed(header{Version: 1, Sequence: 3, Owner: testOwner(1), Inline: []byte("x"), Checksum: 5})
	seed(header{Version: 1, Sequence: 3, Owner: testOwner(1), Generation: 1, Parts: 2, Checksum: 5})
	seed(part{Version: 1, Sequence: 3, Owner: testOwner(1), Data: []byte("x")})
	f.Fuzz(func(t *testing.T, data []byte) {
		if e, err := decodeEntry(data); err == nil {
			encoded, err := encodeEntry(e)
			if err != nil {
				t.Fatal(err)
			}
			if decoded, err := decodeEntry(encoded); err != nil || decoded.Sequence != e.Sequence || len(decoded.Records) != len(e.Records) {
				t.Fatalf("entry changed: %+v, %v", decoded, err)
			}
		}
		if h, err := decodeHeader(data); err == nil {
			if decoded, err := decodeHeader(reencode(t, h)); err != nil || decoded.Checksum != h.Checksum {
				t.Fatalf("header changed: %+v, %v", decoded, err)
			}
		}
		if p, err := decodePart(data); err == nil {
			if decoded, err := decodePart(reencode(t, p)); err != nil || decoded.Sequence != p.Sequence {
				t.Fatalf("part changed: %+v, %v", decoded, err)
			}
		}
	})
}

func reencode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
