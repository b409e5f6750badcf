package wal

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// DefaultInterval is the time between group commits of a busy shard.
	DefaultInterval = 250 * time.Millisecond
	// DefaultBurst is how many commits an idle shard may make at once.
	DefaultBurst = 4
	// DefaultMaxBytes is the size from which a group commit does not wait.
	DefaultMaxBytes = 64 << 10

	slowFactor      = 4 // a commit takes at most 1/slowFactor of the time
	maxInterval     = 10 * time.Second
	latencyWeight   = 4 // the newest latency counts 1/latencyWeight
	shortestPause   = time.Millisecond
	entryLimitBytes = 512 << 10
)

// Pace bounds how often a shard commits. Zero fields mean the defaults.
type Pace struct {
	Interval time.Duration
	Burst    int
	MaxBytes int
	// WriteBudget is the write budget that all shards of this host share, nil for
	// none.
	WriteBudget *rate.Limiter
}

// pacer decides when the next group commit is due. An idle shard has Burst
// tokens and commits at once; a busy one commits every Interval, less often
// when the store is slow or the host's budget is used up.
type pacer struct {
	interval time.Duration
	maxBytes int
	own      *rate.Limiter
	shared   *rate.Limiter
	latency  time.Duration // smoothed
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
		maxBytes: min(p.MaxBytes, entryLimitBytes),
		own:      rate.NewLimiter(rate.Every(p.Interval), p.Burst),
		shared:   p.WriteBudget,
	}
}

// wait returns how long a commit of pending bytes has to wait; 0 means now.
func (p *pacer) wait(now time.Time, pending int) time.Duration {
	d := untilToken(p.shared, now)
	if pending < p.maxBytes {
		d = max(d, untilToken(p.own, now))
	}
	return d
}

func untilToken(l *rate.Limiter, now time.Time) time.Duration {
	if l == nil || l.Limit() == rate.Inf {
		return 0
	}
	missing := 1 - l.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	seconds := missing / max(float64(l.Limit()), 1/maxInterval.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), shortestPause)
}

// beginEntry takes the tokens of a group commit. One that did not wait for a
// token leaves no debt.
func (p *pacer) beginEntry(now time.Time) {
	p.own.AllowN(now, 1)
	p.beginWrite(now)
}

// beginWrite takes the token of any write.
func (p *pacer) beginWrite(now time.Time) {
	if p.shared != nil {
		p.shared.AllowN(now, 1)
	}
}

// observe notes how long a write took.
func (p *pacer) observe(now time.Time, latency time.Duration) {
	p.latency += (latency - p.latency) / latencyWeight
	interval := min(max(p.interval, slowFactor*p.latency), maxInterval)
	p.own.SetLimitAt(now, rate.Every(interval))
}
