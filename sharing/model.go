package sharing

import (
	"math"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	// usageHalfLife is how fast old usage reports of a class lose weight.
	usageHalfLife = 10 * time.Minute
	// maxPressure caps an observation, so that one outlier does not decide.
	maxPressure = 3.0
	// cautionDeviations is how many standard deviations above its mean a cost
	// is taken to be where too low a guess would hurt a service.
	upperEstimateDeviations = 1.0
)

// Model is what a cell has learned: the cost of each job class to each
// service, from request latency, which is fresh, and the use that each class
// makes of the cores it was given, from usage reports, which lag.
type Model struct {
	services    map[fleet.Service]*regression
	utilisation map[fleet.JobClass]*decayingMean
}

// NewModel returns a model that has seen nothing.
func NewModel() *Model {
	return &Model{services: make(map[fleet.Service]*regression), utilisation: make(map[fleet.JobClass]*decayingMean)}
}

// Cost is an estimate of by how much one core of a job class raises a
// service's 99th percentile, as a multiple of its objective.
type Cost struct {
	Mean      float64 // never negative
	Deviation float64 // standard deviation
}

// UpperEstimate returns a cost that is rarely exceeded.
func (c Cost) UpperEstimate() float64 { return c.Mean + upperEstimateDeviations*c.Deviation }

// Cost returns the estimate for a pair. Of a pair never seen together it is a
// wide guess.
func (m *Model) Cost(service fleet.Service, class fleet.JobClass) Cost {
	r, ok := m.services[service]
	if !ok {
		return Cost{Mean: priorCost, Deviation: priorCostDeviation}
	}
	return r.cost(class)
}

// Observe learns from the latencies measured on a worker at a moment.
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

// cores returns the cores that the tasks of each class are thought to use.
func (m *Model) usedCores(tasks []Task) map[fleet.JobClass]float64 {
	cores := make(map[fleet.JobClass]float64, len(tasks))
	for _, t := range tasks {
		cores[t.Class] += t.Cores * t.Share * m.Utilisation(t.Class)
	}
	return cores
}

// ObserveUsage learns from a usage report of a task: the cores that it used
// of those it could.
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

// Utilisation returns the share of its cores that a class uses, 1 if unknown.
func (m *Model) Utilisation(class fleet.JobClass) float64 {
	if a, ok := m.utilisation[class]; ok {
		return a.value
	}
	return 1
}

// Pressure returns the expected pressure on the worst-off service of a worker
// if a task of a class and size were added: the measured one plus its
// cautious cost. Placement prefers low values.
func (m *Model) Pressure(w Worker, class fleet.JobClass, cores float64) float64 {
	highest := 0.0
	for _, s := range w.Services {
		addedPressure := m.Cost(s.Name, class).UpperEstimate() * cores * m.Utilisation(class)
		highest = max(highest, s.pressure()+addedPressure)
	}
	return highest
}

// average is a mean whose old observations lose weight.
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
