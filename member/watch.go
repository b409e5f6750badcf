package member

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// A watch may go silent unnoticed, and does not tell of deletions that
	// the service has forgotten, so the records are listed again at least
	// this often, and less often the more hosts there are.
	relistInterval = 8 * time.Second
	relistPerHost  = 150 * time.Millisecond
)

// watchHosts follows the host records until ctx ends or a later process runs
// under this host's ID.
func (r *Registry) watchHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		began := time.Now()
		entries, revision, err := r.deps.Store.List(ctx, hostPrefix)
		r.observe(began, err)
		if err != nil {
			level.Warn(r.logger).Log("event", "hosts_not_listed", "err", err)
			if err := wait.For(ctx, retryInterval); err != nil {
				return err
			}
			continue
		}
		r.replace(entries, revision)
		r.follow(ctx, revision)
		if err := r.successor(); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// successor returns a *SupersededError if a later process has taken this
// host's record. This process's lease may go on, so its renewals don't tell.
func (r *Registry) successor() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hosts[r.deps.Self.ID].host
	if h.Incarnation <= r.deps.Self.Incarnation {
		return nil
	}
	return eris.Wrap(&SupersededError{Host: h.ID, By: h.Incarnation}, "member")
}

// follow applies watch events until the next listing is due.
func (r *Registry) follow(ctx context.Context, after store.Revision) {
	if r.successor() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.relistAfter())
	defer cancel()
	events, err := r.deps.Store.Watch(ctx, hostPrefix, after)
	if err != nil {
		level.Warn(r.logger).Log("event", "hosts_not_watched", "err", err)
		_ = wait.For(ctx, retryInterval)
		return
	}
	for ev := range events {
		r.apply(ev)
		if r.successor() != nil {
			return
		}
	}
}

func (r *Registry) relistAfter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(relistInterval, time.Duration(len(r.hosts))*relistPerHost)
}

// replace takes over a listing at a revision. Records that are missing are
// treated as deleted.
func (r *Registry) replace(entries []store.Entry, revision store.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make(map[fleet.HostID]bool, len(entries))
	for _, e := range entries {
		present[hostOf(e.Key)] = true
		r.put(e)
	}
	for id := range r.hosts {
		if !present[id] {
			r.drop(id, revision)
		}
	}
}

func (r *Registry) apply(ev store.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ev.Deleted {
		r.drop(hostOf(ev.Key), ev.Revision)
		return
	}
	r.put(ev.Entry)
}

func hostOf(key string) fleet.HostID {
	return fleet.HostID(strings.TrimPrefix(key, hostPrefix))
}

// put takes a record unless a newer one is known. The mutex is held.
func (r *Registry) put(e store.Entry) {
	var h Host
	if err := json.Unmarshal(e.Value, &h); err != nil || h.ID != hostOf(e.Key) {
		level.Error(r.logger).Log("event", "host_record_malformed", "key", e.Key, "err", err)
		return
	}
	old, known := r.hosts[h.ID]
	if known && old.revision >= e.Revision {
		return
	}
	if h.Ended {
		r.remove(h.ID)
		return
	}
	r.hosts[h.ID] = record{host: h, revision: e.Revision}
	r.summary.admit(h)
	if !known || old.host != h {
		level.Info(r.logger).Log("event", "host_seen", "host", h.ID, "incarnation", h.Incarnation)
		r.notify()
	}
}

// drop removes a record that was deleted at a revision. After an outage every
// lease may have lapsed at once, so until the store has been steady for a
// lease time the host is kept: it had no chance to register again. A later
// listing drops it. The mutex is held.
func (r *Registry) drop(id fleet.HostID, revision store.Revision) {
	old, known := r.hosts[id]
	if !known || old.revision > revision {
		return
	}
	if !r.settled(time.Now()) {
		return
	}
	r.remove(id)
}

// remove forgets a host. The mutex is held.
func (r *Registry) remove(id fleet.HostID) {
	if _, known := r.hosts[id]; !known {
		return
	}
	delete(r.hosts, id)
	r.summary.forget(id)
	level.Info(r.logger).Log("event", "host_gone", "host", id)
	r.notify()
}

// settled reports whether the store has been steady for a lease time. The
// mutex is held.
func (r *Registry) settled(now time.Time) bool {
	since, ok := r.steady.since(now)
	return ok && now.Sub(since) >= LeaseTTL
}
