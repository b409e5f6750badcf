package sharing

import (
	"math"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Prior estimates and noise of the regression. Costs are multiples of the
// service's objective.
const (
	priorCost          = 0.02 // per core
	priorCostDeviation = 0.05
	priorBaseDeviation = 0.5
	priorLoadDeviation = 0.5
	// observationDeviation is the standard deviation of a pressure measured
	// over a few seconds.
	observationDeviation = 0.1
	// driftTime is the time without observations after which an estimate is as
	// uncertain as its prior.
	driftTime = 30 * time.Minute
)

// Indices of the coefficients. Those of the job classes start at firstClass.
const (
	termBase = iota
	termLoad
	firstClass
)

// regression estimates the pressure on one service as a linear function: a
// constant, a part proportional to the service's own load, and for each job
// class a cost per core. It is a Kalman filter over the coefficients, which are
// assumed to follow a random walk, so old observations lose weight and
// uncertainty grows with time.
//
// Invariants: covariance is symmetric and has one row per element of mean;
// prior holds the maximum variance of each coefficient.
type regression struct {
	classIndex map[fleet.JobClass]int // index of its coefficient
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

// addCoefficient appends a coefficient with its prior mean and standard
// deviation.
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

// cost returns the estimated cost of a class, or the prior if the class has not
// been observed.
func (r *regression) cost(class fleet.JobClass) Cost {
	i, ok := r.classIndex[class]
	if !ok {
		return Cost{Mean: priorCost, Deviation: priorCostDeviation}
	}
	return Cost{Mean: max(0, r.mean[i]), Deviation: math.Sqrt(max(0, r.covariance[i][i]))}
}

// observe updates the coefficients with one measurement.
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

// drift increases the variance of the coefficients for the time since the last
// update, up to that of the prior.
func (r *regression) drift(now time.Time) {
	share := max(0, now.Sub(r.updated).Seconds()/driftTime.Seconds())
	r.updated = now
	for i, prior := range r.prior {
		r.covariance[i][i] = min(prior, r.covariance[i][i]+share*prior)
	}
}

// update applies an observation y of the inner product of the coefficients and
// x.
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
