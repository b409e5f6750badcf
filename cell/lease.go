package cell

import "time"

// Times of the lease protocol.
const (
	// MaxUnconfirmedOwnership is how long an owner renews worker leases after its
	// last durable journal entry. It covers outages of the store.
	MaxUnconfirmedOwnership = 4 * time.Hour
	// MinWorkerLease and MaxWorkerLease bound the setting worker_lease_ms.
	MinWorkerLease = 3 * time.Second
	MaxWorkerLease = time.Minute
	// DefaultWorkerLease is used without a setting.
	DefaultWorkerLease = 15 * time.Second
	// ClockMargin bounds the difference between the clocks of an owner and a
	// worker.
	ClockMargin = 500 * time.Millisecond
	// MaxTerminationDelay is the longest time from the end of a lease to the end of
	// its tasks.
	MaxTerminationDelay = time.Second
	// StartWindow is the longest time from the last confirmation of the
	// settings to the start of a task.
	StartWindow = 3 * time.Second
	// MaxConfirmationAge is the oldest confirmation of the settings with
	// which a start may be sent.
	MaxConfirmationAge = 2 * time.Second

	callTimeout   = 2 * time.Second // of a call to a worker; deadline of a renewal
	placeWindow   = 5 * time.Second // from placing to the latest start deadline
	renewFraction = 3               // renewals per lease
)

// lease is what an owner knows of the leases of its tasks on one worker. All
// times are of the owner's clock.
//
// Invariants: no lease that this owner extends ends after latest + ttl, and
// none that a predecessor extended ends after inherited; lapsed adds the
// clock margin and the time that the worker takes to end its tasks.
type lease struct {
	opened      time.Time     // when this owner began
	answered    time.Time     // when the last answered call was sent; zero before any
	latest      time.Time     // latest deadline of a renewal or start that was sent
	ttl         time.Duration // longest that was sent
	inherited   time.Time     // when leases extended by predecessors have run out
	nextRenewal time.Time
}

// newLease returns the knowledge of an owner that begins now; predecessors
// stop sending at othersUntil at the latest.
func newLease(now, othersUntil time.Time) lease {
	return lease{
		opened:      now,
		latest:      now,
		inherited:   othersUntil.Add(MaxWorkerLease),
		nextRenewal: now,
	}
}

// predecessorsEnd notes that predecessors stop sending at the given time,
// which may be earlier than was known.
func (l *lease) predecessorsEnd(at time.Time) {
	if end := at.Add(MaxWorkerLease); end.Before(l.inherited) {
		l.inherited = end
	}
}

// sent notes a renewal or start that is about to be sent. It must be called
// before the call is made.
func (l *lease) sent(deadline time.Time, ttl time.Duration) {
	if deadline.After(l.latest) {
		l.latest = deadline
	}
	l.ttl = max(l.ttl, ttl)
}

// renewing is sent for a renewal at now; it schedules the next one.
func (l *lease) renewing(now time.Time, ttl time.Duration) (deadline time.Time) {
	deadline = now.Add(callTimeout)
	l.sent(deadline, ttl)
	l.nextRenewal = now.Add(ttl / renewFraction)
	return deadline
}

// answer notes that the worker answered a call under this owner's token. The
// call was sent at sentAt and its answer arrived at now: by then the worker
// refuses the calls of predecessors.
func (l *lease) answer(sentAt, now time.Time) {
	if sentAt.After(l.answered) {
		l.answered = sentAt
	}
	l.predecessorsEnd(now)
}

// isAdopted reports whether the worker has answered this owner.
func (l *lease) isAdopted() bool { return !l.answered.IsZero() }

// isReachable reports whether the worker answered a call of the last ttl.
func (l *lease) isReachable(now time.Time, ttl time.Duration) bool {
	return l.isAdopted() && now.Before(l.answered.Add(ttl))
}

// mayRenew reports whether the owner may extend leases at now. One TTL after
// the last answer it gives the worker's tasks up and lets their leases lapse;
// without that, the time at which they have surely lapsed would never come.
func (l *lease) mayRenew(now time.Time, ttl time.Duration, hasTasks bool) bool {
	if !hasTasks {
		return true
	}
	since := l.answered
	if !l.isAdopted() {
		since = l.opened
	}
	return now.Before(since.Add(ttl))
}

// lapsed returns when every lease on the worker has surely run out, if no
// further call is sent.
func (l *lease) lapsed() time.Time {
	end := l.latest.Add(l.ttl)
	if l.inherited.After(end) {
		end = l.inherited
	}
	return end.Add(MaxTerminationDelay + ClockMargin)
}

// othersUntil returns when the last of the previous owners stops sending
// calls to workers, at the latest. hasEnded tells of processes known to have
// ended.
func othersUntil(now time.Time, previous []ownerRecord, hasEnded func(ownerRecord) bool) time.Time {
	// A call that was under way when its sender ended takes effect within its
	// deadline.
	until := now.Add(max(callTimeout, placeWindow))
	for _, o := range previous {
		if hasEnded(o) {
			continue
		}
		end := time.UnixMilli(o.EndMS).Add(MaxUnconfirmedOwnership + ClockMargin)
		if end.After(until) {
			until = end
		}
	}
	return until
}

// clampLease bounds a lease from the settings.
func clampLease(ms int64) time.Duration {
	if ms == 0 {
		return DefaultWorkerLease
	}
	return min(max(time.Duration(ms)*time.Millisecond, MinWorkerLease), MaxWorkerLease)
}

// startDeadline returns the deadline of a start sent at now, and whether it
// may be sent at all: the settings must have been confirmed lately, and the
// task must not start later than StartWindow after that.
func startDeadline(now, confirmed, startBy time.Time) (time.Time, bool) {
	if now.Sub(confirmed) > MaxConfirmationAge {
		return time.Time{}, false
	}
	deadline := confirmed.Add(StartWindow - ClockMargin)
	if startBy.Before(deadline) {
		deadline = startBy
	}
	return deadline, now.Before(deadline)
}
