package wal

import (
	"testing"
	"time"

	"golang.org/x/time/rate"
)

// commitsPerMinute returns how many commits a busy shard starts in a minute if
// each takes latency.
func commitsPerMinute(p *pacer, bytes int, latency time.Duration) int {
	now := time.Unix(1_000_000, 0)
	end := now.Add(time.Minute)
	count := 0
	for {
		now = now.Add(p.wait(now, bytes))
		if !now.Before(end) {
			return count
		}
		count++
		p.beginEntry(now)
		now = now.Add(latency)
		p.observe(now, latency)
	}
}

func TestPace(t *testing.T) {
	tests := map[string]struct {
		pace     Pace
		bytes    int
		latency  time.Duration
		min, max int // commits per minute
	}{
		"fast store":           {bytes: 100, latency: 3 * time.Millisecond, min: 238, max: 246},
		"slow store":           {bytes: 100, latency: time.Second, min: 14, max: 22},
		"very slow store":      {bytes: 100, latency: 10 * time.Second, min: 4, max: 6},
		"large entries":        {bytes: DefaultMaxBytes, latency: 100 * time.Millisecond, min: 590, max: 600},
		"small budget":         {pace: Pace{WriteBudget: rate.NewLimiter(0.5, 1)}, bytes: 100, latency: time.Millisecond, min: 28, max: 32},
		"small budget, large":  {pace: Pace{WriteBudget: rate.NewLimiter(0.5, 1)}, bytes: DefaultMaxBytes, latency: time.Millisecond, min: 28, max: 32},
		"budget without limit": {pace: Pace{WriteBudget: rate.NewLimiter(rate.Inf, 0)}, bytes: 100, latency: time.Millisecond, min: 238, max: 246},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if n := commitsPerMinute(newPacer(tt.pace), tt.bytes, tt.latency); n < tt.min || n > tt.max {
				t.Fatalf("%d commits per minute, want %d to %d", n, tt.min, tt.max)
			}
		})
	}
}

func TestIdleShardCommitsAtOnce(t *testing.T) {
	p := newPacer(Pace{})
	now := time.Unix(1_000_000, 0)
	for i := range DefaultBurst {
		if d := p.wait(now, 1); d != 0 {
			t.Fatalf("commit %d waits %v, want 0", i+1, d)
		}
		p.beginEntry(now)
	}
	if d := p.wait(now, 1); d <= 0 || d > DefaultInterval {
		t.Fatalf("the commit after the burst waits %v", d)
	}
}
