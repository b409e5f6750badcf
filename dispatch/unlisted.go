package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// runKey identifies a run on a worker.
type runKey struct {
	task   workload.TaskName
	number int
}

func (r *run) key() runKey { return runKey{r.task.name, r.number} }

// retire records that a run is no longer on its worker, how it has ended being unknown: a
// truncated report does not list it. It holds no capacity any more, and its task does not
// start again before its end is listed, or a complete report shows that there is none.
func (m *Machine) retire(r *run, now time.Duration) {
	m.emit("run_end_unlisted", r.task.name.Job, "task", r.task.name, "run", r.number, "worker", r.worker.ID, "age", now-r.orderedAt)
	m.vacate(r, now)
	r.percent, r.percentAt = 0, 0
	if r.worker.unlisted == nil {
		r.worker.unlisted = make(map[runKey]*run)
	}
	r.worker.unlisted[r.key()] = r
}

// releaseAbsent releases the runs that a complete report does not list and that can't be
// listed any more.
func (m *Machine) releaseAbsent(w *worker, sent, now time.Duration) {
	for _, r := range slices.Concat(w.runs, w.unlistedRuns()) {
		if r.lastReport == w.reportCount || !m.confirmedAbsent(r, sent) {
			continue
		}
		m.emit("run_absent", r.task.name.Job, "task", r.task.name, "run", r.number, "worker", w.ID, "age", now-r.orderedAt)
		if r.restarted {
			m.recordCrash(r.task, r.number, r.restartWeight, now)
		}
		m.release(r, now)
	}
}

// retireAbsent retires the runs that a truncated report shows to have ended.
func (m *Machine) retireAbsent(w *worker, sent, now time.Duration) {
	for _, r := range slices.Clone(w.runs) {
		if r.lastReport != w.reportCount && m.confirmedAbsent(r, sent) {
			m.retire(r, now)
		}
	}
}

// unlistedRuns returns the runs of the worker whose ends are not listed yet, in a fixed
// order.
func (w *worker) unlistedRuns() []*run {
	if len(w.unlisted) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Values(w.unlisted), func(a, b *run) int { return int(a.orderedAt - b.orderedAt) })
}

// restartUnlisted processes the restart of a worker for the runs whose ends it has not
// listed: they can't be listed any more, and had ended before. A start without an answer
// that was stopped may still be executed by the new incarnation.
func (m *Machine) restartUnlisted(w *worker, now time.Duration) {
	for _, r := range w.unlistedRuns() {
		if r.confirmedAt > 0 {
			m.release(r, now)
			continue
		}
		delete(w.unlisted, r.key())
		m.occupy(r)
	}
	if w.adopted && !w.caughtUp {
		delete(m.inherited, w.ID) // which of these runs had ended before is not known
	}
}

// releaseUnlisted releases the runs whose ends a worker can't list any more, as it has
// ended for good.
func (m *Machine) releaseUnlisted(w *worker, now time.Duration) {
	for _, r := range w.unlistedRuns() {
		m.release(r, now)
	}
}

// expireUnlisted releases the runs whose ends are not listed by a worker whose lease has
// expired. They have ended before, so that they are not among those it may have crashed
// under. An end that is listed later counts nevertheless.
func (m *Machine) expireUnlisted(w *worker, now time.Duration) {
	for _, r := range w.unlistedRuns() {
		if now >= m.nextIncarnationBound(r) {
			m.emit("run_lapsed", r.task.name.Job, "task", r.task.name, "run", r.number, "worker", w.ID, "silent", now-w.reportedAt)
			m.release(r, now)
		}
	}
}

// mayHoldUnknown reports whether a worker may have runs, or ends of runs, that only a
// former owner knows of: until it has listed all its ends once, or its lease has expired.
func (w *worker) mayHoldUnknown(now time.Duration) bool {
	switch {
	case w.caughtUp:
		return false
	case w.adopted:
		return now < max(w.leaseEnd, w.formerLeaseEnd)
	default:
		return now < w.formerLeaseEnd
	}
}

// catchUp compares what a former owner has placed on a worker with the reports from the
// first one up to the first that is complete.
func (m *Machine) catchUp(w *worker, rep workload.Report, first bool, now time.Duration) {
	switch {
	case w.caughtUp:
	case !rep.EndsTruncated:
		w.caughtUp = true
		m.emit("worker_caught_up", "", "worker", w.ID, "truncated", !first)
		m.adoptInherited(w, rep, now)
	case first && !w.hasRestartedSinceRecord(rep.StartedMS):
		// What it does not run has ended, so that a later crash was not under it.
		delete(m.inherited, w.ID)
	}
}
