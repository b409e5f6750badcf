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
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// taskState is the durable state of a task.
type taskState uint32

const (
	taskQueued taskState = iota
	taskDelegated
	taskFinished
	taskFailed
	taskCancelled
	taskStateCount
)

// task packs a task's state into the low bits and the number of its attempts
// into the others, so that a job of 10,000 tasks stays small in memory.
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

func (t task) withState(s taskState) task { return t&^taskStateMask | task(s) }

// taskHistory counts the failed and lost attempts of a task and holds its latest
// checkpoint.
type taskHistory struct {
	Failures   int     `cbor:"1,keyasint,omitempty"`
	Losses     int     `cbor:"2,keyasint,omitempty"`
	Checkpoint string  `cbor:"3,keyasint,omitempty"`
	Progress   float64 `cbor:"4,keyasint,omitempty"` // at the checkpoint
}

// jobState is the state of one job.
//
// Invariants: counts[s] is the number of tasks in state s; no task with an
// index below queuedFrom is queued; ended is nonzero if and only if no task is
// queued or delegated.
type jobState struct {
	submitted
	tasks      []task
	counts     [taskStateCount]int
	queuedFrom int
	history    map[int]taskHistory // by task index
	cancelled  bool
	ended      int64 // Unix time in milliseconds, 0 while not ended
	evictions  int
	lastError  string

	running    int              // delegated tasks reported as running; not durable
	failedIn   map[int]shard.ID // cell in which the last attempt of a task failed, by task index; not durable
	waitReason string           // why queued tasks wait; not durable
}

func newJobState(s submitted) *jobState {
	j := &jobState{submitted: s, tasks: make([]task, s.Tasks)}
	j.counts[taskQueued] = s.Tasks
	return j
}

// setTask changes the state of task i and maintains all invariants except the
// one on ended, which updateDerived restores.
func (j *jobState) setTask(i int, t task) {
	j.counts[j.tasks[i].state()]--
	j.counts[t.state()]++
	j.tasks[i] = t
	if t.state() == taskQueued {
		j.queuedFrom = min(j.queuedFrom, i)
	}
}

// nextQueued returns the index of the first queued task at or after from, or -1
// if there is none.
func (j *jobState) nextQueued(from int) int {
	for i := max(from, j.queuedFrom); i < len(j.tasks); i++ {
		if j.tasks[i].state() == taskQueued {
			return i
		}
	}
	return -1
}

// final reports whether every task has reached a final state.
func (j *jobState) final() bool {
	return j.counts[taskQueued]+j.counts[taskDelegated] == 0
}

// matches reports whether spec equals the submission that created the job.
func (j *jobState) matches(spec job.Spec) bool {
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
	// maxStateBytes bounds the estimated snapshot size of all jobs of a shard,
	// ended ones included. It is well below wal.MaxSnapshotBytes so that the
	// snapshot fits even if many tasks have a checkpoint, which the estimate
	// does not count.
	maxStateBytes = 7 << 20
	// jobBytes and taskBytes are upper bounds of the bytes that a job and a
	// task take in a snapshot, without the job's strings.
	jobBytes  = 384
	taskBytes = 16
)

// snapshotBytes returns an upper bound of the bytes that the job takes in a
// snapshot, without checkpoints.
func (j *submitted) snapshotBytes() int {
	w := jobBytes + j.Tasks*taskBytes + len(j.Command) + len(j.ID) + len(j.Team) + len(j.Organisation) + len(j.Class)
	for _, dc := range j.DataCentres {
		w += len(dc) + 2
	}
	return w
}

// isFull reports whether the job spec would take the shard beyond
// maxStateBytes.
func (m *Machine) isFull(spec job.Spec) bool {
	s := newSubmitted(spec, settings.Resolved{}, time.Time{})
	return m.snapshotBytes+s.snapshotBytes() > maxStateBytes
}

// TaskID returns the ID of the task of a job at index.
func TaskID(id fleet.JobID, index int) fleet.TaskID {
	return fleet.TaskID(string(id) + "/" + strconv.Itoa(index))
}

// parseTaskID is the inverse of TaskID. It reports false for an ID that TaskID
// does not return.
func parseTaskID(id fleet.TaskID) (fleet.JobID, int, bool) {
	slash := strings.LastIndexByte(string(id), '/')
	if slash < 0 {
		return "", 0, false
	}
	text := string(id[slash+1:])
	index, err := strconv.Atoi(text)
	// Other spellings of the index, such as "01" or "+1", are not valid.
	return fleet.JobID(id[:slash]), index, err == nil && index >= 0 && strconv.Itoa(index) == text
}

func attemptRef(id fleet.JobID, index int, attempt fleet.Attempt) inventory.AttemptRef {
	return inventory.AttemptRef{Task: TaskID(id, index), Attempt: attempt}
}
