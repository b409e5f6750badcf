package wal

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/store"
)

// TestEntryRoundTrip checks that entries survive encoding and decoding, with and
// without compression, and that compression makes none larger by more than a
// byte.
func TestEntryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.SliceOfN(rapid.Byte(), 0, 40)
		want := entry{Version: formatVersion, Sequence: 3, Owner: testOwner(2)}
		want.Records = rapid.SliceOfN(record, 0, 30).Draw(t, "records")
		data, err := encodeEntry(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeEntry(data)
		if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); err != nil || diff != "" {
			t.Fatalf("error %v, entry differs: %s", err, diff)
		}
		plain, err := Encode(want)
		if err != nil || len(data) > len(plain)+1 {
			t.Errorf("%d bytes, %d without compression, error %v", len(data), len(plain), err)
		}
	})
}

// TestMixedVersions checks that an entry is rejected if it has both plain and
// compressed records, or records in the format of another version: some of them
// would be lost.
func TestMixedVersions(t *testing.T) {
	packed := recordCodec.Compress([]byte{0x81, 0x41, 1})
	for name, e := range map[string]entry{
		"both":            {Version: 2, Records: [][]byte{{1}}, Compressed: packed},
		"packed as plain": {Version: 1, Compressed: packed},
		"later version":   {Version: 3, Compressed: packed},
	} {
		data, err := Encode(e)
		if err != nil {
			t.Fatal(err)
		}
		var version *VersionError
		if _, err := decodeEntry(data); !errors.As(err, &version) {
			t.Errorf("%s: error %v, want *VersionError", name, err)
		}
	}
}

// TestLargestRecordFits checks that an entry with a record of maximum size, of
// incompressible bytes, fits into a value of the store.
func TestLargestRecordFits(t *testing.T) {
	record := make([]byte, MaxRecordBytes)
	state := uint32(1)
	for i := range record {
		state = state*1664525 + 1013904223
		record[i] = byte(state >> 24)
	}
	data, err := encodeEntry(entry{Sequence: 1 << 60, Owner: testOwner(1 << 60), Records: [][]byte{record}})
	if err != nil || len(data) > store.MaxValueBytes {
		t.Fatalf("%d bytes, error %v", len(data), err)
	}
	if e, err := decodeEntry(data); err != nil || len(e.Records) != 1 || len(e.Records[0]) != len(record) {
		t.Errorf("%d records, error %v", len(e.Records), err)
	}
}
