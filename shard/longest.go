package shard

import (
	"sync"
	"time"
)

// longestWindow is for at least how long a request time counts after it was
// last in force. Requests that were begun under it have ended by then.
const longestWindow = 30 * time.Minute

// longest remembers the longest request time of the last longestWindow and a
// part of the one before: requests of a dead owner were begun under the
// settings of their time. Safe for concurrent use.
type longest struct {
	mu       sync.Mutex
	current  time.Duration // since turned
	previous time.Duration // in the window before
	turned   time.Time
}

// observe takes the request time in force and returns the longest remembered.
func (l *longest) observe(now time.Time, d time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.turned) >= longestWindow {
		l.previous, l.current, l.turned = l.current, 0, now
	}
	l.current = max(l.current, d)
	return max(l.current, l.previous)
}

// longestRequest returns how long a request that was begun before now may
// still take.
func (m *Manager) longestRequest() time.Duration {
	inForce := DefaultMaxRequestDuration
	if m.deps.MaxRequestDuration != nil {
		inForce = m.deps.MaxRequestDuration()
	}
	if inForce == 0 {
		// Not known yet, so not remembered either.
		return max(DefaultMaxRequestDuration, m.longest.observe(time.Now(), 0))
	}
	return m.longest.observe(time.Now(), inForce)
}
