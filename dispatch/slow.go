package dispatch

import (
	"slices"
	"time"
)

const (
	// minRateInterval is the minimum time over which the rate of a run is measured.
	// Progress is reported in whole percents, and a run of 2 s advances by 20% in
	// this time.
	minRateInterval = 400 * time.Millisecond
	// minSiblings is the minimum number of other runs of its step that a run is
	// compared with.
	minSiblings = 2
	// speedWeight is the weight of the newest comparison in a worker's speed, and
	// slowSpeed the speed up to which it counts as slow. Tasks of a step differ by
	// a third; slow workers are slower by a factor of five or more.
	speedWeight = 0.3
	slowSpeed   = 0.45
	// minSpeedSamples is the number of comparisons needed to detect a slow worker.
	minSpeedSamples = 3
	// slowClosure is how long a slow worker is closed, counted from the last
	// comparison that shows it.
	slowClosure = 2500 * time.Millisecond
	// moveGain is the factor by which the rest of a run must take longer than on
	// another worker for the run to be moved, and moveCost is the time that the
	// move itself takes.
	moveGain = 1.5
	moveCost = 300 * time.Millisecond
	// starvedShare is the share of its request that a best-effort run must get to be
	// compared: with less, the worker is full rather than slow.
	starvedShare = 0.6
)

// updateRate updates the rate of a run from its progress, and reports whether it has
// measured a new rate.
func (r *run) updateRate(percent int, now time.Duration) bool {
	if r.rateBaseAt == 0 || percent < r.rateBasePercent {
		r.rateBasePercent, r.rateBaseAt = percent, now
		return false
	}
	if now-r.rateBaseAt < minRateInterval {
		return false
	}
	r.rate, r.hasRate = float64(percent-r.rateBasePercent)/(now-r.rateBaseAt).Seconds(), true
	r.rateBasePercent, r.rateBaseAt = percent, now
	return true
}

// siblingRate returns the median rate of the other runs of a run's step, including
// those that are done, in percent per second; 0 if there are too few.
func (m *Machine) siblingRate(r *run) float64 {
	rates := append(m.ratesBuffer[:0], r.task.step.doneRates...)
	for t := range r.task.step.tasks.recorded() {
		for _, o := range t.runs {
			if o != r && o.worker != r.worker && o.rate > 0 && o.cpuShare == fullCPUShare {
				rates = append(rates, o.rate)
			}
		}
	}
	m.ratesBuffer = rates
	if len(rates) < minSiblings {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// compareWithSiblings compares the rate of a run with that of its siblings on other
// workers. It closes a worker that proves slow and moves its runs where they end
// sooner: some workers become slow while their reports look healthy.
func (m *Machine) compareWithSiblings(r *run, now time.Duration) {
	s, w := r.task.step, r.worker
	if s.Serving || r.state != runRunning || r.cpuShare != fullCPUShare || s.BestEffort && float64(r.gauge) < starvedShare*float64(s.Need.MilliCores) {
		return
	}
	siblings := m.siblingRate(r)
	if siblings == 0 {
		return
	}
	speed := min(r.rate/siblings, 2)
	if w.speedSamples == 0 || now-w.speedAt > slowClosure {
		w.speed, w.speedSamples = 1, 0
	}
	w.speed += speedWeight * (speed - w.speed)
	w.speedSamples++
	w.speedAt = now
	if w.speedSamples < minSpeedSamples || w.speed > slowSpeed {
		return
	}
	if now >= w.closedUntil {
		m.emit("worker_slow", "", "worker", w.ID, "speed", w.speed, "compared", w.speedSamples)
	}
	w.closeAsSlow(now)
	for _, o := range w.runs {
		m.moveIfFaster(o, now)
	}
}

// closeAsSlow closes a worker that proves slow.
func (w *worker) closeAsSlow(now time.Duration) {
	w.close(now, slowClosure)
	w.slowClosureEnd = now + slowClosure
}

// moveIfFaster stops a batch run on a slow worker if its task would end sooner
// elsewhere.
func (m *Machine) moveIfFaster(r *run, now time.Duration) {
	s := r.task.step
	if s.Serving || s.Gang || r.state != runRunning || !r.hasRate || r.cpuShare != fullCPUShare {
		return
	}
	siblings := m.siblingRate(r)
	if siblings == 0 {
		return
	}
	here := time.Hour // it makes no progress
	if r.rate > 0 {
		here = time.Duration(float64(100-r.percent) / r.rate * float64(time.Second))
	}
	left := 100.0
	if s.Checkpoints {
		left = float64(100 - r.percent)
	}
	elsewhere := time.Duration(left/siblings*float64(time.Second)) + moveCost
	if float64(here) < moveGain*float64(elsewhere) {
		return
	}
	m.emit("run_moved", r.task.job.ID, "task", r.task.name, "run", r.number, "worker", r.worker.ID, "percent", r.percent, "rate", r.rate, "siblings", siblings, "here", here, "elsewhere", elsewhere)
	m.avoid(r.task, r.worker, now)
	m.requestStop(r, "slow worker")
}
