package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// throttleTail is the tail latency of a serving task, as a share of its
	// target, above which the best-effort runs on its worker are throttled. It is
	// below 1 because the gauge is coarse and half a second old, and interference
	// changes within seconds.
	throttleTail = 0.95
	// unthrottleTail is the share below which their CPU shares are raised again.
	unthrottleTail = 0.7
	// throttleInterval is the minimum time between two changes of the CPU shares
	// on a worker, and observeInterval between two observations of its tail
	// latencies.
	// The gauge covers the last half second.
	throttleInterval = 550 * time.Millisecond
	observeInterval  = 250 * time.Millisecond
	// fullCPUShare is the CPU share of a run that is not throttled, in percent.
	fullCPUShare = 100
	// cpuShareStep is the increase of the CPU share of a throttled run in one
	// interval, in percentage points.
	cpuShareStep = 25
	// minCPUShare is the lowest CPU share other than 0, in percent: a run that
	// would get less is paused.
	minCPUShare = 12
	// minBlameShare is the smallest share of the pressure on a serving task for
	// which a run is throttled, unless it contributes the most.
	minBlameShare = 0.15
	// evictCPUShare is the CPU share, in percent, below which a run is evicted if
	// it saves checkpoints and has been throttled for evictAfter.
	evictCPUShare = 30
	evictAfter    = 900 * time.Millisecond
	// highTailPause is how long a worker gets no new best-effort runs after a high
	// tail latency.
	highTailPause = 1200 * time.Millisecond
)

// adjustThrottles keeps the serving tasks of a worker within their latency
// targets by throttling its best-effort runs. While a tail latency is too high,
// the runs that interfere most with that task are throttled to half their CPU
// share, or a quarter if the tail is at more than twice its target, and evicted if
// that is not enough. When all tail latencies are low, the CPU shares of throttled
// runs are raised step by step. It also learns the pressure of best-effort images
// from the runs.
func (m *Machine) adjustThrottles(w *worker, now time.Duration) {
	serving, bestEffort := w.servingAndBestEffort()
	if len(serving)+len(bestEffort) == 0 || now-w.observedAt < observeInterval {
		return
	}
	w.observedAt = now
	m.interference.drift(now)
	worst, worstTail := m.observeTails(w, serving, m.usageByImage(w, bestEffort, now), now)
	if len(bestEffort) == 0 {
		return
	}
	if worstTail > throttleTail {
		w.highTailAt = now
	}
	if now-w.throttleChangedAt < throttleInterval {
		return
	}
	switch {
	case worstTail > throttleTail:
		w.throttleChangedAt = now
		m.throttle(w, worst, worstTail, bestEffort, now)
	case worstTail < unthrottleTail:
		m.unthrottle(w, bestEffort, now)
	}
}

// observeTails learns from the tail latencies of a worker, and returns the serving run with the
// highest one and that tail, as a share of its target.
func (m *Machine) observeTails(w *worker, serving []*run, usage []imageUsage, now time.Duration) (worst *run, worstTail float64) {
	peak := w.peakUsage(usage, now)
	least := w.leastUsage(usage, now)
	unloaded := w.isUnloaded(now)
	tails := m.tailsBuffer[:0]
	for _, s := range serving {
		if s.gauge == 0 {
			continue
		}
		tail := float64(s.gauge) / float64(s.task.step.TargetMS)
		image := m.interference.serving.number(s.task.step.Image)
		t := w.trialOf(image)
		predicted := m.interference.predict(image, peak)
		o := tailObservation{serving: image, tail: tail, own: m.ownTail(s.task.step, now)}
		switch {
		case tail <= highTail:
			m.interference.observe(o, least)
		case t.mayRaise(now):
			t.add(m.interference.observe(o, peak), predicted)
		}
		if i := slices.IndexFunc(tails, func(x imageTail) bool { return x.trial == t }); i < 0 {
			tails = append(tails, imageTail{t, tail})
		} else {
			tails[i].highest = max(tails[i].highest, tail)
		}
		if tail > worstTail {
			worst, worstTail = s, tail
		}
	}
	for _, x := range tails {
		m.review(w, x.trial, x.highest, unloaded, now)
	}
	m.tailsBuffer = tails
	return worst, worstTail
}

// imageTail is the highest tail latency of the tasks of a serving image on a worker, as a share
// of their target.
type imageTail struct {
	trial   *trial
	highest float64
}

