package shard

import (
	"time"
)

// Timing holds the times of a Manager. Zero values mean the defaults.
type Timing struct {
	DecisionInterval time.Duration // between decisions without a cause
	SettleDelay      time.Duration // between the first listing of claims and the first claim
	HandoverDelay    time.Duration // for which another host must be the wanted owner

	// FrontTakeoverTimeout is the time after the last renewal that the store saw at
	// which a front may be taken from an owner of whom nothing is known. The
	// owner stops FrontClockMargin earlier. The margin covers the drift of clocks
	// over the bound.
	FrontTakeoverTimeout time.Duration
	FrontClockMargin     time.Duration
	RenewInterval        time.Duration // between renewals of a host that holds fronts

	// PauseThreshold is the gap between two beats of a process that counts as
	// a pause.
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
	// concurrentCalls bounds the calls to the store for claims in progress.
	concurrentCalls = 8
	operationRetry  = time.Second
	// drainWait lets the peers of a host that drains hear of it before it
	// releases its shards, so that they claim them at once.
	drainWait       = 3 * time.Second
	resolveInterval = 200 * time.Millisecond
	// releaseTimeout bounds the releases of a host that shuts down.
	releaseTimeout = 5 * time.Second
	// claimsRelist is the time between listings of the claims, in case their
	// watch has gone silent.
	claimsRelist = 30 * time.Second
	watchRetry   = time.Second
	// runBackoff is the time before a runner that failed runs again. It
	// doubles up to runBackoffMax.
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
