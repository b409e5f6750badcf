package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// interference estimates how best-effort work (batch tasks that use the processor which
// serving tasks leave idle) raises the tail latency of serving tasks. The pressure
// of a pair of a best-effort and a serving image is the share of the tolerance of the
// serving task that the best-effort image would take if it used the processor of a whole
// worker: where the pressures on a serving task add up to 1, its tail latency
// reaches its target.
//
// In most mixes a few pairs interfere strongly and the others hardly at all, and
// which ones is not known beforehand. Pressures are estimates with a deviation, which each
// observation corrects: see observe.go.
type interference struct {
	bestEffort, serving imageNumbers
	pressure            [][]float64 // by best-effort, then serving image
	// unconfirmed holds the factors by which raises that are not confirmed have increased
	// the pressures.
	unconfirmed [][]float64
	// deviations holds the standard deviations of the pressures.
	deviations [][]float64
	driftedAt  time.Duration     // when the deviations were last widened
	triedAt    [][]time.Duration // when a run was last placed beside the serving image
}

// imageNumbers numbers images in the order of their first use. Images beyond maxImages share
// the number of the empty one.
type imageNumbers map[string]int

// maxImages bounds the matrices of pairs, which callers' names of images would let grow.
const maxImages = 128

// number returns the number of an image and assigns one if needed.
func (n imageNumbers) number(image string) int {
	i, ok := n[image]
	switch {
	case ok:
		return i
	case image != "" && len(n) >= maxImages-1:
		return n.number("")
	default:
		i = len(n)
		n[image] = i
		return i
	}
}

// imageUsage is the processor that a best-effort image uses on a worker, as a share of
// the worker.
type imageUsage struct {
	image int // number of the best-effort image
	share float64
}

const (
	// initialPressure is assumed for a pair without observations: serving tasks
	// tolerate an image that uses four tenths of a worker.
	initialPressure = 2.5
	minPressure     = 0.05
	maxPressure     = 40.0
	// A tail latency below lowTail, as a share of the target, has fallen, and one above
	// highTail is too high. Without best-effort work the median of the tail is at 0.33 to
	// 0.45, and 1 in 100 is at 0.9.
	lowTail  = 0.75
	highTail = 1.0
	// minShare is the minimum share of a worker that an image must use for its
	// pressures to be corrected.
	minShare = 0.02
)

func newInterference(now time.Duration) *interference {
	return &interference{bestEffort: make(imageNumbers), serving: make(imageNumbers), driftedAt: now}
}

// entry returns a pointer to the pressure of a pair of image numbers.
func (in *interference) entry(bestEffort, serving int) *float64 {
	return growMatrix(&in.pressure, bestEffort, serving, initialPressure)
}

// growMatrix returns a pointer to an element of a matrix, which grows as needed.
func growMatrix[T any](matrix *[][]T, row, column int, initial T) *T {
	for len(*matrix) <= row {
		*matrix = append(*matrix, nil)
	}
	for len((*matrix)[row]) <= column {
		(*matrix)[row] = append((*matrix)[row], initial)
	}
	return &(*matrix)[row][column]
}

// pressureBetween returns the pressure of a pair of images.
func (in *interference) pressureBetween(bestEffort, serving string) float64 {
	return *in.entry(in.bestEffort.number(bestEffort), in.serving.number(serving))
}

// predict returns the predicted total pressure of best-effort work on a serving image.
func (in *interference) predict(serving int, usage []imageUsage) float64 {
	total := 0.0
	for _, b := range usage {
		total += *in.entry(b.image, serving) * b.share
	}
	return total
}

// colocatedLoad holds the best-effort work and the serving tasks on a worker, by image
// number.
type colocatedLoad struct {
	bestEffort []int64 // requested millicores
	serving    []int64 // tasks
	// headrooms holds, by serving image, the factor for the pressure that its tasks bear at
	// present; 0 is unknown.
	headrooms []float64
}

// add adds n tasks of a step; n is negative to remove them.
func (l *colocatedLoad) add(in *interference, s *workload.Step, n int64) {
	grow := func(list []int64, i int) []int64 {
		for len(list) <= i {
			list = append(list, 0)
		}
		return list
	}
	switch {
	case s.BestEffort:
		i := in.bestEffort.number(s.Image)
		l.bestEffort = grow(l.bestEffort, i)
		l.bestEffort[i] += n * s.Need.MilliCores
	case s.Serving && s.TargetMS > 0:
		i := in.serving.number(s.Image)
		l.serving = grow(l.serving, i)
		l.serving[i] += n
	}
}

