package inventory

import (
	"context"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// TaskState is the state of a task that a worker reports.
type TaskState string

// Task states. Finished, failed and stopped are final.
const (
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped" // by a stop call or an expired lease
)

// Final reports whether a task in this state is guaranteed to have ended.
func (s TaskState) Final() bool { return s != TaskRunning }

// StartRequest asks a worker to run one attempt of a task: POST /v1/start. It is
// idempotent: a request for an attempt that has already started only returns its
// current status.
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
	Checkpoint string          `json:"checkpoint,omitempty"` // checkpoint to resume from; empty for none
}

// RenewRequest extends the leases of all the cell's tasks on a worker and
// raises the fencing token: POST /v1/renew. Tasks in a final state stay in the
// report until they are listed in Forget.
type RenewRequest struct {
	Cell       string       `json:"cell"`
	Token      fleet.Epoch  `json:"token"`
	DeadlineMS int64        `json:"deadline_unix_ms,omitempty"` // refused if the worker's clock is past it; 0: none
	LeaseMS    int64        `json:"lease_ms"`
	Forget     []AttemptRef `json:"forget,omitempty"`
}

// AttemptRef identifies one attempt of a task.
type AttemptRef struct {
	Task    fleet.TaskID  `json:"task" cbor:"1,keyasint"`
	Attempt fleet.Attempt `json:"attempt" cbor:"2,keyasint"`
}

// TaskStatus is a worker's report of one attempt.
type TaskStatus struct {
	AttemptRef
	State              TaskState       `json:"state"`
	Progress           float64         `json:"progress,omitzero"`    // fraction of the work done, 0 to 1
	Checkpoint         string          `json:"checkpoint,omitempty"` // last complete checkpoint
	CheckpointProgress float64         `json:"checkpoint_progress,omitempty"`
	Used               fleet.Resources `json:"used,omitzero"`   // lags behind the actual usage
	Share              float64         `json:"share"`           // share of its processors that the attempt may use, 0 to 1; 1 is unthrottled
	Error              string          `json:"error,omitempty"` // of a failed task
}

// WorkerReport is the response to renew, start, stop and throttle. The response
// to a renewal lists all tasks of the cell. Any other response may be partial: it
// lists the requested attempt and those whose end has not been reported yet, and
// omits the rest.
type WorkerReport struct {
	Worker fleet.WorkerID  `json:"worker"`
	Token  fleet.Epoch     `json:"token"`
	Tasks  []TaskStatus    `json:"tasks"`
	Used   fleet.Resources `json:"used,omitzero"` // of the whole worker; lags behind the actual usage
	// Partial means that the report may omit attempts that are on the worker.
	Partial bool `json:"partial,omitempty"`
}

// StopRequest ends one attempt, after a checkpoint if Checkpoint is set: POST
// /v1/stop. The report shows the attempt as stopped once its process has ended.
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

// RefusalReason is the reason for which a worker refused a call.
type RefusalReason string

// Reasons for a refusal. An attempt whose start was refused has not run and will
// never run with the same token. A refused renewal extended no lease.
const (
	RefusedFenced         RefusalReason = "fenced"    // the token is below the highest seen
	RefusedDeadline       RefusalReason = "late"      // the deadline has passed
	RefusedCapacity       RefusalReason = "capacity"  // the attempt would exceed the worker's capacity
	RefusedEnded          RefusalReason = "ended"     // the attempt was already stopped or forgotten
	RefusedUnknownAttempt RefusalReason = "not_found" // no such attempt
)

// RefusedError reports that a worker refused a call: HTTP 409 with this body.
type RefusedError struct {
	Reason RefusalReason `json:"reason"`
	Token  fleet.Epoch   `json:"token"` // highest seen
}

func (e *RefusedError) Error() string { return "inventory: worker refused: " + string(e.Reason) }

// UnknownOutcomeError reports that a call to a worker ended without a valid
// response: it may or may not have taken effect.
type UnknownOutcomeError struct {
	Op    string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return "inventory: outcome of worker call " + e.Op + " unknown: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// WorkerControl calls the control interface of workers, each at its address
// (host:port). Errors are *RefusedError or *UnknownOutcomeError. Implementations
// are safe for concurrent use.
type WorkerControl interface {
	Start(ctx context.Context, address string, req StartRequest) (WorkerReport, error)
	Renew(ctx context.Context, address string, req RenewRequest) (WorkerReport, error)
	Stop(ctx context.Context, address string, req StopRequest) (WorkerReport, error)
	Throttle(ctx context.Context, address string, req ThrottleRequest) (WorkerReport, error)
}
