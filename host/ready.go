package host

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/member"
)

// peersBound is how long a host that has started waits for the load of
// another host before it takes requests without it.
const peersBound = 5 * time.Second

// health implements api.Health.
type health struct{ h *Host }

// NotReadyError is why a host should get no callers' work.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string { return e.Reason }

// Live implements api.Health.
func (health) Live() error { return nil }

// Ready implements api.Health. An outage of the store does not make a host
// unready: it serves requests with what it last knew.
func (s health) Ready() error {
	switch {
	case s.h.draining.Load():
		return &NotReadyError{Reason: "draining"}
	case !s.h.tracker.Ready():
		return &NotReadyError{Reason: "settings not confirmed yet"}
	case s.h.poller.Hosts().Version == 0:
		return &NotReadyError{Reason: "no host list yet"}
	case !s.h.knowsPeers(time.Now()):
		return &NotReadyError{Reason: "load of the other hosts not known yet"}
	default:
		return nil
	}
}

// knowsPeers reports whether this host can forward requests. Once it could,
// silence of the others does not make it unready.
func (h *Host) knowsPeers(now time.Time) bool {
	if h.peersKnown.Load() {
		return true
	}
	began := time.Unix(0, int64(h.self.Incarnation))
	known := now.Sub(began) >= peersBound || heardOfPeers(h.self, h.registry)
	h.peersKnown.Store(known)
	return known
}

// heardOfPeers reports whether the load of a host of self's region is known,
// or self is the only one.
func heardOfPeers(self member.Host, members member.Directory) bool {
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
