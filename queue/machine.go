// Package queue holds the jobs of teams: admission, quota, priority,
// cancellation and the life cycle of each job.
//
// The jobs of a team are spread over its queue shards. Machine is the state of
// one shard and uses neither I/O nor clocks. Server runs the shards that this
// host owns and delegates their tasks to cells. Client calls the owner of a
// job's shard on behalf of callers.
package queue

import (
	"slices"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

// Machine is the state machine of one queue shard. It is not safe for
// concurrent use.
//
// Invariants: a task has an entry in delegations if and only if it is in the
// delegated state; used is the sum of the resources of these tasks; order holds
// exactly the jobs with queued tasks; ids holds the keys of jobs, sorted;
// snapshotBytes is the sum of the jobs' snapshotBytes.
type Machine struct {
	jobs          map[fleet.JobID]*jobState
	ids           []fleet.JobID
	order         jobOrder
	delegations   map[taskKey]*taskDelegation
	cells         map[shard.ID]*cellState
	used          fleet.Resources
	snapshotBytes int
}

var _ wal.Machine = (*Machine)(nil)

// taskKey identifies a task in memory.
type taskKey struct {
	job   *jobState
	index int
}

// taskDelegation is the delegation of a task to a cell. Only cell is durable.
type taskDelegation struct {
	cell     *cellState
	accepted bool // the cell has accepted the offer
	running  bool
}

// cellState holds the messages that still have to be sent to a cell.
type cellState struct {
	id      shard.ID
	offers  map[taskKey]struct{} // delegated, and not known to be accepted
	cancels map[taskKey]struct{} // accepted, of a cancelled job, and not acknowledged
}

// NewMachine returns an empty Machine.
func NewMachine() *Machine {
	m := &Machine{}
	m.reset()
	return m
}

func (m *Machine) reset() {
	*m = Machine{
		jobs:        make(map[fleet.JobID]*jobState),
		delegations: make(map[taskKey]*taskDelegation),
		cells:       make(map[shard.ID]*cellState),
	}
}

// Apply implements wal.Machine.
func (m *Machine) Apply(data []byte) error {
	r, err := decodeRecord(data)
	if err != nil {
		return err
	}
	switch {
	case r.Submitted != nil:
		return m.applySubmitted(*r.Submitted)
	case r.Delegated != nil:
		return m.applyDelegated(*r.Delegated)
	case r.Returned != nil:
		return m.applyReturned(*r.Returned)
	case r.Cancelled != nil:
		return m.applyCancelled(*r.Cancelled)
	case r.Expired != nil:
		m.applyExpired(*r.Expired)
		return nil
	default:
		return &ContradictionError{Reason: "empty record"}
	}
}

func (m *Machine) applySubmitted(s submitted) error {
	if m.jobs[s.ID] != nil {
		return &ContradictionError{Job: s.ID, Reason: "submitted twice"}
	}
	if s.Tasks < 1 {
		return &ContradictionError{Job: s.ID, Reason: "no tasks"}
	}
	m.insert(newJobState(s))
	return nil
}

func (m *Machine) insert(j *jobState) {
	m.jobs[j.ID] = j
	m.snapshotBytes += j.snapshotBytes()
	index, _ := slices.BinarySearch(m.ids, j.ID)
	m.ids = slices.Insert(m.ids, index, j.ID)
	if j.counts[taskQueued] > 0 {
		m.order.add(j)
	}
}

// jobOfRun returns the job of a run of count tasks from index from, or a
// *ContradictionError if there is no such job or the job has no such tasks.
func (m *Machine) jobOfRun(id fleet.JobID, from, count int) (*jobState, error) {
	j := m.jobs[id]
	if j == nil {
		return nil, &ContradictionError{Job: id, Reason: "no such job"}
	}
	if from < 0 || count < 1 || from > len(j.tasks)-count {
		return nil, &ContradictionError{Job: id, Index: from, Reason: "no such tasks"}
	}
	return j, nil
}

func (m *Machine) applyDelegated(d delegated) error {
	for _, run := range d.Runs {
		j, err := m.jobOfRun(run.Job, run.From, run.Count)
		if err != nil {
			return err
		}
		for i := run.From; i < run.From+run.Count; i++ {
			if j.tasks[i].state() != taskQueued {
				return &ContradictionError{Job: j.ID, Index: i, Reason: "delegated while not queued"}
			}
			j.setTask(i, newTask(taskDelegated, j.tasks[i].attempts()+1))
			m.addDelegation(j, i, run.Cell)
		}
		j.queuedFrom = max(j.queuedFrom, j.firstQueued())
		m.updateDerived(j, 0)
	}
	return nil
}

// firstQueued returns the index of the first queued task, or the number of
// tasks if none is queued.
func (j *jobState) firstQueued() int {
	if i := j.nextQueued(0); i >= 0 {
		return i
	}
	return len(j.tasks)
}

// addDelegation records that a task is delegated to a cell, which still has to
// be sent the offer.
func (m *Machine) addDelegation(j *jobState, index int, cell shard.ID) {
	c := m.cells[cell]
	if c == nil {
		c = &cellState{
			id:      cell,
			offers:  make(map[taskKey]struct{}),
			cancels: make(map[taskKey]struct{}),
		}
		m.cells[cell] = c
	}
	key := taskKey{job: j, index: index}
	m.delegations[key] = &taskDelegation{cell: c}
	c.offers[key] = struct{}{}
	m.used = m.used.Add(j.Resources)
}

// removeDelegation removes the delegation of a task and the messages about it
// that are still to be sent.
func (m *Machine) removeDelegation(key taskKey) {
	d := m.delegations[key]
	delete(d.cell.offers, key)
	delete(d.cell.cancels, key)
	delete(m.delegations, key)
	if d.running {
		key.job.running--
	}
	m.used = m.used.Sub(key.job.Resources)
}

// updateDerived updates what depends on a job's counts: its place in order, its
// end and its history. at is the time of the change in Unix milliseconds.
func (m *Machine) updateDerived(j *jobState, at int64) {
	if j.counts[taskQueued] > 0 {
		m.order.add(j)
	} else {
		m.order.remove(j)
	}
	if j.ended == 0 && j.final() {
		j.ended = at
		j.history = nil
	}
}

func (m *Machine) applyReturned(r returned) error {
	for _, run := range r.Runs {
		j, err := m.jobOfRun(run.Job, run.From, run.Count)
		if err != nil {
			return err
		}
		for i := run.From; i < run.From+run.Count; i++ {
			t := j.tasks[i]
			if t.state() != taskDelegated || t.attempts() != run.Attempt {
				return &ContradictionError{Job: j.ID, Index: i, Reason: "returned while not delegated"}
			}
			key := taskKey{job: j, index: i}
			j.recordCell(i, run.End, m.delegations[key].cell.id)
			m.removeDelegation(key)
			j.setTask(i, t.withState(j.applyEnd(i, run)))
		}
		m.updateDerived(j, r.At)
	}
	return nil
}

// applyEnd records how an attempt of task i ended and returns the task's new
// state.
func (j *jobState) applyEnd(i int, run returnedRun) taskState {
	if run.End == delegation.OutcomeFinished {
		delete(j.history, i)
		return taskFinished
	}
	if run.Error != "" {
		j.lastError = run.Error
	}
	if run.End == delegation.OutcomeEvicted {
		j.evictions++
	}
	switch {
	case j.cancelled:
		return taskCancelled
	case run.Final:
		return taskFailed
	default:
		j.recordAttempt(i, run)
		return taskQueued
	}
}

// recordCell remembers the cell in which the last attempt of task i failed.
func (j *jobState) recordCell(i int, end delegation.OutcomeKind, cell shard.ID) {
	if end != delegation.OutcomeFailed {
		delete(j.failedIn, i)
		return
	}
	if j.failedIn == nil {
		j.failedIn = make(map[int]shard.ID)
	}
	j.failedIn[i] = cell
}

// recordAttempt updates the history of task i after an attempt that will be
// followed by another.
func (j *jobState) recordAttempt(i int, run returnedRun) {
	h := j.history[i]
	switch run.End {
	case delegation.OutcomeFailed:
		h.Failures++
	case delegation.OutcomeLost:
		h.Losses++
	}
	if run.Checkpoint != "" {
		h.Checkpoint = run.Checkpoint
		h.Progress = run.Progress
	}
	if h == (taskHistory{}) {
		return
	}
	if j.history == nil {
		j.history = make(map[int]taskHistory)
	}
	j.history[i] = h
}

func (m *Machine) applyCancelled(c cancelled) error {
	for _, id := range c.Jobs {
		j := m.jobs[id]
		if j == nil {
			return &ContradictionError{Job: id, Reason: "cancelled without being known"}
		}
		m.cancel(j, c.At)
	}
	return nil
}

// cancel cancels the queued tasks of a job and has its delegated tasks stopped.
// at is in Unix milliseconds.
func (m *Machine) cancel(j *jobState, at int64) {
	if j.final() {
		return
	}
	j.cancelled = true
	for i, t := range j.tasks {
		switch t.state() {
		case taskQueued:
			j.setTask(i, t.withState(taskCancelled))
		case taskDelegated:
			m.queueCancel(taskKey{job: j, index: i})
		}
	}
	m.updateDerived(j, at)
}

// queueCancel queues a cancel message for a task that its cell is known to have
// accepted. A task not known to be accepted is offered until the cell answers
// and cancelled afterwards: only then can no offer arrive after the cancel.
func (m *Machine) queueCancel(key taskKey) {
	if d := m.delegations[key]; d.accepted {
		d.cell.cancels[key] = struct{}{}
	}
}

func (m *Machine) applyExpired(e expired) {
	m.ids = slices.DeleteFunc(m.ids, func(id fleet.JobID) bool {
		j := m.jobs[id]
		if j.ended == 0 || j.ended >= e.Before {
			return false
		}
		m.snapshotBytes -= j.snapshotBytes()
		delete(m.jobs, id)
		return true
	})
}
