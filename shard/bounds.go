package shard

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// bounds holds what is known of the renewal records of other hosts, for fronts
// whose owner has lapsed, and the revision of the own record.
type bounds map[fleet.HostID]renewalSeen

// renewalSeen is a renewal record as last read.
type renewalSeen struct {
	revision store.Revision // 0 if there is none
	since    time.Time      // when this revision was first read
	polled   time.Time      // when it was last read
}

// passed reports whether the bound has passed since the owner's last sign of
// life. Time counts from when this process first saw it, which is later than
// when the store did, which is later than when the owner sent it.
func (b bounds) passed(now time.Time, rec record, bound time.Duration) bool {
	seen, ok := b[rec.Host]
	if !ok {
		return false
	}
	last := seen.since
	if rec.seen.After(last) {
		last = rec.seen
	}
	return now.Sub(last) >= bound
}

// pollBounds reads the renewals of lapsed owners whose fronts this host
// should own, each once in a renewal interval.
func (m *Manager) pollBounds(ctx context.Context, now time.Time) {
	for _, host := range m.lapsedOwners(now) {
		// A failed read says nothing, and the time goes on counting from the
		// last one; takeAfterBound reads again before anything is taken.
		_, _ = m.readBound(ctx, host)
	}
}

// lapsedOwners returns the owners whose renewal is due to be read.
func (m *Manager) lapsedOwners(now time.Time) []fleet.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	due := make(map[fleet.HostID]bool)
	for id, rec := range m.claims {
		if id.Kind() != KindFront || rec.Released || rec.Host == m.deps.Self.ID || m.plan.wanted[id] != m.deps.Self.ID {
			continue
		}
		if live, ended := m.ownerState(now, rec.Owner); live || ended {
			continue
		}
		due[rec.Host] = now.Sub(m.bounds[rec.Host].polled) >= m.timing.RenewInterval
	}
	var hosts []fleet.HostID
	for host, yes := range due {
		if yes {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// readBound reads a host's renewal and reports whether it is as it was.
func (m *Manager) readBound(ctx context.Context, host fleet.HostID) (unchanged bool, err error) {
	entry, err := m.deps.Store.Get(ctx, renewalKey(host))
	var missing *store.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return false, err
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	old, known := m.bounds[host]
	unchanged = known && old.revision == entry.Revision
	if !unchanged {
		old = renewalSeen{revision: entry.Revision, since: now}
	}
	old.polled = now
	m.bounds[host] = old
	return unchanged, nil
}

// takeAfterBound takes a front whose owner has not renewed for the bound. The
// renewal is read once more, since an owner that renewed in time goes on
// sending. An owner that renews later than this read first writes its claim
// again: either that write fails or the one of this host does.
func (m *Manager) takeAfterBound(ctx context.Context, id ID) error {
	rec := m.claimOf(id)
	unchanged, err := m.readBound(ctx, rec.Host)
	if err != nil {
		return err
	}
	if !unchanged || m.claimOf(id).order != rec.order {
		return eris.Wrap(&OwnerAliveError{Host: rec.Host}, "front")
	}
	return m.take(ctx, id)
}

// OwnerAliveError reports that the owner of a front turned out to be alive.
type OwnerAliveError struct{ Host fleet.HostID }

func (e *OwnerAliveError) Error() string { return "shard: host " + string(e.Host) + " has renewed" }
