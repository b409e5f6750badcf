package shard

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// keepRenewed writes this host's renewal record and confirms claims after a
// pause, until ctx ends.
func (m *Manager) keepRenewed(ctx context.Context) {
	for ctx.Err() == nil {
		next := m.timing.DecisionInterval
		if err := m.renewIfDue(ctx); err != nil && ctx.Err() == nil {
			level.Warn(m.logger).Log("event", "fronts_not_renewed", "err", err)
			next = operationRetry
		}
		m.pollBounds(ctx, time.Now())
		_ = wait.For(ctx, next)
	}
}

// renewIfDue renews when the interval has passed, and after a pause or a
// lapse of the bound confirms every front.
func (m *Manager) renewIfDue(ctx context.Context) error {
	pauses := m.rights.pauses.Load()
	suspended := m.rights.isSuspended()
	if !suspended && time.Since(m.lastRenewal()) < m.timing.RenewInterval {
		return nil
	}
	m.longestRequest() // so that it is remembered when the settings change
	sent := time.Now()
	if err := m.renew(ctx); err != nil {
		return err
	}
	// The acknowledgement must come before the old rights end. A renewal that
	// took effect later may have come after another host looked for it.
	if !suspended && m.rights.expired(time.Now()) {
		m.rights.suspend()
		return nil
	}
	m.mu.Lock()
	m.renewed = sent
	m.mu.Unlock()
	if suspended {
		if err := m.confirmFronts(ctx); err != nil {
			return err
		}
	}
	m.rights.extend(sent.Add(m.timing.FrontTakeoverTimeout - m.timing.FrontClockMargin))
	if suspended {
		m.rights.confirm(pauses)
	}
	return nil
}

func (m *Manager) lastRenewal() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewed
}

// renew writes the renewal record. An unknown outcome counts as a failure:
// the rights then end earlier than the store's record allows.
func (m *Manager) renew(ctx context.Context) error {
	key := renewalKey(m.deps.Self.ID)
	value, err := json.Marshal(Renewal{Incarnation: m.deps.Self.Incarnation})
	if err != nil {
		return eris.Wrap(&MalformedError{Key: key, Cause: err}, "renewal")
	}
	revision := m.renewalRevision()
	next, err := m.deps.Store.CompareAndSwap(ctx, key, revision, value, 0)
	if err != nil {
		return errors.Join(err, m.rereadRenewal(ctx, key))
	}
	m.setRenewalRevision(next)
	return nil
}

// rereadRenewal finds the revision that the next renewal replaces.
func (m *Manager) rereadRenewal(ctx context.Context, key string) error {
	entry, err := m.deps.Store.Get(ctx, key)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		m.setRenewalRevision(0)
		return nil
	}
	if err != nil {
		return err
	}
	var r Renewal
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return eris.Wrap(&MalformedError{Key: key, Cause: err}, "renewal")
	}
	if r.Incarnation > m.deps.Self.Incarnation {
		return eris.Wrap(&SupersededError{By: r.Incarnation}, "renewal")
	}
	m.setRenewalRevision(entry.Revision)
	return nil
}

// SupersededError reports that a later process of this host holds its fronts.
type SupersededError struct{ By fleet.Incarnation }

func (e *SupersededError) Error() string { return "shard: a later process of this host is running" }

func (m *Manager) renewalRevision() store.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bounds[m.deps.Self.ID].revision
}

func (m *Manager) setRenewalRevision(r store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bounds[m.deps.Self.ID] = renewalSeen{revision: r}
}

// confirmFronts writes the claim of every front again, unchanged. A write in
// place of a read makes the compare-and-swap of a host that had just decided
// to take the front fail.
func (m *Manager) confirmFronts(ctx context.Context) error {
	for id, rec := range m.ownFronts() {
		if err := m.write(ctx, id, rec, rec.Claim); err != nil {
			var lost *LostError
			if !errors.As(err, &lost) {
				return err
			}
			m.rights.revoke(id)
		}
	}
	return nil
}

func (m *Manager) ownFronts() map[ID]record {
	m.mu.Lock()
	defer m.mu.Unlock()
	fronts := make(map[ID]record)
	for id := range m.tenures {
		if id.Kind() == KindFront && m.isOwn(m.claims[id].Claim) {
			fronts[id] = m.claims[id]
		}
	}
	return fronts
}
