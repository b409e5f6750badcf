package member

import "time"

// steadiness tells since when the store has answered. The zero value has seen
// no answer.
//
// Invariant: between start and last, no two neighbouring answers are more
// than steadyGap apart, and this host's lease has not lapsed.
type steadiness struct {
	start time.Time
	last  time.Time
}

// answered records that a call begun at began was answered by the store.
// Counting from its beginning is safe: the answer is at least as recent.
func (s *steadiness) answered(began, now time.Time) {
	if s.last.IsZero() || now.Sub(s.last) > steadyGap {
		s.start = now
	}
	if began.After(s.last) {
		s.last = began
	}
}

// lapsed records that the own lease ended: other leases may have, too.
func (s *steadiness) lapsed() { *s = steadiness{} }

// since returns the start of the steady time, and false if the last answer
// is too old.
func (s *steadiness) since(now time.Time) (time.Time, bool) {
	if s.last.IsZero() || now.Sub(s.last) > steadyGap {
		return time.Time{}, false
	}
	return s.start, true
}
