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
	// speedWeight is the weight of the newest comparison in the speed of a worker, slowSpeed the
	// speed up to which a worker or a run counts as slow, and soundSpeed the one from which a run does
	// not. Slow workers are slower by a factor of five or more, and so are long tasks.
	speedWeight = 0.3
	slowSpeed   = 0.45
	soundSpeed  = 0.7
	// percents is the number of steps in which a run reports its progress.
	percents = 100
	// minSpeedSamples and minRunSamples are the numbers of comparisons needed to judge a worker
	// and a run.
	minSpeedSamples = 3
	minRunSamples   = 2
	// minSlowSteps is the number of steps whose runs must be slow on a worker to show that
	// the worker is, rather than their tasks.
	minSlowSteps = 2
	// slowClosure is how long a slow worker is closed, counted from the last
	// comparison that shows it.
	slowClosure = 2500 * time.Millisecond
	// moveGain is the factor by which the rest of a run must take longer than on
	// another worker for the run to be moved, and moveCost is the time that the
	// move itself takes.
	moveGain = 1.5
	moveCost = 300 * time.Millisecond
	// minRelativeSpeed bounds what a slow worker is taken to slow a run down by.
	minRelativeSpeed = 0.05
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

// workerSpeed is the rate of the runs on a worker relative to their siblings on others, the
// newest comparisons weighing most; 1 is equal.
type workerSpeed struct {
	value   float64
	samples int
}

// add adds a comparison.
func (s *workerSpeed) add(relative float64) {
	if s.samples == 0 {
		s.value = 1
	}
	s.value += speedWeight * (relative - s.value)
	s.samples++
}

func (s *workerSpeed) isSlow() bool { return s.samples >= minSpeedSamples && s.value <= slowSpeed }

// runSpeed is the mean rate of a run relative to its siblings on other workers.
type runSpeed struct {
	sum     float64
	samples int
}

// add adds a comparison.
func (s *runSpeed) add(relative float64) {
	s.sum += relative
	s.samples++
}

func (s *runSpeed) isSlow() bool {
	return s.samples >= minRunSamples && s.sum <= slowSpeed*float64(s.samples)
}

func (s *runSpeed) isSound() bool {
	return s.samples >= minRunSamples && s.sum >= soundSpeed*float64(s.samples)
}

// slowStep is a step of which a run was slow on a worker.
type slowStep struct {
	step *step
	at   time.Duration
}

// compareWithSiblings compares the rate of a run with that of its siblings on other
// workers, as some workers become slow while their reports look healthy. A run may also be slow
// because its task takes longer than its siblings. Runs of several steps show that the
// worker is slow; a single one is tried on another worker, once.
func (m *Machine) compareWithSiblings(r *run, now time.Duration) {
	s, t, w := r.task.step, r.task, r.worker
	if s.Serving || t.isLong || r.state != runRunning || r.cpuShare != fullCPUShare || s.BestEffort && float64(r.gauge) < starvedShare*float64(s.Need.MilliCores) {
		return
	}
	siblings := m.siblingRate(r)
	if siblings == 0 {
		return
	}
	relative := min(r.rate/siblings, 2)
	r.speed.add(relative)
	if now-w.speedAt > slowClosure {
		w.speed = workerSpeed{}
	}
	w.speed.add(relative)
	w.speedAt = now
	switch former := m.workers[t.slowOn]; {
	case t.slowOn == "" || t.slowOn == w.ID:
	case r.speed.isSound():
		t.slowOn = ""
		if former != nil {
			m.recordSlowWorker(former, now)
		}
	case r.speed.isSlow() && now >= w.slowClosureEnd:
		m.recordLongTask(r, former, now)
		return
	}
	if relative <= slowSpeed {
		w.recordSlowStep(s, now)
	}
	switch {
	case !w.speed.isSlow():
	case now < w.slowClosureEnd || w.countSlowSteps(now) >= minSlowSteps:
		m.recordSlowWorker(w, now)
	case t.slowOn == "" && r.speed.isSlow():
		m.moveIfFaster(r, now)
	}
}

// recordSlowStep records that a run of a step is slow on the worker.
func (w *worker) recordSlowStep(s *step, now time.Duration) {
	w.slowSteps = slices.DeleteFunc(w.slowSteps, func(x slowStep) bool { return x.step == s || now-x.at > slowClosure })
	w.slowSteps = append(w.slowSteps, slowStep{s, now})
}

// countSlowSteps returns the number of steps of which runs were slow on the worker lately.
func (w *worker) countSlowSteps(now time.Duration) int {
	n := 0
	for _, x := range w.slowSteps {
		if now-x.at <= slowClosure {
			n++
		}
	}
	return n
}

// recordSlowWorker closes a worker that proves slow, and moves its runs where they end sooner.
func (m *Machine) recordSlowWorker(w *worker, now time.Duration) {
	if now >= w.closedUntil {
		m.emit("worker_slow", "", "worker", w.ID, "speed", w.speed.value, "compared", w.speed.samples, "steps", w.countSlowSteps(now))
	}
	w.closeAsSlow(now)
	for _, o := range w.runs {
		m.moveIfFaster(o, now)
	}
}

// recordLongTask records that a task is as slow on a second worker: it takes longer than its
// siblings wherever it runs, and says nothing about workers. former is the first worker, or
// nil if it is gone.
func (m *Machine) recordLongTask(r *run, former *worker, now time.Duration) {
	t := r.task
	t.isLong = true
	m.emit("task_long", t.job.ID, "task", t.name, "worker", r.worker.ID, "former", t.slowOn, "rate", r.rate, "compared", r.speed.samples)
	for _, w := range []*worker{r.worker, former} {
		if w != nil {
			w.forgetSlowStep(t.step, now)
		}
	}
}

// forgetSlowStep withdraws the comparisons with runs of a step, and opens the worker unless
// other steps show that it is slow.
func (w *worker) forgetSlowStep(s *step, now time.Duration) {
	w.slowSteps = slices.DeleteFunc(w.slowSteps, func(x slowStep) bool { return x.step == s })
	if w.countSlowSteps(now) >= minSlowSteps {
		return
	}
	w.speed, w.slowClosureEnd = workerSpeed{}, 0
	w.closedUntil = max(w.refusalClosureEnd, w.noAnswerClosureEnd, w.failureClosureEnd)
}

// closeAsSlow closes a worker that proves slow.
func (w *worker) closeAsSlow(now time.Duration) {
	w.close(now, slowClosure)
	w.slowClosureEnd = now + slowClosure
}

// moveIfFaster stops a batch run if its task would end sooner on another worker.
func (m *Machine) moveIfFaster(r *run, now time.Duration) {
	s := r.task.step
	if s.Serving || s.Gang || r.state != runRunning || !r.hasRate || r.cpuShare != fullCPUShare {
		return
	}
	siblings := m.siblingRate(r)
	if r.task.isLong {
		siblings = r.rate / max(r.worker.speed.value, minRelativeSpeed)
	}
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
	if float64(here) < moveGain*float64(elsewhere) || !m.hasAlternative(r.task, r.worker, now) {
		return
	}
	m.emit("run_moved", r.task.job.ID, "task", r.task.name, "run", r.number, "worker", r.worker.ID, "percent", r.percent, "rate", r.rate, "siblings", siblings, "here", here, "elsewhere", elsewhere)
	r.task.slowOn = r.worker.ID
	m.avoid(r.task, r.worker, now)
	m.requestStop(r, "slow worker")
}
