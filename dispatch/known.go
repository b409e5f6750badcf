package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// WorkerRecord is what is durable of a worker for the next owner.
type WorkerRecord struct {
	workload.Worker
	// Quiet says that the owner had not heard of the worker for a while, that
	// all it had started there was durable, and that it starts nothing more
	// there before this is taken back.
	Quiet bool
}

// workerRecord is how far a worker is durably known.
//
// Invariant: while quiet, or maybe quiet, nothing is started on the worker.
type workerRecord struct {
	revision store.Revision // of its key; 0: it has none
	writing  bool
	quiet    bool // Quiet is stored, or may be
	// excused workers were quiet under the former owner: only tasks that are
	// known to have run there wait for them.
	excused bool
}

// RestoreWorker takes in a worker that a former owner knew. It may hold runs,
// though its entry may be missing: entries lapse while the store is away.
func (m *Machine) RestoreWorker(known WorkerRecord, revision store.Revision, now time.Duration) {
	if _, ok := m.workers[known.ID]; !ok {
		m.SetWorker(known.Worker, now)
		m.workers[known.ID].listed = false
	}
	m.workers[known.ID].record = workerRecord{revision: revision, quiet: known.Quiet, excused: known.Quiet}
}

// WorkerWrite is a change of what is durable of one worker; its key must still
// be at Revision. An earlier write whose answer was lost may be carried out
// later, and must not replace a newer one.
type WorkerWrite struct {
	WorkerRecord
	Revision store.Revision
	Delete   bool
}

// entriesPerWorker is what a write takes of a transaction: the check and the
// put or delete.
const entriesPerWorker = 2

// TakeWorkerWrites returns what has to become durable of the set of workers,
// up to a number of entries in a transaction.
func (m *Machine) TakeWorkerWrites(entries int, now time.Duration) []WorkerWrite {
	most := entries / entriesPerWorker
	var writes []WorkerWrite
	for _, w := range m.list {
		if len(writes) == most {
			return writes
		}
		quiet, due := m.recordDue(w, now)
		if !due {
			continue
		}
		w.record.writing = true
		w.record.quiet = w.record.quiet || quiet
		writes = append(writes, WorkerWrite{WorkerRecord: WorkerRecord{w.Worker, quiet}, Revision: w.record.revision})
	}
	for len(m.dropped) > 0 && len(writes) < most {
		d := m.dropped[0]
		m.dropped = m.dropped[1:]
		writes = append(writes, WorkerWrite{WorkerRecord: WorkerRecord{Worker: workload.Worker{ID: d.id}}, Revision: d.revision, Delete: true})
	}
	return writes
}

const (
	// quietAfter is after which a worker that has not reported is recorded as
	// quiet, and quietUnlisted the same of one without an entry. Source: a
	// renewal is answered at least each second; half of that once the platform
	// tells that the worker has gone.
	quietAfter    = 1300 * time.Millisecond
	quietUnlisted = 500 * time.Millisecond
)

// recordDue reports whether a worker's record has to be written, and whether
// as quiet. It answers owners that end while a worker is lost or cut off: the
// next one would wait for it with all that it inherits.
func (m *Machine) recordDue(w *worker, now time.Duration) (quiet, due bool) {
	silence := quietAfter
	if !w.listed {
		silence = quietUnlisted
	}
	silent := now-w.reported >= silence
	switch {
	case w.record.writing:
		return false, false
	case w.record.revision == 0:
		return false, w.listed
	case w.record.quiet:
		return false, w.adopted && !silent
	default:
		return true, (w.adopted || now >= m.former) && silent && !slices.ContainsFunc(w.runs, func(r *run) bool { return r.task.job.saved < r.placed })
	}
}

// WorkerWritesDone takes in that writes have become durable at a revision.
func (m *Machine) WorkerWritesDone(writes []WorkerWrite, revision store.Revision) {
	for _, x := range writes {
		w := m.workers[x.ID]
		if w == nil || x.Delete {
			continue
		}
		if x.Quiet || w.record.quiet {
			m.event("worker_quiet", "", "worker", x.ID, "quiet", x.Quiet, "revision", revision, "runs", len(w.runs))
		}
		w.record.writing, w.record.revision, w.record.quiet = false, revision, x.Quiet
	}
}

// WorkerWritesFailed makes writes due again that were not carried out, or may
// be later. current tells the keys of workers that have changed, if that was
// the reason.
func (m *Machine) WorkerWritesFailed(writes []WorkerWrite, current map[fleet.WorkerID]store.Revision) {
	for _, x := range writes {
		revision, told := current[x.ID]
		w := m.workers[x.ID]
		switch {
		case x.Delete && (!told || revision == x.Revision):
			m.dropped = append(m.dropped, droppedWorker{x.ID, x.Revision})
		case w != nil && !x.Delete:
			w.record.writing = false
			if told {
				w.record.revision = revision
			}
		}
	}
}

// droppedWorker is a worker whose record is to be deleted.
type droppedWorker struct {
	id       fleet.WorkerID
	revision store.Revision
}
