package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// WorkerRecord is the stored state of a worker, for the next owner.
type WorkerRecord struct {
	workload.Worker
	WorkerMarks
}

// WorkerMarks are what the next owner has to know about a worker.
type WorkerMarks struct {
	// Closed means that the worker was draining or had not reported for a while, all
	// placements on it were stored, and the owner starts nothing there until it has
	// cleared this flag. The tag keeps the stored key.
	Closed bool `json:"Quiet"`
	// UnreachedSince is the first of the successive terms whose owners have not reached
	// the worker, so that none of them has extended its lease, nor does before it has
	// cleared this. 0: the last one has reached it, or has not told.
	UnreachedSince int `json:"Unreached,omitempty"`
	// LeaseEnd is when what owners of earlier terms than UnreachedSince have done there has
	// ended. Records of earlier versions lack it.
	LeaseEnd LeaseEnd `json:"LeaseEnd,omitzero"`
	// Unanswered covers the starts on the worker that got no answer: until then the next owner starts
	// the tasks that are bound to the worker nowhere else, and acknowledges no ends of what has ended.
	Unanswered UnansweredEnd `json:"Unanswered,omitzero"`
}

// LeaseEnd holds times in milliseconds after the claim of a term was made, which the next
// owner can tell on its own clock.
type LeaseEnd struct {
	Term          int   `json:"Term"`
	AfterMS       int64 `json:"AfterMS"`       // all leases have ended
	OrdersAfterMS int64 `json:"OrdersAfterMS"` // starts whose runs the worker has not listed are not executed any more
}

// add adds marks that may be stored beside the present ones.
func (k *WorkerMarks) add(marks WorkerMarks) {
	k.Closed = k.Closed || marks.Closed
	if marks.UnreachedSince > k.UnreachedSince {
		k.UnreachedSince, k.LeaseEnd = marks.UnreachedSince, marks.LeaseEnd
	}
	if marks.Unanswered.isAfter(k.Unanswered) {
		k.Unanswered = marks.Unanswered
	}
}

// recordState describes what is stored about a worker.
//
// Invariants: nothing is started on a worker before its record is known to be stored, or
// the next owner may not know that the worker has runs; nor while Closed is stored, or may
// be. While UnreachedSince is, its lease is not extended.
type recordState struct {
	revision  store.Revision // of its key; 0 if it has none
	doomed    store.Revision // at this revision the key may still be deleted
	startedMS int64          // incarnation that it names
	writing   bool
	hold      hold
	stored    WorkerMarks // by the last write that was answered
	possible  WorkerMarks // may be stored
	unsettled bool        // a write without an answer may have stored other marks, or may still
	inherited bool        // a former owner has stored it
	// wasClosed is set if the former owner recorded the worker as closed: only tasks
	// that are known to have run there wait for its report.
	wasClosed bool
}

// isStored reports whether the record is stored and stays so while the worker is known.
func (r recordState) isStored() bool { return r.revision != 0 && r.revision != r.doomed }

// RestoreWorker adds a worker from the record of a former owner. It may have runs
// although its entry is missing, as entries expire while the store is unavailable.
func (m *Machine) RestoreWorker(record WorkerRecord, revision store.Revision, now time.Duration) {
	if _, ok := m.workers[record.ID]; !ok {
		m.SetWorker(record.Worker, now)
		m.workers[record.ID].listed = false
	}
	w := m.workers[record.ID]
	w.record = recordState{revision: revision, startedMS: record.StartedMS, stored: record.WorkerMarks, possible: record.WorkerMarks, inherited: true, wasClosed: record.Closed}
	w.formerUnansweredEnd = m.unansweredEnd(record.WorkerMarks)
	if record.UnreachedSince > 0 {
		w.formerLeaseEnd, w.formerOrdersEnd = m.restoreLeaseEnd(record.WorkerMarks)
		w.leaseEnd = w.formerLeaseEnd
	}
}

// WorkerWrite is a change of the record of one worker. It is applied only if the key
// is still at Revision: an earlier write whose response was lost may be executed
// later, and must not replace a newer one.
type WorkerWrite struct {
	WorkerRecord
	Revision store.Revision
	Delete   bool
}

// entriesPerWorker is the number of entries that a write takes in a transaction: the
// check, and the put or delete.
const entriesPerWorker = 2

// TakeWorkerWrites returns the changes of worker records that are due at now, as many
// as fit into a transaction of the given number of entries. A worker is not returned
// again before WorkerWritesDone, WorkerWritesFailed or WorkerWriteRefused. One that was
// refused is returned alone.
func (m *Machine) TakeWorkerWrites(entries int, now time.Duration) []WorkerWrite {
	limit := entries / entriesPerWorker
	var writes []WorkerWrite
	for _, w := range m.workerList {
		if len(writes) == limit {
			return writes
		}
		marks, due := m.recordDue(w, now)
		if !due || w.record.hold.refused && len(writes) > 0 {
			continue
		}
		w.record.writing = true
		if marks.UnreachedSince > w.record.possible.UnreachedSince {
			w.recordUnlistedRuns(now)
		}
		w.record.possible.add(marks)
		writes = append(writes, WorkerWrite{WorkerRecord: WorkerRecord{w.Worker, marks}, Revision: w.record.revision})
		if w.record.hold.refused {
			return writes
		}
	}
	return append(writes, m.takeDeletes(limit-len(writes), now)...)
}

