package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// tailAlarm is the share of its target at which a serving task's tail
	// makes the filling runs beside it work less. Source: the gauge is rough
	// and half a second old, and disturbance changes within seconds.
	tailAlarm = 0.95
	// tailCalm is the share below which they may work more again.
	tailCalm = 0.7
	// paceInterval is the least time between two changes of a worker's paces,
	// and learnInterval between two lessons. Source: the gauge covers the last
	// half second.
	paceInterval  = 550 * time.Millisecond
	learnInterval = 250 * time.Millisecond
	// fullPace is the pace of a run that is not held back, in percent.
	fullPace = 100
	// paceRise is how much faster held runs get in one interval, percent.
	paceRise = 25
	// paceLeast is the pace below which a run stands still instead.
	paceLeast = 12
	// blameShare is the least part of the pressure on a task for which a run
	// is slowed.
	blameShare = 0.15
	// evictBelow is the pace at which a run goes elsewhere, if it saves its
	// progress and has been held for evictAfter.
	evictBelow = 30
	evictAfter = 900 * time.Millisecond
	// alarmPause keeps new filling runs from a worker with a long tail.
	alarmPause = 1200 * time.Millisecond
)

// control keeps the filling runs of a worker from holding its serving tasks
// over their targets: while a tail is too long, the runs that press most on
// its task are halved, and leave if that does not suffice; when all tails are
// short, they are raised by steps. It answers filling work whose pressure is
// learned while it runs.
func (m *Machine) control(w *worker, now time.Duration) {
	serving, filling := w.sharing()
	if len(filling) == 0 || now-w.learnedAt < learnInterval {
		return
	}
	w.learnedAt = now
	work := m.besides(w, filling, now)
	var worst *run
	worstTail := 0.0
	for _, s := range serving {
		if s.gauge == 0 {
			continue
		}
		tail := float64(s.gauge) / float64(s.task.step.TargetMS)
		m.interference.observe(m.interference.serving.number(s.task.step.Image), tail, work)
		if tail > worstTail {
			worst, worstTail = s, tail
		}
	}
	if worstTail > tailAlarm {
		w.alarmAt = now
	}
	if now-w.paceAt < paceInterval {
		return
	}
	switch {
	case worstTail > tailAlarm:
		w.paceAt = now
		m.slow(w, worst, worstTail, filling, now)
	case worstTail < tailCalm:
		m.raise(w, filling, now)
	}
}

// slow holds back the runs that press most on a serving run.
func (m *Machine) slow(w *worker, victim *run, tail float64, filling []*run, now time.Duration) {
	part := func(r *run) float64 {
		return m.interference.named(r.task.step.Image, victim.task.step.Image) * max(float64(r.gauge), 1)
	}
	total := 0.0
	for _, r := range filling {
		total += part(r)
	}
	slices.SortStableFunc(filling, func(a, b *run) int { return cmp.Compare(part(b), part(a)) })
	for i, r := range filling {
		if i > 0 && part(r) < blameShare*total {
			break
		}
		percent := r.pace / 2
		if tail > 2*longTail {
			percent = r.pace / 4
		}
		if r.heldAt == 0 {
			r.heldAt = now
		}
		if r.task.step.Checkpoints && percent < evictBelow && now-r.heldAt >= evictAfter {
			m.event("run_evicted", r.task.job.ID, "task", r.task.name, "run", r.number, "worker", w.ID, "image", r.task.step.Image,
				"beside", victim.task.step.Image, "tail_ms", victim.gauge, "target_ms", victim.task.step.TargetMS)
			r.task.avoid = w.ID
			m.stop(r, "presses on a serving task")
			continue
		}
		if percent < paceLeast {
			percent = 0
		}
		m.setPace(r, percent, "tail_ms", victim.gauge, "target_ms", victim.task.step.TargetMS)
	}
}

// raise lets held runs work more.
func (m *Machine) raise(w *worker, filling []*run, now time.Duration) {
	for _, r := range filling {
		if r.pace == fullPace {
			r.heldAt = 0
			continue
		}
		w.paceAt = now
		m.setPace(r, min(fullPace, max(r.pace, 0)+paceRise), "reason", "short tails")
	}
}

func (m *Machine) setPace(r *run, percent int, why ...any) {
	if r.pace == percent {
		return
	}
	m.event("run_paced", r.task.job.ID, append([]any{"task", r.task.name, "run", r.number, "worker", r.worker.ID, "percent", percent, "before", r.pace}, why...)...)
	r.pace, r.slowed = percent, r.slowed || percent < fullPace
	m.orders = append(m.orders, Order{Kind: OrderPace, Worker: r.worker.ID, Task: r.task.name, Run: r.number, Percent: percent})
}

// sharing returns the serving runs with a target and the filling runs.
func (w *worker) sharing() (serving, filling []*run) {
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

// besides sums the processor in use by filling image.
func (m *Machine) besides(w *worker, filling []*run, now time.Duration) []beside {
	work := m.work[:0]
	for _, f := range filling {
		image := m.interference.filling.number(f.task.step.Image)
		i := slices.IndexFunc(work, func(b beside) bool { return b.image == image })
		if i < 0 {
			i = len(work)
			work = append(work, beside{image: image})
		}
		work[i].share += float64(f.working(now)) / float64(max(w.Capacity.MilliCores, 1))
	}
	m.work = work
	return work
}

// working is the processor that a filling run takes: what it asks for, at its
// pace, once it has worked for as long as its gauge covers.
func (r *run) working(now time.Duration) int64 {
	if r.confirmed == 0 || now-r.confirmed < gaugeSpan {
		return r.gauge
	}
	return r.task.step.Need.MilliCores * int64(max(r.pace, 0)) / fullPace
}

// gaugeSpan is the time that a gauge covers, and a little for the report's way.
const gaugeSpan = 600 * time.Millisecond

// PaceAnswered takes in the outcome of a pace: one that failed is sent again.
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

// paceUnknown makes the pace due again.
const paceUnknown = -1
