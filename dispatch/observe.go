package dispatch

import (
	"math"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Most pairs of images do not interfere at all, and which ones do is not known beforehand. The
// load that this answers is many short runs of an image on many workers, none of them beside a
// high tail, while the image waits because its pressures are only assumed. Each observation of
// a tail corrects the pressures by as much as it can tell, with a Kalman filter for each serving
// image whose state is the pressures, taken as independent.

const (
	// assumedDeviation is the standard deviation of a pressure without observations.
	assumedDeviation = 2.5
	// driftPerSecond is the variance that a pressure gains in a second without observations,
	// since images change, and driftInterval the time between two additions.
	driftPerSecond = 0.09
	driftInterval  = 200 * time.Millisecond
	// knownNoise and unknownNoise are the variances of the pressure that a tail shows, where
	// the tail without best-effort work is known and where it is not. The load of a
	// serving task changes within seconds, so that four observations tell as much as one.
	knownNoise   = 4 * 0.15 * 0.15
	unknownNoise = 4 * 0.3 * 0.3
)

// tailObservation is a tail latency of a serving task next to best-effort work.
type tailObservation struct {
	serving int     // image number
	tail    float64 // as a share of the target
	own     float64 // tail without best-effort work, as a share of the target; 0 is unknown
}

// deviation returns a pointer to the standard deviation of the pressure of a pair.
func (in *interference) deviation(bestEffort, serving int) *float64 {
	return growMatrix(&in.deviations, bestEffort, serving, assumedDeviation)
}

// A pair that has not been observed is tried on one worker before others get runs that would
// exceed the limit for known pairs.
const (
	// untriedDeviation is the standard deviation from which a pressure is only assumed.
	untriedDeviation = 0.8 * assumedDeviation
	// triedPressure is the highest pressure that a try may lead to.
	triedPressure = 0.8
	// tryInterval is the time between two tries of a pair, in which the first shows in a tail.
	tryInterval = time.Second
)

// mayTry reports whether a run may be placed beside a serving image to learn the pressure.
func (in *interference) mayTry(bestEffort, serving int, now time.Duration) bool {
	triedAt := *growMatrix(&in.triedAt, bestEffort, serving, 0)
	return *in.deviation(bestEffort, serving) >= untriedDeviation && (triedAt == 0 || now-triedAt >= tryInterval)
}

// recordTry notes that a run is placed beside the serving images on a worker.
func (in *interference) recordTry(s *workload.Step, l *colocatedLoad, now time.Duration) {
	if !s.BestEffort {
		return
	}
	image := in.bestEffort.number(s.Image)
	for serving, n := range l.serving {
		if n > 0 {
			*growMatrix(&in.triedAt, image, serving, 0) = now
		}
	}
}

// observe corrects the pressures on a serving image by an observation next to the given
// best-effort work, and returns the raises, which are on trial after a tail that is too high.
// What is known well is corrected little.
func (in *interference) observe(o tailObservation, usage []imageUsage) (raises []pressureRaise) {
	own, variance := o.own, knownNoise
	if own == 0 {
		own, variance = usualTail, unknownNoise
	}
	for _, b := range usage {
		variance += math.Pow(*in.deviation(b.image, o.serving)*b.share, 2)
	}
	surplus := addedPressure(own, o.tail) - in.predict(o.serving, usage)
	for _, b := range usage {
		if b.share < minShare {
			continue
		}
		p, deviation := in.entry(b.image, o.serving), in.deviation(b.image, o.serving)
		known := *deviation
		gain := *deviation * *deviation * b.share / variance
		*deviation *= math.Sqrt(1 - gain*b.share)
		before, unconfirmed := *p, in.unconfirmedFactor(b.image, o.serving)
		*p = min(max(before+gain*surplus, minPressure), maxPressure)
		if *p < before || o.tail > highTail {
			*unconfirmed = max(*unconfirmed**p/before, 1)
		}
		if *p > before {
			raises = append(raises, pressureRaise{b.image, o.serving, *p / before, known})
		}
	}
	return raises
}

// drift widens the deviations for the time since it was last called.
func (in *interference) drift(now time.Duration) {
	elapsed := now - in.driftedAt
	if elapsed < driftInterval {
		return
	}
	in.driftedAt = now
	for _, row := range in.deviations {
		for s := range row {
			row[s] = min(math.Sqrt(row[s]*row[s]+driftPerSecond*elapsed.Seconds()), assumedDeviation)
		}
	}
}

// leastUsage returns the lowest usage by image that the tail latencies may still show, given
// the present one: a run that has just started has not shown what it does yet.
func (w *worker) leastUsage(present []imageUsage, now time.Duration) []imageUsage {
	var least []imageUsage
	for _, u := range present {
		since, share := now, u.share
		for _, past := range w.usages {
			if past.image == u.image {
				since, share = min(since, past.at), min(share, past.share)
			}
		}
		if now-since >= gaugeWindow {
			least = append(least, imageUsage{u.image, share})
		}
	}
	return least
}
