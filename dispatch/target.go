package dispatch

import "time"

// targetDuration returns the time within which a job should end, given the
// length of its critical path; 0 if its queue is not configured.
func (m *Machine) targetDuration(j *job, criticalPath time.Duration) time.Duration {
	q, ok := m.config.Queue(j.Queue)
	if !ok {
		return 0
	}
	return time.Duration(q.Stretch*float64(criticalPath)) + q.Objective
}

// criticalPaths returns the expected length of a job's critical path, for the
// whole job and for its remaining work.
func (m *Machine) criticalPaths(j *job) (total, remaining time.Duration) {
	var o *occurrence
	for _, c := range j.occurrences {
		if c != nil && c.stepsLeft > 0 {
			o = c
		}
	}
	// totalTo and remainingTo hold the lengths up to and including each step.
	totalTo := make([]time.Duration, len(j.Steps))
	remainingTo := make([]time.Duration, len(j.Steps))
	ws := m.workspaceOf(j)
	for i := range j.Steps {
		s := &j.Steps[i]
		for _, before := range s.After {
			totalTo[i] = max(totalTo[i], totalTo[before])
			remainingTo[i] = max(remainingTo[i], remainingTo[before])
		}
		d := m.expectedRunTime(j.Queue, s)
		totalTo[i] += time.Duration(ws.Waves(s, s.Count)) * d
		if o == nil {
			remainingTo[i] += time.Duration(ws.Waves(s, s.Count)) * d
		} else if left := s.Count - o.steps[i].doneCount; left > 0 {
			remainingTo[i] += time.Duration(ws.Waves(s, left)) * d
		}
		total, remaining = max(total, totalTo[i]), max(remaining, remainingTo[i])
	}
	return total, remaining
}
