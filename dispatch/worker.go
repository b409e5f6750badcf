package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// worker is this owner's view of a worker.
type worker struct {
	workload.Worker
	listed     bool          // has an entry on the platform
	unlistedAt time.Duration // when its entry was removed; 0: this owner has not seen that
	record     recordState
	adopted    bool // has reported to this owner
	caughtUp   bool // has sent a complete report to this owner
	leased     bool // has been sent a lease by this owner
	// formerLeaseEnd is when the leases that former owners have extended have ended.
	formerLeaseEnd time.Duration
	// formerOrdersEnd is until when starts of former owners may be executed whose runs the
	// worker has not listed.
	formerOrdersEnd time.Duration
	// formerUnansweredEnd is until when starts of former owners may be executed of which its record
	// says that they got no answer.
	formerUnansweredEnd time.Duration
	unanswered          []*unansweredStart
	evacuating          bool // its machine is due for maintenance, so its runs are moved away
	// unknownRuns counts the reported runs of jobs that are unknown because they
	// have ended. Their size is not known, and they are being stopped.
	unknownRuns        int
	incarnationStartMS int64           // Unix time at which the newest known incarnation started; 0: unknown
	runs               []*run          // in the order of their start
	unlisted           map[runKey]*run // ended, as a truncated report shows, which does not list their ends
	used               fleet.Resources // by the runs that count against its capacity
	serving            int64           // millicores of serving runs
	bestEffort         int64           // millicores requested by best-effort runs
	// leaseEnd is when all runs on the worker have certainly ended, unless a later
	// renewal reaches it.
	leaseEnd        time.Duration
	foundAt         time.Duration
	acceptedAt      time.Duration // when a start was last accepted
	reportedAt      time.Duration // when the last report was received
	processedEnd    int64         // number of the last end of a run that was processed
	reportCount     int64         // number of reports processed
	acknowledgedEnd int64         // number of the last end that is stored, up to which the worker may forget ends
	unacknowledged  []unacknowledgedEnd
	// closedUntil is when it may get new work again, after a refusal or failures.
	closedUntil time.Duration
	// refusalClosureEnd and noAnswerClosureEnd are until when a refused and an unanswered start close it.
	refusalClosureEnd  time.Duration
	noAnswerClosureEnd time.Duration
	replaced           bool          // another worker answers at its address
	answeredSentAt     time.Duration // when the newest of the answered renewals was sent
	failedAt           time.Duration // when a call first failed since the last report; 0: none
	wentDownAt         time.Duration // the last failedAt that was not 0
	lapsed             []*run        // released when their lease expired, and not known to be lost in a crash
	// probations counts the runs on probation, during which it gets no new work.
	probations          int
	probationReviewedAt time.Duration
	speed               workerSpeed
	speedAt             time.Duration
	slowSteps           []slowStep
	failureStreak       int // consecutive failures, of different jobs
	lastFailedJob       fleet.JobID
	failuresCountFrom   time.Duration // when a run was ordered at the earliest for its failure to count
	failureClosureEnd   time.Duration // until when failures close it
	slowClosureEnd      time.Duration // until when it is closed as slow
	throttleChangedAt   time.Duration // when CPU shares were last changed
	observedAt          time.Duration // when tail latencies were last observed
	highTailAt          time.Duration // when a tail latency was last too high
	loadedAt            time.Duration // when best-effort work last used processor beside serving tasks
	trials              []*trial
	usages              []pastUsage // within unloadedDelay
	// drainingChangedAt is when the worker last began or stopped draining.
	drainingChangedAt time.Duration
	colocated         colocatedLoad
	scarcest          scarcestImage
	starvedRuns       int  // runs of starved jobs
	avoidsServing     bool // gets serving tasks only if they fit nowhere else
}

// unacknowledgedEnd is the end of a run that the worker may forget once the job's
// version is stored.
type unacknowledgedEnd struct {
	number  int64
	job     *job
	version int64
	// withheldUntil is until when the worker must not forget it although it is stored; 0: it may.
	withheldUntil time.Duration
}

// SetWorker adds a worker or updates it from its entry on the platform.
func (m *Machine) SetWorker(info workload.Worker, now time.Duration) {
	w, ok := m.workers[info.ID]
	if !ok {
		w = &worker{foundAt: now, leaseEnd: now + leaseBound(m.limits.LeaseMax), formerLeaseEnd: m.formerLeasesEnd, formerOrdersEnd: m.startedAt + maxOrderDelay, avoidsServing: avoidsServing(info.ID), record: m.restoreForgotten(info.ID)}
		m.workers[info.ID] = w
		at, _ := slices.BinarySearchFunc(m.workerList, info.ID, func(w *worker, id fleet.WorkerID) int { return strings.Compare(string(w.ID), string(id)) })
		m.workerList = slices.Insert(m.workerList, at, w)
		m.emit("worker_found", "", "worker", info.ID, "data_centre", info.DataCentre, "rack", info.Rack)
	}
	if w.incarnationStartMS != 0 && info.StartedMS != 0 && info.StartedMS > w.incarnationStartMS {
		m.handleRestart(w, info.StartedMS, "entry", now)
	}
	if info.Draining != w.Draining {
		m.emit("worker_draining", "", "worker", info.ID, "draining", info.Draining)
		w.drainingChangedAt = now
	}
	w.Worker, w.listed = info, true
}

