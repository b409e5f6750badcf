package dispatch

import (
	"cmp"
	"slices"
)

// Estimates are what an owner has learned, for the next one. They answer owners
// that are killed at the worst load: a new one would find out anew, at the cost
// of the serving tasks, which filling images press on them.
type Estimates struct {
	RunTimes  []RunTimeEstimate  `json:"q,omitempty"`
	Pressures []PressureEstimate `json:"p,omitempty"`
}

// RunTimeEstimate is the learned run time of a queue's tasks.
type RunTimeEstimate struct {
	Queue   string  `json:"q"`
	Ratio   float64 `json:"r"` // to the submitters' estimates
	Samples int     `json:"n"` // ends that it rests on
}

// PressureEstimate is the learned pressure of a pair of images.
type PressureEstimate struct {
	Filling  string  `json:"f"`
	Serving  string  `json:"s"`
	Pressure float64 `json:"p"`
}

// seenMost bounds what learned run times count to the next owner, so that it
// still follows a change.
const seenMost = 20

// Estimates returns what the machine has learned, in a steady order.
func (m *Machine) Estimates() Estimates {
	var l Estimates
	for name, q := range m.queues {
		l.RunTimes = append(l.RunTimes, RunTimeEstimate{Queue: name, Ratio: q.ratio, Samples: q.seen})
	}
	slices.SortFunc(l.RunTimes, func(a, b RunTimeEstimate) int { return cmp.Compare(a.Queue, b.Queue) })
	in := m.interference
	fillings, servings := in.filling.names(), in.serving.names()
	for f, row := range in.pressure {
		for s, p := range row {
			if p != pressureUnknown {
				l.Pressures = append(l.Pressures, PressureEstimate{Filling: fillings[f], Serving: servings[s], Pressure: p})
			}
		}
	}
	return l
}

// RestoreEstimates takes in what a former owner has learned. Values out of range are
// brought into it.
func (m *Machine) RestoreEstimates(l Estimates) {
	for _, q := range l.RunTimes {
		if q.Ratio > 0 && q.Samples > 0 {
			m.queues[q.Queue] = &queueStats{ratio: min(max(q.Ratio, ratioMin), ratioMax), seen: min(q.Samples, seenMost), rateAt: m.started}
		}
	}
	in := m.interference
	for _, p := range l.Pressures {
		if p.Pressure > 0 {
			*in.at(in.filling.number(p.Filling), in.serving.number(p.Serving)) = min(max(p.Pressure, pressureLeast), pressureMost)
		}
	}
}

// names returns the images by number.
func (n imageNumbers) names() []string {
	names := make([]string, len(n))
	for image, i := range n {
		names[i] = image
	}
	return names
}
