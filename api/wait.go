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

// wait responds when a revision or a higher one is in force on every host, or
// when the timeout expires.
func (h *handler) wait(r *http.Request) (any, error) {
	if err := requireRead(r); err != nil {
		return nil, err
	}
	revision, err := intParam(r, "revision", 0, maxRevision, int64(h.View.Current().Revision()))
	if err != nil {
		return nil, err
	}
	timeout, err := intParam(r, "timeout_ms", 0, maxWait.Milliseconds(), defaultWait.Milliseconds())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(timeout)*time.Millisecond)
	defer cancel()
	return h.awaitRevision(ctx, store.Revision(revision)), nil
}

func (h *handler) awaitRevision(ctx context.Context, revision store.Revision) WaitResult {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for {
		result := h.checkInForce(revision)
		if result.InForce {
			return result
		}
		select {
		case <-ctx.Done():
			return result
		case <-ticker.C:
		}
	}
}

func (h *handler) checkInForce(revision store.Revision) WaitResult {
	hosts := h.Members.Hosts()
	result := WaitResult{Revision: revision, Hosts: len(hosts), Laggards: []HostRevision{}}
	for _, host := range hosts {
		if known := h.revisionOf(host); known < revision {
			result.Laggards = append(result.Laggards, HostRevision{Host: host.ID, Revision: known})
		}
	}
	// If no host is known, not even this one, the revision does not count as in
	// force.
	result.InForce = len(hosts) > 0 && len(result.Laggards) == 0
	return result
}

// revisionOf returns the revision in force on a host, 0 if it is unknown. The
// summary of an earlier incarnation of the host is ignored.
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

// readiness reports whether this process is ready, and if not, the reason.
func (h *handler) readiness() (bool, string) {
	if err := h.Health.Ready(); err != nil {
		return false, err.Error()
	}
	return true, ""
}
