package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// A high tail latency does not show its cause: the worker may be slow, or the serving task
// short of capacity by itself. The best-effort runs beside it are throttled in any case, and
// what follows tells the causes apart. A raise of a pressure is therefore on trial until one
// of these is seen:
//
//   - the tail stays high while best-effort work is paused: the raise is refuted, but for what
//     the pause has lowered the tail by;
//   - the tail falls as best-effort work is throttled or evicted, and is high again when that
//     works more, or nothing else is seen for trialPeriod: the raise is confirmed, and low tails
//     beside best-effort work correct it from then on.
//
// What a pause can't tell is slowness that ends as the best-effort runs do.

const (
	// unloadedDelay is for how long best-effort work must have been paused on a worker until
	// its tail latencies are those without such work: the time that a gauge covers, and that
	// in which a throttle order takes effect.
	unloadedDelay = gaugeWindow + 400*time.Millisecond
	// trialPeriod is for how long after the tail has fallen a raise is on trial. Throttled runs
	// are back at their full CPU share within 2.2 s.
	trialPeriod = 3 * time.Second
	// ownTailShare is the share of the highest tail that is left in a pause from which the
	// tail counts as the serving task's own: its load moves within seconds.
	ownTailShare = 0.8
	// ownTailPeriod is for how long a tail that was too high in a pause raises no pressure.
	ownTailPeriod = 3 * time.Second
	// pressureRounding is the relative error of a pressure that is raised and lowered again.
	pressureRounding = 1e-6
)

// pressureRaise is the factor by which tail latencies on one worker have raised the pressure
// of a pair of images.
type pressureRaise struct {
	bestEffort, serving int // image numbers
	factor              float64
	deviation           float64 // of the pressure before
}

// trial holds the raises for one serving image by its tail latencies on one worker.
type trial struct {
	serving   int // image number
	raises    []pressureRaise
	predicted float64       // predicted pressure before the first raise
	peak      float64       // highest tail, as a share of the target
	fellAt    time.Duration // when the tail had fallen; 0 if it has not
	ownAt     time.Duration // when the tail was last too high in a pause; 0: never
}

// trialOf returns the trial of a serving image on the worker.
func (w *worker) trialOf(serving int) *trial {
	i := slices.IndexFunc(w.trials, func(t *trial) bool { return t.serving == serving })
	if i < 0 {
		i = len(w.trials)
		w.trials = append(w.trials, &trial{serving: serving})
	}
	return w.trials[i]
}

// tailsAreOwn reports whether a tail on the worker was too high in a pause lately.
func (w *worker) tailsAreOwn(now time.Duration) bool {
	return slices.ContainsFunc(w.trials, func(t *trial) bool { return !t.mayRaise(now) })
}

// mayRaise reports whether a high tail may be the doing of best-effort work.
func (t *trial) mayRaise(now time.Duration) bool {
	return t.ownAt == 0 || now-t.ownAt >= ownTailPeriod
}

// add puts further raises on trial.
func (t *trial) add(raises []pressureRaise, predicted float64) {
	if len(raises) > 0 && len(t.raises) == 0 {
		t.predicted, t.peak, t.fellAt = predicted, 0, 0
	}
	for _, raise := range raises {
		i := slices.IndexFunc(t.raises, func(r pressureRaise) bool { return r.bestEffort == raise.bestEffort })
		if i < 0 {
			t.raises = append(t.raises, raise)
			continue
		}
		t.raises[i].factor *= raise.factor
	}
}

// pastUsage is what a best-effort image used at some time.
type pastUsage struct {
	imageUsage
	at time.Duration
}

// peakUsage returns the highest usage by image that the tail latencies may still show, given
// the present one: after a change of a CPU share they lag behind.
func (w *worker) peakUsage(present []imageUsage, now time.Duration) []imageUsage {
	w.usages = slices.DeleteFunc(w.usages, func(u pastUsage) bool { return now-u.at >= unloadedDelay })
	for _, u := range present {
		w.usages = append(w.usages, pastUsage{u, now})
	}
	var peak []imageUsage
	for _, u := range w.usages {
		i := slices.IndexFunc(peak, func(p imageUsage) bool { return p.image == u.image })
		if i < 0 {
			peak = append(peak, u.imageUsage)
			continue
		}
		peak[i].share = max(peak[i].share, u.share)
	}
	return peak
}

