// Package job defines the job interface and its JSON: submissions, job status
// and errors.
package job

import (
	"context"
	"fmt"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// MaxTasks is the largest number of tasks in one job.
const MaxTasks = 10_000

// UrgentPriority is the lowest priority of urgent jobs, which must start
// within UrgentStart when capacity and quota allow.
const UrgentPriority = 90

// UrgentStart is the longest time from submission to the start of an urgent
// job's first task.
const UrgentStart = 1300 * time.Millisecond

// Spec is a submission. Submitting the same ID with the same content again
// has no effect; with other content it is a *ConflictError.
type Spec struct {
	ID           fleet.JobID        `json:"id" validate:"required,max=64"`
	Organisation fleet.Organisation `json:"organisation" validate:"required,max=64"`
	Team         fleet.Team         `json:"team" validate:"required,max=64"`
	Class        fleet.JobClass     `json:"class" validate:"required,max=64"`
	Tasks        int                `json:"tasks" validate:"gte=1,lte=10000"`
	Resources    fleet.Resources    `json:"resources"` // declared, of each task
	Command      string             `json:"command" validate:"max=4096"`
	Priority     *int               `json:"priority,omitempty" validate:"omitempty,gte=0,lte=100"` // nil: from the settings of the class
	DataCentres  []fleet.DataCentre `json:"data_centres,omitempty" validate:"max=16"`              // allowed ones; empty: all of the region
}

// State is the state of a job or task.
type State string

// States. Finished, failed and cancelled are final.
const (
	StateQueued    State = "queued"    // not delegated to a cell
	StateDelegated State = "delegated" // delegated to a cell, which may have started it
	StateRunning   State = "running"   // a worker has reported it as running
	StateFinished  State = "finished"
	StateFailed    State = "failed" // MaxAttempts reached, or can never run
	StateCancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool {
	return s == StateFinished || s == StateFailed || s == StateCancelled
}

// Status is the state of a job and of its tasks at one moment.
type Status struct {
	Spec      Spec      `json:"spec"`
	State     State     `json:"state"`
	Reason    string    `json:"reason,omitempty"` // why it waits or failed
	Submitted time.Time `json:"submitted"`
	Ended     time.Time `json:"ended,omitzero"`
	Queued    int       `json:"queued"` // tasks by state
	Delegated int       `json:"delegated"`
	Running   int       `json:"running"`
	Finished  int       `json:"finished"`
	Failed    int       `json:"failed"`
	Cancelled int       `json:"cancelled"`
	Evictions int       `json:"evictions"`
	LastError string    `json:"last_error,omitempty"` // of the last failed attempt
}

// Page is one page of a list of jobs.
type Page struct {
	Jobs []Status `json:"jobs"`
	Next string   `json:"next,omitempty"` // After in the query for the next page; empty on the last page
}

// ListQuery selects jobs of one team.
type ListQuery struct {
	Team  fleet.Team
	After string
	Limit int // 1 to 1000
}

// Service is the job interface that the HTTP API and the command line use. It
// passes each call to the owner of the team's queue shard. Errors are the types
// of this package.
type Service interface {
	Submit(ctx context.Context, spec Spec) (Status, error)
	Get(ctx context.Context, team fleet.Team, id fleet.JobID) (Status, error)
	List(ctx context.Context, q ListQuery) (Page, error)
	// Cancel returns once the cancellation is durable. Running tasks stop
	// soon after.
	Cancel(ctx context.Context, team fleet.Team, id fleet.JobID) (Status, error)
}

// ConflictError reports a submission under the ID of another job.
type ConflictError struct{ ID fleet.JobID }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("job: %s exists with other content", e.ID)
}

// NotFoundError reports an unknown job.
type NotFoundError struct{ ID fleet.JobID }

func (e *NotFoundError) Error() string { return fmt.Sprintf("job: %s not found", e.ID) }

// InvalidError reports a submission that can't be accepted.
type InvalidError struct {
	Field  string
	Reason string
}

func (e *InvalidError) Error() string { return fmt.Sprintf("job: %s: %s", e.Field, e.Reason) }

// TooLargeError reports tasks that exceed the capacity of every worker in the
// allowed data centres.
type TooLargeError struct {
	Resource string
	Need     int64
	Largest  int64 // of any allowed worker
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("job: task needs %s %d, the largest worker has %d", e.Resource, e.Need, e.Largest)
}

// UnavailableError reports that the job interface can't process a call now;
// nothing was accepted.
type UnavailableError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *UnavailableError) Error() string { return "job: not accepted: " + e.Reason }

// UnknownError reports that the outcome of a submission or cancellation is
// unknown. The call may be repeated: job IDs make it idempotent.
type UnknownError struct{ Cause error }

func (e *UnknownError) Error() string { return "job: outcome unknown: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }
