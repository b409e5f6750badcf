package dispatch

import (
	"cmp"
	"slices"
)

// Lessons are what an owner has learned, for the next one. They answer owners
// that are killed at the worst load: a new one would find out anew, at the cost
// of the serving tasks, which filling images press on them.
type Lessons struct {
	Queues    []QueueLesson    `json:"q,omitempty"`
	Pressures []PressureLesson `json:"p,omitempty"`
}

// QueueLesson is the learned run time of a queue's tasks.
type QueueLesson struct {
	Queue string  `json:"q"`
	Ratio float64 `json:"r"` // to the submitters' estimates
	Seen  int     `json:"n"` // ends that it rests on
}

// PressureLesson is the learned pressure of a pair of images.
type PressureLesson struct {
	Filling  string  `json:"f"`
	Serving  string  `json:"s"`
	Pressure float64 `json:"p"`
}

// seenMost bounds what learned run times count to the next owner, so that it
// still follows a change.
const seenMost = 20

// Lessons returns what the machine has learned, in a steady order.
func (m *Machine) Lessons() Lessons {
	var l Lessons
	for name, q := range m.queues {
		l.Queues = append(l.Queues, QueueLesson{Queue: name, Ratio: q.ratio, Seen: q.seen})
	}
	slices.SortFunc(l.Queues, func(a, b QueueLesson) int { return cmp.Compare(a.Queue, b.Queue) })
	in := m.interference
	fillings, servings := in.filling.names(), in.serving.names()
	for f, row := range in.pressure {
		for s, p := range row {
			if p != pressureUnknown {
				l.Pressures = append(l.Pressures, PressureLesson{Filling: fillings[f], Serving: servings[s], Pressure: p})
			}
		}
	}
	return l
}

// Recall takes in what a former owner has learned. Values out of range are
// brought into it.
func (m *Machine) Recall(l Lessons) {
	for _, q := range l.Queues {
		if q.Ratio > 0 && q.Seen > 0 {
			m.queues[q.Queue] = &queueStats{ratio: min(max(q.Ratio, ratioMin), ratioMax), seen: min(q.Seen, seenMost), rateAt: m.started}
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
