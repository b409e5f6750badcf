package scheduler

import (
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// Worker is the state of a worker in a Snapshot.
type Worker struct {
	ID       fleet.WorkerID
	Rack     fleet.Rack
	Capacity fleet.Resources // net of what backend servers reserve
	Used     fleet.Resources // by tasks placed there that are not known to have ended
	Live     bool            // the platform lists it as live and it responds
	// Quarantined workers get no tasks, except one at a time if Probe is set.
	Quarantined bool
	Probe       bool
	Tasks       int // placed there and not known to have ended
	// Reserved workers are being freed for entitled tasks. They get only those
	// and urgent ones.
	Reserved bool

	plannedMilliCores int64 // placed by this plan
}

// Task is a task that waits for placement.
type Task struct {
	inventory.AttemptRef
	Organisation fleet.Organisation
	Job          fleet.JobID
	Class        fleet.JobClass
	Priority     int
	Entitled     bool // covered by its organisation's guarantee
	Declared     fleet.Resources
	Observed     fleet.Resources // high quantile of the use by tasks of the class; zero if unknown
	Checkpoint   bool            // resumes from a checkpoint
	LastWorker   fleet.WorkerID  // ran the previous attempt; "" if unknown
	// FailedOn lists the workers on which earlier attempts failed of their own
	// accord.
	FailedOn    []fleet.WorkerID
	AcceptOrder uint64 // tasks accepted earlier come first at equal priority
}

// CostModel predicts the interference of tasks with services.
type CostModel interface {
	// Pressure returns the latency that is expected of the most affected
	// service on worker, as a multiple of its objective, if tasks of class
	// were added with milliCores. It is 0 without services.
	Pressure(worker fleet.WorkerID, class fleet.JobClass, milliCores int64) float64
}

// JobRack is the key by which running tasks are counted.
type JobRack struct {
	Job  fleet.JobID
	Rack fleet.Rack
}

// Snapshot is the input of Plan, which does not change it.
type Snapshot struct {
	InService   bool // operators allow work in the data centre
	Workers     []Worker
	Tasks       []Task
	TasksByRack map[JobRack]int // number of running tasks
	Cost        CostModel       // nil: interference is unknown
	// Budget limits the declared resources of all placements; nil: no limit.
	Budget *fleet.Resources
	// Lendable limits the placements of tasks that are neither urgent nor
	// entitled; nil: no limit.
	Lendable *fleet.Resources
}

// Placement assigns a task to a worker.
type Placement struct {
	Task   inventory.AttemptRef
	Worker fleet.WorkerID
	Size   fleet.Resources // to reserve; at least the declared resources
}

// Reason is why a task was not placed.
type Reason string

// Reasons why a task was not placed. If workers were rejected for different
// reasons, the one of the last worker by ID is reported.
const (
	ReasonDataCentreOut  Reason = "data_centre_out"
	ReasonNotLive        Reason = "worker_not_live"
	ReasonQuarantined    Reason = "worker_quarantined"
	ReasonFailedOnWorker Reason = "failed_on_worker"
	ReasonNoFit          Reason = "no_capacity"
	ReasonReserved       Reason = "reserved"
	ReasonBudget         Reason = "refilling"
	ReasonNoWorkers      Reason = "no_workers"
)

// Unplaced is a task without a worker.
type Unplaced struct {
	Task   inventory.AttemptRef
	Reason Reason
}

// Result is the outcome of Plan.
type Result struct {
	Placements []Placement
	Unplaced   []Unplaced
}

// Size returns the resources to reserve for a task on a worker: the observed
// use of its class if that is above the declared resources. The observed use
// counts at most up to the capacity of the worker; the result is never below
// the declared resources.
func Size(declared, observed, capacity fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCores:   max(declared.MilliCores, min(observed.MilliCores, capacity.MilliCores)),
		MemoryMB:     max(declared.MemoryMB, min(observed.MemoryMB, capacity.MemoryMB)),
		Accelerators: max(declared.Accelerators, min(observed.Accelerators, capacity.Accelerators)),
	}
}
