// Package sharing decides how services and batch tasks share workers. It
// estimates how much each job class slows down each colocated service, and from
// these estimates decides which tasks to throttle, evict or restore.
//
// It does no I/O and does not read the clock. A Model and a Policy belong to
// one cell and are not safe for concurrent use.
package sharing

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// Snapshot is the state of a cell at one moment.
type Snapshot struct {
	Workers []Worker
	// EvictionsPerMinute is the maximum number of evictions per minute in the
	// whole cell.
	EvictionsPerMinute int
}

// Worker is a worker with the services and tasks that run on it.
type Worker struct {
	ID       fleet.WorkerID
	Services []Service
	Tasks    []Task
}

// Service is a service as measured on one worker.
type Service struct {
	Name      fleet.Service
	Objective time.Duration // of the 99th percentile
	P99       time.Duration // latency of requests in the last seconds; 0 if there were none
	Load      float64       // share of its slots in use, 0 to 1
}

// pressure returns the 99th percentile latency as a multiple of the objective,
// or 0 if it is unknown.
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
	Cores float64 // allocated cores
	Share float64 // current share of them that it may use, 0 to 1; 1 is unthrottled
	Floor float64 // minimum share that it may be throttled to
	// SinceCheckpoint is the core time since the last checkpoint, which an
	// eviction would lose.
	SinceCheckpoint time.Duration
}

// Kind is what an Action does.
type Kind string

// Kinds of actions.
const (
	Throttle Kind = "throttle" // lower a task's share
	Evict    Kind = "evict"    // stop a task so that it runs again elsewhere
	Restore  Kind = "restore"  // raise a task's share
)

// Action is a decision about one task.
type Action struct {
	Kind   Kind
	Worker fleet.WorkerID
	Ref    inventory.AttemptRef
	Share  float64 // new share, for Throttle and Restore
}
