package shard

import (
	"sync"
	"time"
)

// requestDurationWindow is the minimum time for which a maximum request
// duration is remembered after it was last in force. Requests started under it
// have ended by then.
const requestDurationWindow = 30 * time.Minute

// requestDurations remembers the longest maximum request duration of the
// current and the previous requestDurationWindow, since requests of a dead owner
// may have started under earlier settings. It is safe for concurrent use.
type requestDurations struct {
	mu        sync.Mutex
	current   time.Duration // longest since rotatedAt
	previous  time.Duration // longest of the window before
	rotatedAt time.Time
}

// observe records the maximum request duration in force and returns the longest
// one remembered.
func (r *requestDurations) observe(now time.Time, duration time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.rotatedAt) >= requestDurationWindow {
		r.previous, r.current, r.rotatedAt = r.current, 0, now
	}
	r.current = max(r.current, duration)
	return max(r.current, r.previous)
}

// maxRequestDuration returns an upper bound of the time that a request already
// started may still take.
func (m *Manager) maxRequestDuration() time.Duration {
	configured := DefaultMaxRequestDuration
	if m.deps.MaxRequestDuration != nil {
		configured = m.deps.MaxRequestDuration()
	}
	if configured == 0 {
		// The setting is not known yet: the default applies for now but is not
		// remembered.
		return max(DefaultMaxRequestDuration, m.requestDurations.observe(time.Now(), 0))
	}
	return m.requestDurations.observe(time.Now(), configured)
}
