// Package workload names the work that the dispatcher places on workers: jobs
// of ordered steps, their tasks and runs, the queues they wait in and the
// workers they run on.
//
// It holds value types only and touches neither the network nor the clock.
package workload

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Queue is where jobs of one kind wait. Callers name it by virtual host and
// path prefix.
type Queue struct {
	Name        string
	Host        string // virtual host of its callers
	Prefix      string // of the path, with both slashes
	Service     fleet.Service
	Priority    int // 0 comes first
	MaxAttempts int // failed runs of a task before its job fails; 0: no limit
	// Stretch and Objective bound the wanted time of a job: Stretch times its
	// longest chain of work, and Objective more.
	Stretch   float64
	Objective time.Duration
	Advice    *Advice // nil: every worker of the service may run its steps
}

// Advice marks a queue whose steps run only where its policy service says.
type Advice struct {
	TicketTTL time.Duration // of a ticket, if the answer does not tell
}

// Service is a pool of workers that run the tasks of some queues.
type Service struct {
	Name fleet.Service
}

// Config is one version of the operators' configuration.
type Config struct {
	Version      int64
	Queues       []Queue
	Services     map[fleet.Service]Service
	MaxBodyBytes int64 // of a request
}

// Match returns the queue that a host and a path select: the longest prefix
// wins.
func (c *Config) Match(host, path string) (*Queue, bool) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best, best != nil
}

// Queue returns the queue of a name.
func (c *Config) Queue(name string) (*Queue, bool) {
	i := slices.IndexFunc(c.Queues, func(q Queue) bool { return q.Name == name })
	if i < 0 {
		return nil, false
	}
	return &c.Queues[i], true
}

// Step is a set of like tasks of a job.
type Step struct {
	Count          int             `json:"n"`
	Need           fleet.Resources `json:"need"` // of each task
	EstimateMS     int64           `json:"est,omitempty"`
	After          []int           `json:"after,omitempty"` // earlier steps that must be done
	Checkpoints    bool            `json:"ckpt,omitempty"`
	Gang           bool            `json:"gang,omitempty"`      // its tasks run together or not at all
	SameRack       bool            `json:"same_rack,omitempty"` // a gang runs slower on several racks
	Label          string          `json:"label,omitempty"`     // that its workers must have
	DataRack       fleet.Rack      `json:"data_rack,omitempty"` // runs slower on other racks
	MaxPerWorker   int             `json:"per_worker,omitempty"`
	Speculative    bool            `json:"spec,omitempty"`    // copies may run, the first end counts
	Serving        bool            `json:"serving,omitempty"` // runs until the job is cancelled
	Image          string          `json:"image,omitempty"`
	TargetMS       int64           `json:"target,omitempty"`  // bound of a serving task's tail latency
	BestEffort     bool            `json:"filling,omitempty"` // uses the processor that others leave
	MaxUnavailable int             `json:"away,omitempty"`    // serving tasks that we may have away at once
}

// Estimate is the submitter's rough run time of a task.
func (s *Step) Estimate() time.Duration { return time.Duration(s.EstimateMS) * time.Millisecond }

// Job is a submission.
type Job struct {
	ID         fleet.JobID `json:"id"`
	Queue      string      `json:"queue"`
	Payload    string      `json:"payload"` // handed to each run as it is
	Steps      []Step      `json:"steps"`
	Repeats    int         `json:"repeats,omitempty"` // occurrences in time; 0: one, at once
	FirstMS    int64       `json:"first,omitempty"`   // Unix time of the first occurrence
	IntervalMS int64       `json:"every,omitempty"`
	AcceptedMS int64       `json:"at"` // Unix time
}

// Occurrences is how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeats) }

// HasServingStep reports whether a step of the job runs until it is cancelled.
func (j *Job) HasServingStep() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.Serving })
}

// State of a job. Completed, failed and cancelled are final.
type State string

// Job states.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// TaskName identifies a task: job, occurrence, step, index in the step.
type TaskName struct {
	Job        fleet.JobID
	Occurrence int
	Step       int
	Index      int
}

func (n TaskName) String() string {
	return n.StepName() + "." + strconv.Itoa(n.Index)
}

// StepName names the step that the task belongs to.
func (n TaskName) StepName() string {
	return string(n.Job) + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step)
}

// ParseTaskName reads the form that String writes.
func ParseTaskName(text string) (TaskName, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, false
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskName{}, false
		}
		numbers[i] = n
	}
	return TaskName{Job: fleet.JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}

// Worker is one life of a machine that runs tasks.
type Worker struct {
	ID         fleet.WorkerID
	StartedMS  int64 // Unix time of its start; tells its lives apart
	Service    fleet.Service
	Address    string // host:port
	DataCentre fleet.DataCentre
	Labels     []string
	Rack       fleet.Rack
	Capacity   fleet.Resources
	Draining   bool
}

// Outcome is how a run ended.
type Outcome string

// Ends of a run.
const (
	OutcomeDone         Outcome = "done"
	OutcomeFailed       Outcome = "failed"  // its own or the worker's fault
	OutcomeStopped      Outcome = "stopped" // by order
	OutcomeLeaseExpired Outcome = "lapsed"  // its lease ended
	OutcomeGangBroken   Outcome = "broken"  // another member of its gang ended
	OutcomeGangTimeout  Outcome = "alone"   // waited in vain for its gang
)

// ActiveRun is a run that a worker has.
type ActiveRun struct {
	Task        TaskName
	Run         int
	Checkpoint  string
	PercentDone int // of its work; 100 for a serving task that is at work
	// Gauge is the tail latency in ms of a serving task, and the millicores
	// in use of any other.
	Gauge int64
}

// EndedRun is a run that has ended on a worker.
type EndedRun struct {
	Sequence   int64 // rises in one life of a worker
	Task       TaskName
	Run        int
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to a renewal.
type Report struct {
	StartedMS int64
	ClockMS   int64 // of the worker
	Running   []ActiveRun
	Ended     []EndedRun
}

// Progress is what is durable of a job's tasks beside its state.
type Progress struct {
	Tasks []TaskProgress `json:"t,omitempty"`
}

// TaskProgress is what is durable of one task.
type TaskProgress struct {
	Occurrence int    `json:"k,omitempty"`
	Step       int    `json:"s,omitempty"`
	Index      int    `json:"i,omitempty"`
	Run        int    `json:"r,omitempty"` // highest run known
	Done       bool   `json:"d,omitempty"`
	Failed     []int  `json:"f,omitempty"` // the runs that failed
	Checkpoint string `json:"c,omitempty"`
	// Worker has the newest run, if that has not ended.
	Worker fleet.WorkerID `json:"w,omitempty"`
}

// MachineState is what a machine does.
type MachineState string

// States of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "upkeep"
	MachineDown        MachineState = "down"
)

// Machine is what a worker is one life of.
type Machine struct {
	ID     string
	Pool   fleet.Service
	State  MachineState
	Worker fleet.WorkerID // its present life
}

// Wave asks for the upkeep of machines.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration // in which all should have had it
	MaxDown  int           // machines down at once
}
