package inventory

import (
	"context"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// TaskState is what a worker reports of a task.
type TaskState string

// Task states. Finished, failed and stopped are final.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped" // by a stop call or a lapsed lease
)

// Final reports whether a task in this state has surely ended.
func (s TaskState) Final() bool { return s != TaskRunning }

// StartRequest asks a worker to run one attempt of a task: POST /v1/start.
// Starting the same attempt again is answered with its present status and
// has no effect.
type StartRequest struct {
	Task       fleet.TaskID    `json:"task"`
	Attempt    fleet.Attempt   `json:"attempt"`
	Cell       string          `json:"cell"`
	Token      fleet.Epoch     `json:"token"`            // refused if below the highest seen for the cell
	DeadlineMS int64           `json:"deadline_unix_ms"` // refused if the worker's clock is past it
	LeaseMS    int64           `json:"lease_ms"`
	Class      fleet.JobClass  `json:"class"`
	Resources  fleet.Resources `json:"resources"`
	Command    string          `json:"command"`              // opaque to the scheduler
	Checkpoint string          `json:"checkpoint,omitempty"` // to resume from, "" for none
}

// RenewRequest extends the leases of all the cell's tasks on a worker and
// raises the fencing token: POST /v1/renew. Final tasks stay in the report
// until they are listed in Forget.
type RenewRequest struct {
	Cell       string       `json:"cell"`
	Token      fleet.Epoch  `json:"token"`
	DeadlineMS int64        `json:"deadline_unix_ms,omitempty"` // refused if the worker's clock is past it; 0: none
	LeaseMS    int64        `json:"lease_ms"`
	Forget     []AttemptRef `json:"forget,omitempty"`
}

// AttemptRef names one attempt of a task.
type AttemptRef struct {
	Task    fleet.TaskID  `json:"task" cbor:"1,keyasint"`
	Attempt fleet.Attempt `json:"attempt" cbor:"2,keyasint"`
}

// TaskStatus is a worker's report of one attempt.
type TaskStatus struct {
	AttemptRef
	State              TaskState       `json:"state"`
	Progress           float64         `json:"progress,omitzero"`    // share of work done, 0 to 1
	Checkpoint         string          `json:"checkpoint,omitempty"` // last complete one
	CheckpointProgress float64         `json:"checkpoint_progress,omitempty"`
	Used               fleet.Resources `json:"used,omitzero"`   // lags
	Share              float64         `json:"share"`           // throttle in force, 0 to 1; 1 is unthrottled
	Error              string          `json:"error,omitempty"` // of a failed task
}

// WorkerReport is the answer to renew, start, stop and throttle. The answer to
// a renewal lists every task of the cell. Any other may be partial: it lists
// the attempt in question and those whose end no answer has shown yet, and
// says nothing of the rest.
type WorkerReport struct {
	Worker fleet.WorkerID  `json:"worker"`
	Token  fleet.Epoch     `json:"token"`
	Tasks  []TaskStatus    `json:"tasks"`
	Used   fleet.Resources `json:"used,omitzero"` // whole worker; lags
	// Partial says that attempts may be missing that the worker has.
	Partial bool `json:"partial,omitempty"`
}

// StopRequest ends one attempt, after a checkpoint if asked: POST /v1/stop.
// The report shows the attempt as stopped once its process has ended.
type StopRequest struct {
	AttemptRef
	Cell       string      `json:"cell"`
	Token      fleet.Epoch `json:"token"`
	Checkpoint bool        `json:"checkpoint"`
}

// ThrottleRequest sets the share of its processors that an attempt may use:
// POST /v1/throttle.
type ThrottleRequest struct {
	AttemptRef
	Cell  string      `json:"cell"`
	Token fleet.Epoch `json:"token"`
	Share float64     `json:"share"` // 0 to 1
}

// RefusalReason is why a worker refused a call.
type RefusalReason string

// Reasons for a refusal. A refused start was not run and never will be with
// the same token. A refused renewal extended no lease.
const (
	RefusedFenced         RefusalReason = "fenced"    // the token is below the highest seen
	RefusedDeadline       RefusalReason = "late"      // the deadline has passed
	RefusedCapacity       RefusalReason = "capacity"  // the worker would hold more than it has
	RefusedEnded          RefusalReason = "ended"     // the attempt was stopped or forgotten before
	RefusedUnknownAttempt RefusalReason = "not_found" // no such attempt
)

// RefusedError is a worker's refusal: HTTP 409 with this body.
type RefusedError struct {
	Reason RefusalReason `json:"reason"`
	Token  fleet.Epoch   `json:"token"` // highest seen
}

func (e *RefusedError) Error() string { return "platform: worker refused: " + string(e.Reason) }

// UnknownOutcomeError reports that a call to a worker ended without an answer:
// it may or may not have taken effect.
type UnknownOutcomeError struct {
	Op    string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return "platform: outcome of worker call " + e.Op + " unknown: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// WorkerControl calls the control interface of workers. Errors are
// *RefusedError or *UnknownOutcomeError. Implementations are safe for
// concurrent use.
type WorkerControl interface {
	Start(ctx context.Context, address string, req StartRequest) (WorkerReport, error)
	Renew(ctx context.Context, address string, req RenewRequest) (WorkerReport, error)
	Stop(ctx context.Context, address string, req StopRequest) (WorkerReport, error)
	Throttle(ctx context.Context, address string, req ThrottleRequest) (WorkerReport, error)
}
