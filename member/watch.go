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
	// A watch may stop delivering events unnoticed, and does not report deletions
	// that the store no longer has in its history. So the records are listed again
	// after relistInterval, or after relistPerHost for each known host if that is
	// longer.
	relistInterval = 8 * time.Second
	relistPerHost  = 150 * time.Millisecond
)

// watchHosts tracks the host records until ctx is done or a later process runs under
// this host's ID.
func (r *Registry) watchHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		sentAt := time.Now()
		entries, revision, err := r.deps.Store.List(ctx, hostPrefix)
		r.observeResponse(sentAt, err)
		if err != nil {
			level.Warn(r.logger).Log("event", "hosts_not_listed", "err", err)
			if err := wait.For(ctx, retryInterval); err != nil {
				return err
			}
			continue
		}
		r.applyListing(entries, revision)
		r.followEvents(ctx, revision)
		if err := r.checkSuperseded(); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// checkSuperseded returns a *SupersededError if a later process has replaced this
// host's record. This process's lease may stay valid, so its renewals don't show that.
func (r *Registry) checkSuperseded() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hosts[r.deps.Self.ID].host
	if h.Incarnation <= r.deps.Self.Incarnation {
		return nil
	}
	return eris.Wrap(&SupersededError{Host: h.ID, By: h.Incarnation}, "member")
}

// followEvents applies watch events until the next listing is due.
func (r *Registry) followEvents(ctx context.Context, after store.Revision) {
	if r.checkSuperseded() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.currentRelistInterval())
	defer cancel()
	events, err := r.deps.Store.Watch(ctx, hostPrefix, after)
	if err != nil {
		level.Warn(r.logger).Log("event", "hosts_not_watched", "err", err)
		_ = wait.For(ctx, retryInterval)
		return
	}
	for event := range events {
		r.applyEvent(event)
		if r.checkSuperseded() != nil {
			return
		}
	}
}

// currentRelistInterval returns the time between two listings.
func (r *Registry) currentRelistInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(relistInterval, time.Duration(len(r.hosts))*relistPerHost)
}

// applyListing applies a listing of all records at a revision. Records that are
// missing from it are treated as deleted.
func (r *Registry) applyListing(entries []store.Entry, revision store.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make(map[fleet.HostID]bool, len(entries))
	for _, e := range entries {
		present[hostOf(e.Key)] = true
		r.applyRecord(e)
	}
	for id := range r.hosts {
		if !present[id] {
			r.applyDeletion(id, revision)
		}
	}
}

func (r *Registry) applyEvent(event store.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if event.Deleted {
		r.applyDeletion(hostOf(event.Key), event.Revision)
		return
	}
	r.applyRecord(event.Entry)
}

func hostOf(key string) fleet.HostID {
	return fleet.HostID(strings.TrimPrefix(key, hostPrefix))
}

// applyRecord applies a record unless a newer one is known. The caller holds the
// mutex.
func (r *Registry) applyRecord(e store.Entry) {
	var h Host
	if err := json.Unmarshal(e.Value, &h); err != nil || h.ID != hostOf(e.Key) {
		level.Error(r.logger).Log("event", "host_record_malformed", "key", e.Key, "err", err)
		return
	}
	previous, known := r.hosts[h.ID]
	if known && previous.revision >= e.Revision {
		return
	}
	if h.Ended {
		r.remove(h.ID)
		return
	}
	r.hosts[h.ID] = record{host: h, revision: e.Revision}
	r.summaries.addHost(h)
	if !known || previous.host != h {
		level.Info(r.logger).Log("event", "host_seen", "host", h.ID, "incarnation", h.Incarnation)
		r.notify()
	}
}

// applyDeletion removes the host of a record that was deleted at a revision. After an
// outage of the store all leases may have expired at once, so the host is kept until
// the store has been steady for LeaseTTL: until then the host may have had no chance
// to register again. A later listing removes it if it does not. The caller holds the
// mutex.
func (r *Registry) applyDeletion(id fleet.HostID, revision store.Revision) {
	previous, known := r.hosts[id]
	if !known || previous.revision > revision {
		return
	}
	if !r.storeSettled(time.Now()) {
		return
	}
	r.remove(id)
}

// remove removes a host that is gone. The caller holds the mutex.
func (r *Registry) remove(id fleet.HostID) {
	if _, known := r.hosts[id]; !known {
		return
	}
	delete(r.hosts, id)
	r.summaries.removeHost(id)
	level.Info(r.logger).Log("event", "host_gone", "host", id)
	r.notify()
}

// storeSettled reports whether the store has been steady for LeaseTTL. The caller
// holds the mutex.
func (r *Registry) storeSettled(now time.Time) bool {
	since, ok := r.steady.since(now)
	return ok && now.Sub(since) >= LeaseTTL
}
