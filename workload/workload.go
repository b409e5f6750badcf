// Package workload defines the work that the dispatcher places on workers: jobs
// of ordered steps, their tasks and runs, the queues they wait in and the
// workers they run on. A task is an element of a step; a run is one attempt at
// a task.
//
// It contains value types only and uses neither the network nor the clock.
package workload

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Queue holds waiting jobs of one kind. Callers select it by virtual host and
// path prefix.
type Queue struct {
	Name        string
	Host        string // virtual host of requests
	Prefix      string // of request paths, with leading and trailing slash
	Service     fleet.Service
	Priority    int // 0 is the highest
	MaxAttempts int // failed runs of a task before its job fails; 0: no limit
	// Stretch and Objective set the target completion time of a job: Stretch
	// times the run time of its critical path, plus Objective.
	Stretch   float64
	Objective time.Duration
	Advice    *Advice // nil: any worker of the service may run its steps
	Public    bool    // callers need no key
}

// Advice marks a queue whose steps may run only on workers for which the advice
// service has issued a ticket.
type Advice struct {
	TicketTTL time.Duration // if the advice service does not return one
}

// Service is a pool of workers that run the tasks of the queues assigned to it.
type Service struct {
	Name fleet.Service
}

// Config is one version of the operators' configuration.
type Config struct {
	Version    int64
	Queues     []Queue
	Services   map[fleet.Service]Service
	Workspaces []Workspace // by name, ascending; entries that do not hold are left out
	// KeysRequired means that callers of queues that aren't public need a key of a
	// workspace. It is set if the deployment has workspaces, though all are left out or
	// removed.
	KeysRequired bool
	MaxBodyBytes int64 // of a request
}

// Match returns the queue for a request's host and path. The longest matching
// prefix wins. Hosts are compared without regard to case.
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

// Queue returns the queue called name.
func (c *Config) Queue(name string) (*Queue, bool) {
	i := slices.IndexFunc(c.Queues, func(q Queue) bool { return q.Name == name })
	if i < 0 {
		return nil, false
	}
	return &c.Queues[i], true
}

// Workspace returns the workspace called name.
func (c *Config) Workspace(name string) (*Workspace, bool) {
	i, found := slices.BinarySearchFunc(c.Workspaces, name, func(w Workspace, name string) int { return strings.Compare(w.Name, name) })
	if !found {
		return nil, false
	}
	return &c.Workspaces[i], true
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count          int             `json:"n"`
	Need           fleet.Resources `json:"need"` // of each task
	EstimateMS     int64           `json:"est,omitempty"`
	After          []int           `json:"after,omitempty"` // indexes of earlier steps that must complete first
	Checkpoints    bool            `json:"ckpt,omitempty"`
	Gang           bool            `json:"gang,omitempty"`       // gang scheduling: its tasks run together or not at all
	SameRack       bool            `json:"same_rack,omitempty"`  // a gang that spans racks runs slower
	Label          string          `json:"label,omitempty"`      // required label of the worker
	DataRack       fleet.Rack      `json:"data_rack,omitempty"`  // rack of the input data; tasks run slower on others
	MaxPerWorker   int             `json:"per_worker,omitempty"` // 0: no limit
	Speculative    bool            `json:"spec,omitempty"`       // duplicate runs are allowed; the first to end counts
	Serving        bool            `json:"serving,omitempty"`    // runs until the job is cancelled
	Image          string          `json:"image,omitempty"`
	TargetMS       int64           `json:"target,omitempty"`  // tail latency objective of a serving task
	BestEffort     bool            `json:"filling,omitempty"` // uses processor time that other tasks leave idle
	MaxUnavailable int             `json:"away,omitempty"`    // serving tasks that planned disruptions may leave unavailable at once
}

// Estimate is the submitter's estimate of a task's run time.
func (s *Step) Estimate() time.Duration { return time.Duration(s.EstimateMS) * time.Millisecond }

// Job is a submitted job.
type Job struct {
	ID         fleet.JobID `json:"id"`
	Queue      string      `json:"queue"`
	Payload    string      `json:"payload"` // opaque; passed to each run
	Steps      []Step      `json:"steps"`
	Repeats    int         `json:"repeats,omitempty"` // number of occurrences; 0: one, immediately
	FirstMS    int64       `json:"first,omitempty"`   // Unix time of the first occurrence
	IntervalMS int64       `json:"every,omitempty"`   // between occurrences
	AcceptedMS int64       `json:"at"`                // Unix time
	Workspace  string      `json:"ws,omitempty"`      // that submitted it; empty: none, its queue was public
	Source     uint32      `json:"src,omitempty"`     // hash of its workspace or of the address that it came from
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeats) }

// HasServingStep reports whether the job has a step that runs until the job is
// cancelled.
func (j *Job) HasServingStep() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.Serving })
}

// State is the state of a job. Completed, failed and cancelled are final.
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

// TaskName identifies a task by job, occurrence of the job, step, and index in
// the step.
type TaskName struct {
	Job        fleet.JobID
	Occurrence int
	Step       int
	Index      int
}

func (n TaskName) String() string {
	return n.StepName() + "." + strconv.Itoa(n.Index)
}

