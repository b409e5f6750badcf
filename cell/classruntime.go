package cell

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
)

const (
	runTimeWindow     = 20             // latest run times that are kept of each class
	runTimeQuantile   = 0.9            // quantile that is taken as the longest run time of a class
	minRunTimeSamples = 5              // with fewer samples the run time of a class is unknown
	runTimeRetention  = 24 * time.Hour // a class is dropped when none of its tasks has finished for this long
	maxRunTimeClasses = 256            // beyond this the least recently updated class is dropped
	minRunShare       = 0.5            // least share of a task's work that an attempt must do to count as a sample
	overrunFactor     = 2              // a task is logged once it runs this many times the run time of its class
)

// classKey identifies a job class of an organisation.
type classKey string

func classOf(t *delegation.Task) classKey {
	return classKey(string(t.Organisation) + "/" + string(t.Class))
}

// runTimeRecord is the run time of a whole task. It is extrapolated if the
// attempt resumed from a checkpoint.
type runTimeRecord struct {
	Class classKey `cbor:"1,keyasint"`
	MS    int64    `cbor:"2,keyasint"`
}

// runTimes holds the latest run times of a class, in milliseconds.
type runTimes struct {
	MS   []int64 `cbor:"1,keyasint"`
	AtMS int64   `cbor:"2,keyasint"` // when the last of them was recorded, Unix time
}

// observeRunTime adds the run time of a finished task to its class.
func (m *Machine) observeRunTime(ran runTimeRecord, atMS int64) {
	times, ok := m.state.RunTimes[ran.Class]
	if !ok && len(m.state.RunTimes) >= maxRunTimeClasses {
		delete(m.state.RunTimes, m.leastRecentClass())
	}
	times.AtMS = atMS
	times.MS = append(times.MS, ran.MS)
	if len(times.MS) > runTimeWindow {
		times.MS = slices.Delete(times.MS, 0, len(times.MS)-runTimeWindow)
	}
	m.state.RunTimes[ran.Class] = times
}

// leastRecentClass returns the class whose last run time is the oldest. Ties
// are broken by name, so that every replay drops the same class.
func (m *Machine) leastRecentClass() classKey {
	var oldest classKey
	for key, times := range m.state.RunTimes {
		first := m.state.RunTimes[oldest]
		if oldest == "" || times.AtMS < first.AtMS || times.AtMS == first.AtMS && key < oldest {
			oldest = key
		}
	}
	return oldest
}

func (m *Machine) expireRunTimes(nowMS int64) {
	for key, times := range m.state.RunTimes {
		if times.AtMS < nowMS-runTimeRetention.Milliseconds() {
			delete(m.state.RunTimes, key)
		}
	}
}

// runTime returns the q quantile of the run times of unthrottled tasks of a
// class, or false if too few have finished.
func (m *Machine) runTime(key classKey, q float64) (time.Duration, bool) {
	samples := m.state.RunTimes[key].MS
	if len(samples) < minRunTimeSamples {
		return 0, false
	}
	ms := quantile(samples, q, func(ms int64) int64 { return ms })
	return time.Duration(ms) * time.Millisecond, true
}

// startedAt returns when the attempt was first seen running. If it was not seen
// yet, or a predecessor placed it, this is the earliest time at which it may have
// started.
func (r *run) startedAt(p placement) time.Time {
	if r.placedHere && !r.firstSeenAt.IsZero() {
		return r.firstSeenAt
	}
	return time.UnixMilli(p.StartByMS).Add(-placeWindow)
}

// recordRunTime records the run time of an attempt that the report of a call
// sent at sentAt shows as finished. The end is estimated as half way between
// that call and the last one that showed the attempt running. An attempt that
// was throttled, or that resumed when less than minRunShare of the work was
// left, is not recorded.
func (s *session) recordRunTime(a *attempt, r *run, sentAt time.Time) {
	share := 1 - a.Task.CheckpointProgress
	end := r.lastRunningAt.Add(sentAt.Sub(r.lastRunningAt) / 2)
	duration := end.Sub(r.startedAt(a.Placement))
	if r.throttled || share < minRunShare || duration <= 0 {
		return
	}
	ms := int64(float64(duration.Milliseconds()) / share)
	s.pendingRunTimes = append(s.pendingRunTimes, runTimeRecord{Class: classOf(&a.Task), MS: ms})
}

// expectedRunTime returns the q quantile of the run time of the attempt's
// class, reduced to the work that the attempt has to do, or false if the run
// time of the class is unknown.
func (s *session) expectedRunTime(a *attempt, q float64) (time.Duration, bool) {
	whole, known := s.machine.runTime(classOf(&a.Task), q)
	return time.Duration(float64(whole) * (1 - a.Task.CheckpointProgress)), known
}

// remainingRunTime returns how much longer the attempt is expected to run. It
// returns false if that is unknown, also for a throttled attempt and for one
// that already exceeds the run time of its class.
func (s *session) remainingRunTime(a *attempt, r *run, now time.Time) (time.Duration, bool) {
	expected, known := s.expectedRunTime(a, runTimeQuantile)
	remaining := expected - now.Sub(r.startedAt(a.Placement))
	if !known || remaining < 0 || r.throttled {
		return 0, false
	}
	return remaining, true
}

// logOverruns logs each task that runs far longer than its class, once.
func (s *session) logOverruns(placed []*attempt, now time.Time) {
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || r.firstSeenAt.IsZero() || r.overrunLogged || r.throttled || r.stopping {
			continue
		}
		expected, known := s.expectedRunTime(a, runTimeQuantile)
		elapsed := now.Sub(r.startedAt(a.Placement))
		if !known || elapsed < overrunFactor*expected {
			continue
		}
		r.overrunLogged = true
		s.vars.Add(varTasksOverrun, 1)
		s.logger.Log("event", "task_overrun", "worker", a.Placement.Worker, "task", a.Task.Task, "attempt", a.Task.Attempt,
			"class", a.Task.Class, "runs_ms", elapsed.Milliseconds(), "expected_ms", expected.Milliseconds())
	}
}
