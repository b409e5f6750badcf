package cell

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
)

const (
	runTimeWindow   = 20             // latest run times of a class that count
	runTimeQuantile = 0.9            // of them, that is taken for the longest
	minRunTimes     = 5              // below, a class's run time is not known
	runTimeMemory   = 24 * time.Hour // without an end, a class is forgotten
	maxRunTimes     = 256            // classes kept; the one longest without an end makes room
	minRunShare     = 0.5            // least share of a task's work from which its run time is told
	overrunFactor   = 2              // of its class's run time, from which a task is reported
)

// classKey names a job class of an organisation.
type classKey string

func classOf(t *delegation.Task) classKey {
	return classKey(string(t.Organisation) + "/" + string(t.Class))
}

// ranRecord is how long a task would have run from its start to its end.
type ranRecord struct {
	Class classKey `cbor:"1,keyasint"`
	MS    int64    `cbor:"2,keyasint"`
}

// runTimes are the latest run times of a class, in milliseconds.
type runTimes struct {
	MS   []int64 `cbor:"1,keyasint"`
	AtMS int64   `cbor:"2,keyasint"` // of the last end
}

// observeRunTime learns from a task that finished.
func (m *Machine) observeRunTime(ran ranRecord, atMS int64) {
	known, ok := m.state.RunTimes[ran.Class]
	if !ok && len(m.state.RunTimes) >= maxRunTimes {
		delete(m.state.RunTimes, m.oldestClass())
	}
	known.AtMS = atMS
	known.MS = append(known.MS, ran.MS)
	if len(known.MS) > runTimeWindow {
		known.MS = slices.Delete(known.MS, 0, len(known.MS)-runTimeWindow)
	}
	m.state.RunTimes[ran.Class] = known
}

// oldestClass returns the class that is longest without an end. Equal ones
// are told apart by name, so that every replay forgets the same one.
func (m *Machine) oldestClass() classKey {
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
		if times.AtMS < nowMS-runTimeMemory.Milliseconds() {
			delete(m.state.RunTimes, key)
		}
	}
}

// runTime returns a quantile of the run times of unthrottled tasks of a class,
// or false if too few have finished.
func (m *Machine) runTime(key classKey, q float64) (time.Duration, bool) {
	seen := m.state.RunTimes[key].MS
	if len(seen) < minRunTimes {
		return 0, false
	}
	ms := quantile(seen, q, func(ms int64) int64 { return ms })
	return time.Duration(ms) * time.Millisecond, true
}

// began returns when the attempt began to run, or the earliest time at which
// it may have.
func (r *run) began(p placement) time.Time {
	if r.own && !r.seen.IsZero() {
		return r.seen
	}
	return time.UnixMilli(p.StartByMS).Add(-placeWindow)
}

// learnRunTime notes what a finished attempt, seen running before the report
// of a call sent at sentAt, shows of its class. Its end is taken to lie half
// way between that report and the last one that showed it running. It shows
// nothing if it was throttled or if most of its work was done by earlier
// attempts.
func (s *session) learnRunTime(a *attempt, r *run, sentAt time.Time) {
	share := 1 - a.Task.CheckpointProgress
	end := r.running.Add(sentAt.Sub(r.running) / 2)
	took := end.Sub(r.began(a.Placement))
	if r.throttled || share < minRunShare || took <= 0 {
		return
	}
	ms := int64(float64(took.Milliseconds()) / share)
	s.ran = append(s.ran, ranRecord{Class: classOf(&a.Task), MS: ms})
}

// expected returns a quantile of how long the attempt runs if it does as its
// class does.
func (s *session) expected(a *attempt, q float64) (time.Duration, bool) {
	whole, known := s.machine.runTime(classOf(&a.Task), q)
	return time.Duration(float64(whole) * (1 - a.Task.CheckpointProgress)), known
}

// remaining returns how long the attempt still runs if it does as its class
// does, or false if that is not known: of a task that runs for longer, its
// class says nothing.
func (s *session) remaining(a *attempt, r *run, now time.Time) (time.Duration, bool) {
	expected, known := s.expected(a, runTimeQuantile)
	left := expected - now.Sub(r.began(a.Placement))
	if !known || left < 0 || r.throttled {
		return 0, false
	}
	return left, true
}

// reportOverruns logs once of each task that it runs far longer than its
// class does.
func (s *session) reportOverruns(placed []*attempt, now time.Time) {
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || r.seen.IsZero() || r.overrun || r.throttled || r.stopping {
			continue
		}
		expected, known := s.expected(a, runTimeQuantile)
		runs := now.Sub(r.began(a.Placement))
		if !known || runs < overrunFactor*expected {
			continue
		}
		r.overrun = true
		s.vars.Add(varOverruns, 1)
		s.logger.Log("event", "task_overrun", "worker", a.Placement.Worker, "task", a.Task.Task, "attempt", a.Task.Attempt,
			"class", a.Task.Class, "runs_ms", runs.Milliseconds(), "expected_ms", expected.Milliseconds())
	}
}
