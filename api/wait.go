package api

import (
	"context"
	"net/http"
	"time"

	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	defaultWait  = 10 * time.Second
	maxWait      = time.Minute
	waitInterval = 50 * time.Millisecond
)

// wait answers when a revision or a higher one is in force on every host, or
// when the time is over.
func (h *handler) wait(r *http.Request) (any, error) {
	if err := mayRead(r); err != nil {
		return nil, err
	}
	revision, err := number(r, "revision", 0, maxRevision, int64(h.View.Current().Revision()))
	if err != nil {
		return nil, err
	}
	timeout, err := number(r, "timeout_ms", 0, maxWait.Milliseconds(), defaultWait.Milliseconds())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(timeout)*time.Millisecond)
	defer cancel()
	return h.waitFor(ctx, store.Revision(revision)), nil
}

func (h *handler) waitFor(ctx context.Context, revision store.Revision) WaitResult {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for {
		state := h.inForce(revision)
		if state.InForce {
			return state
		}
		select {
		case <-ctx.Done():
			return state
		case <-ticker.C:
		}
	}
}

func (h *handler) inForce(revision store.Revision) WaitResult {
	hosts := h.Members.Hosts()
	state := WaitResult{Revision: revision, Hosts: len(hosts), Laggards: []HostRevision{}}
	for _, host := range hosts {
		if known := h.revisionOf(host); known < revision {
			state.Laggards = append(state.Laggards, HostRevision{Host: host.ID, Revision: known})
		}
	}
	// Without any known host, not even this one, nothing can be said.
	state.InForce = len(hosts) > 0 && len(state.Laggards) == 0
	return state
}

// revisionOf returns the revision in force on a host, 0 if it is not known.
// What an earlier process of the host said does not count.
func (h *handler) revisionOf(host member.Host) store.Revision {
	if host.ID == h.Self {
		return h.View.Current().Revision()
	}
	summary, ok := h.Members.Summary(host.ID)
	if !ok || summary.Incarnation != host.Incarnation {
		return 0
	}
	return summary.Settings
}

// readiness reports whether this process can take calls, and else why not.
func (h *handler) readiness() (bool, string) {
	if err := h.Health.Ready(); err != nil {
		return false, err.Error()
	}
	return true, ""
}
