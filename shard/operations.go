package shard

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// operation returns the function that carries out an action. At most one
// operation per shard is in progress.
func (m *Manager) operation(act action, id ID) func(context.Context) error {
	switch act {
	case actClaim:
		return func(ctx context.Context) error { return m.claim(ctx, id) }
	case actAdopt:
		return func(ctx context.Context) error { return m.adopt(ctx, id) }
	case actRestart:
		return func(ctx context.Context) error { return m.restart(ctx, id) }
	case actHandOver:
		return func(ctx context.Context) error { return m.handOver(ctx, id) }
	case actVerifyAndClaim:
		return func(ctx context.Context) error { return m.takeOverAfterTimeout(ctx, id) }
	default:
		return func(context.Context) error { m.stopLost(id); return nil }
	}
}

// claimOf returns the newest known claim of a shard.
func (m *Manager) claimOf(id ID) observedClaim {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.claims[id]
}

// claim claims a shard with the next epoch and runs it.
func (m *Manager) claim(ctx context.Context, id ID) error {
	old := m.claimOf(id)
	neverClaimed := old.lastChange == 0
	pauseCount := m.rights.pauseCount.Load()
	c := Claim{
		Owner:   Owner{Host: m.deps.Self.ID, Incarnation: m.deps.Self.Incarnation, Epoch: old.Epoch + 1},
		Drained: neverClaimed || old.Released && old.Drained,
	}
	if err := m.writeClaim(ctx, id, old, c); err != nil {
		return err
	}
	m.startRunner(id, ownershipStart{claim: c, previous: previousOwner(old), sendFrom: m.sendFrom(c), pauseCount: pauseCount})
	return nil
}

// previousOwner returns the owner whose claim a compare-and-swap replaces. It is
// zero if the key was deleted, since the owner is not known then.
func previousOwner(old observedClaim) Owner {
	if old.revision == 0 {
		return Owner{}
	}
	return old.Owner
}

// sendFrom returns the time by which all requests of earlier owners have ended
// if the claim has just been written.
func (m *Manager) sendFrom(c Claim) time.Time {
	now := time.Now()
	if c.Drained {
		return now
	}
	return now.Add(m.maxRequestDuration())
}

// adopt runs a shard that the store shows as claimed by this process. This
// happens if a write took effect after this process had given up on its outcome. The
// claim of a front is rewritten, since a host that has decided to take it over must
// fail from now on, and a read does not make it fail.
func (m *Manager) adopt(ctx context.Context, id ID) error {
	pauseCount := m.rights.pauseCount.Load()
	rec, err := m.readClaim(ctx, id)
	if err != nil {
		return err
	}
	if !m.isOwn(rec.Claim) {
		return eris.Wrap(&LostError{Shard: id, NewOwner: rec.Owner}, "adopt")
	}
	if id.Kind() == KindFront {
		if err := m.writeClaim(ctx, id, rec, rec.Claim); err != nil {
			return err
		}
	}
	m.startRunner(id, ownershipStart{claim: rec.Claim, sendFrom: m.sendFrom(rec.Claim), pauseCount: pauseCount})
	return nil
}

func (m *Manager) isOwn(c Claim) bool {
	return !c.Released && c.Host == m.deps.Self.ID && c.Incarnation == m.deps.Self.Incarnation
}

// restart runs a shard again after its runner has failed. Queues and cells get a
// new epoch, which distinguishes late writes of the failed run. Fronts write
// nothing and must be able to restart while the store is down, so they keep
// theirs.
func (m *Manager) restart(ctx context.Context, id ID) error {
	m.mu.Lock()
	o, rec := m.ownerships[id], m.claims[id]
	m.mu.Unlock()
	if o == nil {
		return nil
	}
	next := rec.Claim
	if id.Kind() != KindFront {
		next.Epoch++
		if err := m.writeClaim(ctx, id, rec, next); err != nil {
			return err
		}
	}
	sendFrom, pauseCount := m.stopRunner(id)
	m.startRunner(id, ownershipStart{claim: next, sendFrom: sendFrom, pauseCount: pauseCount, restarts: o.restarts + 1})
	return nil
}

