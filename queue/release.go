package queue

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

const (
	// maxReleaseTasks bounds the tasks of one release.
	maxReleaseTasks = 512
	// maxUnplacedShapes is the number of task shapes without a cell after which
	// a release stops.
	maxUnplacedShapes = 256
)

// Reasons for which a job waits, reported to callers in its status.
const (
	waitPriority       = "waits for jobs of higher priority"
	waitQuota          = "the team's quota is in use"
	waitOverQuota      = "a task needs more than the quota of the team's shard"
	waitCapacity       = "no cell has room"
	waitDataCentresOut = "every data centre that could hold it is out"
	waitSettings       = "settings are not confirmed to be current"
)

// Chooser chooses the cell for a task that needs the given resources. An empty
// allowed list allows all data centres. The cell avoid is chosen only if no other
// can take the task. If none can, wait is the reason, and empty otherwise.
type Chooser interface {
	Choose(need fleet.Resources, allowed []fleet.DataCentre, urgent bool, avoid shard.ID) (cell shard.ID, wait string)
}

// planRelease decides which queued tasks to delegate to which cells, in order of
// effective priority. Delegated resources stay within the quota. A job that
// exceeds what is left of the quota blocks all jobs after it, so that small
// tasks don't starve large ones. A job that no cell can take, or whose tasks
// exceed the whole quota, does not block others. planRelease returns nil if no
// task can be delegated.
func (m *Machine) planRelease(now time.Time, quota fleet.Resources, cells Chooser) *delegated {
	p := &planner{
		quota:    quota,
		used:     m.used,
		cells:    cells,
		unplaced: make(map[taskShape]string),
	}
	m.order.visitByPriority(now, func(j *jobState) bool {
		return p.planJob(j) && len(p.unplaced) < maxUnplacedShapes && p.count < maxReleaseTasks
	})
	if p.count == 0 {
		return nil
	}
	return &p.plan
}

// planner holds the state of one call of planRelease.
type planner struct {
	quota    fleet.Resources
	used     fleet.Resources
	cells    Chooser
	plan     delegated
	count    int
	unplaced map[taskShape]string // reason for which no cell was found
}

// taskShape holds everything about a task on which the choice of a cell depends.
type taskShape struct {
	need        fleet.Resources
	dataCentres string
	urgent      bool
}

func (j *jobState) shape() taskShape {
	s := taskShape{need: j.Resources, urgent: j.urgent()}
	for _, dc := range j.DataCentres {
		s.dataCentres += string(dc) + "\n"
	}
	return s
}

// planJob plans as many queued tasks of a job as possible and reports whether to
// go on with the next job.
func (p *planner) planJob(j *jobState) bool {
	if !j.Resources.Fits(p.quota) {
		j.waitReason = waitOverQuota
		return true
	}
	shape := j.shape()
	j.waitReason = p.unplaced[shape]
	if j.waitReason != "" {
		return true
	}
	for i := j.nextQueued(0); i >= 0 && p.count < maxReleaseTasks; i = j.nextQueued(i + 1) {
		used := p.used.Add(j.Resources)
		if !used.Fits(p.quota) {
			j.waitReason = waitQuota
			return false
		}
		cell, wait := p.cells.Choose(j.Resources, j.DataCentres, j.urgent(), j.failedIn[i])
		if wait != "" {
			j.waitReason = wait
			p.unplaced[shape] = wait
			return true
		}
		p.used = used
		p.addTask(j, i, cell)
	}
	return true
}

// addTask adds a task to the plan, to the last run if it continues it.
func (p *planner) addTask(j *jobState, index int, cell shard.ID) {
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

// newReturned returns the record of outcomes that a cell has returned. It leaves
// out outcomes of attempts that are not delegated to the cell, which have been
// returned before. It returns nil if nothing remains.
func (m *Machine) newReturned(cell shard.ID, outcomes []delegation.Outcome, limits attemptLimitFunc, now time.Time) *returned {
	r := &returned{At: now.UnixMilli()}
	seen := make(map[taskKey]bool)
	for _, o := range outcomes {
		key, ok := m.findHeld(cell, o.Task, o.Attempt)
		if !ok || seen[key] {
			continue
		}
		seen[key] = true
		run := returnedRun{
			Job:     key.job.ID,
			From:    key.index,
			Count:   1,
			Attempt: o.Attempt,
			End:     o.Kind,
		}
		if o.Kind != delegation.OutcomeFinished {
			run.Final = limits(key.job).exhausted(key.job.history[key.index], o.Kind)
			run.Error = o.Error[:min(len(o.Error), maxErrorBytes)]
		}
		if o.Kind != delegation.OutcomeFinished && len(o.Checkpoint) <= maxCheckpointBytes {
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
	// maxErrorBytes bounds the stored part of a task's error.
	maxErrorBytes = 256
	// maxCheckpointBytes bounds the name of a checkpoint. A longer one is
	// dropped, and the task resumes from the previous checkpoint.
	maxCheckpointBytes = 1 << 10
)

// add adds a run of one task, merged into the last run if it continues it.
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

// findHeld returns the key of a task and reports whether this attempt of it is
// delegated to the cell.
func (m *Machine) findHeld(cell shard.ID, id fleet.TaskID, attempt fleet.Attempt) (taskKey, bool) {
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

// attemptLimitFunc returns the limit in force for a job.
type attemptLimitFunc func(*jobState) attemptLimit

// attemptLimit bounds the unsuccessful attempts of one task.
type attemptLimit struct {
	failures int // attempts that the task itself failed
	losses   int // attempts lost with their worker
}

// exhausted reports whether a task with history h gets no further attempt after
// one that ended with end.
func (l attemptLimit) exhausted(h taskHistory, end delegation.OutcomeKind) bool {
	switch end {
	case delegation.OutcomeFailed:
		return h.Failures+1 >= l.failures
	case delegation.OutcomeLost:
		return h.Losses+1 >= l.losses
	default:
		return false
	}
}
