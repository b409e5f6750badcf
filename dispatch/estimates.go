package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Estimates are what an owner has learned about run times and interference, for the
// next owner. If an owner is killed at peak load, a new one without them would have to
// learn again which best-effort images interfere with serving tasks, at the cost of those
// tasks.
type Estimates struct {
	RunTimes  []RunTimeEstimate  `json:"q,omitempty"`
	Pressures []PressureEstimate `json:"p,omitempty"`
	Demand    DemandEstimate     `json:"d"`
}

// DemandEstimate is the demand of batch work, in whole core-seconds per second, and the
// rate at which services end, in whole cores per second.
type DemandEstimate struct {
	Ordinary   int64 `json:"o,omitempty"`
	BestEffort int64 `json:"b,omitempty"`
	Released   int64 `json:"e,omitempty"`
}

// RunTimeEstimate is the learned run time of a queue's tasks.
type RunTimeEstimate struct {
	Queue   string  `json:"q"`
	Ratio   float64 `json:"r"` // run time relative to the submitters' estimates
	Samples int     `json:"n"` // number of runs that it is based on
}

// PressureEstimate is the learned pressure of a pair of images.
type PressureEstimate struct {
	BestEffort string  `json:"f"`
	Serving    string  `json:"s"`
	Pressure   float64 `json:"p"`
}

// maxRestoredSamples bounds the number of samples of a restored run time, so that the
// new owner still follows a change.
const maxRestoredSamples = 20

// restoredDeviation is the standard deviation of a restored pressure.
const restoredDeviation = 1.0

// Estimates returns the learned estimates at now, in a stable order.
func (m *Machine) Estimates(now time.Duration) Estimates {
	e := Estimates{Demand: m.demand.estimate(now)}
	for name, q := range m.queues {
		e.RunTimes = append(e.RunTimes, RunTimeEstimate{Queue: name, Ratio: q.ratio, Samples: q.samples})
	}
	slices.SortFunc(e.RunTimes, func(a, b RunTimeEstimate) int { return cmp.Compare(a.Queue, b.Queue) })
	in := m.interference
	bestEffortImages, servingImages := in.bestEffort.names(), in.serving.names()
	for f, row := range in.pressure {
		for s := range row {
			if p := in.confirmedPressure(f, s); p != initialPressure {
				e.Pressures = append(e.Pressures, PressureEstimate{BestEffort: bestEffortImages[f], Serving: servingImages[s], Pressure: p})
			}
		}
	}
	return e
}

// RestoreEstimates applies the estimates of a former owner. Values out of range are
// clamped, and those that are not positive are ignored.
func (m *Machine) RestoreEstimates(e Estimates) {
	m.demand.restore(e.Demand, m.startedAt)
	for _, q := range e.RunTimes {
		if q.Ratio > 0 && q.Samples > 0 {
			m.queues[q.Queue] = &queueStats{ratio: min(max(q.Ratio, ratioMin), ratioMax), samples: min(q.Samples, maxRestoredSamples), throughputAt: m.startedAt}
		}
	}
	in := m.interference
	for _, p := range e.Pressures {
		if p.Pressure > 0 {
			bestEffort, serving := in.bestEffort.number(p.BestEffort), in.serving.number(p.Serving)
			*in.entry(bestEffort, serving) = min(max(p.Pressure, minPressure), maxPressure)
			*in.deviation(bestEffort, serving) = restoredDeviation
		}
	}
}

// names returns the images in the order of their numbers.
func (n imageNumbers) names() []string {
	names := make([]string, len(n))
	for image, i := range n {
		names[i] = image
	}
	return names
}
