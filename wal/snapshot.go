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
	// partBytes is the largest piece of a snapshot in one value.
	partBytes = store.MaxValueBytes - entryOverheadBytes
)

// snapshotter writes a shard's snapshots, one write per step. It is used by
// one goroutine at a time.
type snapshotter struct {
	client       *client
	shard        string
	owner        Owner
	maxPartBytes int // bytes in one value

	durable    header
	revision   store.Revision            // of the durable header
	ownHeader  bool                      // durable was written by this owner
	revisions  map[string]store.Revision // of parts that this owner wrote
	inProgress *pendingSnapshot          // in progress, or nil
}

// snapshot is a state on its way into the store.
type pendingSnapshot struct {
	sequence     Sequence
	data         []byte
	partsWritten int // parts
}

// position is the end of the ring, by which an owner sees whether it has been
// superseded.
type position struct {
	last     Sequence // durable
	nextKey  string
	revision store.Revision // that the next entry expects
}

// start takes the state after entry sequence. The entry need not be durable
// yet, but must be before the first step.
func (s *snapshotter) start(sequence Sequence, data []byte) error {
	if limit := s.maxPartBytes * maxParts; len(data) > limit {
		return eris.Wrap(&SizeError{What: "snapshot", Bytes: len(data), Limit: limit}, s.shard)
	}
	s.inProgress = &pendingSnapshot{sequence: sequence, data: data}
	return nil
}

// step makes the next write of the snapshot in progress.
func (s *snapshotter) step(ctx context.Context, at position) error {
	parts := s.parts()
	switch {
	case parts == 0:
		return s.writeHeader(ctx, at, s.newHeader())
	case !s.ownHeader:
		// The predecessor's header write may still be under way and would make
		// parts that are overwritten now the valid ones. A header of our own
		// makes it collide.
		stamp := s.durable
		stamp.Version = formatVersion
		stamp.Owner = s.owner
		if s.revision == 0 {
			stamp.Checksum = xxhash.Sum64(nil)
		}
		return s.writeHeader(ctx, at, stamp)
	case s.inProgress.partsWritten < parts:
		return s.writePart(ctx, at)
	default:
		return s.writeHeader(ctx, at, s.newHeader())
	}
}

// parts returns how many part keys the snapshot in progress takes; 0 means
// that it fits into the header.
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
	s.ownHeader = true
	if s.inProgress.sequence <= h.Sequence {
		s.inProgress = nil
	}
	return nil
}

// adopt takes over a snapshot that a predecessor completed late. Its state is
// a prefix of this journal, so it serves as well as the one it replaced.
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
		delete(s.revisions, key) // a late write of the predecessor, or a successor
		return nil
	}
	if err != nil {
		return err
	}
	s.revisions[key] = rev
	s.inProgress.partsWritten++
	return nil
}

// partRevision returns the revision against which to write a part. It is read
// before the proof that there is no successor yet, so a successor's part can't
// be overwritten: it has a later revision.
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
