// Package sharing decides how services and batch tasks share workers. It
// learns how much each job class costs each service beside it, and from that
// which tasks to throttle, evict and give back their processors.
//
// It does no I/O and reads no clock. A Model and a Policy belong to one cell
// and are not safe for concurrent use.
package sharing

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// Snapshot is the state of a cell at one moment.
type Snapshot struct {
	Workers []Worker
	// EvictionsPerMinute bounds the evictions of the whole cell.
	EvictionsPerMinute int
}

// Worker is a worker with the services and tasks on it.
type Worker struct {
	ID       fleet.WorkerID
	Services []Service
	Tasks    []Task
}

// Service is a service as measured on one worker.
type Service struct {
	Name      fleet.Service
	Objective time.Duration // of the 99th percentile
	P99       time.Duration // of requests in the last seconds; 0 if there were none
	Load      float64       // share of its slots in use, 0 to 1
}

// pressure is the latency as a multiple of the objective, 0 if unknown.
func (s Service) pressure() float64 {
	if s.Objective <= 0 {
		return 0
	}
	return float64(s.P99) / float64(s.Objective)
}

// Task is a running attempt.
type Task struct {
	Ref   inventory.AttemptRef
	Class fleet.JobClass
	Cores float64 // that it has been given
	Share float64 // throttle in force, 0 to 1; 1 is unthrottled
	Floor float64 // least share that it may be throttled to
	// SinceCheckpoint is the work in core time that an eviction would lose.
	SinceCheckpoint time.Duration
}

// Kind is what an Action does.
type Kind string

// Kinds of actions.
const (
	Throttle Kind = "throttle" // lower a task's share
	Evict    Kind = "evict"    // stop a task, to run again elsewhere
	Restore  Kind = "restore"  // raise a task's share
)

// Action is a decision about one task.
type Action struct {
	Kind   Kind
	Worker fleet.WorkerID
	Ref    inventory.AttemptRef
	Share  float64 // new share, for Throttle and Restore
}
