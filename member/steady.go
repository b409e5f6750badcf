package member

import "time"

// steadiness records since when the store has responded steadily. The zero value has
// recorded no response.
//
// Invariant: between start and last, no two successive responses are more than
// maxSteadyGap apart, and this host's lease has not expired.
type steadiness struct {
	start time.Time
	last  time.Time
}

// observeResponse records that the store responded to a call sent at sentAt. Taking
// the send time is safe: the response is not older.
func (s *steadiness) observeResponse(sentAt, now time.Time) {
	if s.last.IsZero() || now.Sub(s.last) > maxSteadyGap {
		s.start = now
	}
	if sentAt.After(s.last) {
		s.last = sentAt
	}
}

// leaseExpired records that this host's lease has expired: other leases may have
// expired, too.
func (s *steadiness) leaseExpired() { *s = steadiness{} }

// since returns the start of the current steady period, and false if the last
// response is too old.
func (s *steadiness) since(now time.Time) (time.Time, bool) {
	if s.last.IsZero() || now.Sub(s.last) > maxSteadyGap {
		return time.Time{}, false
	}
	return s.start, true
}
