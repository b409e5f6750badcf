package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// probation is the age from which a run that its worker still reports has not
	// crashed it by being started.
	probation = 400 * time.Millisecond
	// The weights of a worker's crash as evidence against a task that ran there:
	// earlyCrash if it was within probation of the start, unclearCrash if it may have
	// been, and possibleCrash for any other, which hits most tasks by chance. An
	// unseenCrash is one under a start that nobody has confirmed, which may not have been
	// executed.
	unrelatedCrash = 0
	unseenCrash    = 1
	possibleCrash  = 2
	unclearCrash   = 3
	earlyCrash     = 4
	// suspectWeight is the weight of crashes from which a task is a suspect, and
	// suspectCrashes their number.
	suspectWeight  = 3
	suspectCrashes = 2
	// deadlyWeight is the weight of crashes at which a task is given up, two early ones,
	// and deadlyCrashes their number, whatever they weigh. The platform allows five
	// starts.
	deadlyWeight  = 8
	deadlyCrashes = 4
	// maxFailureDelay is how long after the crash of a worker a call to it fails at the
	// latest: a renewal that hangs times out after 1.3 s.
	maxFailureDelay = 1500 * time.Millisecond
	// outageWindow, minOutage and outageShare define an outage: so many other workers,
	// and such a share of all, went down within so short a time of one that the cause
	// is outside the runs on it.
	outageWindow = time.Second
	minOutage    = 3
	outageShare  = 1.0 / 8
	// suspectPatience is how long a suspect waits for a worker on which each run has
	// survived its start.
	suspectPatience = time.Second
	// crashMemory is how long a lapsed run is kept to see whether its worker crashed:
	// workers are back within some seconds of a crash.
	crashMemory = 15 * time.Second
)

// crashWeight returns the weight of the crashes of workers that ran a task.
func (t *task) crashWeight() int {
	weight := 0
	for _, c := range t.crashes {
		weight += c.Weight
	}
	return weight
}

// isSuspect reports whether a task may crash the next worker that starts it. Its runs
// are on probation: nothing else is started on the worker meanwhile, so that a further
// crash shows which task is at fault and takes few others along.
func (t *task) isSuspect() bool {
	return len(t.crashes) >= suspectCrashes || t.crashWeight() >= suspectWeight
}

// isDeadly reports whether a task must not be started again.
func (t *task) isDeadly() bool {
	return len(t.crashes) >= deadlyCrashes || t.crashWeight() >= deadlyWeight
}

// hasUnstoredCrash reports whether the last crash under a suspect is not stored yet. The
// task is not started before it is, or the next owner would not count it.
func (t *task) hasUnstoredCrash() bool { return t.isSuspect() && t.crashVersion > t.job.saved }

// CallFailed records that a call to a worker has failed.
func (m *Machine) CallFailed(id fleet.WorkerID, now time.Duration) {
	if w, ok := m.workers[id]; ok && w.failedAt == 0 {
		w.failedAt, w.wentDownAt = now, now
	}
}

// recordLapsedCrashes records the crash of a worker under its runs whose lease has
// expired meanwhile.
func (m *Machine) recordLapsedCrashes(w *worker, now time.Duration) {
	for _, r := range w.lapsed {
		m.recordCrash(r.task, r.number, m.weighCrash(r), now)
	}
	w.lapsed = nil
}

// recordInheritedCrashes records the crash of a worker under the runs that a former
// owner has placed there, and lets their tasks start again.
func (m *Machine) recordInheritedCrashes(w *worker, now time.Duration) {
	for _, t := range m.inherited[w.ID] {
		if t.formerWorker == w.ID && len(t.runs) == 0 {
			weight := unseenCrash
			if t.formerConfirmed {
				weight = possibleCrash
			}
			m.forgetFormerRun(t, now)
			m.recordCrash(t, t.lastRun, weight, now)
		}
	}
	delete(m.inherited, w.ID)
}

// forgetInherited records that no run exists on a worker any more that a former owner has
// placed there and that is not known to this one.
func (m *Machine) forgetInherited(w *worker, now time.Duration) {
	for _, t := range m.inherited[w.ID] {
		if t.formerWorker == w.ID {
			m.forgetFormerRun(t, now)
		}
	}
	delete(m.inherited, w.ID)
}

// hasRestartedSinceRecord reports whether an incarnation started after the one that the
// worker's record names.
func (w *worker) hasRestartedSinceRecord(startedMS int64) bool {
	return w.record.startedMS != 0 && startedMS > w.record.startedMS
}

