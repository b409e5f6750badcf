package shard

import (
	"time"
)

// Timing holds the intervals and timeouts of a Manager. Zero values select the
// defaults.
type Timing struct {
	DecisionInterval time.Duration // between decisions if no event triggers one earlier
	SettleDelay      time.Duration // from the first listing of the claims to the first claim
	HandoverDelay    time.Duration // how long the desired owner must differ before a handover

	// FrontTakeoverTimeout is the time after the last renewal in the store after
	// which another host may take a front over from an unreachable owner. The
	// owner stops sending FrontClockMargin earlier, which allows for clock drift
	// during the timeout.
	FrontTakeoverTimeout time.Duration
	FrontClockMargin     time.Duration
	RenewInterval        time.Duration // between renewals of a host that holds fronts

	// PauseThreshold is the longest gap between two heartbeats inside a process that
	// does not count as a pause.
	PauseThreshold time.Duration
}

// Defaults of Timing.
const (
	DefaultDecisionInterval     = 250 * time.Millisecond
	DefaultSettleDelay          = 2 * time.Second
	DefaultHandoverDelay        = 30 * time.Second
	DefaultFrontTakeoverTimeout = 6 * time.Hour
	DefaultFrontClockMargin     = 5 * time.Minute
	DefaultRenewInterval        = time.Minute
	DefaultPauseThreshold       = 5 * time.Second
	DefaultMaxRequestDuration   = time.Minute
)

const (
	// maxConcurrentCalls limits concurrent writes of claims to the store.
	maxConcurrentCalls  = 8
	operationRetryDelay = time.Second
	// drainDelay gives the peers of a draining host time to learn that it is
	// draining, so that they claim its shards as soon as it releases them.
	drainDelay      = 3 * time.Second
	resolveInterval = 200 * time.Millisecond
	// releaseTimeout limits the release of a shard during shutdown.
	releaseTimeout = 5 * time.Second
	// claimsRelistInterval is the time between full listings of the claims,
	// in case the watch stops delivering events.
	claimsRelistInterval = 30 * time.Second
	watchRetryDelay      = time.Second
	// runBackoff is the delay before a failed runner is restarted. It doubles
	// with each failure, up to runBackoffMax.
	runBackoff    = time.Second
	runBackoffMax = 16 * time.Second
)

func (t Timing) withDefaults() Timing {
	t.DecisionInterval = orDefault(t.DecisionInterval, DefaultDecisionInterval)
	t.SettleDelay = orDefault(t.SettleDelay, DefaultSettleDelay)
	t.HandoverDelay = orDefault(t.HandoverDelay, DefaultHandoverDelay)
	t.FrontTakeoverTimeout = orDefault(t.FrontTakeoverTimeout, DefaultFrontTakeoverTimeout)
	t.FrontClockMargin = orDefault(t.FrontClockMargin, DefaultFrontClockMargin)
	t.RenewInterval = orDefault(t.RenewInterval, DefaultRenewInterval)
	t.PauseThreshold = orDefault(t.PauseThreshold, DefaultPauseThreshold)
	return t
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
