package wal

import (
	"context"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	maxParts    = 16
	generations = 2
	// partBytes is the maximum size of the part of a snapshot in one value.
	partBytes = store.MaxValueBytes - entryOverheadBytes
)

// snapshotter writes a shard's snapshots, one write per step. It is used by
// one goroutine at a time.
type snapshotter struct {
	client       *client
	shard        string
	owner        Owner
	maxPartBytes int // of snapshot data in one value

	durable     header
	revision    store.Revision            // of durable
	headerOwned bool                      // this owner wrote durable
	revisions   map[string]store.Revision // of the part keys that this owner wrote
	inProgress  *pendingSnapshot          // or nil
}

// pendingSnapshot is a snapshot that is being written to the store.
type pendingSnapshot struct {
	sequence     Sequence
	data         []byte
	partsWritten int
}

// position is the end of the ring. An owner has been superseded if the next slot
// is no longer at the expected revision.
type position struct {
	last     Sequence // newest durable entry
	nextKey  string
	revision store.Revision // expected by the write of the next entry
}

// start begins a snapshot: data is the state after entry sequence. The entry
// need not be durable yet, but must be before the first step.
func (s *snapshotter) start(sequence Sequence, data []byte) error {
	if limit := s.maxPartBytes * maxParts; len(data) > limit {
		return eris.Wrap(&SizeError{What: "snapshot", Bytes: len(data), Limit: limit}, s.shard)
	}
	s.inProgress = &pendingSnapshot{sequence: sequence, data: data}
	return nil
}

// step performs the next write of the snapshot in progress.
func (s *snapshotter) step(ctx context.Context, at position) error {
	parts := s.parts()
	switch {
	case parts == 0:
		return s.writeHeader(ctx, at, s.newHeader())
	case !s.headerOwned:
		// A header write of the previous owner may still be in flight. It would
		// make the parts valid that this snapshot is about to overwrite.
		// Rewriting the header first makes that write collide.
		ownHeader := s.durable
		ownHeader.Version = formatVersion
		ownHeader.Owner = s.owner
		if s.revision == 0 {
			ownHeader.Checksum = xxhash.Sum64(nil)
		}
		return s.writeHeader(ctx, at, ownHeader)
	case s.inProgress.partsWritten < parts:
		return s.writePart(ctx, at)
	default:
		return s.writeHeader(ctx, at, s.newHeader())
	}
}

// parts returns the number of part keys that the snapshot in progress needs; 0
// means that it fits into the header.
func (s *snapshotter) parts() int {
	if len(s.inProgress.data) <= s.maxPartBytes {
		return 0
	}
	return (len(s.inProgress.data) + s.maxPartBytes - 1) / s.maxPartBytes
}

func (s *snapshotter) nextGeneration() int {
	return (s.durable.Generation + 1) % generations
}

func (s *snapshotter) newHeader() header {
	h := header{
		Version:    formatVersion,
		Sequence:   s.inProgress.sequence,
		Owner:      s.owner,
		Generation: s.durable.Generation,
		Parts:      s.parts(),
		Checksum:   xxhash.Sum64(s.inProgress.data),
	}
	if h.Parts == 0 {
		h.Inline = s.inProgress.data
	} else {
		h.Generation = s.nextGeneration()
	}
	return h
}

func (s *snapshotter) writeHeader(ctx context.Context, at position, h header) error {
	value, err := Encode(h)
	if err != nil {
		return err
	}
	rev, err := s.client.write(ctx, headerKey(s.shard), s.revision, value)
	var collision *CollisionError
	if errors.As(err, &collision) {
		return s.adoptHeader(ctx, at, err)
	}
	if err != nil {
		return err
	}
	s.durable = h
	s.revision = rev
	s.headerOwned = true
	if s.inProgress.sequence <= h.Sequence {
		s.inProgress = nil
	}
	return nil
}

// adoptHeader accepts the header of a snapshot that the previous owner completed
// late. Its state is that of a prefix of this journal, so it is as valid as the
// snapshot it replaced. adoptHeader returns cause if the snapshot is older
// than the durable one or extends past the end of the journal.
func (s *snapshotter) adoptHeader(ctx context.Context, at position, cause error) error {
	e, err := s.client.get(ctx, headerKey(s.shard))
	if err != nil {
		return err
	}
	h, err := decodeHeader(e.Value)
	if err != nil {
		return eris.Wrap(&DecodeError{Key: e.Key, Cause: err}, "adopt")
	}
	if h.Owner.Epoch >= s.owner.Epoch && h.Owner != s.owner {
		return eris.Wrap(&SupersededError{Epoch: h.Owner.Epoch, Own: s.owner.Epoch}, "adopt")
	}
	if h.Sequence < s.durable.Sequence || h.Sequence > at.last {
		return cause
	}
	s.durable = h
	s.revision = e.Revision
	s.inProgress.partsWritten = 0
	if s.inProgress.sequence <= h.Sequence {
		s.inProgress = nil
	}
	return nil
}

func (s *snapshotter) writePart(ctx context.Context, at position) error {
	index := s.inProgress.partsWritten
	from := index * s.maxPartBytes
	to := min(from+s.maxPartBytes, len(s.inProgress.data))
	value, err := Encode(part{
		Version:  formatVersion,
		Sequence: s.inProgress.sequence,
		Owner:    s.owner,
		Data:     s.inProgress.data[from:to],
	})
	if err != nil {
		return err
	}
	key := partKey(s.shard, s.nextGeneration(), index)
	expect, err := s.partRevision(ctx, at, key)
	if err != nil {
		return err
	}
	rev, err := s.client.write(ctx, key, expect, value)
	var collision *CollisionError
	if errors.As(err, &collision) {
		delete(s.revisions, key) // a late write of the previous owner, or a write of a later one
		return nil
	}
	if err != nil {
		return err
	}
	s.revisions[key] = rev
	s.inProgress.partsWritten++
	return nil
}

// partRevision returns the revision that the write of a part expects. It is read
// before the check that there is no later owner yet, so a part written by a later
// owner has a later revision and can't be overwritten.
func (s *snapshotter) partRevision(ctx context.Context, at position, key string) (store.Revision, error) {
	if rev, ok := s.revisions[key]; ok {
		return rev, nil
	}
	e, err := s.client.get(ctx, key)
	if err != nil {
		return 0, err
	}
	if err := s.verifyOwnership(ctx, at); err != nil {
		return 0, err
	}
	return e.Revision, nil
}

// verifyOwnership returns a *CollisionError if another owner has written the next
// entry or the header.
func (s *snapshotter) verifyOwnership(ctx context.Context, at position) error {
	next, err := s.client.get(ctx, at.nextKey)
	if err != nil {
		return err
	}
	if next.Revision != at.revision {
		return eris.Wrap(&CollisionError{Key: at.nextKey}, "snapshot")
	}
	head, err := s.client.get(ctx, headerKey(s.shard))
	if err != nil {
		return err
	}
	if head.Revision != s.revision {
		return eris.Wrap(&CollisionError{Key: headerKey(s.shard)}, "snapshot")
	}
	return nil
}