const (
	// unresponsiveAfter is the time without a report after which a worker is
	// recorded as closed, and unlistedUnresponsiveAfter that of a worker
	// without an entry. A renewal is answered at least every second; half of that is enough
	// once the platform has removed the worker's entry.
	unresponsiveAfter         = 1300 * time.Millisecond
	unlistedUnresponsiveAfter = 500 * time.Millisecond
	// unreachedAfter is the time since a change of owner after which a worker that has not
	// answered a call is recorded as unreached. Workers that can be reached report within
	// 0.3 s.
	unreachedAfter = 500 * time.Millisecond
)

// recordDue reports whether the record of a worker must be written, and with which
// marks.
func (m *Machine) recordDue(w *worker, now time.Duration) (marks WorkerMarks, due bool) {
	marks = m.marks(w, now)
	switch {
	case w.record.writing, w.record.hold.active(now):
		return marks, false
	case !w.record.isStored():
		return marks, w.listed || len(w.runs) > 0
	default:
		return marks, marks != w.record.stored || w.record.unsettled || w.adopted && w.listed && w.StartedMS > w.record.startedMS
	}
}

// marks returns the marks that a worker's record should have. If an owner ended while a
// worker is lost, unreachable or about to leave and not recorded as closed, the next owner
// would delay all inherited tasks until the worker's lease has ended.
func (m *Machine) marks(w *worker, now time.Duration) WorkerMarks {
	limit := unresponsiveAfter
	if !w.listed {
		limit = unlistedUnresponsiveAfter
	}
	silent := now-max(w.reportedAt, w.foundAt) >= limit
	failing := w.failedAt > 0
	marks := m.markUnanswered(w, w.record.possible, now)
	switch {
	case w.adopted && !failing:
		marks.UnreachedSince, marks.LeaseEnd = 0, LeaseEnd{}
	case marks.UnreachedSince > 0, !failing: // as they are
	case !w.adopted && !w.leased && now-m.startedAt >= unreachedAfter && m.hasReachedMost():
		marks.UnreachedSince, marks.LeaseEnd = m.term, m.leaseEndAt(w.formerLeaseEnd, w.formerOrdersEnd)
	case (w.adopted || w.leased) && (m.handingOver || silent && !w.listed):
		marks.UnreachedSince, marks.LeaseEnd = m.term+1, m.leaseEndAt(m.runsEnd(w))
	}
	switch idle := w.Draining || silent || failing && m.handingOver; {
	case w.mayHoldUnknown(now): // it may have runs that are not stored
	case !idle:
		marks.Closed = false
	case !marks.Closed:
		marks.Closed = !w.hasUnstored()
	}
	return marks
}

// recordUnlistedRuns makes the runs that the worker has accepted and not listed due to be stored
// as unconfirmed.
func (w *worker) recordUnlistedRuns(now time.Duration) {
	for _, r := range w.runs {
		if r.confirmedAt > 0 && r.lastReport == 0 && !r.task.job.state.Final() {
			r.task.job.markDirty(now)
		}
	}
}

// hasUnstored reports whether a placement on the worker is not stored, or the end of a run
// whose placement may not be.
func (w *worker) hasUnstored() bool {
	return slices.ContainsFunc(slices.Concat(w.runs, w.unlistedRuns()), func(r *run) bool { return r.task.job.saved < r.placedVersion }) ||
		slices.ContainsFunc(w.unacknowledged, func(e unacknowledgedEnd) bool { return e.job != nil && e.job.saved < e.version })
}

// WorkerWritesDone records that writes are stored at a revision.
func (m *Machine) WorkerWritesDone(writes []WorkerWrite, revision store.Revision) {
	for _, x := range writes {
		w := m.workers[x.ID]
		if x.Delete {
			m.deleteDone(x)
			continue
		}
		if w == nil {
			continue
		}
		if x.WorkerMarks != (WorkerMarks{}) || w.record.possible != (WorkerMarks{}) {
			m.emit("worker_quiet", "", "worker", x.ID, "quiet", x.Closed, "unreached_since", x.UnreachedSince, "lease_end_term", x.LeaseEnd.Term, "lease_end_after_ms", x.LeaseEnd.AfterMS, "orders_end_after_ms", x.LeaseEnd.OrdersAfterMS, "unanswered_term", x.Unanswered.Term, "unanswered_after_ms", x.Unanswered.AfterMS, "draining", w.Draining, "revision", revision, "runs", len(w.runs))
		}
		w.record.writing, w.record.unsettled, w.record.revision, w.record.startedMS = false, false, revision, x.StartedMS
		w.record.stored, w.record.possible, w.record.hold = x.WorkerMarks, x.WorkerMarks, hold{}
	}
}

// WorkerWritesFailed makes writes due again that were not executed, or may be later.
// current holds the present records of the workers if the writes conflicted with them,
// and is nil otherwise. A record that has changed settles an earlier write without an
// answer: that one was executed, or never will be.
func (m *Machine) WorkerWritesFailed(writes []WorkerWrite, current map[fleet.WorkerID]StoredRecord) {
	for _, x := range writes {
		stored, known := current[x.ID]
		w := m.workers[x.ID]
		switch {
		case x.Delete:
			m.deleteFailed(x, stored, known)
		case w != nil:
			w.record.writing, w.record.unsettled = false, true
			if known && stored.Revision != x.Revision {
				w.record.unsettled, w.record.revision, w.record.startedMS = false, stored.Revision, stored.StartedMS
				w.record.stored, w.record.possible = stored.WorkerMarks, stored.WorkerMarks
			}
		}
	}
}
