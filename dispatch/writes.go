package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// changed makes the job's state due to be written at once.
func (j *job) changed() { j.version, j.urgent = j.version+1, true }

// placed makes the job's state due to be written within gatherPlacements.
func (j *job) placed(now time.Duration) {
	if j.version == j.saving {
		j.dirtySince = now
	}
	j.version++
}

// gatherPlacements is how long placements may wait to be written together. A
// new owner waits for the workers that they name. Source: a fifth of the
// shortest run; each transaction is priced.
const gatherPlacements = 150 * time.Millisecond

// ProgressStored takes in at which revision a job's progress is stored.
func (m *Machine) ProgressStored(id fleet.JobID, revision store.Revision) {
	if j, ok := m.jobs[id]; ok {
		j.progressRevision = max(j.progressRevision, revision)
	}
}

// Write is what has to become durable of one job, in one transaction.
type Write struct {
	Job        fleet.JobID
	Queue      string
	AcceptedMS int64
	State      workload.State
	// StateChanged is set if State differs from what is stored; it may be
	// written only if its key is still at Revision.
	StateChanged bool
	Revision     store.Revision
	// Progress is not written with a final state, and only if its key is still
	// at ProgressRevision: an earlier write whose answer was lost may be
	// carried out later, and must not replace a newer one.
	Progress         workload.Progress
	ProgressRevision store.Revision
	version          int64
}

// TakeWrites returns what has to become durable at now, up to a number of
// entries in a transaction. A job is not returned again before WritesDone or
// WritesFailed.
func (m *Machine) TakeWrites(entries int, now time.Duration) []Write {
	var writes []Write
	for _, id := range m.sortedDirty(now) {
		j := m.jobs[id]
		w := Write{
			Job: id, Queue: j.Queue, AcceptedMS: j.AcceptedMS, State: j.state, StateChanged: j.state != j.shown, Revision: j.revision, ProgressRevision: j.progressRevision, version: j.version,
		}
		if entries -= w.Entries(); entries < 0 {
			break
		}
		j.saving, j.urgent = j.version, false
		if !j.state.Final() {
			w.Progress = j.progress()
		}
		writes = append(writes, w)
	}
	return writes
}

// Entries is how many checks, puts and deletes the write takes.
func (w *Write) Entries() int {
	n := 2 // the progress and its check, or progress and submission to delete
	if w.StateChanged {
		n += 2 // the state and its check
	}
	return n
}

// sortedDirty returns the jobs to write at now, the oldest first.
func (m *Machine) sortedDirty(now time.Duration) []fleet.JobID {
	var ids []fleet.JobID
	for id, j := range m.jobs {
		if j.version > j.saved && j.saving == j.saved && (j.urgent || now-j.dirtySince >= gatherPlacements) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b fleet.JobID) int { return int(m.jobs[a].arrived - m.jobs[b].arrived) })
	return ids
}

// WritesDone takes note that writes are durable at a revision.
func (m *Machine) WritesDone(writes []Write, revision store.Revision) {
	for _, w := range writes {
		j, ok := m.jobs[w.Job]
		if !ok {
			continue
		}
		j.saved, j.saving = w.version, w.version
		if !w.State.Final() {
			j.progressRevision = max(j.progressRevision, revision)
		}
		if w.StateChanged {
			j.shown = w.State
			j.revision = max(j.revision, revision)
		}
	}
	for _, w := range m.list {
		w.settleEnds()
	}
	m.forgetEnded()
}

// WritesFailed makes the writes due again.
func (m *Machine) WritesFailed(writes []Write) {
	for _, w := range writes {
		if j, ok := m.jobs[w.Job]; ok {
			j.saving, j.urgent = j.saved, true
		}
	}
}

// forgetEnded drops jobs that have ended for good and run nowhere.
func (m *Machine) forgetEnded() {
	for id, j := range m.jobs {
		if j.state.Final() && j.saved == j.version && j.runs == 0 {
			delete(m.jobs, id)
		}
	}
}
