package queue

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

// taskState is the durable state of a task.
type taskState uint32

const (
	taskQueued taskState = iota
	taskDelegated
	taskFinished
	taskFailed
	taskCancelled
	taskStates
)

// task is a task's state in the low bits and the number of its attempts in
// the others, so that a job of 10,000 tasks stays small.
type task uint32

const (
	taskStateBits = 3
	taskStateMask = 1<<taskStateBits - 1
)

func newTask(s taskState, attempts fleet.Attempt) task {
	return task(attempts)<<taskStateBits | task(s)
}

func (t task) state() taskState        { return taskState(t & taskStateMask) }
func (t task) attempts() fleet.Attempt { return fleet.Attempt(t >> taskStateBits) }

func (t task) with(s taskState) task { return t&^taskStateMask | task(s) }

// detail is what is kept of a task that was interrupted or failed before.
type detail struct {
	Failures   int     `cbor:"1,keyasint,omitempty"`
	Losses     int     `cbor:"2,keyasint,omitempty"`
	Checkpoint string  `cbor:"3,keyasint,omitempty"`
	Progress   float64 `cbor:"4,keyasint,omitempty"` // at the checkpoint
}

// jobState is one job.
//
// Invariants: counts[s] is the number of tasks in state s; no task below next
// is queued; ended is set exactly when no task is queued or delegated.
type jobState struct {
	submitted
	tasks     []task
	counts    [taskStates]int
	next      int
	details   map[int]detail
	cancelled bool
	ended     int64 // Unix time in milliseconds, 0 while not ended
	evictions int
	lastError string

	running int    // delegated tasks seen running; not durable
	waiting string // why its tasks wait; not durable
}

func newJobState(s submitted) *jobState {
	j := &jobState{submitted: s, tasks: make([]task, s.Tasks)}
	j.counts[taskQueued] = s.Tasks
	return j
}

// set changes the state of a task and keeps the invariants but for ended.
func (j *jobState) set(i int, t task) {
	j.counts[j.tasks[i].state()]--
	j.counts[t.state()]++
	j.tasks[i] = t
	if t.state() == taskQueued {
		j.next = min(j.next, i)
	}
}

// nextQueued returns the first queued task from index from, or -1.
func (j *jobState) nextQueued(from int) int {
	for i := max(from, j.next); i < len(j.tasks); i++ {
		if j.tasks[i].state() == taskQueued {
			return i
		}
	}
	return -1
}

func (j *jobState) final() bool {
	return j.counts[taskQueued]+j.counts[taskDelegated] == 0
}

// same reports whether spec is the submission that created the job.
func (j *jobState) same(spec job.Spec) bool {
	declared := j.Declared == nil && spec.Priority == nil ||
		j.Declared != nil && spec.Priority != nil && *j.Declared == *spec.Priority
	return declared &&
		j.Organisation == spec.Organisation &&
		j.Team == spec.Team &&
		j.Class == spec.Class &&
		j.Tasks == spec.Tasks &&
		j.Resources == spec.Resources &&
		j.Command == spec.Command &&
		slices.Equal(j.DataCentres, spec.DataCentres)
}

const (
	// maxWeight bounds the jobs of a shard, ended ones included, so that the
	// snapshot stays well within what the journal can hold, also when many
	// tasks have a checkpoint.
	maxWeight = 7 << 20
	// jobWeight and taskWeight are what a job and a task take in a snapshot
	// at most, without the job's strings.
	jobWeight  = 384
	taskWeight = 16
)

// weight returns an upper bound of the job's bytes in a snapshot, without
// checkpoints.
func (j *submitted) weight() int {
	w := jobWeight + j.Tasks*taskWeight + len(j.Command) + len(j.ID) + len(j.Team) + len(j.Organisation) + len(j.Class)
	for _, dc := range j.DataCentres {
		w += len(dc) + 2
	}
	return w
}

// isFull reports whether the shard has no room for another job.
func (m *Machine) isFull(spec job.Spec) bool {
	s := newSubmitted(spec, settings.Resolved{}, time.Time{})
	return m.weight+s.weight() > maxWeight
}

// TaskID returns the ID of a task of a job.
func TaskID(id fleet.JobID, index int) fleet.TaskID {
	return fleet.TaskID(string(id) + "/" + strconv.Itoa(index))
}

// parseTaskID returns the job and index of a task.
func parseTaskID(id fleet.TaskID) (fleet.JobID, int, bool) {
	at := strings.LastIndexByte(string(id), '/')
	if at < 0 {
		return "", 0, false
	}
	text := string(id[at+1:])
	index, err := strconv.Atoi(text)
	// Only the form that TaskID writes names the task.
	return fleet.JobID(id[:at]), index, err == nil && index >= 0 && strconv.Itoa(index) == text
}

func attemptRef(id fleet.JobID, index int, attempt fleet.Attempt) inventory.AttemptRef {
	return inventory.AttemptRef{Task: TaskID(id, index), Attempt: attempt}
}
