package sharing

import (
	"math"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	// usageHalfLife is the time in which the weight of a usage report halves.
	usageHalfLife = 10 * time.Minute
	// maxPressure caps an observation, so that one outlier does not dominate
	// the estimates.
	maxPressure = 3.0
	// upperEstimateDeviations is the number of standard deviations added to a
	// mean cost where underestimating it would harm a service.
	upperEstimateDeviations = 1.0
)

// Model holds the estimates of a cell: the cost of each job class to each
// service, from request latencies, which are recent, and the utilisation of
// allocated cores by each class, from usage reports, which lag behind.
type Model struct {
	services    map[fleet.Service]*regression
	utilisation map[fleet.JobClass]*decayingMean
}

// NewModel returns a model without observations.
func NewModel() *Model {
	return &Model{services: make(map[fleet.Service]*regression), utilisation: make(map[fleet.JobClass]*decayingMean)}
}

// Cost estimates how much one core used by a job class raises the 99th
// percentile latency of a service, as a multiple of the service's objective.
type Cost struct {
	Mean      float64 // never negative
	Deviation float64 // standard deviation
}

// UpperEstimate returns a cost that the true one rarely exceeds.
func (c Cost) UpperEstimate() float64 { return c.Mean + upperEstimateDeviations*c.Deviation }

// Cost returns the estimate for a service and a job class. If they have not
// been observed together, it is a prior with a wide deviation.
func (m *Model) Cost(service fleet.Service, class fleet.JobClass) Cost {
	r, ok := m.services[service]
	if !ok {
		return Cost{Mean: priorCost, Deviation: priorCostDeviation}
	}
	return r.cost(class)
}

// Observe updates the cost estimates with the latencies measured on a worker.
func (m *Model) Observe(now time.Time, w Worker) {
	cores := m.usedCores(w.Tasks)
	for _, s := range w.Services {
		if s.P99 <= 0 || s.Objective <= 0 {
			continue
		}
		r, ok := m.services[s.Name]
		if !ok {
			r = newRegression(now)
			m.services[s.Name] = r
		}
		r.observe(now, s.Load, cores, min(s.pressure(), maxPressure))
	}
}

// usedCores returns the estimated number of cores that the tasks of each class
// use.
func (m *Model) usedCores(tasks []Task) map[fleet.JobClass]float64 {
	cores := make(map[fleet.JobClass]float64, len(tasks))
	for _, t := range tasks {
		cores[t.Class] += t.Cores * t.Share * m.Utilisation(t.Class)
	}
	return cores
}

// ObserveUsage updates the utilisation of a class with a usage report of a
// task: the number of cores that it was given and that it used.
func (m *Model) ObserveUsage(now time.Time, class fleet.JobClass, given, used float64) {
	if given <= 0 {
		return
	}
	a, ok := m.utilisation[class]
	if !ok {
		a = &decayingMean{updated: now}
		m.utilisation[class] = a
	}
	a.observe(now, used/given)
}

// Utilisation returns the estimated share of its cores that a class uses, or 1
// if it is unknown.
func (m *Model) Utilisation(class fleet.JobClass) float64 {
	if a, ok := m.utilisation[class]; ok {
		return a.value
	}
	return 1
}

// Pressure returns the expected pressure on the most affected service of a
// worker if a task with the given class and cores were added: the measured
// pressure plus the upper estimate of the cost. Placement prefers low values.
func (m *Model) Pressure(w Worker, class fleet.JobClass, cores float64) float64 {
	highest := 0.0
	for _, s := range w.Services {
		addedPressure := m.Cost(s.Name, class).UpperEstimate() * cores * m.Utilisation(class)
		highest = max(highest, s.pressure()+addedPressure)
	}
	return highest
}

// decayingMean is a mean in which the weight of old observations decays.
type decayingMean struct {
	value   float64
	weight  float64
	updated time.Time
}

func (a *decayingMean) observe(now time.Time, value float64) {
	a.weight *= math.Exp2(-now.Sub(a.updated).Seconds() / usageHalfLife.Seconds())
	a.weight++
	a.value += (value - a.value) / a.weight
	a.updated = now
}
