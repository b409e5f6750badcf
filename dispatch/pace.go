package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowDownTail is the tail latency of a serving task, as a share of its
	// target, above which the filling runs on its worker are slowed down. It is
	// below 1 because the gauge is coarse and half a second old, and interference
	// changes within seconds.
	slowDownTail = 0.95
	// speedUpTail is the share below which they are sped up again.
	speedUpTail = 0.7
	// paceInterval is the minimum time between two changes of the paces on a
	// worker, and observeInterval between two observations of its tail latencies.
	// The gauge covers the last half second.
	paceInterval    = 550 * time.Millisecond
	observeInterval = 250 * time.Millisecond
	// fullPace is the pace of a run that is not limited, in percent.
	fullPace = 100
	// paceStep is the increase of the pace of a slowed run in one interval, in
	// percentage points.
	paceStep = 25
	// minPace is the lowest pace other than 0: a run that would get less is
	// paused.
	minPace = 12
	// minBlameShare is the smallest share of the pressure on a serving task for
	// which a run is slowed down, unless it contributes the most.
	minBlameShare = 0.15
	// evictPace is the pace below which a run is evicted, if it saves checkpoints
	// and has been slowed for evictAfter.
	evictPace  = 30
	evictAfter = 900 * time.Millisecond
	// highTailPause is how long a worker gets no new filling runs after a high
	// tail latency.
	highTailPause = 1200 * time.Millisecond
)

// adjustPaces keeps the serving tasks of a worker within their latency targets
// by limiting its filling runs. While a tail latency is too high, the runs that
// interfere most with that task are slowed down to half their pace, or a quarter
// if the tail is at more than twice its target, and evicted if that is not enough.
// When all tail latencies are low, slowed runs are sped up step by step. It also
// learns the pressure of filling images from the runs.
func (m *Machine) adjustPaces(w *worker, now time.Duration) {
	serving, filling := w.servingAndFilling()
	if len(filling) == 0 || now-w.observedAt < observeInterval {
		return
	}
	w.observedAt = now
	usage := m.usageByImage(w, filling, now)
	var worst *run
	worstTail := 0.0
	for _, s := range serving {
		if s.gauge == 0 {
			continue
		}
		tail := float64(s.gauge) / float64(s.task.step.TargetMS)
		m.interference.observe(m.interference.serving.number(s.task.step.Image), tail, usage)
		if tail > worstTail {
			worst, worstTail = s, tail
		}
	}
	if worstTail > slowDownTail {
		w.highTailAt = now
	}
	if now-w.paceChangedAt < paceInterval {
		return
	}
	switch {
	case worstTail > slowDownTail:
		w.paceChangedAt = now
		m.slowDown(w, worst, worstTail, filling, now)
	case worstTail < speedUpTail:
		m.speedUp(w, filling, now)
	}
}

// slowDown lowers the pace of the runs that interfere most with a serving run, or
// evicts them.
func (m *Machine) slowDown(w *worker, victim *run, tail float64, filling []*run, now time.Duration) {
	contribution := func(r *run) float64 {
		return m.interference.pressureBetween(r.task.step.Image, victim.task.step.Image) * max(float64(r.gauge), 1)
	}
	total := 0.0
	for _, r := range filling {
		total += contribution(r)
	}
	slices.SortStableFunc(filling, func(a, b *run) int { return cmp.Compare(contribution(b), contribution(a)) })
	for i, r := range filling {
		if i > 0 && contribution(r) < minBlameShare*total {
			break
		}
		percent := r.pace / 2
		if tail > 2*highTail {
			percent = r.pace / 4
		}
		if r.slowedSince == 0 {
			r.slowedSince = now
		}
		if r.task.step.Checkpoints && percent < evictPace && now-r.slowedSince >= evictAfter {
			m.emit("run_evicted", r.task.job.ID, "task", r.task.name, "run", r.number, "worker", w.ID, "image", r.task.step.Image,
				"beside", victim.task.step.Image, "tail_ms", victim.gauge, "target_ms", victim.task.step.TargetMS)
			r.task.avoidWorker = w.ID
			m.requestStop(r, "interferes with a serving task")
			continue
		}
		if percent < minPace {
			percent = 0
		}
		m.setPace(r, percent, "tail_ms", victim.gauge, "target_ms", victim.task.step.TargetMS)
	}
}

// speedUp raises the pace of slowed runs by one step.
func (m *Machine) speedUp(w *worker, filling []*run, now time.Duration) {
	for _, r := range filling {
		if r.pace == fullPace {
			r.slowedSince = 0
			continue
		}
		w.paceChangedAt = now
		m.setPace(r, min(fullPace, max(r.pace, 0)+paceStep), "reason", "low tail latencies")
	}
}

func (m *Machine) setPace(r *run, percent int, why ...any) {
	if r.pace == percent {
		return
	}
	m.emit("run_paced", r.task.job.ID, append([]any{"task", r.task.name, "run", r.number, "worker", r.worker.ID, "percent", percent, "before", r.pace}, why...)...)
	r.pace, r.wasSlowed = percent, r.wasSlowed || percent < fullPace
	m.orders = append(m.orders, Order{Kind: OrderPace, Worker: r.worker.ID, Task: r.task.name, Run: r.number, Percent: percent})
}

// servingAndFilling returns the serving runs that have a latency target and the
// filling runs.
func (w *worker) servingAndFilling() (serving, filling []*run) {
	for _, r := range w.runs {
		switch s := r.task.step; {
		case r.state != runRunning:
		case s.Serving && s.TargetMS > 0:
			serving = append(serving, r)
		case s.BestEffort:
			filling = append(filling, r)
		}
	}
	return serving, filling
}

// usageByImage returns the processor used by the filling runs, summed by image.
func (m *Machine) usageByImage(w *worker, filling []*run, now time.Duration) []imageUsage {
	usage := m.usageBuffer[:0]
	for _, f := range filling {
		image := m.interference.filling.number(f.task.step.Image)
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

// processorUse returns the millicores that a filling run uses. The gauge is used
// until the run is as old as the time that the gauge covers, and after that the
// request scaled by the pace.
func (r *run) processorUse(now time.Duration) int64 {
	if r.confirmedAt == 0 || now-r.confirmedAt < gaugeWindow {
		return r.gauge
	}
	return r.task.step.Need.MilliCores * int64(max(r.pace, 0)) / fullPace
}

// gaugeWindow is the half second that a gauge covers, plus the delay of a report.
const gaugeWindow = 600 * time.Millisecond

// PaceAnswered processes the outcome of a pace order. After a failed one, the next
// adjustment sends a pace again.
func (m *Machine) PaceAnswered(o Order, outcome Outcome) {
	w, ok := m.workers[o.Worker]
	if !ok {
		return
	}
	if outcome == Superseded {
		m.superseded = true
	}
	if r := w.find(o.Task, o.Run); r != nil && outcome != Accepted && r.pace == o.Percent {
		r.pace = paceUnknown
	}
}

// paceUnknown marks a run whose pace order failed, so that any pace differs from
// it and is sent.
const paceUnknown = -1
