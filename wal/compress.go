package wal

import (
	"github.com/fuchsiahill/fuchsiahill/internal/deflate"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// packer compresses records, which repeat names of shards, teams and classes.
var recordCodec = deflate.NewCodec(nil, store.MaxValueBytes)

// encodeEntry encodes an entry of the current version, its records compressed
// if that makes it smaller.
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

// unpack returns the entry with its records in place.
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
