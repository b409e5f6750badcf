package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// worker is a worker as this owner knows it.
type worker struct {
	workload.Worker
	listed  bool // has an entry at the platform
	record  workerRecord
	adopted bool // has reported to this owner
	leased  bool // has a lease of this owner's
	upkeep  bool // is being emptied, as its machine is to be taken down
	// strangers are runs of unknown size that it lists: of jobs that have
	// ended, on their way to be stopped.
	strangers int
	born      int64
	runs      []*run          // in order of their start
	used      fleet.Resources // by runs that count against its capacity
	serving   int64           // millicores of serving runs
	filling   int64           // millicores asked for by filling runs
	// leaseEnd is when everything on the worker has surely ended unless a
	// later renewal reaches it.
	leaseEnd  time.Duration
	reported  time.Duration // when the last report was received
	processed int64         // highest end taken in
	reports   int64         // counts the reports taken in
	seen      int64         // highest end that is durable, which it may forget
	marks     []endMark
	// closedUntil is when it may take work again, after a refusal or failures.
	closedUntil time.Duration
	// speed compares its runs with their siblings elsewhere; 1 is alike.
	speed     float64
	speedSeen int
	speedAt   time.Duration
	strikes   int // failures in a row, of different jobs
	struckBy  fleet.JobID
	struckAt  time.Duration
	paceAt    time.Duration // when paces were changed last
	learnedAt time.Duration // when tails were learned from last
	alarmAt   time.Duration // when a tail was too long last
	// drainingAt is when the worker began or ended draining.
	drainingAt time.Duration
	shared     sharedRoom
}

// endMark is an end that is forgotten on the worker once its job's version is
// durable.
type endMark struct {
	number  int64
	job     *job
	version int64
}

// SetWorker takes in a worker's entry.
func (m *Machine) SetWorker(info workload.Worker, now time.Duration) {
	w, ok := m.workers[info.ID]
	if !ok {
		w = &worker{leaseEnd: now + leaseBound(m.limits.LeaseMax)}
		m.workers[info.ID] = w
		at, _ := slices.BinarySearchFunc(m.list, info.ID, func(w *worker, id fleet.WorkerID) int { return strings.Compare(string(w.ID), string(id)) })
		m.list = slices.Insert(m.list, at, w)
		m.event("worker_found", "", "worker", info.ID, "data_centre", info.DataCentre, "rack", info.Rack)
	}
	if w.born != 0 && info.StartedMS != 0 && info.StartedMS > w.born {
		m.newLife(w, info.StartedMS, now)
	}
	if info.Draining != w.Draining {
		m.event("worker_draining", "", "worker", info.ID, "draining", info.Draining)
		w.drainingAt = now
	}
	w.Worker, w.listed = info, true
}

// WorkerGone takes in that a worker has no entry any more.
func (m *Machine) WorkerGone(id fleet.WorkerID, now time.Duration) {
	w, ok := m.workers[id]
	if !ok {
		return
	}
	w.listed = false
	m.event("worker_gone", "", "worker", id, "runs", len(w.runs))
	m.dropIfEmpty(w, now)
}

// dropIfEmpty forgets an unlisted worker that can't run anything for us.
func (m *Machine) dropIfEmpty(w *worker, now time.Duration) {
	if w.listed || len(w.runs) > 0 || now < w.leaseEnd {
		return
	}
	if w.record.writing {
		return // its revision is told by the answer
	}
	if w.record.revision != 0 {
		m.dropped = append(m.dropped, droppedWorker{w.ID, w.record.revision})
	}
	delete(m.workers, w.ID)
	m.list = slices.DeleteFunc(m.list, func(o *worker) bool { return o == w })
}

// newLife takes in that a worker has started anew: it runs nothing of before.
// A start that got no answer may still reach the new life.
func (m *Machine) newLife(w *worker, born int64, now time.Duration) {
	m.event("worker_reborn", "", "worker", w.ID, "born_ms", born, "runs", len(w.runs))
	w.upkeep = false
	w.born, w.processed, w.seen, w.marks, w.leased, w.strangers = born, 0, 0, nil, false, 0
	for _, r := range slices.Clone(w.runs) {
		if r.state == runOrdered || r.state == runUnresolved {
			r.stopSent, r.stopAnswered = 0, 0
			continue
		}
		m.release(r, now)
	}
}

// find returns a run on the worker, or nil.
func (w *worker) find(task workload.TaskName, number int) *run {
	for _, r := range w.runs {
		if r.number == number && r.task.name == task {
			return r
		}
	}
	return nil
}

// Addresses returns the workers to renew, with their addresses: all but those
// without an entry that run nothing.
func (m *Machine) Addresses() map[fleet.WorkerID]string {
	addresses := make(map[fleet.WorkerID]string, len(m.workers))
	for id, w := range m.workers {
		if w.listed || !w.adopted || len(w.runs) > 0 {
			addresses[id] = w.Address
		}
	}
	return addresses
}

// AcknowledgedEnd returns the highest end that a worker may forget.
func (m *Machine) AcknowledgedEnd(id fleet.WorkerID) int64 {
	if w, ok := m.workers[id]; ok {
		return w.seen
	}
	return 0
}

// CountReporting counts the workers with an entry, and those that have reported
// since a time.
func (m *Machine) CountReporting(since time.Duration) (total, reported int) {
	for _, w := range m.list {
		if !w.listed {
			continue
		}
		total++
		if w.reported >= since {
			reported++
		}
	}
	return total, reported
}

// HasUnacknowledgedEnds reports whether a worker lists ends that are not durable yet.
func (m *Machine) HasUnacknowledgedEnds(id fleet.WorkerID) bool {
	w, ok := m.workers[id]
	return ok && len(w.marks) > 0
}

// RenewalSent takes note that a renewal or start has been sent to a worker.
func (m *Machine) RenewalSent(id fleet.WorkerID, now time.Duration) {
	if w, ok := m.workers[id]; ok {
		w.leaseEnd, w.leased = max(w.leaseEnd, now+leaseBound(m.limits.Lease)), true
	}
}

const (
	// strikesToClose is how many failures in a row, of different jobs, close
	// a worker. Source: with a share of 5% failing by their own fault, two in
	// a row are 1 in 400.
	strikesToClose = 2
	// closedFor is the first time out of a worker that fails what it starts,
	// doubled with each further strike. Source: BENCH of troubles lasts 5 s
	// and more; a sound worker that was closed by chance costs a fortieth of
	// the room for that time.
	closedFor = 3 * time.Second
	closedMax = 12 * time.Second
)

// strike counts a failure against a worker.
func (m *Machine) strike(w *worker, id fleet.JobID, now time.Duration) {
	if w.strikes > 0 && w.struckBy == id {
		return
	}
	w.strikes++
	w.struckBy, w.struckAt = id, now
	if w.strikes >= strikesToClose {
		w.close(now, min(closedFor<<(w.strikes-strikesToClose), closedMax))
		m.event("worker_closed", "", "worker", w.ID, "strikes", w.strikes, "until", w.closedUntil-now)
	}
}

func (w *worker) close(now, d time.Duration) { w.closedUntil = max(w.closedUntil, now+d) }
