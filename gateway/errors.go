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

// Reasons that the gateway reports in addition to those of packages backend,
// route and dedupe.
const (
	reasonNoServer        = string(route.RefusedNoServer)
	reasonBadRequest      = "bad_request"
	reasonDraining        = "draining"
	reasonDuplicate       = "duplicate"
	reasonUnverifiable    = "unvouched_" // followed by the reason of package dedupe
	reasonHomeUnavailable = "home_unavailable"
	reasonPeerFailed      = "peer"
	reasonRequestBody     = string(backend.ReasonRequestBody)
	reasonDeadline        = string(route.RefusedDeadline)
	reasonOverloaded      = "overloaded"
)

// unknownRetryAfter is sent to callers whose request has an unknown outcome, or
// was not run because the exchange with its server failed before the first byte.
const unknownRetryAfter = 100 * time.Millisecond

// otherHostRetryAfter is sent to callers that another host can serve.
const otherHostRetryAfter = 10 * time.Millisecond

// DrainError reports that requests were still in progress when the drain
// timeout passed.
type DrainError struct{ Cause error }

func (e *DrainError) Error() string { return fmt.Sprintf("gateway: drain incomplete: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Cause }

// BadRequestError reports a request with an invalid header or path.
type BadRequestError struct {
	Header string
	Value  string
}

func (e *BadRequestError) Error() string {
	return fmt.Sprintf("gateway: bad request: invalid %s %q", e.Header, e.Value)
}

// NoServerError reports that no backend server can currently take the request.
type NoServerError struct{ Service fleet.Service }

func (e *NoServerError) Error() string { return fmt.Sprintf("gateway: no server for %s", e.Service) }

// DrainingError reports that the host accepts no new requests.
type DrainingError struct{}

func (e *DrainingError) Error() string { return "gateway: host is draining" }

// PeerError reports that a peer failed to serve a forwarded request.
type PeerError struct {
	Status     int
	Outcome    backend.Outcome
	Reason     string
	RetryAfter time.Duration
}

func (e *PeerError) Error() string {
	return fmt.Sprintf("gateway: outcome of forwarded request: %s (%s)", e.Outcome, e.Reason)
}

// OverloadedError reports that the host has no memory for the body of the request.
type OverloadedError struct{ Cause error }

func (e *OverloadedError) Error() string { return fmt.Sprintf("gateway: overloaded: %v", e.Cause) }

// Unwrap returns the cause.
func (e *OverloadedError) Unwrap() error { return e.Cause }

// BodyError reports that the caller's body could not be read.
type BodyError struct{ Cause error }

func (e *BodyError) Error() string { return fmt.Sprintf("gateway: read request body: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }

// failure describes an error in the terms of the response to the caller.
type failure struct {
	status     int
	outcome    backend.Outcome
	reason     string
	retryAfter time.Duration
}

// failureOf maps every error of the request path to the failure that is
// reported to the caller. The outcome for any other error is unknown.
func failureOf(err error) failure {
	var (
		refused      *route.RefusedError
		notRun       *backend.NotRunError
		unknown      *backend.UnknownOutcomeError
		fromPeer     *PeerError
		duplicate    *dedupe.DuplicateError
		unverifiable *dedupe.UnverifiableError
		home         *dedupe.HomeUnavailableError
		noServer     *NoServerError
		draining     *DrainingError
		bad          *BadRequestError
		body         *BodyError
		overloaded   *OverloadedError
	)
	switch {
	case errors.As(err, &refused):
		return notRunFailure(string(refused.Reason), refused.RetryAfter)
	case errors.As(err, &notRun):
		return notRunFailure(string(notRun.Reason), unknownRetryAfter)
	case errors.As(err, &noServer):
		return notRunFailure(reasonNoServer, time.Second)
	case errors.As(err, &draining):
		return notRunFailure(reasonDraining, otherHostRetryAfter)
	case errors.As(err, &overloaded):
		return notRunFailure(reasonOverloaded, time.Second)
	case errors.As(err, &body):
		return failure{http.StatusBadRequest, backend.NotRun, reasonRequestBody, 0}
	case errors.As(err, &bad):
		return failure{http.StatusBadRequest, backend.NotRun, reasonBadRequest, 0}
	case errors.As(err, &fromPeer):
		return failure{fromPeer.Status, fromPeer.Outcome, fromPeer.Reason, fromPeer.RetryAfter}
	case errors.As(err, &duplicate):
		return unknownFailure(http.StatusBadGateway, reasonDuplicate)
	case errors.As(err, &unverifiable):
		return unknownFailure(http.StatusBadGateway, reasonUnverifiable+string(unverifiable.Reason))
	case errors.As(err, &home):
		return unknownFailure(http.StatusGatewayTimeout, reasonHomeUnavailable)
	case errors.As(err, &unknown) && unknown.Timeout():
		return unknownFailure(http.StatusGatewayTimeout, string(unknown.Reason))
	case errors.As(err, &unknown):
		return unknownFailure(http.StatusBadGateway, string(unknown.Reason))
	default:
		return unknownFailure(http.StatusBadGateway, "internal")
	}
}

// notRunFailure returns the failure for a request that was not run.
func notRunFailure(reason string, retryAfter time.Duration) failure {
	status := http.StatusServiceUnavailable
	if reason == string(route.RefusedQueueFull) || reason == reasonDeadline {
		status = http.StatusTooManyRequests
	}
	return failure{status, backend.NotRun, reason, retryAfter}
}

// unknownFailure returns the failure for a request that may have run.
func unknownFailure(status int, reason string) failure {
	return failure{status, backend.Unknown, reason, unknownRetryAfter}
}
