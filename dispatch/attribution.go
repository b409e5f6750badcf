package dispatch

import (
	"slices"
	"time"
)

// A high tail latency does not show its cause: the worker may be slow, or the serving task
// short of capacity by itself. The best-effort runs beside it are throttled in any case, and
// what follows tells the causes apart: a tail that stays high while best-effort work is paused
// is not caused by it. A raise of a pressure is therefore unconfirmed until the tail is low
// again, and is taken back if it stays high.

// unloadedDelay is for how long best-effort work must have been paused on a worker until its
// tail latencies are those without such work: the time that a gauge covers, and that in which
// a throttle order takes effect.
const unloadedDelay = gaugeWindow + 400*time.Millisecond

// pressureRaise is the factor by which tail latencies on one worker have raised the pressure
// of a pair of images.
type pressureRaise struct {
	bestEffort, serving int // image numbers
	factor              float64
}

// addRaises records raises that the worker's tail latencies have led to.
func (w *worker) addRaises(raises []pressureRaise) {
	for _, raise := range raises {
		i := slices.IndexFunc(w.unconfirmed, func(u pressureRaise) bool { return u.bestEffort == raise.bestEffort && u.serving == raise.serving })
		if i < 0 {
			w.unconfirmed = append(w.unconfirmed, raise)
			continue
		}
		w.unconfirmed[i].factor *= raise.factor
	}
}

// mayInterfere reports whether a run may use processor beside the serving tasks of its worker.
func (r *run) mayInterfere() bool {
	return r.task.step.BestEffort && (r.state != runRunning || r.cpuShare != 0 || float64(r.gauge) >= minShare*float64(r.worker.Capacity.MilliCores))
}

// isUnloaded reports whether best-effort work has been paused on a worker, or absent, for so
// long that it does not affect the tail latencies.
func (w *worker) isUnloaded(now time.Duration) bool {
	if slices.ContainsFunc(w.runs, (*run).mayInterfere) {
		w.loadedAt = now
	}
	return now-w.loadedAt >= unloadedDelay
}

// reviewRaises decides on the raises for a serving image after an observation of its tail
// latency, as a share of the target.
func (m *Machine) reviewRaises(w *worker, serving int, tail float64, unloaded bool) {
	isOfImage := func(r pressureRaise) bool { return r.serving == serving }
	switch {
	case tail > highTail && unloaded:
		w.tailsAreOwn = true
		m.settleRaises(w, "interference_refuted", isOfImage, m.interference.refute)
	case tail < lowTail:
		m.settleRaises(w, "interference_confirmed", isOfImage, m.interference.confirm)
	}
}

// refuteAll takes back all raises that a worker's tail latencies have led to and that are not
// confirmed.
func (m *Machine) refuteAll(w *worker) {
	m.settleRaises(w, "interference_refuted", func(pressureRaise) bool { return true }, m.interference.refute)
}

// settleRaises confirms or refutes the raises that match, and emits an event for each.
func (m *Machine) settleRaises(w *worker, event string, matches func(pressureRaise) bool, settle func(pressureRaise)) {
	if !slices.ContainsFunc(w.unconfirmed, matches) {
		return
	}
	bestEffortImages, servingImages := m.interference.bestEffort.names(), m.interference.serving.names()
	w.unconfirmed = slices.DeleteFunc(w.unconfirmed, func(r pressureRaise) bool {
		if !matches(r) {
			return false
		}
		before := *m.interference.entry(r.bestEffort, r.serving)
		settle(r)
		m.emit(event, "", "worker", w.ID, "image", bestEffortImages[r.bestEffort], "beside", servingImages[r.serving],
			"factor", r.factor, "pressure", *m.interference.entry(r.bestEffort, r.serving), "before", before)
		return true
	})
}

// refute takes back a raise, except what later observations have corrected already.
func (in *interference) refute(r pressureRaise) {
	unconfirmed := in.unconfirmedFactor(r.bestEffort, r.serving)
	factor := min(r.factor, *unconfirmed)
	*unconfirmed /= factor
	p := in.entry(r.bestEffort, r.serving)
	*p = max(*p/factor, minPressure)
}

// confirm keeps a raise.
func (in *interference) confirm(r pressureRaise) {
	unconfirmed := in.unconfirmedFactor(r.bestEffort, r.serving)
	*unconfirmed /= min(r.factor, *unconfirmed)
}

// unconfirmedFactor returns a pointer to the factor, of 1 or more, by which raises that are
// not confirmed have increased a pressure.
func (in *interference) unconfirmedFactor(bestEffort, serving int) *float64 {
	return growMatrix(&in.unconfirmed, bestEffort, serving, 1)
}

// confirmedPressure returns the pressure of a pair without the raises that are not confirmed.
func (in *interference) confirmedPressure(bestEffort, serving int) float64 {
	return max(*in.entry(bestEffort, serving) / *in.unconfirmedFactor(bestEffort, serving), minPressure)
}
