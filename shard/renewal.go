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

// renewLoop keeps this host's renewal record current, confirms its claims after
// a pause, and reads the renewals of unreachable owners, until ctx ends.
func (m *Manager) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		delay := m.timing.DecisionInterval
		if err := m.renewIfDue(ctx); err != nil && ctx.Err() == nil {
			level.Warn(m.logger).Log("event", "fronts_not_renewed", "err", err)
			delay = operationRetryDelay
		}
		m.readRenewals(ctx, time.Now())
		_ = wait.For(ctx, delay)
	}
}

// renewIfDue renews when the interval has passed. After a pause, or once the
// rights have expired, it also confirms the claim of every front.
func (m *Manager) renewIfDue(ctx context.Context) error {
	pauseCount := m.rights.pauseCount.Load()
	suspended := m.rights.isSuspended()
	if !suspended && time.Since(m.lastRenewal()) < m.timing.RenewInterval {
		return nil
	}
	m.maxRequestDuration() // records the duration in force, in case the settings change
	sent := time.Now()
	if err := m.renew(ctx); err != nil {
		return err
	}
	// The acknowledgement must arrive before the old rights expire. A renewal
	// that took effect later may have missed another host's last read before a
	// takeover.
	if !suspended && m.rights.expired(time.Now()) {
		m.rights.suspend()
		return nil
	}
	m.mu.Lock()
	m.renewedAt = sent
	m.mu.Unlock()
	var confirmed []ID
	if suspended {
		var err error
		if confirmed, err = m.confirmFronts(ctx); err != nil {
			return err
		}
	}
	m.rights.extend(sent.Add(m.timing.FrontTakeoverTimeout - m.timing.FrontClockMargin))
	if suspended {
		m.rights.confirm(pauseCount, confirmed)
	}
	return nil
}

func (m *Manager) lastRenewal() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewedAt
}

// renew writes the renewal record. An unknown outcome counts as a failure, which
// is safe: the rights then expire earlier than the record in the store would
// allow.
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

// rereadRenewal reads the revision that the next renewal must replace. It fails
// with a *SupersededError if a later process of this host has written the record.
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

// SupersededError reports that a later process of this host has taken over its
// renewal record. By is the incarnation of that process.
type SupersededError struct{ By fleet.Incarnation }

func (e *SupersededError) Error() string { return "shard: a later process of this host is running" }

func (m *Manager) renewalRevision() store.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewals[m.deps.Self.ID].revision
}

func (m *Manager) setRenewalRevision(r store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.renewals[m.deps.Self.ID] = observedRenewal{revision: r}
}

// confirmFronts rewrites the claim of every front unchanged and returns the fronts
// that this process still owns. Unlike a read, the write makes a concurrent takeover
// fail, since it changes the revision that the other host's compare-and-swap expects.
func (m *Manager) confirmFronts(ctx context.Context) (confirmed []ID, err error) {
	for id, rec := range m.ownFronts() {
		err := m.writeClaim(ctx, id, rec, rec.Claim)
		var lost *LostError
		switch {
		case err == nil:
			confirmed = append(confirmed, id)
		case !errors.As(err, &lost):
			return nil, err
		}
	}
	return confirmed, nil
}

func (m *Manager) ownFronts() map[ID]observedClaim {
	m.mu.Lock()
	defer m.mu.Unlock()
	fronts := make(map[ID]observedClaim)
	for id := range m.ownerships {
		if id.Kind() == KindFront && m.isOwn(m.claims[id].Claim) {
			fronts[id] = m.claims[id]
		}
	}
	return fronts
}
