package dispatch

import (
	"slices"
	"time"
)

// drainGrace is how long the serving tasks of a draining worker are moved within the
// bound on missing tasks, before all the rest are moved at once. Workers are removed
// 5 s after they begin to drain, and a task takes about 1 s to serve elsewhere.
const drainGrace = 2 * time.Second

// evacuateDraining moves serving tasks off draining workers, if another worker has
// capacity for them. A serving task that is still there when the worker is removed
// would be missing until the lease has certainly ended. Batch tasks are left, as
// most end in time.
func (m *Machine) evacuateDraining(p *placer, now time.Duration) {
	for _, w := range m.workerList {
		if !w.Draining || !w.adopted {
			continue
		}
		for _, r := range slices.Clone(w.runs) {
			if !r.task.step.Serving || r.state != runRunning || !m.mayEvacuate(r) && now-w.drainingChangedAt < drainGrace {
				continue
			}
			if p.place(r.task, m.serviceOf(r.task.job), nil) == nil {
				continue
			}
			m.emit("run_emptied", r.task.job.ID, "task", r.task.name, "run", r.number, "worker", w.ID, "draining", now-w.drainingChangedAt)
			m.requestStop(r, "worker is draining")
		}
	}
}
