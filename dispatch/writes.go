package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// markUrgent makes the job's state due to be written at once.
func (j *job) markUrgent() { j.version, j.urgent = j.version+1, true }

// markDirty makes the job's state due to be written within placementBatchDelay.
func (j *job) markDirty(now time.Duration) {
	if j.version == j.saving {
		j.dirtySince = now
	}
	j.version++
}

// placementBatchDelay is how long placements may wait to be written in one batch,
// because each transaction is charged for. It is a fifth of the shortest run, as a new
// owner waits for the workers that stored placements name.
const placementBatchDelay = 150 * time.Millisecond

// ProgressStored records the revision at which a job's progress is stored.
func (m *Machine) ProgressStored(id fleet.JobID, revision store.Revision) {
	if j, ok := m.jobs[id]; ok {
		j.progressRevision = max(j.progressRevision, revision)
	}
}

// Write is the state of one job that must be stored in one transaction.
type Write struct {
	Job        fleet.JobID
	Queue      string
	AcceptedMS int64
	Workspace  string
	Bytes      int64  // JobBytes of the job
	Source     uint32 // of the job
	State      workload.State
	// StateChanged is set if State differs from the stored state. State may be
	// written only if its key is still at Revision.
	StateChanged bool
	Revision     store.Revision
	// Progress is not written with a final state, and only if its key is still at
	// ProgressRevision: an earlier write whose response was lost may be executed
	// later, and must not replace a newer one.
	Progress         workload.Progress
	ProgressRevision store.Revision
	version          int64
}

// TakeWrites returns the writes that are due at now, as many as fit into a transaction
// of the given number of entries. A job is not returned again before WritesDone,
// WritesFailed or WriteRefused. One that was refused is returned alone.
func (m *Machine) TakeWrites(entries int, now time.Duration) []Write {
	var writes []Write
	for _, id := range m.dirtyJobs(now) {
		j := m.jobs[id]
		if j.hold.refused && len(writes) > 0 {
			continue
		}
		w := Write{
			Job: id, Queue: j.Queue, AcceptedMS: j.AcceptedMS, Workspace: j.Workspace, Bytes: j.bytes, Source: j.Source, State: j.state, StateChanged: j.state != j.storedState, Revision: j.revision, ProgressRevision: j.progressRevision, version: j.version,
		}
		if entries -= w.Entries(); entries < 0 {
			break
		}
		j.saving, j.urgent = j.version, false
		if !j.state.Final() {
			w.Progress = m.progress(j)
		}
		writes = append(writes, w)
		if j.hold.refused {
			break
		}
	}
	return writes
}

// Entries returns the number of checks, puts and deletes that the write takes in a
// transaction.
func (w *Write) Entries() int {
	n := 2 // the progress and its check, or the deletes of progress and submission
	if w.StateChanged {
		n += 2 // the state and its check
	}
	return n
}

// dirtyJobs returns the jobs to write at now, the oldest first.
func (m *Machine) dirtyJobs(now time.Duration) []fleet.JobID {
	var ids []fleet.JobID
	for id, j := range m.jobs {
		if j.version > j.saved && j.saving == j.saved && !j.hold.active(now) && (j.urgent || m.handingOver || now-j.dirtySince >= placementBatchDelay) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b fleet.JobID) int { return int(m.jobs[a].arrivedAt - m.jobs[b].arrivedAt) })
	return ids
}

// WritesDone records that writes are stored at a revision.
func (m *Machine) WritesDone(writes []Write, revision store.Revision) {
	for _, w := range writes {
		j, ok := m.jobs[w.Job]
		if !ok {
			continue
		}
		j.saved, j.saving, j.hold = w.version, w.version, hold{}
		if !w.State.Final() {
			j.progressRevision = max(j.progressRevision, revision)
		}
		if w.StateChanged {
			j.storedState = w.State
			j.revision = max(j.revision, revision)
		}
	}
	for _, w := range m.workerList {
		w.acknowledgeEnds()
	}
	m.forgetEnded()
}

// WritesFailed makes writes due again.
func (m *Machine) WritesFailed(writes []Write) {
	for _, w := range writes {
		if j, ok := m.jobs[w.Job]; ok {
			j.saving, j.urgent = j.saved, true
		}
	}
}

// hold keeps an entry that the store refused for its content from being written, as it is
// probably refused again.
type hold struct {
	refused bool // the last write was refused
	until   time.Duration
}

// active reports whether the entry must not be written at now.
func (h hold) active(now time.Duration) bool { return now < h.until }

// WriteRefused makes a write due again at a time. The store refused it for its content.
func (m *Machine) WriteRefused(w Write, until time.Duration) {
	m.WritesFailed([]Write{w})
	if j, ok := m.jobs[w.Job]; ok && (w.State.Final() || !j.state.Final()) { // a final state replaces the content
		j.hold = hold{true, until}
	}
}

// WorkerWriteRefused is WriteRefused for the record of a worker.
func (m *Machine) WorkerWriteRefused(x WorkerWrite, until time.Duration) {
	m.WorkerWritesFailed([]WorkerWrite{x}, nil)
	if x.Delete {
		if at := m.forgottenIndex(x.ID); at >= 0 {
			m.forgotten[at].record.hold = hold{true, until}
		}
	} else if w := m.workers[x.ID]; w != nil {
		w.record.hold = hold{true, until}
	}
}

// forgetEnded forgets jobs whose final state is stored and that have no runs.
func (m *Machine) forgetEnded() {
	for id, j := range m.jobs {
		if j.state.Final() && j.saved == j.version && j.runCount == 0 {
			delete(m.jobs, id)
			m.heldBytes -= j.bytes
		}
	}
}
