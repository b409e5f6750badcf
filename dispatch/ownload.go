package dispatch

import (
	"slices"
	"time"
)

// The tail latency of a serving task grows with the load of its processor as in a queue: it is
// the tail of an idle task divided by the share of the processor that is left. What best-effort
// work takes of that share adds to what the task's own callers take, so that the same work that
// is not felt in a trough of their load breaks the target at its peak. Tasks of one step have
// the same callers: the tails of those without best-effort work beside them show the load of all.

const (
	// usualTail is the median tail latency, as a share of the target, to which the
	// pressures refer. A serving task's own load moves it between 0.26 and 0.7
	// within seconds.
	usualTail = 0.45
	// minCalmSiblings is the number of tasks of a step without best-effort work beside them from
	// which their tails tell the step's own.
	minCalmSiblings = 3
	// calmPressure is the predicted pressure below which best-effort work does not count.
	calmPressure = 0.1
	// ownTailInterval is the time between two looks at the tails of a step.
	ownTailInterval = 200 * time.Millisecond
	// loadPeriod is the time in which the load of a step is taken to come back.
	loadPeriod = 10 * time.Second
)

// addedPressure returns the pressure that raises a tail from own, both as a share of the target.
func addedPressure(own, tail float64) float64 { return (1/own - 1/tail) / (1/usualTail - 1) }

// ownTail is the tail latency of the tasks of a serving step without best-effort work, as a
// share of their target.
type ownTail struct {
	tail   float64 // 0 is unknown
	at     time.Duration
	peak   float64 // highest tail of the last loadPeriod
	peakAt time.Duration
}

// ownTail returns the tail of a serving step without best-effort work, or 0 if it is unknown.
func (m *Machine) ownTail(s *step, now time.Duration) float64 {
	if s.own.at > 0 && now-s.own.at < ownTailInterval {
		return s.own.tail
	}
	tails := m.calmTails(s, (*colocatedLoad).pressureOn, now)
	if len(tails) < minCalmSiblings {
		// A wave of slowness raises the pressures of all that runs.
		tails = m.calmTails(s, (*colocatedLoad).confirmedPressureOn, now)
	}
	s.own.tail, s.own.at = 0, now
	if len(tails) >= minCalmSiblings {
		slices.Sort(tails)
		s.own.tail = tails[len(tails)/2]
		if s.own.tail >= s.own.peak || now-s.own.peakAt >= loadPeriod {
			s.own.peak, s.own.peakAt = s.own.tail, now
		}
	}
	return s.own.tail
}

// calmTails returns the tails of the tasks of a serving step beside which best-effort work has
// hardly any pressure.
func (m *Machine) calmTails(s *step, pressure func(l *colocatedLoad, in *interference, serving int, capacity int64) float64, now time.Duration) []float64 {
	image := m.interference.serving.number(s.Image)
	tails := m.ownTailBuffer[:0]
	for t := range s.tasks.recorded() {
		for _, r := range t.runs {
			w := r.worker
			if r.state == runRunning && r.gauge > 0 && now-w.reportedAt < maxReportAge &&
				pressure(&w.colocated, m.interference, image, w.Capacity.MilliCores) < calmPressure {
				tails = append(tails, float64(r.gauge)/float64(s.TargetMS))
			}
		}
	}
	m.ownTailBuffer = tails
	return tails
}

// confirmedPressureOn returns the predicted pressure of the present best-effort work on a serving
// image without the raises on trial.
func (l *colocatedLoad) confirmedPressureOn(in *interference, serving int, capacity int64) float64 {
	sum := 0.0
	for i, millicores := range l.bestEffort {
		if millicores > 0 {
			sum += in.confirmedPressure(i, serving) * float64(millicores)
		}
	}
	return sum / float64(max(capacity, 1))
}
