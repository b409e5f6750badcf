package host

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/member"
)

// peerSummaryTimeout is how long a host waits after its start for the load of
// another host before it becomes ready without it.
const peerSummaryTimeout = 5 * time.Second

// health implements api.Health.
type health struct{ h *Host }

// NotReadyError reports why a host should not receive requests from callers.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string { return e.Reason }

// Live implements api.Health.
func (health) Live() error { return nil }

// Ready implements api.Health. A store outage does not make a host unready: it
// keeps serving requests with the last known state.
func (s health) Ready() error {
	switch {
	case s.h.draining.Load():
		return &NotReadyError{Reason: "draining"}
	case !s.h.tracker.Ready():
		return &NotReadyError{Reason: "settings not confirmed yet"}
	case s.h.poller.Hosts().Version == 0:
		return &NotReadyError{Reason: "no host list yet"}
	case !s.h.canForward(time.Now()):
		return &NotReadyError{Reason: "load of the other hosts not known yet"}
	default:
		return nil
	}
}

// canForward reports whether this host can forward requests. Once true, it stays
// true: losing contact with the other hosts does not make this host unready.
func (h *Host) canForward(now time.Time) bool {
	if h.peerLoadKnown.Load() {
		return true
	}
	startedAt := time.Unix(0, int64(h.self.Incarnation))
	known := now.Sub(startedAt) >= peerSummaryTimeout || hasPeerSummary(h.self, h.registry)
	h.peerLoadKnown.Store(known)
	return known
}

// hasPeerSummary reports whether the load of another host in self's region is
// known, or self is the only host there. It returns false until self is listed.
func hasPeerSummary(self member.Host, members member.Directory) bool {
	if _, listed := members.Host(self.ID); !listed {
		return false
	}
	alone := true
	for _, h := range members.Hosts() {
		if h.ID == self.ID || h.Region != self.Region {
			continue
		}
		alone = false
		if s, ok := members.Summary(h.ID); ok && s.Incarnation == h.Incarnation {
			return true
		}
	}
	return alone
}
