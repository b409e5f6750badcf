package owner

import (
	"math"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/platform"
)

const (
	// startLinkShare is the share of the link that starts may use. The rest is for
	// the calls that keep ownership and leases, and for callers.
	startLinkShare = 0.75
	// startBurst is the time for which a burst of starts may occupy its share of the
	// link. It delays a renewal by as much, and is short against the timeout of a start.
	startBurst = 100 * time.Millisecond
	// startBacklog is the same for the starts without an answer: a quarter of the timeout
	// of a start, as what else the host sends may leave them a fraction of their share.
	startBacklog = 150 * time.Millisecond
	// startConnectionShare and otherConnectionShare are the shares of the descriptors for
	// starts and for other orders under way.
	startConnectionShare = 0.125
	otherConnectionShare = 0.125
	bitsPerByte          = 8
)

// orderLimits bound the orders under way.
type orderLimits struct {
	starts, others int
	bytesPerSecond float64 // of starts; 0: unbounded
}

// limitsOf returns the limits that the link and the descriptors of a host set.
func limitsOf(s *platform.Settings) orderLimits {
	l := orderLimits{starts: math.MaxInt, others: math.MaxInt, bytesPerSecond: startLinkShare * s.LinkMbps * 1e6 / bitsPerByte}
	if usable := s.UsableDescriptors(); usable > 0 {
		l.starts = max(1, int(startConnectionShare*float64(usable)))
		l.others = max(1, int(otherConnectionShare*float64(usable)))
	}
	return l
}

// orderLimiter decides how many starts a plan may issue, as a token bucket of bytes
// with a bound of the starts under way. Stops and throttles are sent regardless of the
// bucket, at the cost of later starts.
type orderLimiter struct {
	limits  orderLimits
	spent   float64 // bytes sent and not yet regained
	spentAt time.Duration
}

// room returns the room for starts at now.
func (l *orderLimiter) room(f *inFlight, now time.Duration) dispatch.StartRoom {
	room := dispatch.StartRoom{Starts: l.limits.starts - f.starts, Bytes: math.MaxInt}
	if rate := l.limits.bytesPerSecond; rate > 0 {
		l.regain(now)
		room.Bytes = int(min(rate*startBurst.Seconds()-l.spent, rate*startBacklog.Seconds()-float64(f.startBytes)))
	}
	return room
}

// mayInterrupt reports whether another stop or throttle may be sent.
func (l *orderLimiter) mayInterrupt(f *inFlight) bool {
	return f.others-f.queuedOthers < l.limits.others
}

// spend records that an order is sent.
func (l *orderLimiter) spend(o dispatch.Order, now time.Duration) {
	if l.limits.bytesPerSecond > 0 {
		l.regain(now)
		l.spent += float64(o.Size())
	}
}

func (l *orderLimiter) regain(now time.Duration) {
	l.spent = max(0, l.spent-l.limits.bytesPerSecond*(now-l.spentAt).Seconds())
	l.spentAt = now
}
