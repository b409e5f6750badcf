package shard

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// observedRenewals holds the renewal records last read from unreachable owners
// of fronts, and the revision of this host's own record.
type observedRenewals map[fleet.HostID]observedRenewal

// observedRenewal is the renewal record of a host as last read.
type observedRenewal struct {
	revision  store.Revision // 0 if there is none
	firstSeen time.Time      // when this revision was first read
	lastRead  time.Time      // when it was last read
}

// timedOut reports whether the timeout has passed since the owner's last write
// of its renewal or claim. Time counts from when this process first saw the
// write, so it never ends earlier than by the owner's clock: the owner sent the
// write before the store applied it, and this process read it after that.
func (r observedRenewals) timedOut(now time.Time, rec observedClaim, timeout time.Duration) bool {
	renewal, ok := r[rec.Host]
	if !ok {
		return false
	}
	lastSign := renewal.firstSeen
	if rec.firstSeen.After(lastSign) {
		lastSign = rec.firstSeen
	}
	return now.Sub(lastSign) >= timeout
}

// readRenewals reads the renewals of owners with expired leases whose fronts
// this host should own, each once per renewal interval.
func (m *Manager) readRenewals(ctx context.Context, now time.Time) {
	for _, host := range m.ownersToRead(now) {
		// A failed read changes nothing: the timeout continues from the last
		// successful one, and takeOverAfterTimeout reads the renewal again
		// before it claims the front.
		_, _ = m.readRenewal(ctx, host)
	}
}

// ownersToRead returns the owners whose renewal is due to be read.
func (m *Manager) ownersToRead(now time.Time) []fleet.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	due := make(map[fleet.HostID]bool)
	for id, rec := range m.claims {
		if id.Kind() != KindFront || rec.Released || rec.Host == m.deps.Self.ID || m.plan.desired[id] != m.deps.Self.ID {
			continue
		}
		if live, ended := m.ownerState(now, rec.Owner); live || ended {
			continue
		}
		due[rec.Host] = now.Sub(m.renewals[rec.Host].lastRead) >= m.timing.RenewInterval
	}
	var hosts []fleet.HostID
	for host, isDue := range due {
		if isDue {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// readRenewal reads a host's renewal and reports whether it is unchanged since
// the last read.
func (m *Manager) readRenewal(ctx context.Context, host fleet.HostID) (unchanged bool, err error) {
	entry, err := m.deps.Store.Get(ctx, renewalKey(host))
	var missing *store.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return false, err
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	renewal, known := m.renewals[host]
	unchanged = known && renewal.revision == entry.Revision
	if !unchanged {
		renewal = observedRenewal{revision: entry.Revision, firstSeen: now}
	}
	renewal.lastRead = now
	m.renewals[host] = renewal
	return unchanged, nil
}

// takeOverAfterTimeout claims a front whose owner has not renewed for the
// takeover timeout. It reads the renewal once more first, since an owner that
// has renewed in time continues to send. An owner that renews after this read
// rewrites its claim before it sends, and only one of that write and the write
// of this host can succeed.
func (m *Manager) takeOverAfterTimeout(ctx context.Context, id ID) error {
	rec := m.claimOf(id)
	unchanged, err := m.readRenewal(ctx, rec.Host)
	if err != nil {
		return err
	}
	if !unchanged || m.claimOf(id).lastChange != rec.lastChange {
		return eris.Wrap(&OwnerAliveError{Host: rec.Host}, "front")
	}
	return m.claim(ctx, id)
}

// OwnerAliveError reports that a front was not taken over because its owner has
// renewed.
type OwnerAliveError struct{ Host fleet.HostID }

func (e *OwnerAliveError) Error() string { return "shard: host " + string(e.Host) + " has renewed" }
