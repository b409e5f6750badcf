package wal

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// RingSize is the number of slots of a journal.
	RingSize = 128
	// MaxRecordBytes is the maximum size of a record.
	MaxRecordBytes = store.MaxValueBytes - entryOverheadBytes
	// MaxSnapshotBytes is the maximum size of a snapshot.
	MaxSnapshotBytes = maxParts * partBytes

	entryOverheadBytes = 1 << 10
	formatVersion      = 1
	compressedVersion  = 2       // for entries with compressed records
	minCompressedBytes = 128     // encoded records smaller than this are not compressed
	maxRecords         = 1 << 17 // in one entry
)

// entry is the value of one slot. Its records are in Compressed if its version
// is compressedVersion, otherwise in Records.
type entry struct {
	Version    uint     `cbor:"1,keyasint"`
	Sequence   Sequence `cbor:"2,keyasint"`
	Owner      Owner    `cbor:"3,keyasint"`
	Records    [][]byte `cbor:"4,keyasint,omitempty"` // empty in an owner's first entry
	Compressed []byte   `cbor:"5,keyasint,omitempty"` // compressed CBOR of Records
}

// header is the value of the snapshot key. It contains a small snapshot; a
// large one is in part keys, which are written before the header.
type header struct {
	Version    uint     `cbor:"1,keyasint"`
	Sequence   Sequence `cbor:"2,keyasint"` // last entry that the snapshot covers
	Owner      Owner    `cbor:"3,keyasint"` // last writer of the header
	Inline     []byte   `cbor:"4,keyasint,omitempty"`
	Generation int      `cbor:"5,keyasint,omitempty"` // of the part keys
	Parts      int      `cbor:"6,keyasint,omitempty"`
	Checksum   uint64   `cbor:"7,keyasint"` // xxHash of the whole snapshot
}

// part is the value of one part key.
type part struct {
	Version  uint     `cbor:"1,keyasint"`
	Sequence Sequence `cbor:"2,keyasint"`
	Owner    Owner    `cbor:"3,keyasint"`
	Data     []byte   `cbor:"4,keyasint"`
}

var (
	encoding = mustEncMode()
	decoding = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxArrayElements:  maxRecords,
		MaxNestedLevels:   16,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Encode encodes a record or snapshot of a Machine: deterministic CBOR.
func Encode(v any) ([]byte, error) { return encoding.Marshal(v) }

// Decode decodes data written by Encode into v. It rejects unknown fields,
// duplicate keys and trailing bytes.
func Decode(data []byte, v any) error { return decoding.Unmarshal(data, v) }

func decodeEntry(data []byte) (entry, error) {
	var e entry
	if err := Decode(data, &e); err != nil {
		return entry{}, err
	}
	switch {
	case e.Version == compressedVersion && len(e.Records) == 0:
		return e.decompress()
	case e.Version == formatVersion && len(e.Compressed) == 0:
		return e, nil
	default:
		return entry{}, &VersionError{Version: e.Version}
	}
}

func decodeHeader(data []byte) (header, error) {
	var h header
	if err := Decode(data, &h); err != nil {
		return header{}, err
	}
	if h.Version != formatVersion {
		return header{}, &VersionError{Version: h.Version}
	}
	if h.Parts < 0 || h.Parts > maxParts || h.Generation < 0 || h.Generation >= generations {
		return header{}, &SizeError{What: "snapshot parts", Bytes: h.Parts, Limit: maxParts}
	}
	return h, nil
}

func decodePart(data []byte) (part, error) {
	var p part
	if err := Decode(data, &p); err != nil {
		return part{}, err
	}
	if p.Version != formatVersion {
		return part{}, &VersionError{Version: p.Version}
	}
	return p, nil
}

func ringPrefix(shard string) string { return "journal/" + shard + "/ring/" }

func slotKey(shard string, slot int) string {
	return fmt.Sprintf("%s%03d", ringPrefix(shard), slot)
}

func headerKey(shard string) string { return "journal/" + shard + "/snapshot" }

func partKey(shard string, generation, index int) string {
	return fmt.Sprintf("%s/%d/%02d", headerKey(shard), generation, index)
}
