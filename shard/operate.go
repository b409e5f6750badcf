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

// operation returns what carries out an action. One operation at a time is in
// progress for a shard.
func (m *Manager) operation(act action, id ID) func(context.Context) error {
	switch act {
	case actClaim:
		return func(ctx context.Context) error { return m.take(ctx, id) }
	case actAdopt:
		return func(ctx context.Context) error { return m.adopt(ctx, id) }
	case actReclaim:
		return func(ctx context.Context) error { return m.reclaim(ctx, id) }
	case actHandOver:
		return func(ctx context.Context) error { return m.handOver(ctx, id) }
	case actVerify:
		return func(ctx context.Context) error { return m.takeAfterBound(ctx, id) }
	default:
		return func(context.Context) error { m.yield(id); return nil }
	}
}

// claimOf returns the newest claim known.
func (m *Manager) claimOf(id ID) record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.claims[id]
}

// take claims a shard under the next epoch and runs it.
func (m *Manager) take(ctx context.Context, id ID) error {
	old := m.claimOf(id)
	fresh := old.order == 0
	pauses := m.rights.pauses.Load()
	c := Claim{
		Owner:   Owner{Host: m.deps.Self.ID, Incarnation: m.deps.Self.Incarnation, Epoch: old.Epoch + 1},
		Drained: fresh || old.Released && old.Drained,
	}
	if err := m.write(ctx, id, old, c); err != nil {
		return err
	}
	m.begin(id, term{claim: c, former: former(old), sendFrom: m.sendFrom(c), pauses: pauses})
	return nil
}

// former returns the owner whose claim is replaced by compare-and-swap. It is
// not known if the key was deleted.
func former(old record) Owner {
	if old.revision == 0 {
		return Owner{}
	}
	return old.Owner
}

// sendFrom returns when requests of earlier owners have surely ended, if the
// claim was written just now.
func (m *Manager) sendFrom(c Claim) time.Time {
	now := time.Now()
	if c.Drained {
		return now
	}
	return now.Add(m.longestRequest())
}

// adopt runs a shard whose claim was found to be this process's: the write
// had taken effect after its outcome had been given up on.
func (m *Manager) adopt(ctx context.Context, id ID) error {
	pauses := m.rights.pauses.Load()
	rec, err := m.read(ctx, id)
	if err != nil {
		return err
	}
	if !m.isOwn(rec.Claim) {
		return eris.Wrap(&LostError{Shard: id, NewOwner: rec.Owner}, "adopt")
	}
	m.begin(id, term{claim: rec.Claim, sendFrom: m.sendFrom(rec.Claim), pauses: pauses})
	return nil
}

func (m *Manager) isOwn(c Claim) bool {
	return !c.Released && c.Host == m.deps.Self.ID && c.Incarnation == m.deps.Self.Incarnation
}

// reclaim runs a shard again after its runner has failed. Queues and cells
// get a new epoch, so that late writes of the earlier run are told apart;
// fronts write nothing and must be able to restart while the store is down.
func (m *Manager) reclaim(ctx context.Context, id ID) error {
	pauses := m.rights.pauses.Load()
	m.mu.Lock()
	t, rec := m.tenures[id], m.claims[id]
	m.mu.Unlock()
	if t == nil {
		return nil
	}
	next := rec.Claim
	if id.Kind() != KindFront {
		next.Epoch++
		if err := m.write(ctx, id, rec, next); err != nil {
			return err
		}
	}
	m.stop(id)
	m.begin(id, term{claim: next, sendFrom: t.sendFrom, pauses: pauses, restarts: t.restarts + 1})
	return nil
}

// handOver stops a shard and then releases it. If the store surely did not
// take the release, the shard runs on here.
func (m *Manager) handOver(ctx context.Context, id ID) error {
	level.Info(m.logger).Log("event", "hand_over", "shard", id)
	pauses := m.rights.pauses.Load()
	claim := m.claimOf(id).Claim
	sendFrom := m.stop(id)
	err := m.release(ctx, id, !time.Now().Before(sendFrom))
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) {
		m.begin(id, term{claim: claim, sendFrom: sendFrom, pauses: pauses})
	}
	return err
}

// release writes that nobody owns the shard.
func (m *Manager) release(ctx context.Context, id ID, drained bool) error {
	rec := m.claimOf(id)
	if !m.isOwn(rec.Claim) {
		return nil
	}
	next := rec.Claim
	next.Released = true
	next.Drained = drained
	return m.write(ctx, id, rec, next)
}

// yield stops a shard that has passed to another owner.
func (m *Manager) yield(id ID) {
	level.Warn(m.logger).Log("event", "shard_lost", "shard", id)
	m.stop(id)
}

// write replaces a claim by compare-and-swap. It returns a
// *store.UnavailableError only if the write surely was not applied; any other
// error means that the claim is not as written, unless ctx has ended.
func (m *Manager) write(ctx context.Context, id ID, old record, next Claim) error {
	if err := m.calls.Acquire(ctx, 1); err != nil {
		return err
	}
	defer m.calls.Release(1)
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(&MalformedError{Key: claimKey(id), Cause: err}, "claim")
	}
	err = m.swap(ctx, id, old.revision, next, value)
	var unavailable *store.UnavailableError
	if err == nil || errors.As(err, &unavailable) {
		return err
	}
	return m.resolve(ctx, id, old.revision, next, value)
}

func (m *Manager) swap(ctx context.Context, id ID, expect store.Revision, next Claim, value []byte) error {
	revision, err := m.deps.Store.CompareAndSwap(ctx, claimKey(id), expect, value, 0)
	if err == nil {
		m.learn(id, next, revision)
	}
	return err
}

// resolve settles a write that met a conflict or whose outcome is unknown. As
// long as the key is at the revision that the write expects, the write may
// still take effect, so it is sent again: once one of the two has succeeded,
// the other can't.
func (m *Manager) resolve(ctx context.Context, id ID, expect store.Revision, next Claim, value []byte) error {
	for {
		rec, err := m.read(ctx, id)
		var missing *store.NotFoundError
		switch {
		case errors.As(err, &missing) && expect == 0, err == nil && rec.revision == expect:
			if m.swap(ctx, id, expect, next, value) == nil {
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

// read reads a claim from the store.
func (m *Manager) read(ctx context.Context, id ID) (record, error) {
	entry, err := m.deps.Store.Get(ctx, claimKey(id))
	if err != nil {
		return record{}, err
	}
	c, err := decodeClaim(entry)
	if err != nil {
		return record{}, err
	}
	m.learn(id, c, entry.Revision)
	return m.claimOf(id), nil
}

// shutdown stops every shard at once and releases each when it has stopped.
func (m *Manager) shutdown() {
	m.ops.Wait()
	m.mu.Lock()
	ids := make([]ID, 0, len(m.tenures))
	for id := range m.tenures {
		ids = append(ids, id)
	}
	m.mu.Unlock()
	var all sync.WaitGroup
	for _, id := range ids {
		all.Go(func() { m.leave(id) })
	}
	all.Wait()
}

func (m *Manager) leave(id ID) {
	sendFrom := m.stop(id)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := m.release(ctx, id, !time.Now().Before(sendFrom)); err != nil {
		level.Warn(m.logger).Log("event", "not_released", "shard", id, "err", err)
		return
	}
	level.Info(m.logger).Log("event", "released", "shard", id)
}