// StepName returns the name of the step that the task belongs to.
func (n TaskName) StepName() string {
	return string(n.Job) + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step)
}

// ParseTaskName parses the form that TaskName.String returns, and returns false
// if text does not have it.
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

// Worker is one incarnation of a machine that runs tasks. Its JSON form is stored
// under the field names: a renamed field needs a tag that keeps the stored key.
type Worker struct {
	ID         fleet.WorkerID
	StartedMS  int64 `json:"BornMS"` // Unix time of its start; distinguishes incarnations
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

// Outcomes of a run.
const (
	OutcomeDone         Outcome = "done"
	OutcomeFailed       Outcome = "failed"  // through its own fault or the worker's
	OutcomeStopped      Outcome = "stopped" // by a stop command
	OutcomeLeaseExpired Outcome = "lapsed"  // its lease expired
	OutcomeGangBroken   Outcome = "broken"  // another run of its gang ended
	OutcomeGangTimeout  Outcome = "alone"   // the rest of its gang did not start in time
)

// ActiveRun is a run that is in progress on a worker.
type ActiveRun struct {
	Task        TaskName
	Run         int
	Checkpoint  string
	PercentDone int // 100 for a serving task that is ready
	// Gauge is the tail latency in ms for a serving task, and the millicores
	// in use for any other.
	Gauge int64
}

// EndedRun is a run that has ended on a worker.
type EndedRun struct {
	Sequence   int64 // increases within one incarnation of the worker
	Task       TaskName
	Run        int
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's response to a lease renewal.
type Report struct {
	StartedMS int64 // Unix time at which the worker's current incarnation started
	ClockMS   int64 // the worker's clock
	Running   []ActiveRun
	Ended     []EndedRun
	// EndsTruncated means that further ends may follow those in Ended, the oldest ones
	// that the worker has not forgotten. Running is always complete.
	EndsTruncated bool
}

// Progress is the durable state of a job's tasks. Hosts of earlier builds stored the tasks
// that are done among Tasks.
type Progress struct {
	// EndedOccurrences are the occurrences of which all tasks are done.
	EndedOccurrences []Range `json:"o,omitempty"`
	// Done are tasks of other occurrences that are done.
	Done []TaskRange `json:"e,omitempty"`
	// Tasks are those that have been started and are in neither of these.
	Tasks []TaskProgress `json:"t,omitempty"`
}

// Range is a range of numbers.
type Range struct {
	First int `json:"i,omitempty"`
	Count int `json:"n"`
}

// TaskRange is a range of the tasks of a step.
type TaskRange struct {
	Occurrence int `json:"k,omitempty"`
	Step       int `json:"s,omitempty"`
	Range
}

// next is the number that follows the range.
func (r Range) next() int { return r.First + r.Count }

// EndOccurrence adds an occurrence that is done. It follows the ones added before.
func (p *Progress) EndOccurrence(k int) {
	if n := len(p.EndedOccurrences); n > 0 && p.EndedOccurrences[n-1].next() == k {
		p.EndedOccurrences[n-1].Count++
		return
	}
	p.EndedOccurrences = append(p.EndedOccurrences, Range{k, 1})
}

// EndTask adds a task that is done. It follows the ones added before.
func (p *Progress) EndTask(name TaskName) {
	if n := len(p.Done); n > 0 {
		last := &p.Done[n-1]
		if last.Occurrence == name.Occurrence && last.Step == name.Step && last.next() == name.Index {
			last.Count++
			return
		}
	}
	p.Done = append(p.Done, TaskRange{name.Occurrence, name.Step, Range{name.Index, 1}})
}

// TaskProgress is the durable state of one task.
type TaskProgress struct {
	Occurrence int     `json:"k,omitempty"`
	Step       int     `json:"s,omitempty"`
	Index      int     `json:"i,omitempty"`
	Run        int     `json:"r,omitempty"` // highest run number known
	Done       bool    `json:"d,omitempty"`
	Failed     []int   `json:"f,omitempty"` // numbers of the runs that failed
	Checkpoint string  `json:"c,omitempty"`
	Crashes    []Crash `json:"x,omitempty"` // of workers under its runs
	// Worker runs the latest run; empty if that has ended.
	Worker fleet.WorkerID `json:"w,omitempty"`
	// Confirmed means that the latest run is known to have been executed.
	Confirmed bool `json:"a,omitempty"`
	// Bound means that Worker may still execute an earlier start that got no answer. Until when is
	// in the worker's record.
	Bound bool `json:"b,omitempty"`
}

// Crash is the crash of a worker under a run of a task.
type Crash struct {
	Run    int `json:"r"`
	Weight int `json:"w"` // as evidence that the task caused it
}

// MachineState is the state of a machine.
type MachineState string

// States of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "upkeep"
	MachineDown        MachineState = "down"
)

// Machine is a machine of the platform. Each of its incarnations is a worker.
type Machine struct {
	ID      string
	Service fleet.Service // pool that the machine belongs to
	State   MachineState
	Worker  fleet.WorkerID // its current incarnation
}

// Wave is an operator's request for the maintenance of machines.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration // in which the maintenance of all machines should end
	MaxDown  int           // limit of machines that are down at once
}
