package cell

import "time"

const (
	pollQuantile    = 0.25                   // quantile of a class's run times from which its tasks are polled for their end
	pollInterval    = 500 * time.Millisecond // minimum time between two polls
	pollsPerRunTime = 4                      // polls per run time of the class
	maxPollRunTimes = 4                      // a task is no longer polled after this many run times
)

// isPollDue reports whether the worker is to be polled before the next renewal
// because a short task has probably ended: its resources are not reused until
// its end is reported. Tasks that run for a lease or longer are not polled;
// their ends are found by the renewals.
func (s *session) isPollDue(w *worker, now time.Time, ttl time.Duration, placed []*attempt) bool {
	since := now.Sub(w.lease.lastAnswered)
	if w.unresponsive || since < pollInterval {
		return false
	}
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || r.firstSeenAt.IsZero() || r.throttled || s.isEndDecided(a.Task.AttemptRef) {
			continue
		}
		expected, known := s.expectedRunTime(a, pollQuantile)
		elapsed := now.Sub(r.startedAt(a.Placement))
		if !known || expected >= ttl || elapsed < expected || elapsed > maxPollRunTimes*expected {
			continue
		}
		if since >= expected/pollsPerRunTime || since > elapsed-expected {
			return true
		}
	}
	return false
}
