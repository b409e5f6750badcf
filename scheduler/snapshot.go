package scheduler

import (
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// Worker is a worker of the cell as the plan sees it.
type Worker struct {
	ID       fleet.WorkerID
	Rack     fleet.Rack
	Capacity fleet.Resources // net of what backend servers reserve
	Used     fleet.Resources // by tasks placed there and not surely ended
	Live     bool            // the platform lists it as live and it answers
	// Quarantined workers take no tasks, but for one at a time if Probe is
	// set.
	Quarantined bool
	Probe       bool
	Tasks       int // placed there and not surely ended
	// Reserved workers are being cleared for entitled tasks and take no
	// others but urgent ones.
	Reserved bool

	planned int64 // thousandths of cores given by this plan
}

// Task is a task that waits for a worker.
type Task struct {
	inventory.AttemptRef
	Organisation fleet.Organisation
	Job          fleet.JobID
	Class        fleet.JobClass
	Priority     int
	Entitled     bool // covered by its organisation's guarantee
	Declared     fleet.Resources
	Observed     fleet.Resources // high quantile of what tasks of the class used; zero if unknown
	Checkpoint   bool            // resumes from a checkpoint
	LastWorker   fleet.WorkerID  // ran the attempt before, "" if unknown
	// FailedOn are the workers where earlier attempts failed by themselves.
	FailedOn    []fleet.WorkerID
	AcceptOrder uint64 // of acceptance; earlier first at equal priority
}

// CostModel gives the pressure expected on the worst-off service of a worker if
// tasks of a class were added with that many thousandths of a core: its latency
// as a multiple of its objective, 0 without services.
type CostModel interface {
	Pressure(worker fleet.WorkerID, class fleet.JobClass, milliCores int64) float64
}

// JobRack counts the running tasks of a job in a rack.
type JobRack struct {
	Job  fleet.JobID
	Rack fleet.Rack
}

// Snapshot is what a plan is made from. Plan does not change it.
type Snapshot struct {
	Open        bool // operators let work into the data centre
	Workers     []Worker
	Tasks       []Task
	TasksByRack map[JobRack]int // running tasks
	Cost        CostModel       // nil: no interference known
	// Budget is how much may be placed in all; nil is no limit.
	Budget *fleet.Resources
	// Lendable is how much may be placed in all of tasks that are neither
	// urgent nor entitled; nil is no limit.
	Lendable *fleet.Resources
}

// Placement gives a task to a worker.
type Placement struct {
	Task   inventory.AttemptRef
	Worker fleet.WorkerID
	Size   fleet.Resources // to set aside, at least what was declared
}

// Reason tells why a task was not placed.
type Reason string

// Reasons, the names of the filters among them. Of several that apply, the
// one of the filter that stopped the last worker is given.
const (
	ReasonClosed         Reason = "data_centre_out"
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

// Result is a plan.
type Result struct {
	Placements []Placement
	Unplaced   []Unplaced
}

// Size returns what a task of declared resources is given on a worker. A task
// gets more than it declared if its class was seen to use more, but never
// more than the worker holds in all, and never less than it declared.
func Size(declared, observed, capacity fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCores:   max(declared.MilliCores, min(observed.MilliCores, capacity.MilliCores)),
		MemoryMB:     max(declared.MemoryMB, min(observed.MemoryMB, capacity.MemoryMB)),
		Accelerators: max(declared.Accelerators, min(observed.Accelerators, capacity.Accelerators)),
	}
}
