package cell

import "time"

const (
	lookQuantile = 0.25                   // of a class's run times, from which its tasks' ends are looked for
	lookInterval = 500 * time.Millisecond // least time between two looks
	lookFraction = 4                      // looks per run time of the class
	lookUntil    = 4                      // run times, after which an end is no longer looked for
)

// isLookDue reports whether a report of the worker is due before the next
// renewal, because a short task is likely to have ended: what it holds is not
// given to others before its end is seen. The ends of tasks that run for a
// lease or longer are left to the renewals.
func (s *session) isLookDue(w *worker, now time.Time, ttl time.Duration, placed []*attempt) bool {
	since := now.Sub(w.lease.answered)
	if w.silent || since < lookInterval {
		return false
	}
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || r.seen.IsZero() || r.throttled || s.isDecided(a.Task.AttemptRef) {
			continue
		}
		expected, known := s.expected(a, lookQuantile)
		runs := now.Sub(r.began(a.Placement))
		if !known || expected >= ttl || runs < expected || runs > lookUntil*expected {
			continue
		}
		if since >= expected/lookFraction || since > runs-expected {
			return true
		}
	}
	return false
}
