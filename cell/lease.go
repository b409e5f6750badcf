package cell

import "time"

// Parameters of the lease protocol.
const (
	// MaxUnconfirmedOwnership is how long an owner continues to renew worker
	// leases after its last durable journal entry. It covers store outages.
	MaxUnconfirmedOwnership = 4 * time.Hour
	// MinWorkerLease and MaxWorkerLease limit the setting worker_lease_ms.
	MinWorkerLease = 3 * time.Second
	MaxWorkerLease = time.Minute
	// DefaultWorkerLease is used if the setting is absent.
	DefaultWorkerLease = 15 * time.Second
	// ClockMargin is the maximum difference between the clocks of an owner and
	// a worker.
	ClockMargin = 500 * time.Millisecond
	// MaxTerminationDelay is the longest time from the expiry of a lease to
	// the end of its tasks.
	MaxTerminationDelay = time.Second
	// StartWindow is the longest time from the last confirmation of the
	// settings to the start of a task.
	StartWindow = 3 * time.Second
	// MaxConfirmationAge is the maximum age of the last confirmation of the
	// settings when a start is sent.
	MaxConfirmationAge = 2 * time.Second

	callTimeout   = 2 * time.Second // of a call to a worker; also sets the deadline of a renewal
	placeWindow   = 5 * time.Second // from placement to the latest start deadline
	renewFraction = 3               // renewals per lease
)

// lease is an owner's view of the task leases on one worker. All times are by
// the owner's clock.
//
// Invariants: no lease that this owner extended ends after latestDeadline +
// longestTTL, and none that a predecessor extended ends after inheritedUntil;
// lapsedAt adds the clock margin and the time that the worker takes to end its
// tasks.
type lease struct {
	openedAt       time.Time     // when this owner's term began
	lastAnswered   time.Time     // when the last answered call was sent; zero if none was
	latestDeadline time.Time     // latest deadline of a renewal or start that was sent
	longestTTL     time.Duration // longest lease that was sent
	inheritedUntil time.Time     // when the leases extended by predecessors have expired
	nextRenewal    time.Time
}

// newLease returns the lease of a worker for an owner whose term begins now.
// Its predecessors stop sending by predecessorsStopAt.
func newLease(now, predecessorsStopAt time.Time) lease {
	return lease{
		openedAt:       now,
		latestDeadline: now,
		inheritedUntil: predecessorsStopAt.Add(MaxWorkerLease),
		nextRenewal:    now,
	}
}

// limitInherited records that predecessors stop sending by the given time. A
// later time than already known is ignored.
func (l *lease) limitInherited(at time.Time) {
	if end := at.Add(MaxWorkerLease); end.Before(l.inheritedUntil) {
		l.inheritedUntil = end
	}
}

// recordSent records a renewal or start. It must be called before the renewal
// or start is sent.
func (l *lease) recordSent(deadline time.Time, ttl time.Duration) {
	if deadline.After(l.latestDeadline) {
		l.latestDeadline = deadline
	}
	l.longestTTL = max(l.longestTTL, ttl)
}

// recordRenewal records a renewal that is sent at now, schedules the next one
// and returns the deadline of this one.
func (l *lease) recordRenewal(now time.Time, ttl time.Duration) (deadline time.Time) {
	deadline = now.Add(callTimeout)
	l.recordSent(deadline, ttl)
	l.nextRenewal = now.Add(ttl / renewFraction)
	return deadline
}

// recordAnswer records that the worker answered a call with this owner's token.
// The call was sent at sentAt and its answer arrived at now, by when the worker
// refuses the calls of predecessors.
func (l *lease) recordAnswer(sentAt, now time.Time) {
	if sentAt.After(l.lastAnswered) {
		l.lastAnswered = sentAt
	}
	l.limitInherited(now)
}

// hasAnswered reports whether the worker has answered this owner.
func (l *lease) hasAnswered() bool { return !l.lastAnswered.IsZero() }

// isReachable reports whether the worker answered a call that was sent within
// the last ttl.
func (l *lease) isReachable(now time.Time, ttl time.Duration) bool {
	return l.hasAnswered() && now.Before(l.lastAnswered.Add(ttl))
}

// mayRenew reports whether the owner may extend leases at now. One TTL after
// sending the last answered call it gives up the worker's tasks and lets their
// leases expire; otherwise lapsedAt would move on with every renewal and never
// be reached.
func (l *lease) mayRenew(now time.Time, ttl time.Duration, hasTasks bool) bool {
	if !hasTasks {
		return true
	}
	since := l.lastAnswered
	if !l.hasAnswered() {
		since = l.openedAt
	}
	return now.Before(since.Add(ttl))
}

// lapsedAt returns when every lease on the worker has certainly expired and its
// tasks have ended, provided that no further call is sent.
func (l *lease) lapsedAt() time.Time {
	end := l.latestDeadline.Add(l.longestTTL)
	if l.inheritedUntil.After(end) {
		end = l.inheritedUntil
	}
	return end.Add(MaxTerminationDelay + ClockMargin)
}

// latestPredecessorStop returns the latest time at which any of the previous
// owners may still send a call to a worker. hasEnded reports whether the
// process of an owner is known to have ended.
func latestPredecessorStop(now time.Time, previous []ownerRecord, hasEnded func(ownerRecord) bool) time.Time {
	// A call that was in flight when its sender ended takes effect only within
	// its deadline.
	latest := now.Add(max(callTimeout, placeWindow))
	for _, o := range previous {
		if hasEnded(o) {
			continue
		}
		end := time.UnixMilli(o.EndMS).Add(MaxUnconfirmedOwnership + ClockMargin)
		if end.After(latest) {
			latest = end
		}
	}
	return latest
}

// clampLease converts the setting worker_lease_ms and limits it to the allowed
// range. 0 stands for an absent setting.
func clampLease(ms int64) time.Duration {
	if ms == 0 {
		return DefaultWorkerLease
	}
	return min(max(time.Duration(ms)*time.Millisecond, MinWorkerLease), MaxWorkerLease)
}

// startDeadline returns the deadline of a start sent at now, and whether it
// may be sent at all: the settings must have been confirmed recently, and the
// task must not start later than StartWindow after that confirmation.
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
