package member

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

const (
	hostPrefix = "hosts/"
	// recordEndTimeout is the timeout for recording that this process ends.
	recordEndTimeout = time.Second
)

// maintainRecord keeps hosts/<self> in the store under a lease until ctx is done.
func (r *Registry) maintainRecord(ctx context.Context) error {
	var lease store.LeaseID
	defer func() { r.recordEnd(lease) }()
	for {
		next := renewInterval
		err := r.renewOrRegister(ctx, &lease)
		var superseded *SupersededError
		switch {
		case errors.As(err, &superseded):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			level.Warn(r.logger).Log("event", "lease_not_kept", "err", err)
			next = retryInterval
		}
		if err := wait.For(ctx, next); err != nil {
			return err
		}
	}
}

// renewOrRegister renews the lease. It registers again if there is no lease, or if
// an earlier process has overwritten the record.
func (r *Registry) renewOrRegister(ctx context.Context, lease *store.LeaseID) error {
	known, ok := r.Host(r.deps.Self.ID)
	if *lease == 0 || ok && known.Incarnation < r.deps.Self.Incarnation {
		return r.register(ctx, lease)
	}
	sentAt := time.Now()
	err := r.deps.Store.Renew(ctx, *lease)
	var gone *store.LeaseGoneError
	if errors.As(err, &gone) {
		level.Warn(r.logger).Log("event", "lease_lapsed", "lease", *lease)
		r.leaseExpired()
		*lease = 0
		return r.register(ctx, lease)
	}
	r.observeResponse(sentAt, err)
	return err
}

// register requests a lease and writes the record under it. If the write fails, the
// lease is left to expire.
func (r *Registry) register(ctx context.Context, lease *store.LeaseID) error {
	sentAt := time.Now()
	granted, err := r.deps.Store.Grant(ctx, LeaseTTL)
	if err != nil {
		return err
	}
	if err := r.writeRecord(ctx, r.deps.Self, granted); err != nil {
		return err
	}
	*lease = granted
	r.observeResponse(sentAt, nil)
	level.Info(r.logger).Log("event", "registered", "lease", granted, "incarnation", r.deps.Self.Incarnation)
	return nil
}

func (r *Registry) writeRecord(ctx context.Context, self Host, lease store.LeaseID) error {
	key := hostPrefix + string(self.ID)
	expect, err := r.previousRevision(ctx, key)
	if err != nil {
		return err
	}
	value, err := json.Marshal(self)
	if err != nil {
		return eris.Wrap(err, "host record")
	}
	_, err = r.deps.Store.CompareAndSwap(ctx, key, expect, value, lease)
	return err
}

// previousRevision returns the revision of the record that the new one replaces, or
// 0 if there is none. It fails with a *SupersededError if that record is of a later
// process.
func (r *Registry) previousRevision(ctx context.Context, key string) (store.Revision, error) {
	entry, err := r.deps.Store.Get(ctx, key)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var previous Host
	if json.Unmarshal(entry.Value, &previous) == nil && previous.Incarnation > r.deps.Self.Incarnation {
		return 0, eris.Wrap(&SupersededError{Host: previous.ID, By: previous.Incarnation}, "member")
	}
	return entry.Revision, nil
}

// observeResponse records whether the store responded to a call sent at sentAt.
func (r *Registry) observeResponse(sentAt time.Time, err error) {
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steady.observeResponse(sentAt, time.Now())
}

// leaseExpired records that this host's lease has expired.
func (r *Registry) leaseExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steady.leaseExpired()
}

// recordEnd marks the record as ended to notify the other hosts that this process
// ends. The record stays until its lease expires, so that hosts which list the
// records, instead of watching them at the moment, see it too. Revoking the lease
// would not notify them: while the store has not been steady for LeaseTTL, the others
// attribute a missing record to an expired lease and keep the host. Revoking is the
// fallback if the record can't be written.
func (r *Registry) recordEnd(lease store.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordEndTimeout)
	defer cancel()
	ended := r.deps.Self
	ended.Ended = true
	err := r.writeRecord(ctx, ended, lease)
	if err == nil {
		return
	}
	level.Warn(r.logger).Log("event", "end_not_recorded", "err", err)
	if err := r.deps.Store.Revoke(ctx, lease); err != nil {
		level.Warn(r.logger).Log("event", "lease_not_revoked", "err", err)
	}
}

// SupersededError reports that a later process runs under this host's ID. By is the
// incarnation of that process.
type SupersededError struct {
	Host fleet.HostID
	By   fleet.Incarnation
}

func (e *SupersededError) Error() string {
	return "member: host " + string(e.Host) + " was superseded by a later process"
}
