package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// forgottenRecord is the record of a forgotten worker, which is to be deleted. It is
// kept until it is known that the delete was executed or never will be.
//
// Invariant: the record is deleted only once no stored progress names the worker. Without
// a record, the next owner can't tell when the leases of the worker have ended.
type forgottenRecord struct {
	id       fleet.WorkerID
	record   recordState
	unstored []unstoredJob // may be stored with a run on the worker
	writing  bool
	sent     bool // a delete may be executed, now or later
}

// unstoredJob is a job whose stored progress is older than a version.
type unstoredJob struct {
	job     *job
	version int64
}

// forgetRecord makes the record of a worker due to be deleted.
func (m *Machine) forgetRecord(w *worker) {
	if w.record.revision == 0 {
		return
	}
	f := forgottenRecord{id: w.ID, record: w.record}
	for _, j := range m.jobs {
		if j.saved < j.version {
			f.unstored = append(f.unstored, unstoredJob{j, j.version})
		}
	}
	m.forgotten = append(m.forgotten, f)
}

// mayDelete reports whether no stored progress names the worker.
func (f *forgottenRecord) mayDelete() bool {
	f.unstored = slices.DeleteFunc(f.unstored, func(u unstoredJob) bool { return u.job.saved >= u.version })
	return len(f.unstored) == 0
}

// restoreForgotten returns what is stored about a worker that is found again. A delete
// that was sent may be executed as long as the key stays at its revision, so that the
// record there does not count.
func (m *Machine) restoreForgotten(id fleet.WorkerID) recordState {
	at := m.forgottenIndex(id)
	if at < 0 {
		return recordState{}
	}
	f := m.forgotten[at]
	m.forgotten = slices.Delete(m.forgotten, at, at+1)
	if f.sent {
		f.record.doomed = f.record.revision
	}
	f.record.wasClosed, f.record.hold = false, hold{}
	return f.record
}

// takeDeletes returns up to limit deletes of the records of forgotten workers.
func (m *Machine) takeDeletes(limit int, now time.Duration) []WorkerWrite {
	var writes []WorkerWrite
	for i := range m.forgotten {
		f := &m.forgotten[i]
		if len(writes) == limit {
			break
		}
		if f.writing || f.record.hold.active(now) || !f.mayDelete() {
			continue
		}
		f.writing, f.sent = true, true
		writes = append(writes, WorkerWrite{WorkerRecord: WorkerRecord{Worker: workload.Worker{ID: f.id}}, Revision: f.record.revision, Delete: true})
	}
	return writes
}

// deleteDone records that a delete was executed.
func (m *Machine) deleteDone(x WorkerWrite) {
	m.dropForgotten(x)
	if w := m.workers[x.ID]; w != nil && w.record.revision == x.Revision {
		w.record.revision = 0
	}
}

// deleteFailed makes a delete due again, unless the key has changed since.
func (m *Machine) deleteFailed(x WorkerWrite, current StoredRecord, known bool) {
	if known && current.Revision != x.Revision {
		m.dropForgotten(x)
		return
	}
	if at := m.forgottenIndex(x.ID); at >= 0 && m.forgotten[at].record.revision == x.Revision {
		m.forgotten[at].writing = false
	}
}

func (m *Machine) dropForgotten(x WorkerWrite) {
	m.forgotten = slices.DeleteFunc(m.forgotten, func(f forgottenRecord) bool { return f.id == x.ID && f.record.revision == x.Revision })
}

func (m *Machine) forgottenIndex(id fleet.WorkerID) int {
	return slices.IndexFunc(m.forgotten, func(f forgottenRecord) bool { return f.id == id })
}

// StoredRecord is the record of a worker as the store shows it.
type StoredRecord struct {
	WorkerRecord
	Revision store.Revision // 0: there is none
}