// adoptInherited compares the first complete report of a worker with what a former owner has
// placed there. If the worker has restarted since its record was written, it has crashed
// under the runs that neither run nor have ended; the reports up to this one have listed
// these ends.
func (m *Machine) adoptInherited(w *worker, rep workload.Report, now time.Duration) {
	if !w.hasRestartedSinceRecord(rep.StartedMS) {
		m.forgetInherited(w, now)
		return
	}
	m.recordInheritedCrashes(w, now)
}

// mayHaveCrashed reports whether a worker without runs is worth calling on, to see
// whether it crashed under a run whose lease has expired.
func (w *worker) mayHaveCrashed(now time.Duration) bool {
	return !w.replaced && slices.ContainsFunc(w.lapsed, func(r *run) bool { return now-r.orderedAt < crashMemory })
}

// recordCrash records that the worker of a run has crashed under it, and gives its task
// up if it has crashed too many.
func (m *Machine) recordCrash(t *task, number, weight int, now time.Duration) {
	known := slices.ContainsFunc(t.crashes, func(c workload.Crash) bool { return c.Run == number })
	if known || weight == unrelatedCrash || t.done || t.job.state.Final() {
		return
	}
	t.crashes = append(t.crashes, workload.Crash{Run: number, Weight: weight})
	t.job.markUrgent()
	t.crashVersion = t.job.version
	keyvals := []any{"task", t.name, "run", number, "weight", weight, "crashes", len(t.crashes), "of_weight", t.crashWeight()}
	m.emit("worker_crashed_under", t.job.ID, keyvals...)
	if t.isDeadly() {
		m.emit("job_given_up", t.job.ID, keyvals...)
		m.endJob(t.job, workload.StateFailed, now)
	}
}

// weighCrash returns the weight of the crash of its worker as evidence against the task
// of a run.
func (m *Machine) weighCrash(r *run) int {
	w := r.worker
	switch {
	case w.Draining:
		return unrelatedCrash // it has left as announced
	case r.confirmedAt == 0 && w.failedAt > 0 && (w.failedAt < r.orderedAt || w.failedAt-r.orderedAt >= maxFailureDelay):
		return unrelatedCrash // it was down before the start, or up for long after it
	case r.confirmedAt == 0:
		return unseenCrash
	case r.survivedStart && (r.task.step.Serving || m.isOutage(w)):
		return unrelatedCrash // services last for so long that most crashes are not theirs
	case r.survivedStart:
		return possibleCrash
	case w.failedAt > 0 && w.failedAt-r.orderedAt < probation:
		return earlyCrash
	case m.isOutage(w):
		return possibleCrash
	default:
		return unclearCrash // calls that hang fail late, so that the time of the crash is not known
	}
}

// isOutage reports whether a worker went down together with many others.
func (m *Machine) isOutage(w *worker) bool {
	others := 0
	for _, o := range m.workerList {
		if o != w && o.wentDownAt > 0 && (o.wentDownAt-w.wentDownAt).Abs() <= outageWindow {
			others++
		}
	}
	return w.wentDownAt > 0 && others >= minOutage && float64(others) >= outageShare*float64(len(m.workerList))
}

// confirm records that a run is known to have been executed. The next owner needs that
// of a suspect, and of a serving task, which may not change for long; of others it is stored
// with the next change.
func (r *run) confirm(now time.Duration) {
	if r.confirmedAt > 0 {
		return
	}
	r.confirmedAt = now
	r.task.settle(r.worker.ID, r.number)
	if r.task.isSuspect() || r.task.step.Serving {
		r.task.job.markDirty(now)
	}
}

// observeSurvival ends the probation of a run that its worker reports.
func (r *run) observeSurvival(now time.Duration) {
	if !r.survivedStart && now-r.orderedAt >= probation {
		r.survivedStart = true
		r.endProbation()
	}
}

func (r *run) endProbation() {
	if r.onProbation {
		r.onProbation = false
		r.worker.probations--
	}
}

// hasFreshRun reports whether a run on the worker has not survived its start yet.
func (w *worker) hasFreshRun() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return !r.survivedStart })
}

// reviewProbations asks for a report of each worker with a run whose probation is over,
// as other work waits for that.
func (m *Machine) reviewProbations(now time.Duration) {
	for _, w := range m.workerList {
		if w.probations == 0 || now-w.probationReviewedAt < probation {
			continue
		}
		if slices.ContainsFunc(w.runs, func(r *run) bool { return r.onProbation && now-r.orderedAt >= probation }) {
			w.probationReviewedAt = now
			m.orders = append(m.orders, Order{Kind: OrderReport, Worker: w.ID})
		}
	}
}
