package queue

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

const (
	// maxReleased bounds the tasks of one release.
	maxReleased = 512
	// maxChoices bounds the kinds of tasks for which one release finds no cell.
	maxChoices = 256
)

// Reasons why a job waits, as callers see them.
const (
	waitTurn     = "waits for jobs of higher priority"
	waitQuota    = "the team's quota is in use"
	waitOverQuot = "a task needs more than the quota of the team's shard"
	waitRoom     = "no cell has room"
	waitOut      = "every data centre that could hold it is out"
	waitSettings = "settings are not confirmed to be current"
)

// Chooser picks the cell for a task of a job. Without a cell it returns the
// reason.
type Chooser interface {
	Choose(need fleet.Resources, allowed []fleet.DataCentre, urgent bool) (cell shard.ID, wait string)
}

// releasePlan decides which queued tasks go to which cell, in order of
// effective priority. Delegated resources stay within quota. A job that the
// quota can't take now holds back those behind it, so that small tasks don't
// starve large ones; one that no cell can take does not.
func (m *Machine) releasePlan(now time.Time, quota fleet.Resources, cells Chooser) *delegated {
	p := &planner{
		quota:  quota,
		used:   m.used,
		cells:  cells,
		failed: make(map[shape]string),
	}
	m.order.byPriority(now, func(j *jobState) bool {
		return p.take(j) && len(p.failed) < maxChoices && p.count < maxReleased
	})
	if p.count == 0 {
		return nil
	}
	return &p.plan
}

type planner struct {
	quota  fleet.Resources
	used   fleet.Resources
	cells  Chooser
	plan   delegated
	count  int
	failed map[shape]string // why no cell was found
}

// shape is all of a task that the choice of a cell depends on.
type shape struct {
	need        fleet.Resources
	dataCentres string
	urgent      bool
}

func (j *jobState) shape() shape {
	s := shape{need: j.Resources, urgent: j.urgent()}
	for _, dc := range j.DataCentres {
		s.dataCentres += string(dc) + "\n"
	}
	return s
}

// take plans as many tasks of a job as it can and reports whether jobs behind
// it may be looked at.
func (p *planner) take(j *jobState) bool {
	if !j.Resources.Fits(p.quota) {
		j.waiting = waitOverQuot
		return true
	}
	kind := j.shape()
	j.waiting = p.failed[kind]
	if j.waiting != "" {
		return true
	}
	for i := j.nextQueued(0); i >= 0 && p.count < maxReleased; i = j.nextQueued(i + 1) {
		used := p.used.Add(j.Resources)
		if !used.Fits(p.quota) {
			j.waiting = waitQuota
			return false
		}
		cell, wait := p.cells.Choose(j.Resources, j.DataCentres, j.urgent())
		if wait != "" {
			j.waiting = wait
			p.failed[kind] = wait
			return true
		}
		p.used = used
		p.add(j, i, cell)
	}
	return true
}

func (p *planner) add(j *jobState, index int, cell shard.ID) {
	p.count++
	if n := len(p.plan.Runs); n > 0 {
		last := &p.plan.Runs[n-1]
		if last.Job == j.ID && last.Cell == cell && last.From+last.Count == index {
			last.Count++
			return
		}
	}
	p.plan.Runs = append(p.plan.Runs, delegatedRun{Job: j.ID, From: index, Count: 1, Cell: cell})
}

// returns builds the record of outcomes that cell gave back. Outcomes of
// attempts that the cell does not hold were returned before and are left out.
// It returns nil if nothing is left.
func (m *Machine) returns(cell shard.ID, outcomes []delegation.Outcome, limits attemptLimits, now time.Time) *returned {
	r := &returned{At: now.UnixMilli()}
	seen := make(map[taskKey]bool)
	for _, o := range outcomes {
		key, ok := m.held(cell, o.Task, o.Attempt)
		if !ok || seen[key] {
			continue
		}
		seen[key] = true
		run := returnedRun{
			Job:     key.job.ID,
			From:    key.index,
			Count:   1,
			Attempt: o.Attempt,
			End:     o.End,
		}
		if o.End != delegation.EndFinished {
			run.Final = limits(key.job).reached(key.job.details[key.index], o.End)
			run.Error = o.Error[:min(len(o.Error), maxErrorBytes)]
		}
		if o.End != delegation.EndFinished && len(o.Checkpoint) <= maxCheckpointBytes {
			run.Checkpoint = o.Checkpoint
			run.Progress = o.CheckpointProgress
		}
		r.add(run)
	}
	if len(r.Runs) == 0 {
		return nil
	}
	return r
}

const (
	// maxReturned bounds the outcomes of one record.
	maxReturned = 256
	// maxErrorBytes bounds what is kept of a task's error.
	maxErrorBytes = 256
	// maxCheckpointBytes bounds the name of a checkpoint. A longer one is
	// not kept, and the task resumes from the one before.
	maxCheckpointBytes = 1 << 10
)

func (r *returned) add(run returnedRun) {
	if n := len(r.Runs); n > 0 {
		last := &r.Runs[n-1]
		next := *last
		next.From += next.Count
		next.Count = 1
		if next == run {
			last.Count++
			return
		}
	}
	r.Runs = append(r.Runs, run)
}

// held finds an attempt that a cell holds.
func (m *Machine) held(cell shard.ID, id fleet.TaskID, attempt fleet.Attempt) (taskKey, bool) {
	name, index, ok := parseTaskID(id)
	if !ok {
		return taskKey{}, false
	}
	j := m.jobs[name]
	if j == nil || index >= len(j.tasks) || j.tasks[index].attempts() != attempt {
		return taskKey{}, false
	}
	key := taskKey{job: j, index: index}
	d := m.delegations[key]
	return key, d != nil && d.cell.id == cell
}

// attemptLimits gives the limits in force for a job.
type attemptLimits func(*jobState) attemptLimit

// attemptLimit bounds the attempts of one task that end badly.
type attemptLimit struct {
	failures int // of the task itself
	losses   int // with the worker
}

// reached reports whether a task that has been through d gets no attempt
// after one that ended in end.
func (l attemptLimit) reached(d detail, end delegation.End) bool {
	switch end {
	case delegation.EndFailed:
		return d.Failures+1 >= l.failures
	case delegation.EndLost:
		return d.Losses+1 >= l.losses
	default:
		return false
	}
}