// throttle lowers the CPU shares of the runs that interfere most with a serving
// run, or evicts them.
func (m *Machine) throttle(w *worker, victim *run, tail float64, bestEffort []*run, now time.Duration) {
	contribution := func(r *run) float64 {
		return m.interference.pressureBetween(r.task.step.Image, victim.task.step.Image) * max(float64(r.gauge), 1)
	}
	total := 0.0
	for _, r := range bestEffort {
		total += contribution(r)
	}
	slices.SortStableFunc(bestEffort, func(a, b *run) int { return cmp.Compare(contribution(b), contribution(a)) })
	for i, r := range bestEffort {
		if i > 0 && contribution(r) < minBlameShare*total {
			break
		}
		percent := r.cpuShare / 2
		if tail > 2*highTail {
			percent = r.cpuShare / 4
		}
		if r.throttledSince == 0 {
			r.throttledSince = now
		}
		if r.task.step.Checkpoints && !r.starved && percent < evictCPUShare && now-r.throttledSince >= evictAfter {
			m.emit("run_evicted", r.task.job.ID, "task", r.task.name, "run", r.number, "worker", w.ID, "image", r.task.step.Image,
				"beside", victim.task.step.Image, "tail_ms", victim.gauge, "target_ms", victim.task.step.TargetMS)
			m.avoid(r.task, w, now)
			m.requestStop(r, "interferes with a serving task")
			continue
		}
		if percent < minCPUShare {
			percent = 0
		}
		m.setCPUShare(r, percent, "tail_ms", victim.gauge, "target_ms", victim.task.step.TargetMS)
	}
}

// unthrottle raises the CPU shares of throttled runs by one step.
func (m *Machine) unthrottle(w *worker, bestEffort []*run, now time.Duration) {
	for _, r := range bestEffort {
		if r.cpuShare == fullCPUShare {
			r.throttledSince = 0
			continue
		}
		w.throttleChangedAt = now
		m.setCPUShare(r, min(fullCPUShare, max(r.cpuShare, 0)+cpuShareStep), "reason", "low tail latencies")
	}
}

func (m *Machine) setCPUShare(r *run, percent int, why ...any) {
	if r.cpuShare == percent {
		return
	}
	m.emit("run_paced", r.task.job.ID, append([]any{"task", r.task.name, "run", r.number, "worker", r.worker.ID, "percent", percent, "before", r.cpuShare}, why...)...)
	r.cpuShare, r.wasThrottled = percent, r.wasThrottled || percent < fullCPUShare
	m.orders = append(m.orders, Order{Kind: OrderThrottle, Worker: r.worker.ID, Task: r.task.name, Run: r.number, Percent: percent})
}

// servingAndBestEffort returns the serving runs that have a latency target and the
// best-effort runs.
func (w *worker) servingAndBestEffort() (serving, bestEffort []*run) {
	for _, r := range w.runs {
		switch s := r.task.step; {
		case r.state != runRunning:
		case s.Serving && s.TargetMS > 0:
			serving = append(serving, r)
		case s.BestEffort:
			bestEffort = append(bestEffort, r)
		}
	}
	return serving, bestEffort
}

// usageByImage returns the processor used by the best-effort runs, summed by image.
func (m *Machine) usageByImage(w *worker, bestEffort []*run, now time.Duration) []imageUsage {
	usage := m.usageBuffer[:0]
	for _, f := range bestEffort {
		image := m.interference.bestEffort.number(f.task.step.Image)
		i := slices.IndexFunc(usage, func(b imageUsage) bool { return b.image == image })
		if i < 0 {
			i = len(usage)
			usage = append(usage, imageUsage{image: image})
		}
		usage[i].share += float64(f.processorUse(now)) / float64(max(w.Capacity.MilliCores, 1))
	}
	m.usageBuffer = usage
	return usage
}

// processorUse returns the millicores that a best-effort run uses. The gauge is
// used until the run is as old as the time that the gauge covers, and after that
// the request scaled by the CPU share.
func (r *run) processorUse(now time.Duration) int64 {
	if r.confirmedAt == 0 || now-r.confirmedAt < gaugeWindow {
		return r.gauge
	}
	return r.task.step.Need.MilliCores * int64(max(r.cpuShare, 0)) / fullCPUShare
}

// gaugeWindow is the half second that a gauge covers, plus the delay of a report.
const gaugeWindow = 600 * time.Millisecond

// ThrottleAnswered processes the outcome of a throttle order. After a failed one,
// the next adjustment sends a CPU share again.
func (m *Machine) ThrottleAnswered(o Order, outcome Outcome) {
	w, ok := m.workers[o.Worker]
	if !ok {
		return
	}
	if outcome == Superseded {
		m.superseded = true
	}
	if r := w.find(o.Task, o.Run); r != nil && outcome != Accepted && r.cpuShare == o.Percent {
		r.cpuShare = cpuShareUnknown
	}
}

// cpuShareUnknown marks a run whose throttle order failed, so that any CPU share
// differs from it and is sent.
const cpuShareUnknown = -1
