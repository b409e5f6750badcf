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
	// leaveTimeout bounds the goodbye of a host that shuts down.
	leaveTimeout = time.Second
)

// keepRecord keeps hosts/<self> in the store under a lease, until ctx ends.
func (r *Registry) keepRecord(ctx context.Context) error {
	var lease store.LeaseID
	defer func() { r.leave(lease) }()
	for {
		next := renewInterval
		err := r.refresh(ctx, &lease)
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

// refresh renews the lease, or registers anew if there is none or another
// process has written the record.
func (r *Registry) refresh(ctx context.Context, lease *store.LeaseID) error {
	seen, ok := r.Host(r.deps.Self.ID)
	if *lease == 0 || ok && seen.Incarnation < r.deps.Self.Incarnation {
		return r.register(ctx, lease)
	}
	began := time.Now()
	err := r.deps.Store.Renew(ctx, *lease)
	var gone *store.LeaseGoneError
	if errors.As(err, &gone) {
		level.Warn(r.logger).Log("event", "lease_lapsed", "lease", *lease)
		r.lapsed()
		*lease = 0
		return r.register(ctx, lease)
	}
	r.observe(began, err)
	return err
}

// register grants a lease and writes the record under it. A lease whose
// write failed is left to end by itself.
func (r *Registry) register(ctx context.Context, lease *store.LeaseID) error {
	began := time.Now()
	granted, err := r.deps.Store.Grant(ctx, LeaseTTL)
	if err != nil {
		return err
	}
	if err := r.writeRecord(ctx, r.deps.Self, granted); err != nil {
		return err
	}
	*lease = granted
	r.observe(began, nil)
	level.Info(r.logger).Log("event", "registered", "lease", granted, "incarnation", r.deps.Self.Incarnation)
	return nil
}

func (r *Registry) writeRecord(ctx context.Context, self Host, lease store.LeaseID) error {
	key := hostPrefix + string(self.ID)
	expect, err := r.predecessor(ctx, key)
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

// predecessor returns the revision of the record that the new one replaces.
func (r *Registry) predecessor(ctx context.Context, key string) (store.Revision, error) {
	entry, err := r.deps.Store.Get(ctx, key)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var old Host
	if json.Unmarshal(entry.Value, &old) == nil && old.Incarnation > r.deps.Self.Incarnation {
		return 0, eris.Wrap(&SupersededError{Host: old.ID, By: old.Incarnation}, "member")
	}
	return entry.Revision, nil
}

// observe notes whether the store answered a call begun at began.
func (r *Registry) observe(began time.Time, err error) {
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steady.answered(began, time.Now())
}

func (r *Registry) lapsed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steady.lapsed()
}

// leave tells the other hosts that this process ends. The record stays until
// its lease ends, so that those find it which list the records instead of
// following them just now. Revoking the lease would not tell: while the store has
// not been steady for a lease time, the others take a record that vanishes for
// one that lapsed and keep the host. It is the second best if the record can't
// be written.
func (r *Registry) leave(lease store.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
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

// SupersededError reports that a later process runs under this host's ID.
type SupersededError struct {
	Host fleet.HostID
	By   fleet.Incarnation
}

func (e *SupersededError) Error() string {
	return "member: host " + string(e.Host) + " runs in a later process"
}
