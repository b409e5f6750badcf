package wal

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// DefaultInterval is the time between group commits of a busy shard.
	DefaultInterval = 250 * time.Millisecond
	// DefaultBurst is the number of commits an idle shard may make without
	// waiting.
	DefaultBurst = 4
	// DefaultMaxBytes is the size of pending records, in bytes, from which a
	// group commit does not wait for the interval.
	DefaultMaxBytes = 64 << 10

	slowFactor    = 4 // commits take up at most 1/slowFactor of the time
	maxInterval   = 10 * time.Second
	latencyWeight = 4 // the latest latency has weight 1/latencyWeight in the average
	minPause      = time.Millisecond
	maxBatchBytes = 512 << 10
)

// Pace limits how often a shard commits. Zero fields mean the defaults.
type Pace struct {
	Interval time.Duration
	Burst    int
	MaxBytes int
	// WriteBudget is the write budget that all shards of this host share; nil
	// means unlimited.
	WriteBudget *rate.Limiter
}

// pacer decides when the next group commit is due. An idle shard has Burst
// tokens and commits immediately; a busy one commits every Interval, or less
// often when the store is slow or the host's write budget is exhausted.
type pacer struct {
	interval time.Duration
	maxBytes int
	own      *rate.Limiter
	shared   *rate.Limiter
	latency  time.Duration // moving average
}

func newPacer(p Pace) *pacer {
	if p.Interval == 0 {
		p.Interval = DefaultInterval
	}
	if p.Burst == 0 {
		p.Burst = DefaultBurst
	}
	if p.MaxBytes == 0 {
		p.MaxBytes = DefaultMaxBytes
	}
	return &pacer{
		interval: p.Interval,
		maxBytes: min(p.MaxBytes, maxBatchBytes),
		own:      rate.NewLimiter(rate.Every(p.Interval), p.Burst),
		shared:   p.WriteBudget,
	}
}

// wait returns how long a commit of pending bytes has to wait; 0 means that it
// is due now.
func (p *pacer) wait(now time.Time, pending int) time.Duration {
	d := timeUntilToken(p.shared, now)
	if pending < p.maxBytes {
		d = max(d, timeUntilToken(p.own, now))
	}
	return d
}

// timeUntilToken returns the time until l has a token, at least minPause unless
// it has one now. A limit below one token in maxInterval counts as that rate.
func timeUntilToken(l *rate.Limiter, now time.Time) time.Duration {
	if l == nil || l.Limit() == rate.Inf {
		return 0
	}
	missing := 1 - l.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	seconds := missing / max(float64(l.Limit()), 1/maxInterval.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minPause)
}

// beginEntry takes the tokens for a group commit. A commit that is too large to
// wait takes a token only if there is one, so it does not delay later commits.
func (p *pacer) beginEntry(now time.Time) {
	p.own.AllowN(now, 1)
	p.beginWrite(now)
}

// beginWrite takes a token of the host's write budget; every write needs one.
func (p *pacer) beginWrite(now time.Time) {
	if p.shared != nil {
		p.shared.AllowN(now, 1)
	}
}

// observe records the latency of a write and adapts the commit interval to it.
func (p *pacer) observe(now time.Time, latency time.Duration) {
	p.latency += (latency - p.latency) / latencyWeight
	interval := min(max(p.interval, slowFactor*p.latency), maxInterval)
	p.own.SetLimitAt(now, rate.Every(interval))
}
