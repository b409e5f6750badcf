package wal

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// contents is one consistent read of a journal.
type contents struct {
	header    header
	headerRev store.Revision
	snapshot  []byte
	entries   []entry          // entries after the snapshot, in order
	revisions []store.Revision // by slot
}

// last returns the sequence number of the newest entry.
func (r *contents) last() Sequence {
	return r.header.Sequence + Sequence(len(r.entries))
}

// newestOwner returns the owner with the highest epoch in the journal.
func (r *contents) newestOwner() Owner {
	if n := len(r.entries); n > 0 {
		return r.entries[n-1].Owner
	}
	return r.header.Owner
}

// read reads the snapshot and then the slots. The order matters: entries that a
// later snapshot covers may be overwritten between the two reads, which is
// detected as a gap; entries that are added are either read or make the next
// append collide. After a gap, read starts over.
func (c *client) read(ctx context.Context, shard string, ring int) (*contents, error) {
	retry := newRetry()
	for {
		r, err := c.readOnce(ctx, shard, ring)
		var gap *gapError
		if !errors.As(err, &gap) {
			return r, err
		}
		c.onRestart()
		if err := wait.For(ctx, retry.NextBackOff()); err != nil {
			return nil, err
		}
	}
}

func (c *client) readOnce(ctx context.Context, shard string, ring int) (*contents, error) {
	r := &contents{revisions: make([]store.Revision, ring)}
	if err := c.readHeader(ctx, shard, r); err != nil {
		return nil, err
	}
	if err := c.readSnapshot(ctx, shard, r); err != nil {
		return nil, err
	}
	if err := c.readSlots(ctx, shard, ring, r); err != nil {
		return nil, err
	}
	return r, nil
}

func (c *client) readHeader(ctx context.Context, shard string, r *contents) error {
	key := headerKey(shard)
	e, err := c.get(ctx, key)
	if err != nil || e.Revision == 0 {
		return err
	}
	r.headerRev = e.Revision
	r.header, err = decodeHeader(e.Value)
	if err != nil {
		return eris.Wrap(&DecodeError{Key: key, Cause: err}, "recovery")
	}
	return nil
}

func (c *client) readSnapshot(ctx context.Context, shard string, r *contents) error {
	if r.header.Parts == 0 {
		r.snapshot = r.header.Inline
		return c.verifySnapshot(shard, r)
	}
	var joined bytes.Buffer
	for i := range r.header.Parts {
		key := partKey(shard, r.header.Generation, i)
		e, err := c.get(ctx, key)
		if err != nil {
			return err
		}
		if e.Revision == 0 {
			return &gapError{after: r.header.Sequence}
		}
		p, err := decodePart(e.Value)
		if err != nil {
			return eris.Wrap(&DecodeError{Key: key, Cause: err}, "recovery")
		}
		if p.Sequence != r.header.Sequence {
			return &gapError{after: r.header.Sequence}
		}
		joined.Write(p.Data)
	}
	r.snapshot = joined.Bytes()
	return c.verifySnapshot(shard, r)
}

// verifySnapshot verifies the checksum of the snapshot. Between two reads, parts
// may have been overwritten by the second snapshot after this one; recovery then
// starts over.
func (c *client) verifySnapshot(shard string, r *contents) error {
	if r.headerRev == 0 || xxhash.Sum64(r.snapshot) == r.header.Checksum {
		return nil
	}
	if r.header.Parts > 0 {
		return &gapError{after: r.header.Sequence}
	}
	return eris.Wrap(&DecodeError{Key: headerKey(shard), Cause: &ChecksumError{}}, "recovery")
}

// ChecksumError reports a snapshot whose bytes don't match its checksum.
type ChecksumError struct{}

func (*ChecksumError) Error() string { return "journal: checksum mismatch" }

func (c *client) readSlots(ctx context.Context, shard string, ring int, r *contents) error {
	slots, err := c.list(ctx, ringPrefix(shard))
	if err != nil {
		return err
	}
	bySequence := make(map[Sequence]entry)
	highest := r.header.Sequence
	for _, s := range slots {
		e, slot, err := decodeSlot(shard, ring, s)
		if err != nil {
			return eris.Wrap(&DecodeError{Key: s.Key, Cause: err}, "recovery")
		}
		r.revisions[slot] = s.Revision
		if e.Sequence > r.header.Sequence {
			bySequence[e.Sequence] = e
			highest = max(highest, e.Sequence)
		}
	}
	for n := r.header.Sequence + 1; n <= highest; n++ {
		e, ok := bySequence[n]
		if !ok {
			return &gapError{after: n - 1}
		}
		r.entries = append(r.entries, e)
	}
	return nil
}

func decodeSlot(shard string, ring int, s store.Entry) (entry, int, error) {
	slot, err := strconv.Atoi(strings.TrimPrefix(s.Key, ringPrefix(shard)))
	if err != nil {
		return entry{}, 0, err
	}
	e, err := decodeEntry(s.Value)
	if err != nil {
		return entry{}, 0, err
	}
	if slot < 0 || slot >= ring || int(e.Sequence%Sequence(ring)) != slot {
		return entry{}, 0, &MisplacedError{Sequence: e.Sequence, Slot: slot}
	}
	return e, slot, nil
}

// restore restores the snapshot into m and replays the entries.
func (r *contents) restore(shard string, m Machine) error {
	if err := m.Restore(r.snapshot); err != nil {
		return eris.Wrap(&DecodeError{Key: headerKey(shard), Cause: err}, "restore")
	}
	for _, e := range r.entries {
		for _, record := range e.Records {
			if err := m.Apply(record); err != nil {
				key := slotKey(shard, int(e.Sequence)%len(r.revisions))
				return eris.Wrap(&DecodeError{Key: key, Cause: err}, "replay")
			}
		}
	}
	return nil
}
