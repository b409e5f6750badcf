package sharing

import (
	"math"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// What is assumed before anything was observed, and how it changes.
const (
	priorCost          = 0.02 // multiple of the objective per core
	priorCostDeviation = 0.05
	priorBaseDeviation = 0.5
	priorLoadDeviation = 0.5
	// observationDeviation is the noise of a latency measured over seconds.
	observationDeviation = 0.1
	// driftTime is after how long without observations an estimate is as
	// uncertain as at first.
	driftTime = 30 * time.Minute
)

// Terms of the regression that come before the job classes.
const (
	termBase = iota
	termLoad
	firstClass
)

// regression estimates the pressure on one service as a sum: a base, a part
// that grows with the service's own load, and for each job class a cost per
// core. It is a Kalman filter over the coefficients, which are taken to walk
// at random, so old observations lose weight and uncertainty grows with time.
//
// Invariant: covariance is symmetric and has the size of mean; prior holds
// the greatest variance of each coefficient.
type regression struct {
	classIndex map[fleet.JobClass]int // position of its coefficient
	mean       []float64
	prior      []float64
	covariance [][]float64
	updated    time.Time
}

func newRegression(now time.Time) *regression {
	r := &regression{classIndex: make(map[fleet.JobClass]int), updated: now}
	r.addCoefficient(0, priorBaseDeviation)
	r.addCoefficient(0, priorLoadDeviation)
	return r
}

// add appends a coefficient.
func (r *regression) addCoefficient(mean, deviation float64) {
	r.mean = append(r.mean, mean)
	r.prior = append(r.prior, deviation*deviation)
	for i := range r.covariance {
		r.covariance[i] = append(r.covariance[i], 0)
	}
	row := make([]float64, len(r.mean))
	row[len(row)-1] = deviation * deviation
	r.covariance = append(r.covariance, row)
}

// cost returns the coefficient of a class.
func (r *regression) cost(class fleet.JobClass) Cost {
	i, ok := r.classIndex[class]
	if !ok {
		return Cost{Mean: priorCost, Deviation: priorCostDeviation}
	}
	return Cost{Mean: max(0, r.mean[i]), Deviation: math.Sqrt(max(0, r.covariance[i][i]))}
}

// observe takes one measurement.
func (r *regression) observe(now time.Time, load float64, cores map[fleet.JobClass]float64, pressure float64) {
	for class := range cores {
		if _, ok := r.classIndex[class]; !ok {
			r.classIndex[class] = len(r.mean)
			r.addCoefficient(priorCost, priorCostDeviation)
		}
	}
	r.drift(now)
	x := make([]float64, len(r.mean))
	x[termBase] = 1
	x[termLoad] = load
	for class, n := range cores {
		x[r.classIndex[class]] = n
	}
	r.update(x, pressure)
}

// drift makes the coefficients less certain by the time that has passed.
func (r *regression) drift(now time.Time) {
	share := max(0, now.Sub(r.updated).Seconds()/driftTime.Seconds())
	r.updated = now
	for i, prior := range r.prior {
		r.covariance[i][i] = min(prior, r.covariance[i][i]+share*prior)
	}
}

// update moves the coefficients towards an observation y of the sum over x.
func (r *regression) update(x []float64, y float64) {
	gain := make([]float64, len(x))
	innovation := y
	variance := observationDeviation * observationDeviation
	for i := range x {
		innovation -= r.mean[i] * x[i]
		for j := range x {
			gain[i] += r.covariance[i][j] * x[j]
		}
		variance += gain[i] * x[i]
	}
	for i := range x {
		r.mean[i] += gain[i] / variance * innovation
		for j := range x {
			r.covariance[i][j] -= gain[i] * gain[j] / variance
		}
	}
}
