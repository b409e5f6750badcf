package queue

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

// Peer methods of the job interface.
const (
	MethodSubmit = "queue.submit" // SubmitRequest -> StatusReply, once durable
	MethodGet    = "queue.get"    // JobRequest -> StatusReply
	MethodList   = "queue.list"   // ListRequest -> ListReply
	MethodCancel = "queue.cancel" // JobRequest -> StatusReply, once durable
)

// retryAfter is the delay that callers are asked to wait before a retry when
// there is no better estimate.
const retryAfter = time.Second

// SubmitRequest submits a job to its home shard.
type SubmitRequest struct {
	Queue shard.ID `json:"queue"`
	Spec  job.Spec `json:"spec"`
}

// JobRequest names a job of a shard.
type JobRequest struct {
	Queue shard.ID    `json:"queue"`
	ID    fleet.JobID `json:"id"`
}

// ListRequest asks for a page of the jobs of a shard.
type ListRequest struct {
	Queue shard.ID    `json:"queue"`
	After fleet.JobID `json:"after,omitempty"`
	Limit int         `json:"limit"`
}

// StatusReply holds a job's status or the error for which there is none.
type StatusReply struct {
	Status *job.Status `json:"status,omitempty"`
	Error  *WireError  `json:"error,omitempty"`
}

// ListReply holds a page of jobs or the error for which there is none.
type ListReply struct {
	Page  *job.Page  `json:"page,omitempty"`
	Error *WireError `json:"error,omitempty"`
}

// Code identifies the type of an error of package job in a WireError.
type Code string

// Codes of WireError.
const (
	CodeConflict    Code = "conflict"
	CodeNotFound    Code = "not_found"
	CodeInvalid     Code = "invalid"
	CodeTooLarge    Code = "too_large"
	CodeUnavailable Code = "unavailable"
	CodeUnknown     Code = "unknown"
)

// WireError is an error of package job as sent between hosts. Which fields are
// set depends on Code.
type WireError struct {
	Code         Code        `json:"code"`
	ID           fleet.JobID `json:"id,omitempty"`
	Field        string      `json:"field,omitempty"` // of CodeInvalid; the resource of CodeTooLarge
	Reason       string      `json:"reason,omitempty"`
	Need         int64       `json:"need,omitempty"`
	Largest      int64       `json:"largest,omitempty"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

// RemoteCauseError is the cause of a *job.UnknownOutcomeError as text: the one that
// another host reported, or that its reply was empty.
type RemoteCauseError struct{ Reason string }

func (e *RemoteCauseError) Error() string { return "queue: " + e.Reason }

// ShardIDError reports a shard ID that does not identify a queue shard.
type ShardIDError struct{ ID shard.ID }

func (e *ShardIDError) Error() string { return fmt.Sprintf("queue: %q is not a queue shard", e.ID) }

// wireError returns the wire form of an error of package job, or false if err
// wraps none.
func wireError(err error) (*WireError, bool) {
	var (
		conflict    *job.ConflictError
		notFound    *job.NotFoundError
		invalid     *job.InvalidError
		tooLarge    *job.TooLargeError
		unavailable *job.UnavailableError
		unknown     *job.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &conflict):
		return &WireError{Code: CodeConflict, ID: conflict.ID}, true
	case errors.As(err, &notFound):
		return &WireError{Code: CodeNotFound, ID: notFound.ID}, true
	case errors.As(err, &invalid):
		return &WireError{Code: CodeInvalid, Field: invalid.Field, Reason: invalid.Reason}, true
	case errors.As(err, &tooLarge):
		return &WireError{Code: CodeTooLarge, Field: tooLarge.Resource, Need: tooLarge.Need, Largest: tooLarge.Largest}, true
	case errors.As(err, &unavailable):
		return &WireError{Code: CodeUnavailable, Reason: unavailable.Reason, RetryAfterMS: unavailable.RetryAfter.Milliseconds()}, true
	case errors.As(err, &unknown):
		return &WireError{Code: CodeUnknown, Reason: unknown.Cause.Error()}, true
	default:
		return nil, false
	}
}

// Err returns the error of package job that e represents. An unknown code gives
// a *job.UnknownOutcomeError.
func (e *WireError) Err() error {
	switch e.Code {
	case CodeConflict:
		return &job.ConflictError{ID: e.ID}
	case CodeNotFound:
		return &job.NotFoundError{ID: e.ID}
	case CodeInvalid:
		return &job.InvalidError{Field: e.Field, Reason: e.Reason}
	case CodeTooLarge:
		return &job.TooLargeError{Resource: e.Field, Need: e.Need, Largest: e.Largest}
	case CodeUnavailable:
		return &job.UnavailableError{Reason: e.Reason, RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond}
	default:
		return &job.UnknownOutcomeError{Cause: &RemoteCauseError{Reason: e.Reason}}
	}
}

// commitError maps the failure of a transaction to an error for the caller.
// Errors of package job are returned as they are. Once the transaction has
// begun, its records may become durable, so the outcome is unknown.
func commitError(err error, began bool) error {
	if _, ok := wireError(err); ok {
		return err
	}
	var stopped *wal.StoppedError
	switch {
	case began:
		return eris.Wrap(&job.UnknownOutcomeError{Cause: err}, "queue")
	case errors.As(err, &stopped):
		return notOwner()
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return eris.Wrap(&job.UnavailableError{Reason: "the queue shard is busy", RetryAfter: retryAfter}, "queue")
	default:
		return err
	}
}

// notOwner returns a wrapped *peer.RemoteError of kind not_owner.
func notOwner() error {
	return eris.Wrap(&peer.RemoteError{Kind: peer.KindNotOwner, Message: "not the owner of the queue shard"}, "queue")
}