// pressureOn returns the predicted pressure of the present best-effort work on a serving
// image, on a worker of the given capacity in millicores.
func (l *colocatedLoad) pressureOn(in *interference, serving int, capacity int64) float64 {
	sum := 0.0
	for i, millicores := range l.bestEffort {
		if millicores > 0 {
			sum += *in.entry(i, serving) * float64(millicores)
		}
	}
	return sum / float64(max(capacity, 1))
}

// setHeadrooms sets the headrooms of the serving runs on a worker: from the tail of their step
// without best-effort work, or from their own if that is unknown.
func (m *Machine) setHeadrooms(w *worker, now time.Duration) {
	l := &w.colocated
	l.headrooms = l.headrooms[:0]
	for _, r := range w.runs {
		s := r.task.step
		if !s.Serving || s.TargetMS <= 0 || r.gauge == 0 {
			continue
		}
		headroom := (1 - float64(r.gauge)/float64(s.TargetMS)) / (1 - usualTail)
		if m.ownTail(s, now); s.own.peak > 0 {
			headroom = min(headroom, addedPressure(s.own.peak, 1), 1)
		}
		headroom = min(max(headroom, minHeadroom), maxHeadroom)
		i := m.interference.serving.number(s.Image)
		for len(l.headrooms) <= i {
			l.headrooms = append(l.headrooms, 0)
		}
		if l.headrooms[i] == 0 || headroom < l.headrooms[i] {
			l.headrooms[i] = headroom
		}
	}
}

const (
	// minHeadroom and maxHeadroom bound the factor by which the present tail latency
	// lowers or raises the pressure that a placement may lead to.
	minHeadroom = 0.3
	maxHeadroom = 1.5
)

// headroom returns the factor for the pressure that may be put on a serving image.
func (l *colocatedLoad) headroom(serving int) float64 {
	if serving >= len(l.headrooms) || l.headrooms[serving] == 0 {
		return 1
	}
	return l.headrooms[serving]
}

// tolerates reports whether every serving task would stay within a limit of the pressure, times
// its headroom, next to a further best-effort task, or may try it.
func (l *colocatedLoad) tolerates(in *interference, bestEffort int, millicores, capacity int64, limit float64, now time.Duration) bool {
	for serving, n := range l.serving {
		if n == 0 {
			continue
		}
		added := *in.entry(bestEffort, serving) * float64(millicores) / float64(max(capacity, 1))
		total := l.pressureOn(in, serving, capacity) + added
		headroom := l.headroom(serving)
		if total > limit*headroom && !(total <= triedPressure*headroom && in.mayTry(bestEffort, serving, now)) {
			return false
		}
	}
	return true
}

// strain returns the highest predicted pressure on a serving task next to a further best-effort
// task, as a multiple of what it tolerates.
func (l *colocatedLoad) strain(in *interference, bestEffort int, millicores, capacity int64) float64 {
	highest := 0.0
	for serving, n := range l.serving {
		if n == 0 {
			continue
		}
		added := *in.entry(bestEffort, serving) * float64(millicores) / float64(max(capacity, 1))
		highest = max(highest, (l.pressureOn(in, serving, capacity)+added)/(maxPlacementPressure*l.headroom(serving)))
	}
	return highest
}

// servingTasks counts the serving tasks of an image and those of all others.
func (l *colocatedLoad) servingTasks(serving int) (same, others int64) {
	for i, n := range l.serving {
		if i == serving {
			same += n
		} else {
			others += n
		}
	}
	return same, others
}

// hasServing reports whether there is any serving task.
func (l *colocatedLoad) hasServing() bool {
	return slices.ContainsFunc(l.serving, func(n int64) bool { return n > 0 })
}

// interferes reports whether a best-effort image is known to interfere with some serving
// image more than assumed at first.
func (in *interference) interferes(bestEffort int) bool {
	if bestEffort >= len(in.pressure) {
		return false
	}
	return slices.ContainsFunc(in.pressure[bestEffort], func(p float64) bool { return p > initialPressure })
}
