package dispatch

import (
	"slices"
	"time"
)

// drainPatience is how long a draining worker's serving tasks leave one by one,
// before they leave all at once. Source: workers go 5 s after they begin to
// drain; a task needs about a second to be at work elsewhere.
const drainGrace = 2 * time.Second

// leaveDraining moves serving tasks off workers that drain, if another worker
// has room for them. It answers workers that are emptied and taken away: what
// still serves there then would be away until its lease has surely ended.
// Batch tasks mostly end before.
func (m *Machine) evacuateDraining(room *placer, now time.Duration) {
	for _, w := range m.workerList {
		if !w.Draining || !w.adopted {
			continue
		}
		for _, r := range slices.Clone(w.runs) {
			if !r.task.step.Serving || r.state != runRunning || !m.mayEvacuate(r) && now-w.drainingChangedAt < drainGrace {
				continue
			}
			if room.place(r.task, m.serviceOf(r.task.job), nil) == nil {
				continue
			}
			m.emit("run_emptied", r.task.job.ID, "task", r.task.name, "run", r.number, "worker", w.ID, "draining", now-w.drainingChangedAt)
			m.requestStop(r, "worker drains")
		}
	}
}
