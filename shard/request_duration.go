package shard

import (
	"sync"
	"time"
)

// longestWindow is for at least how long a request time counts after it was
// last in force. Requests that were begun under it have ended by then.
const requestDurationWindow = 30 * time.Minute

// longest remembers the longest request time of the last longestWindow and a
// part of the one before: requests of a dead owner were begun under the
// settings of their time. Safe for concurrent use.
type requestDurations struct {
	mu        sync.Mutex
	current   time.Duration // since turned
	previous  time.Duration // in the window before
	rotatedAt time.Time
}

// observe takes the request time in force and returns the longest remembered.
func (r *requestDurations) observe(now time.Time, duration time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.rotatedAt) >= requestDurationWindow {
		r.previous, r.current, r.rotatedAt = r.current, 0, now
	}
	r.current = max(r.current, duration)
	return max(r.current, r.previous)
}

// longestRequest returns how long a request that was begun before now may
// still take.
func (m *Manager) maxRequestDuration() time.Duration {
	configured := DefaultMaxRequestDuration
	if m.deps.MaxRequestDuration != nil {
		configured = m.deps.MaxRequestDuration()
	}
	if configured == 0 {
		// Not known yet, so not remembered either.
		return max(DefaultMaxRequestDuration, m.requestDurations.observe(time.Now(), 0))
	}
	return m.requestDurations.observe(time.Now(), configured)
}
