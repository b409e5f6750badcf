package dispatch

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	// firstAvoidance is how long a task stays off the worker of a run that went wrong. Each
	// further such run there doubles it, up to maxAvoidance, so that the attempts of a task
	// that has no other worker outlast a fault of 6 s.
	firstAvoidance = time.Second
	maxAvoidance   = 4 * time.Second
	// avoidancePenalty outweighs all other preferences for a worker.
	avoidancePenalty = 16 * localityBonus
)

// avoidance keeps a task off the worker of its last run that failed, stalled, was slow, was
// evicted or was refused.
//
// Invariant: the worker is excluded until a fixed time only. After that it ranks behind all
// others, because it may be the only one on which the task fits.
type avoidance struct {
	worker fleet.WorkerID
	until  time.Duration
	count  int // successive runs that went wrong there
}

// add records that a run on a worker went wrong.
func (a *avoidance) add(id fleet.WorkerID, now time.Duration) {
	if a.worker != id || now >= a.until+maxAvoidance {
		a.count = 0
	}
	a.worker = id
	a.until = now + min(firstAvoidance<<a.count, maxAvoidance)
	a.count++
}

// excludes reports whether the task must not start on a worker at now.
func (a *avoidance) excludes(id fleet.WorkerID, now time.Duration) bool {
	return a.worker == id && now < a.until
}

// isActive reports whether any worker is excluded at now.
func (a *avoidance) isActive(now time.Duration) bool { return now < a.until }

// avoid keeps a task off a worker on which a run of it went wrong.
func (m *Machine) avoid(t *task, w *worker, now time.Duration) {
	t.avoidance.add(w.ID, now)
	m.emit("worker_avoided", t.job.ID, "task", t.name, "worker", w.ID, "for", t.avoidance.until-now, "times", t.avoidance.count)
}