// WorkerGone processes the removal of a worker's entry.
func (m *Machine) WorkerGone(id fleet.WorkerID, now time.Duration) {
	w, ok := m.workers[id]
	if !ok {
		return
	}
	w.listed, w.unlistedAt = false, now
	m.emit("worker_gone", "", "worker", id, "runs", len(w.runs))
	m.dropIfEmpty(w, now)
}

// dropIfEmpty forgets an unlisted worker that can't have runs of this owner.
func (m *Machine) dropIfEmpty(w *worker, now time.Duration) {
	if w.listed && !w.replaced || len(w.runs) > 0 || len(w.unlisted) > 0 || now < w.leaseEnd || w.mayHaveCrashed(now) {
		return
	}
	if w.record.writing {
		return // the response to the write carries the revision
	}
	m.forgetInherited(w, now)
	m.expireUnanswered(w, now)
	if len(w.unanswered) > 0 {
		return // its record tells the next owner of these
	}
	m.forgetRecord(w)
	delete(m.workers, w.ID)
	m.workerList = slices.DeleteFunc(m.workerList, func(o *worker) bool { return o == w })
}

// handleRestart processes the restart of a worker; source is what showed it. Runs that
// a report has listed ended with the earlier incarnation. Any other start may have been
// executed by the new one, also if it was answered, and a stop that the earlier one
// answered does not bind the new one: the next report decides. The deadline of such a
// start is on the earlier one's clock, so that the new one may grant its longest lease.
func (m *Machine) handleRestart(w *worker, startMS int64, source string, now time.Duration) {
	m.emit("worker_reborn", "", "worker", w.ID, "born_ms", startMS, "seen_in", source, "report_age", now-w.reportedAt, "runs", len(w.runs))
	if w.failedAt == 0 {
		w.wentDownAt = now
	}
	w.evacuating = false
	w.forgetFailures()
	w.leaseEnd = max(w.leaseEnd, now+leaseBound(m.limits.LongestLease))
	w.incarnationStartMS, w.processedEnd, w.acknowledgedEnd, w.unacknowledged, w.leased, w.unknownRuns = startMS, 0, 0, nil, false, 0
	m.restartUnlisted(w, now)
	for _, r := range slices.Clone(w.runs) {
		m.emit("run_restarted_under", r.task.name.Job, "task", r.task.name, "run", r.number, "worker", w.ID, "age", now-r.orderedAt,
			"accepted", r.confirmedAt > 0, "reported", r.lastReport > 0, "stopping", r.state == runStopping)
		if r.lastReport > 0 {
			m.recordCrash(r.task, r.number, m.weighCrash(r), now)
			m.release(r, now)
			continue
		}
		r.stopSentAt, r.stopAnsweredAt = 0, 0
		r.restarted, r.restartWeight = true, m.weighCrash(r)
	}
	m.recordLapsedCrashes(w, now)
}

// WorkerReplaced processes the proof that a worker has ended for good: another worker
// answers at its address, and refuses what was meant for it.
func (m *Machine) WorkerReplaced(id fleet.WorkerID, now time.Duration) {
	w, ok := m.workers[id]
	if !ok || w.replaced {
		return
	}
	m.emit("worker_replaced", "", "worker", id, "runs", len(w.runs), "report_age", now-w.reportedAt)
	w.replaced, w.adopted, w.caughtUp, w.leaseEnd, w.unknownRuns = true, true, true, now, 0
	m.recordLapsedCrashes(w, now)
	for _, r := range slices.Clone(w.runs) {
		m.recordCrash(r.task, r.number, m.weighCrash(r), now)
		m.release(r, now)
	}
	m.releaseUnlisted(w, now)
	m.recordInheritedCrashes(w, now)
	m.dropIfEmpty(w, now)
}

// find returns the run of a task on the worker with the given number, or nil.
func (w *worker) find(task workload.TaskName, number int) *run {
	for _, r := range w.runs {
		if r.number == number && r.task.name == task {
			return r
		}
	}
	return nil
}

// Addresses returns the addresses of the workers whose leases are to be renewed: all
// but those that have sent a complete report, have no entry any more and have no runs.
func (m *Machine) Addresses() map[fleet.WorkerID]string {
	addresses := make(map[fleet.WorkerID]string, len(m.workers))
	for id, w := range m.workers {
		if !w.replaced && (w.listed || !w.caughtUp || len(w.runs) > 0 || len(w.unlisted) > 0 || len(w.lapsed) > 0) {
			addresses[id] = w.Address
		}
	}
	return addresses
}

