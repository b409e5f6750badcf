package wal

import (
	"github.com/fuchsiahill/fuchsiahill/internal/deflate"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// recordCodec compresses records: names of shards, teams and classes repeat in
// them.
var recordCodec = deflate.NewCodec(nil, store.MaxValueBytes)

// encodeEntry encodes an entry in the current format, with its records
// compressed if that makes them smaller.
func encodeEntry(e entry) ([]byte, error) {
	e.Version = formatVersion
	plain, err := Encode(e.Records)
	if err != nil {
		return nil, err
	}
	if len(plain) < minCompressedBytes {
		return Encode(e)
	}
	if packed := recordCodec.Compress(plain); len(packed) < len(plain) {
		e.Version = compressedVersion
		e.Records = nil
		e.Compressed = packed
	}
	return Encode(e)
}

// decompress returns the entry with its records decompressed.
func (e entry) decompress() (entry, error) {
	plain, err := recordCodec.Decompress(e.Compressed)
	if err != nil {
		return entry{}, err
	}
	if err := Decode(plain, &e.Records); err != nil {
		return entry{}, err
	}
	e.Version = formatVersion
	e.Compressed = nil
	return e, nil
}
