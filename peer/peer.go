// Package peer carries typed calls between entry hosts: JSON-RPC 2.0 over
// TCP, with one connection per pair of hosts and direction, opened on demand.
package peer

import (
	"context"
	"fmt"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Caller calls a method on another entry host. It is safe for concurrent
// use. Errors are *RemoteError, *UnreachableError or *UnknownOutcomeError.
type Caller interface {
	Call(ctx context.Context, host fleet.HostID, method string, request, response any) error
}

// Handler executes one method. params is the JSON request. An error that is a
// *RemoteError is sent to the caller unchanged; any other is sent as a
// *RemoteError of KindInternal.
type Handler func(ctx context.Context, from fleet.HostID, params []byte) (response any, err error)

// Registry holds the handlers of a host. Handlers are registered before the host
// serves calls.
type Registry interface {
	Handle(method string, h Handler)
}

// Kind classifies a RemoteError. It is sent between processes.
type Kind string

// Kinds of errors that a peer returns.
const (
	KindInternal    Kind = "internal"
	KindBadRequest  Kind = "bad_request"
	KindNotOwner    Kind = "not_owner"   // the callee does not own the shard
	KindUnavailable Kind = "unavailable" // not executed; may be retried
	KindRefused     Kind = "refused"     // not executed; Reason says why
	KindNotFound    Kind = "not_found"
)

// RemoteError is an error that the called host returned.
type RemoteError struct {
	Kind    Kind   `json:"kind"`
	Reason  string `json:"reason,omitempty"` // machine-readable
	Message string `json:"message"`
}

func (e *RemoteError) Error() string { return fmt.Sprintf("peer: %s: %s", e.Kind, e.Message) }

// UnreachableError reports that the call was certainly not delivered.
type UnreachableError struct {
	Host  fleet.HostID
	Cause error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer: host %s unreachable: %v", e.Host, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that the call may have been delivered but no response
// was received, so its outcome is unknown.
type UnknownOutcomeError struct {
	Host   fleet.HostID
	Method string
	Cause  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("peer: outcome of %s at host %s unknown: %v", e.Method, e.Host, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