// handOver stops a shard and then releases it. If the release was certainly not
// applied, the shard is started again on this host.
func (m *Manager) handOver(ctx context.Context, id ID) error {
	level.Info(m.logger).Log("event", "hand_over", "shard", id)
	claim := m.claimOf(id).Claim
	sendFrom, pauseCount := m.stopRunner(id)
	err := m.release(ctx, id, !time.Now().Before(sendFrom))
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) {
		m.startRunner(id, ownershipStart{claim: claim, sendFrom: sendFrom, pauseCount: pauseCount})
	}
	return err
}

// release marks the claim of a shard as released.
func (m *Manager) release(ctx context.Context, id ID, drained bool) error {
	rec := m.claimOf(id)
	if !m.isOwn(rec.Claim) {
		return nil
	}
	next := rec.Claim
	next.Released = true
	next.Drained = drained
	return m.writeClaim(ctx, id, rec, next)
}

// stopLost stops a shard whose claim is no longer this process's.
func (m *Manager) stopLost(id ID) {
	level.Warn(m.logger).Log("event", "shard_lost", "shard", id)
	m.stopRunner(id)
}

// writeClaim replaces a claim by compare-and-swap. A *store.UnavailableError
// means that the write was certainly not applied. Any other error means that the
// claim in the store is a different one, unless ctx has ended.
func (m *Manager) writeClaim(ctx context.Context, id ID, old observedClaim, next Claim) error {
	if err := m.storeCalls.Acquire(ctx, 1); err != nil {
		return err
	}
	defer m.storeCalls.Release(1)
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(&MalformedError{Key: claimKey(id), Cause: err}, "claim")
	}
	err = m.swapClaim(ctx, id, old.revision, next, value)
	var unavailable *store.UnavailableError
	if err == nil || errors.As(err, &unavailable) {
		return err
	}
	return m.resolveWrite(ctx, id, old.revision, next, value)
}

func (m *Manager) swapClaim(ctx context.Context, id ID, expect store.Revision, next Claim, value []byte) error {
	revision, err := m.deps.Store.CompareAndSwap(ctx, claimKey(id), expect, value, 0)
	if err == nil {
		m.recordClaim(id, next, revision)
	}
	return err
}

// resolveWrite determines the outcome of a write that met a conflict or whose
// outcome is unknown. While the key is still at the revision that the write
// expects, the write may yet take effect, so it is sent again: once either of
// them has succeeded, the other can't.
func (m *Manager) resolveWrite(ctx context.Context, id ID, expect store.Revision, next Claim, value []byte) error {
	for {
		rec, err := m.readClaim(ctx, id)
		var missing *store.NotFoundError
		switch {
		case errors.As(err, &missing) && expect == 0, err == nil && rec.revision == expect:
			if m.swapClaim(ctx, id, expect, next, value) == nil {
				return nil
			}
		case errors.As(err, &missing):
			return err
		case err == nil && rec.Claim == next:
			return nil
		case err == nil:
			return eris.Wrap(&LostError{Shard: id, NewOwner: rec.Owner}, "claim")
		}
		if err := wait.For(ctx, resolveInterval); err != nil {
			return err
		}
	}
}

// readClaim reads a claim from the store and records it. It returns the newest
// known claim.
func (m *Manager) readClaim(ctx context.Context, id ID) (observedClaim, error) {
	entry, err := m.deps.Store.Get(ctx, claimKey(id))
	if err != nil {
		return observedClaim{}, err
	}
	c, err := decodeClaim(entry)
	if err != nil {
		return observedClaim{}, err
	}
	m.recordClaim(id, c, entry.Revision)
	return m.claimOf(id), nil
}

// shutdown stops all shards concurrently and releases each once it has stopped.
func (m *Manager) shutdown() {
	m.operations.Wait()
	m.mu.Lock()
	ids := make([]ID, 0, len(m.ownerships))
	for id := range m.ownerships {
		ids = append(ids, id)
	}
	m.mu.Unlock()
	var stopping sync.WaitGroup
	for _, id := range ids {
		stopping.Go(func() { m.stopAndRelease(id) })
	}
	stopping.Wait()
}

func (m *Manager) stopAndRelease(id ID) {
	sendFrom, _ := m.stopRunner(id)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := m.release(ctx, id, !time.Now().Before(sendFrom)); err != nil {
		level.Warn(m.logger).Log("event", "not_released", "shard", id, "err", err)
		return
	}
	level.Info(m.logger).Log("event", "released", "shard", id)
}
