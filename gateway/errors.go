package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/fuchsiahill/fuchsiahill/backend"
	"github.com/fuchsiahill/fuchsiahill/dedupe"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/route"
)

// Reasons that the gateway itself gives, besides those of packages backend,
// route and dedupe.
const (
	reasonNoServer    = string(route.RefusedNoServer)
	reasonBadRequest  = "bad_request"
	reasonDraining    = "draining"
	reasonDuplicate   = "duplicate"
	reasonUnvouched   = "unvouched_" // followed by the dedupe reason
	reasonHome        = "home_unavailable"
	reasonPeer        = "peer"
	reasonRequestBody = string(backend.ReasonRequestBody)
	reasonDeadline    = string(route.RefusedDeadline)
)

// unknownRetryAfter is told to callers whose request has an unknown outcome.
const unknownRetryAfter = 100 * time.Millisecond

// otherHostRetryAfter is told to callers whom another host can serve.
const otherHostRetryAfter = 10 * time.Millisecond

// DrainError reports that requests were still in progress when the time to
// drain was over.
type DrainError struct{ Cause error }

func (e *DrainError) Error() string { return fmt.Sprintf("gateway: not drained: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Cause }

// BadRequestError reports a request that can't be served as it is.
type BadRequestError struct {
	Header string
	Value  string
}

func (e *BadRequestError) Error() string {
	return fmt.Sprintf("gateway: bad request: %s %q", e.Header, e.Value)
}

// NoServerError reports that no backend server may take the request now.
type NoServerError struct{ Service fleet.Service }

func (e *NoServerError) Error() string { return fmt.Sprintf("gateway: no server of %s", e.Service) }

// DrainingError reports that the host takes no new requests.
type DrainingError struct{}

func (e *DrainingError) Error() string { return "gateway: draining" }

// PeerError is a peer's own failed outcome of a forwarded request.
type PeerError struct {
	Status     int
	Outcome    backend.Outcome
	Reason     string
	RetryAfter time.Duration
}

func (e *PeerError) Error() string {
	return fmt.Sprintf("gateway: forwarded request %s (%s)", e.Outcome, e.Reason)
}

// BodyError reports that the caller's body could not be read.
type BodyError struct{ Cause error }

func (e *BodyError) Error() string { return fmt.Sprintf("gateway: read request body: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }

// failure is an error as the caller is told of it.
type failure struct {
	status     int
	outcome    backend.Outcome
	reason     string
	retryAfter time.Duration
}

// describe maps every error of the request path to what the caller is told.
// An error that it does not know counts as unknown.
func describe(err error) failure {
	var (
		refused   *route.RefusedError
		notRun    *backend.NotRunError
		unknown   *backend.UnknownError
		fromPeer  *PeerError
		duplicate *dedupe.DuplicateError
		unvouched *dedupe.UnverifiableError
		home      *dedupe.HomeUnavailableError
		noServer  *NoServerError
		draining  *DrainingError
		bad       *BadRequestError
		body      *BodyError
	)
	switch {
	case errors.As(err, &refused):
		return refusal(string(refused.Reason), refused.RetryAfter)
	case errors.As(err, &notRun):
		return refusal(string(notRun.Reason), unknownRetryAfter)
	case errors.As(err, &noServer):
		return refusal(reasonNoServer, time.Second)
	case errors.As(err, &draining):
		return refusal(reasonDraining, otherHostRetryAfter)
	case errors.As(err, &body):
		return failure{http.StatusBadRequest, backend.NotRun, reasonRequestBody, 0}
	case errors.As(err, &bad):
		return failure{http.StatusBadRequest, backend.NotRun, reasonBadRequest, 0}
	case errors.As(err, &fromPeer):
		return failure{fromPeer.Status, fromPeer.Outcome, fromPeer.Reason, fromPeer.RetryAfter}
	case errors.As(err, &duplicate):
		return unknownFailure(http.StatusBadGateway, reasonDuplicate)
	case errors.As(err, &unvouched):
		return unknownFailure(http.StatusBadGateway, reasonUnvouched+string(unvouched.Reason))
	case errors.As(err, &home):
		return unknownFailure(http.StatusGatewayTimeout, reasonHome)
	case errors.As(err, &unknown) && unknown.Timeout():
		return unknownFailure(http.StatusGatewayTimeout, string(unknown.Reason))
	case errors.As(err, &unknown):
		return unknownFailure(http.StatusBadGateway, string(unknown.Reason))
	default:
		return unknownFailure(http.StatusBadGateway, "internal")
	}
}

func refusal(reason string, retryAfter time.Duration) failure {
	status := http.StatusServiceUnavailable
	if reason == string(route.RefusedQueueFull) || reason == reasonDeadline {
		status = http.StatusTooManyRequests
	}
	return failure{status, backend.NotRun, reason, retryAfter}
}

func unknownFailure(status int, reason string) failure {
	return failure{status, backend.Unknown, reason, unknownRetryAfter}
}
