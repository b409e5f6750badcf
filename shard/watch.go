package shard

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// watchClaims follows the claims until ctx ends.
func (m *Manager) watchClaims(ctx context.Context) {
	for ctx.Err() == nil {
		entries, revision, err := m.deps.Store.List(ctx, claimPrefix)
		if err != nil {
			level.Warn(m.logger).Log("event", "claims_not_listed", "err", err)
			_ = wait.For(ctx, watchRetry)
			continue
		}
		for _, e := range entries {
			m.see(store.Event{Entry: e})
		}
		m.mu.Lock()
		if m.listed.IsZero() {
			m.listed = time.Now()
		}
		m.mu.Unlock()
		m.signal()
		m.followClaims(ctx, revision)
	}
}

func (m *Manager) followClaims(ctx context.Context, after store.Revision) {
	ctx, cancel := context.WithTimeout(ctx, claimsRelist)
	defer cancel()
	events, err := m.deps.Store.Watch(ctx, claimPrefix, after)
	if err != nil {
		level.Warn(m.logger).Log("event", "claims_not_watched", "err", err)
		_ = wait.For(ctx, watchRetry)
		return
	}
	for ev := range events {
		m.see(ev)
	}
}

// see takes a change of a claim. A deleted claim, which only an operator can
// cause, keeps its epoch: the next one must be higher.
func (m *Manager) see(ev store.Event) {
	id := idOf(ev.Key)
	if !ev.Deleted {
		c, err := decodeClaim(ev.Entry)
		if err != nil {
			level.Error(m.logger).Log("event", "claim_malformed", "shard", id, "err", err)
			return
		}
		m.learn(id, c, ev.Revision)
		return
	}
	level.Error(m.logger).Log("event", "claim_deleted", "shard", id)
	m.mu.Lock()
	defer m.mu.Unlock()
	rec, known := m.claims[id]
	if !known || rec.order >= ev.Revision {
		return
	}
	rec.Released = true
	rec.Drained = false
	rec.revision = 0
	rec.order = ev.Revision
	m.claims[id] = rec
	m.signal()
}

// learn takes a claim unless a newer one is known.
func (m *Manager) learn(id ID, c Claim, revision store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.claims[id].order >= revision {
		return
	}
	m.claims[id] = record{Claim: c, revision: revision, order: revision, seen: time.Now()}
	m.signal()
}