// AcknowledgedEnd returns the number of the last end of a run that a worker may
// forget.
func (m *Machine) AcknowledgedEnd(id fleet.WorkerID) int64 {
	if w, ok := m.workers[id]; ok {
		return w.acknowledgedEnd
	}
	return 0
}

// Incarnation returns the start time of the newest known incarnation of a worker, in
// Unix ms; 0 if none is known.
func (m *Machine) Incarnation(id fleet.WorkerID) int64 {
	if w, ok := m.workers[id]; ok {
		return w.incarnationStartMS
	}
	return 0
}

// CountReporting returns the number of workers with an entry, and of those that have
// answered a renewal sent since a time. When an answer arrives says little: the process may
// have been paused while it was on its way.
func (m *Machine) CountReporting(since time.Duration) (total, reported int) {
	for _, w := range m.workerList {
		if !w.listed {
			continue
		}
		total++
		if w.answeredSentAt >= since {
			reported++
		}
	}
	return total, reported
}

// HasUnacknowledgedEnds reports whether a worker has reported ends of runs that are
// not stored yet.
func (m *Machine) HasUnacknowledgedEnds(id fleet.WorkerID) bool {
	w, ok := m.workers[id]
	return ok && len(w.unacknowledged) > 0
}

// RenewalSent records that a renewal or a start has been sent to a worker.
func (m *Machine) RenewalSent(id fleet.WorkerID, now time.Duration) {
	if w, ok := m.workers[id]; ok {
		w.leaseEnd, w.leased = max(w.leaseEnd, now+leaseBound(m.limits.Lease)), true
	}
}

const (
	// failuresToClose is how many consecutive failures, of different jobs, close a
	// worker to new work. If 5% of the tasks fail through their own fault, two
	// consecutive failures by chance have a probability of 1 in 400.
	failuresToClose = 2
	// firstClosure is for how long a failing worker is closed first; each further
	// failure doubles it, up to maxClosure. Faults of workers last 5 s and more; a
	// healthy worker that is closed by chance costs a fortieth of the capacity for
	// that time. After a fault of most workers, tasks that last must run again within
	// 9 s, of which a closure must leave some.
	firstClosure = 3 * time.Second
	maxClosure   = 6 * time.Second
	// maxClosureDoublings bounds the doublings of firstClosure, as the streak has no bound.
	maxClosureDoublings = 6
	// maxClosedByFailures is the largest share of the workers of a service that failures
	// may close at once. Failures of tasks through their own fault occur on any worker, so
	// that a few jobs could otherwise close all. Faults affect up to a third of the workers.
	maxClosedByFailures = 0.4
)

// recordFailure counts a failure of a run that was ordered at the given time, and closes
// the worker after failuresToClose. Consecutive failures of the same job count once, and
// those of runs from before the last closure do not show whether it still fails.
func (m *Machine) recordFailure(w *worker, id fleet.JobID, orderedAt, now time.Duration) {
	if w.failureStreak > 0 && w.lastFailedJob == id || orderedAt < w.failuresCountFrom {
		return
	}
	w.failureStreak++
	w.lastFailedJob = id
	if w.failureStreak < failuresToClose {
		return
	}
	w.failuresCountFrom = now
	closed, bound := m.countClosedByFailures(w, now)
	if closed >= bound {
		m.emit("worker_kept_open", "", "worker", w.ID, "strikes", w.failureStreak, "closed", closed, "bound", bound)
		return
	}
	closure := min(firstClosure<<min(w.failureStreak-failuresToClose, maxClosureDoublings), maxClosure)
	w.close(now, closure)
	w.failureClosureEnd = now + closure
	m.emit("worker_closed", "", "worker", w.ID, "strikes", w.failureStreak, "until", w.closedUntil-now)
}

// countClosedByFailures returns how many other workers of a worker's service failures
// close, and how many they may close: at least one, and the share maxClosedByFailures of
// these and of the ones that take work.
func (m *Machine) countClosedByFailures(w *worker, now time.Duration) (closed, bound int) {
	workers := 1 // w itself
	for _, o := range m.workerList {
		switch {
		case o == w || o.Service != w.Service:
		case now < o.failureClosureEnd:
			closed++
			workers++
		case m.mayStart(o, now):
			workers++
		}
	}
	return closed, max(1, int(maxClosedByFailures*float64(workers)))
}

// forgetFailures opens a worker that has restarted, as another process has failed.
func (w *worker) forgetFailures() {
	if w.failureStreak > 0 {
		w.failureStreak, w.lastFailedJob, w.failuresCountFrom, w.failureClosureEnd, w.closedUntil = 0, "", 0, 0, 0
	}
}

// close keeps new work off a worker for at least d.
func (w *worker) close(now, d time.Duration) { w.closedUntil = max(w.closedUntil, now+d) }
