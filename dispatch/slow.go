package dispatch

import (
	"slices"
	"time"
)

const (
	// rateSpanLeast is the least time over which a run's rate is taken.
	// Source: progress is told in whole percents; a run of 2 s gains 20 in it.
	rateSpanLeast = 400 * time.Millisecond
	// siblingsLeast is how many other runs of its step a run is compared with.
	siblingsLeast = 2
	// speedWeight is the weight of the newest comparison in a worker's speed,
	// and slowSpeed the speed below which it is slow. Source: tasks of a step
	// differ by a third; slow workers are five times as slow and more.
	speedWeight = 0.3
	slowSpeed   = 0.45
	// speedSeenLeast is how many comparisons tell a slow worker.
	speedSeenLeast = 3
	// slowPause is how long a slow worker is closed, from the last comparison
	// that shows it.
	slowPause = 2500 * time.Millisecond
	// moveGain is how many times longer the rest of a run must take here than
	// elsewhere for it to be moved, and moveCost what a move takes besides.
	moveGain = 1.5
	moveCost = 300 * time.Millisecond
	// starvedShare of what a filling run asks for is the least that it must
	// get to be compared: below it the worker is full, not slow.
	starvedShare = 0.6
)

// noteRate takes in a run's progress.
func (r *run) noteRate(percent int, now time.Duration) bool {
	if r.markAt == 0 || percent < r.markPercent {
		r.markPercent, r.markAt = percent, now
		return false
	}
	if now-r.markAt < rateSpanLeast {
		return false
	}
	r.rate, r.rated = float64(percent-r.markPercent)/(now-r.markAt).Seconds(), true
	r.markPercent, r.markAt = percent, now
	return true
}

// siblingRate is the median rate of the other runs of a run's step, ended ones
// included, in percent a second; 0 if there are too few.
func (m *Machine) siblingRate(r *run) float64 {
	rates := append(m.rates[:0], r.task.step.doneRates...)
	for _, t := range r.task.step.tasks {
		for _, o := range t.runs {
			if o != r && o.worker != r.worker && o.rate > 0 && o.pace == fullPace {
				rates = append(rates, o.rate)
			}
		}
	}
	m.rates = rates
	if len(rates) < siblingsLeast {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// compare holds a run's rate against its siblings' on other workers, closes a
// worker that shows to be slow, and moves the run off it where that gains. It
// answers workers that turn slow while their reports are good.
func (m *Machine) compare(r *run, now time.Duration) {
	s, w := r.task.step, r.worker
	if s.Serving || r.state != runRunning || r.pace != fullPace || s.BestEffort && float64(r.gauge) < starvedShare*float64(s.Need.MilliCores) {
		return
	}
	others := m.siblingRate(r)
	if others == 0 {
		return
	}
	speed := min(r.rate/others, 2)
	if w.speedSeen == 0 || now-w.speedAt > slowPause {
		w.speed, w.speedSeen = 1, 0
	}
	w.speed += speedWeight * (speed - w.speed)
	w.speedSeen++
	w.speedAt = now
	if w.speedSeen < speedSeenLeast || w.speed > slowSpeed {
		return
	}
	if now >= w.closedUntil {
		m.event("worker_slow", "", "worker", w.ID, "speed", w.speed, "compared", w.speedSeen)
	}
	w.close(now, slowPause)
	for _, o := range w.runs {
		m.moveOff(o)
	}
}

// moveOff stops a batch run on a slow worker if it would end sooner elsewhere.
func (m *Machine) moveOff(r *run) {
	s := r.task.step
	if s.Serving || s.Gang || r.state != runRunning || !r.rated || r.pace != fullPace {
		return
	}
	others := m.siblingRate(r)
	if others == 0 {
		return
	}
	here := time.Hour // it stands still
	if r.rate > 0 {
		here = time.Duration(float64(100-r.percent) / r.rate * float64(time.Second))
	}
	left := 100.0
	if s.Checkpoints {
		left = float64(100 - r.percent)
	}
	elsewhere := time.Duration(left/others*float64(time.Second)) + moveCost
	if float64(here) < moveGain*float64(elsewhere) {
		return
	}
	r.task.avoid = r.worker.ID
	m.event("run_moved", r.task.job.ID, "task", r.task.name, "run", r.number, "worker", r.worker.ID, "percent", r.percent, "rate", r.rate, "siblings", others, "here", here, "elsewhere", elsewhere)
	m.stop(r, "slow worker")
}
