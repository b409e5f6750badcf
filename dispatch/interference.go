package dispatch

import (
	"math"
	"slices"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// interference estimates how filling work presses on serving tasks. The
// pressure of a pair of a filling and a serving image is what one whole worker
// of processor, used by the filling image, takes of what the serving task
// bears: at a sum of 1 its tail reaches its target. Pressures are learned by
// multiplicative updates, so that of several images beside a long tail those
// that were calm elsewhere take little of the blame.
//
// It answers mixes in which a few pairs press hard and most hardly at all,
// and nobody knows beforehand which.
type interference struct {
	filling, serving imageNumbers
	pressure         [][]float64 // by filling, then serving image
}

// imageNumbers numbers images in the order in which they are seen.
type imageNumbers map[string]int

func (n imageNumbers) number(image string) int {
	i, ok := n[image]
	if !ok {
		i = len(n)
		n[image] = i
	}
	return i
}

// beside is the processor that a filling image uses beside a serving task, as
// a share of the worker.
type beside struct {
	image int // number of the filling image
	share float64
}

const (
	// pressureUnknown is taken of a pair that was never seen: four tenths of a
	// worker is borne.
	pressureUnknown = 2.5
	pressureLeast   = 0.2
	pressureMost    = 40.0
	// calmTail and longTail, as shares of the target, tell that the pressure
	// is below calmSum and above 1. Source: a tail with nothing beside it is
	// at 0.33 to 0.45 in the middle, and in 1 of 100 cases at 0.9.
	calmTail = 0.75
	calmSum  = 0.7
	longTail = 1.0
	// fallRate and riseRate are the powers of the corrections by one tail.
	// Source: there are several serving tasks on a worker and two lessons a
	// second of each, most of them calm.
	fallRate = 0.25
	riseRate = 0.3
	// correctionMost bounds a correction by one tail.
	correctionMost = 1.5
	// leastShare of a worker is needed to teach anything.
	leastShare = 0.02
)

func newInterference() *interference {
	return &interference{filling: make(imageNumbers), serving: make(imageNumbers)}
}

// at returns the place of a pair's pressure.
func (in *interference) at(filling, serving int) *float64 {
	for len(in.pressure) <= filling {
		in.pressure = append(in.pressure, nil)
	}
	for len(in.pressure[filling]) <= serving {
		in.pressure[filling] = append(in.pressure[filling], pressureUnknown)
	}
	return &in.pressure[filling][serving]
}

// named returns the pressure of a pair of images.
func (in *interference) named(filling, serving string) float64 {
	return *in.at(in.filling.number(filling), in.serving.number(serving))
}

// sum predicts the pressure of some work on a serving image.
func (in *interference) sum(serving int, work []beside) float64 {
	total := 0.0
	for _, b := range work {
		total += *in.at(b.image, serving) * b.share
	}
	return total
}

// observe learns from a serving task's tail, as a share of its target, and
// what has worked beside it.
func (in *interference) observe(serving int, tail float64, work []beside) {
	sum := in.sum(serving, work)
	var factor float64
	switch {
	case tail < calmTail && sum > calmSum:
		factor = math.Pow(calmSum/sum, fallRate)
	case tail > longTail && sum < 1 && sum > 0:
		factor = math.Pow(min(tail, 2)/sum, riseRate)
	default:
		return
	}
	factor = min(max(factor, 1/correctionMost), correctionMost)
	for _, b := range work {
		if b.share < leastShare {
			continue
		}
		p := in.at(b.image, serving)
		*p = min(max(*p*factor, pressureLeast), pressureMost)
	}
}

// sharedRoom counts the filling work and the serving tasks on a worker, by
// number of image.
type sharedRoom struct {
	filling []int64 // millicores asked for
	serving []int64 // tasks
}

// add adds or takes off n tasks of a step.
func (r *sharedRoom) add(in *interference, s *workload.Step, n int64) {
	grow := func(list []int64, i int) []int64 {
		for len(list) <= i {
			list = append(list, 0)
		}
		return list
	}
	switch {
	case s.BestEffort:
		i := in.filling.number(s.Image)
		r.filling = grow(r.filling, i)
		r.filling[i] += n * s.Need.MilliCores
	case s.Serving && s.TargetMS > 0:
		i := in.serving.number(s.Image)
		r.serving = grow(r.serving, i)
		r.serving[i] += n
	}
}

// pressureOf predicts the pressure on a serving image on a worker of some
// capacity, as it is.
func (r *sharedRoom) pressureOf(in *interference, serving int, capacity int64) float64 {
	sum := 0.0
	for i, millicores := range r.filling {
		if millicores > 0 {
			sum += *in.at(i, serving) * float64(millicores)
		}
	}
	return sum / float64(max(capacity, 1))
}

// bears reports whether every serving task would bear a further filling task.
func (r *sharedRoom) bears(in *interference, filling int, millicores, capacity int64) bool {
	for serving, n := range r.serving {
		if n == 0 {
			continue
		}
		added := *in.at(filling, serving) * float64(millicores) / float64(max(capacity, 1))
		if added > pressureBorne || r.pressureOf(in, serving, capacity)+added > pressureBorne {
			return false
		}
	}
	return true
}

// served counts the serving tasks of an image and of all others.
func (r *sharedRoom) served(serving int) (same, others int64) {
	for i, n := range r.serving {
		if i == serving {
			same += n
		} else {
			others += n
		}
	}
	return same, others
}

// servesAny reports whether there is any serving task.
func (r *sharedRoom) servesAny() bool {
	return slices.ContainsFunc(r.serving, func(n int64) bool { return n > 0 })
}

// presses reports whether a filling image is known to press on some serving
// image.
func (in *interference) presses(filling int) bool {
	if filling >= len(in.pressure) {
		return false
	}
	return slices.ContainsFunc(in.pressure[filling], func(p float64) bool { return p > pressureUnknown })
}
