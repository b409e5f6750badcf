// Package queue is the home of a team's jobs: admission, quota, priority,
// cancellation and the life cycle of each job.
//
// Machine is the state of one queue shard, free of I/O and clocks. Server
// runs the shards that this host owns and delegates tasks to cells. Client
// finds the owner of a team's shard for callers.
package queue

import (
	"slices"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

// Machine is the state machine of one queue shard. It is used by one
// goroutine.
//
// Invariants: a task has an entry in delegations exactly while it is in the
// delegated state; used is the sum of their resources; order holds exactly
// the jobs with queued tasks; ids holds the keys of jobs, sorted; weight is the
// sum of the jobs' weights.
type Machine struct {
	jobs        map[fleet.JobID]*jobState
	ids         []fleet.JobID
	order       order
	delegations map[taskKey]*taskDelegation
	cells       map[shard.ID]*cellState
	used        fleet.Resources
	weight      int // bytes
}

var _ wal.Machine = (*Machine)(nil)

// taskKey names a task in memory.
type taskKey struct {
	job   *jobState
	index int
}

// taskDelegation is a task that a cell holds. Only cell is durable.
type taskDelegation struct {
	cell     *cellState
	accepted bool // the cell has answered the offer
	running  bool
}

// cellState is what the queue still has to tell a cell.
type cellState struct {
	id      shard.ID
	offers  map[taskKey]struct{} // delegated and not known to be accepted
	cancels map[taskKey]struct{} // accepted, of a cancelled job, not yet told
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
	m.weight += j.weight()
	at, _ := slices.BinarySearch(m.ids, j.ID)
	m.ids = slices.Insert(m.ids, at, j.ID)
	if j.counts[taskQueued] > 0 {
		m.order.add(j)
	}
}

// run returns the job of a run of tasks, or an error if the job has none such.
func (m *Machine) run(id fleet.JobID, from, count int) (*jobState, error) {
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
		j, err := m.run(run.Job, run.From, run.Count)
		if err != nil {
			return err
		}
		for i := run.From; i < run.From+run.Count; i++ {
			if j.tasks[i].state() != taskQueued {
				return &ContradictionError{Job: j.ID, Index: i, Reason: "delegated while not queued"}
			}
			j.set(i, newTask(taskDelegated, j.tasks[i].attempts()+1))
			m.hold(j, i, run.Cell)
		}
		j.next = max(j.next, j.firstQueued())
		m.settle(j, 0)
	}
	return nil
}

// firstQueued returns the first queued task, or the number of tasks.
func (j *jobState) firstQueued() int {
	if i := j.nextQueued(0); i >= 0 {
		return i
	}
	return len(j.tasks)
}

// hold notes that a cell has a task.
func (m *Machine) hold(j *jobState, index int, cell shard.ID) {
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

// release notes that a cell no longer has a task.
func (m *Machine) release(key taskKey) {
	d := m.delegations[key]
	delete(d.cell.offers, key)
	delete(d.cell.cancels, key)
	delete(m.delegations, key)
	if d.running {
		key.job.running--
	}
	m.used = m.used.Sub(key.job.Resources)
}

// settle updates what depends on a job's counts. at is the time of the change
// in Unix milliseconds.
func (m *Machine) settle(j *jobState, at int64) {
	if j.counts[taskQueued] > 0 {
		m.order.add(j)
	} else {
		m.order.remove(j)
	}
	if j.ended == 0 && j.final() {
		j.ended = at
		j.details = nil
	}
}

func (m *Machine) applyReturned(r returned) error {
	for _, run := range r.Runs {
		j, err := m.run(run.Job, run.From, run.Count)
		if err != nil {
			return err
		}
		for i := run.From; i < run.From+run.Count; i++ {
			t := j.tasks[i]
			if t.state() != taskDelegated || t.attempts() != run.Attempt {
				return &ContradictionError{Job: j.ID, Index: i, Reason: "returned while not delegated"}
			}
			m.release(taskKey{job: j, index: i})
			j.set(i, t.with(j.end(i, run)))
		}
		m.settle(j, r.At)
	}
	return nil
}

// end notes how an attempt of task i ended and returns the task's new state.
func (j *jobState) end(i int, run returnedRun) taskState {
	if run.End == delegation.EndFinished {
		delete(j.details, i)
		return taskFinished
	}
	if run.Error != "" {
		j.lastError = run.Error
	}
	if run.End == delegation.EndEvicted {
		j.evictions++
	}
	switch {
	case j.cancelled:
		return taskCancelled
	case run.Final:
		return taskFailed
	default:
		j.note(i, run)
		return taskQueued
	}
}

// note keeps what the next attempt of task i needs.
func (j *jobState) note(i int, run returnedRun) {
	d := j.details[i]
	switch run.End {
	case delegation.EndFailed:
		d.Failures++
	case delegation.EndLost:
		d.Losses++
	}
	if run.Checkpoint != "" {
		d.Checkpoint = run.Checkpoint
		d.Progress = run.Progress
	}
	if d == (detail{}) {
		return
	}
	if j.details == nil {
		j.details = make(map[int]detail)
	}
	j.details[i] = d
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

func (m *Machine) cancel(j *jobState, at int64) {
	if j.final() {
		return
	}
	j.cancelled = true
	for i, t := range j.tasks {
		switch t.state() {
		case taskQueued:
			j.set(i, t.with(taskCancelled))
		case taskDelegated:
			m.askToStop(taskKey{job: j, index: i})
		}
	}
	m.settle(j, at)
}

// askToStop queues a cancel for a task that its cell is known to have. One
// that it is not known to have is offered until the cell answers, and then
// cancelled: only then is it certain that no offer is still to arrive.
func (m *Machine) askToStop(key taskKey) {
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
		m.weight -= j.weight()
		delete(m.jobs, id)
		return true
	})
}
