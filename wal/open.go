package wal

import (
	"context"
	"errors"
	"expvar"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// Deps are what a Shard needs.
type Deps struct {
	Store  store.Store
	Logger log.Logger
	Pace   Pace
}

// Open recovers the journal of a shard into m, an empty Machine, and appends
// the owner's first entry, which fences every earlier owner. It retries during
// outages of the store until ctx ends. Errors are the context's error and
// *StoppedError, whose cause is a *SupersededError if the journal contains an
// entry of a later owner, or a *DecodeError if a value can't be decoded.
//
// The Shard processes nothing until Serve runs.
func Open(ctx context.Context, deps Deps, shard string, owner Owner, m Machine) (*Shard, error) {
	return open(ctx, deps, shard, owner, m, RingSize, partBytes)
}

func open(ctx context.Context, deps Deps, name string, owner Owner, m Machine, ring, limit int) (*Shard, error) {
	s := newShard(deps, name, owner, m, ring)
	started := time.Now()
	retry := newRetry()
	for {
		err := s.recover(ctx, limit)
		var collision *CollisionError
		switch {
		case err == nil:
			s.log("event", "journal_open", "entry", s.lastDurable, "took", time.Since(started))
			return s, nil
		case errors.As(err, &collision):
			// The previous owner was still writing.
			s.log("event", "journal_restart", "err", err)
		default:
			return nil, s.stopped(err)
		}
		if err := wait.For(ctx, retry.NextBackOff()); err != nil {
			return nil, err
		}
	}
}

// recover reads the journal into the Machine and fences earlier owners.
func (s *Shard) recover(ctx context.Context, limit int) error {
	r, err := s.client.read(ctx, s.name, s.ring)
	if err != nil {
		return err
	}
	if newest := r.newestOwner(); newest.Epoch > s.owner.Epoch || newest.Epoch == s.owner.Epoch && newest != s.owner {
		return eris.Wrap(&SupersededError{Epoch: newest.Epoch, Own: s.owner.Epoch}, "recovery")
	}
	if err := r.restore(s.name, s.machine); err != nil {
		return err
	}
	s.lastDurable = r.last()
	s.revisions = r.revisions
	s.snapshots = &snapshotter{
		client:       s.client,
		shard:        s.name,
		owner:        s.owner,
		maxPartBytes: limit,
		durable:      r.header,
		revision:     r.headerRev,
		revisions:    make(map[string]store.Revision),
	}
	if err := s.ensureFreeSlot(ctx); err != nil {
		return err
	}
	return s.fence(ctx)
}

// ensureFreeSlot completes a snapshot if the ring has no slot for another entry.
// This is safe before the owner's first entry: nobody can append to a full ring,
// and writing an own header first prevents the previous owner from completing a
// snapshot.
func (s *Shard) ensureFreeSlot(ctx context.Context) error {
	if s.hasFreeSlot() {
		return nil
	}
	if err := s.startSnapshot(s.lastDurable); err != nil {
		return err
	}
	for s.snapshots.inProgress != nil {
		if err := s.snapshots.step(ctx, s.position()); err != nil {
			return err
		}
	}
	return nil
}

// fence appends the owner's first entry, which makes later appends of earlier
// owners collide.
func (s *Shard) fence(ctx context.Context) error {
	value, err := s.encode(s.lastDurable+1, nil)
	if err != nil {
		return err
	}
	at := s.position()
	rev, err := s.client.write(ctx, at.nextKey, at.revision, value)
	if err != nil {
		return err
	}
	s.onAppended(rev)
	return nil
}

func newVars() *expvar.Map {
	return new(expvar.Map).Init()
}