// isUnloaded reports whether best-effort work has been paused on a worker, or absent, for so
// long that it does not affect the tail latencies.
func (w *worker) isUnloaded(now time.Duration) bool {
	gauges := int64(0)
	loaded := w.unknownRuns > 0
	for _, r := range w.runs {
		if r.task.step.BestEffort {
			gauges += r.gauge
			loaded = loaded || r.state != runRunning || r.cpuShare != 0
		}
	}
	if loaded || float64(gauges) >= minShare*float64(w.Capacity.MilliCores) {
		w.loadedAt = now
	}
	return now-w.loadedAt >= unloadedDelay
}

// review decides on the raises for a serving image, given the highest tail latency of its tasks
// on the worker, as a share of the target.
func (m *Machine) review(w *worker, t *trial, tail float64, unloaded bool, now time.Duration) {
	high := tail > highTail
	if high && unloaded {
		t.ownAt = now
	} else if tail < lowTail {
		t.ownAt = 0
	}
	if len(t.raises) == 0 {
		return
	}
	t.peak = max(t.peak, tail)
	switch {
	case high && unloaded:
		kept := keptNone
		if tail < ownTailShare*t.peak {
			kept = (t.peak - tail) / t.predicted
		}
		m.settle(w, t, "high in a pause", kept)
	case high && t.fellAt > 0:
		m.settle(w, t, "high again", keptAll)
	case t.fellAt > 0 && now-t.fellAt >= trialPeriod:
		m.settle(w, t, "not high in a pause", keptAll)
	case tail < lowTail && t.fellAt == 0:
		t.fellAt = now
	}
}

// endedBeside notes that a run of a step has left a worker.
func (m *Machine) endedBeside(w *worker, s *workload.Step, now time.Duration) {
	switch {
	case s.BestEffort:
		w.loadedAt = now
	case s.Serving && s.TargetMS > 0:
		if image := m.interference.serving.number(s.Image); w.colocated.serving[image] == 0 {
			m.endTrial(w, image)
		}
	}
}

// endTrial takes back the raises for a serving image whose last task has left the worker.
func (m *Machine) endTrial(w *worker, serving int) {
	w.trials = slices.DeleteFunc(w.trials, func(t *trial) bool {
		if t.serving != serving {
			return false
		}
		m.settle(w, t, "serving task gone", keptNone)
		return true
	})
}

// keptNone and keptAll are the factors up to which raises are confirmed that are refuted, and
// confirmed as a whole.
var keptNone, keptAll = 1.0, math.Inf(1)

// settle confirms each raise of a trial up to the factor kept, and takes the rest back.
func (m *Machine) settle(w *worker, t *trial, why string, kept float64) {
	in := m.interference
	bestEffortImages, servingImages := in.bestEffort.names(), in.serving.names()
	for _, r := range t.raises {
		before := *in.entry(r.bestEffort, r.serving)
		event := "interference_refuted"
		if kept > keptNone {
			event = "interference_confirmed"
		}
		in.settle(r, kept)
		m.emit(event, "", "worker", w.ID, "image", bestEffortImages[r.bestEffort], "beside", servingImages[r.serving], "why", why,
			"factor", r.factor, "confirmed", min(r.factor, max(kept, keptNone)), "pressure", *in.entry(r.bestEffort, r.serving), "before", before)
	}
	t.raises = nil
}

// settle confirms a raise up to the factor kept, and takes the rest back, except what later
// observations have corrected already.
func (in *interference) settle(r pressureRaise, kept float64) {
	unconfirmed := in.unconfirmedFactor(r.bestEffort, r.serving)
	factor := min(r.factor, *unconfirmed)
	*unconfirmed = withoutRounding(*unconfirmed/factor, 1)
	if kept <= keptNone {
		d := in.deviation(r.bestEffort, r.serving)
		*d = max(*d, r.deviation)
	}
	p := in.entry(r.bestEffort, r.serving)
	*p = withoutRounding(max(*p/factor*min(factor, max(kept, keptNone)), minPressure), initialPressure)
}

// withoutRounding returns x, or exact if x differs from that by rounding only.
func withoutRounding(x, exact float64) float64 {
	if math.Abs(x-exact) <= pressureRounding*exact {
		return exact
	}
	return x
}

// unconfirmedFactor returns a pointer to the factor, of 1 or more, by which raises that are
// not confirmed have increased a pressure.
func (in *interference) unconfirmedFactor(bestEffort, serving int) *float64 {
	return growMatrix(&in.unconfirmed, bestEffort, serving, 1)
}

// confirmedPressure returns the pressure of a pair without the raises that are not confirmed.
func (in *interference) confirmedPressure(bestEffort, serving int) float64 {
	p := *in.entry(bestEffort, serving) / *in.unconfirmedFactor(bestEffort, serving)
	return withoutRounding(max(p, minPressure), initialPressure)
}
