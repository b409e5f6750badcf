package shard

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// watchClaims keeps the known claims up to date until ctx ends. It lists them
// anew after every claimsRelistInterval and after a failed watch.
func (m *Manager) watchClaims(ctx context.Context) {
	for ctx.Err() == nil {
		entries, revision, err := m.deps.Store.List(ctx, claimPrefix)
		if err != nil {
			level.Warn(m.logger).Log("event", "claims_not_listed", "err", err)
			_ = wait.For(ctx, watchRetryDelay)
			continue
		}
		for _, e := range entries {
			m.applyEvent(store.Event{Entry: e})
		}
		m.mu.Lock()
		if m.listedAt.IsZero() {
			m.listedAt = time.Now()
		}
		m.mu.Unlock()
		m.signal()
		m.followClaims(ctx, revision)
	}
}

// followClaims applies the changes of claims above revision after, for up to
// claimsRelistInterval.
func (m *Manager) followClaims(ctx context.Context, after store.Revision) {
	ctx, cancel := context.WithTimeout(ctx, claimsRelistInterval)
	defer cancel()
	events, err := m.deps.Store.Watch(ctx, claimPrefix, after)
	if err != nil {
		level.Warn(m.logger).Log("event", "claims_not_watched", "err", err)
		_ = wait.For(ctx, watchRetryDelay)
		return
	}
	for ev := range events {
		m.applyEvent(ev)
	}
}

// applyEvent applies a change of a claim. Only an operator can delete a claim.
// The epoch of a deleted claim is kept, since the next one must be higher.
func (m *Manager) applyEvent(ev store.Event) {
	id := shardOfKey(ev.Key)
	if !ev.Deleted {
		c, err := decodeClaim(ev.Entry)
		if err != nil {
			level.Error(m.logger).Log("event", "claim_malformed", "shard", id, "err", err)
			return
		}
		m.recordClaim(id, c, ev.Revision)
		return
	}
	level.Error(m.logger).Log("event", "claim_deleted", "shard", id)
	m.mu.Lock()
	defer m.mu.Unlock()
	rec, known := m.claims[id]
	if !known || rec.lastChange >= ev.Revision {
		return
	}
	rec.Released = true
	rec.Drained = false
	rec.revision = 0
	rec.lastChange = ev.Revision
	m.setClaim(id, rec)
}

// recordClaim records a claim unless a newer one is known.
func (m *Manager) recordClaim(id ID, c Claim, revision store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.claims[id].lastChange >= revision {
		return
	}
	m.setClaim(id, observedClaim{Claim: c, revision: revision, lastChange: revision, firstSeen: time.Now()})
}

// setClaim sets the newest known claim of a shard. A front that is no longer this
// process's must not be sent for while its runner is being stopped. The caller holds
// the mutex.
func (m *Manager) setClaim(id ID, rec observedClaim) {
	m.claims[id] = rec
	if id.Kind() == KindFront && !m.isOwn(rec.Claim) {
		m.rights.revoke(id)
	}
	m.signal()
}
