package api

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsiahill/fuchsiahill/auth"
	"github.com/fuchsiahill/fuchsiahill/internal/strictjson"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// Code is the machine-readable kind of an Error.
type Code string

// The codes of an Error.
const (
	CodeInvalid         Code = "invalid"         // the call is malformed or has a value that is not allowed
	CodeUnauthenticated Code = "unauthenticated" // the token is missing or unknown
	CodeForbidden       Code = "forbidden"       // the token's role does not allow it
	CodeNotFound        Code = "not_found"
	CodeConflict        Code = "conflict" // another change or job came first
	CodeReusedID        Code = "reused_id"
	CodeImmutable       Code = "immutable"
	CodeTooLarge        Code = "too_large"       // the body or the stored settings exceed a limit
	CodeNeverFits       Code = "never_fits"      // no allowed worker is large enough for the task
	CodeUnavailable     Code = "unavailable"     // nothing was done; retry later
	CodeUnknownOutcome  Code = "unknown_outcome" // repeat the call under the same ID to learn the outcome
	CodeInternal        Code = "internal"
)

// Error is the body of every error response, and the error that the Client
// returns for it.
type Error struct {
	Status       int              `json:"-"`
	Code         Code             `json:"code"`
	Message      string           `json:"message"`
	Path         string           `json:"path,omitempty"`    // of the invalid value
	Reason       string           `json:"reason,omitempty"`  // why that value is invalid, or the service unavailable
	Allowed      string           `json:"allowed,omitempty"` // range or format of that value
	Winner       *settings.Record `json:"winner,omitempty"`  // the settings change that came first
	Expect       store.Revision   `json:"expect,omitempty"`
	Actual       store.Revision   `json:"actual,omitempty"`
	Need         int64            `json:"need,omitempty"` // what a task needs that fits no worker
	Largest      int64            `json:"largest,omitempty"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
	RequestID    string           `json:"request_id,omitempty"`
}

func (e *Error) Error() string { return e.Message }

// UnreachableError reports a call for which no host could be reached, or a read
// without a usable response. Nothing was changed.
type UnreachableError struct{ Cause error }

func (e *UnreachableError) Error() string { return fmt.Sprintf("api: host unreachable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a write without a usable response. It may have
// taken effect; it can be repeated under the same ID.
type UnknownOutcomeError struct{ Cause error }

func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("api: outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

const (
	// defaultRetryAfter is the retry delay returned while the store is
	// unavailable or the settings are not known yet.
	defaultRetryAfter = time.Second
	internalMessage   = "internal error, see the log of the host under the request ID"
)

// invalidRequest returns the Error for a malformed call.
func invalidRequest(path, reason string) *Error {
	return &Error{Status: http.StatusBadRequest, Code: CodeInvalid, Path: path, Reason: reason, Message: path + ": " + reason}
}

// outOfRange returns the Error for a value that is not allowed.
func outOfRange(path, reason, allowed string) *Error {
	e := invalidRequest(path, reason+", allowed: "+allowed)
	e.Allowed = allowed
	return e
}

// toAPIError converts an error to the Error that the caller receives. The text
// of an unknown error is never returned to the caller.
func toAPIError(err error) *Error {
	var apiErr *Error
	if errors.As(err, &apiErr) {
		return apiErr
	}
	for _, f := range []func(error) *Error{fromAuthError, fromBodyError, fromSettingsError, fromJobError} {
		if e := f(err); e != nil {
			return e
		}
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return &Error{Status: http.StatusGatewayTimeout, Code: CodeUnknownOutcome, Message: "the time for the call is over"}
	}
	return &Error{Status: http.StatusInternalServerError, Code: CodeInternal, Message: internalMessage}
}

func fromAuthError(err error) *Error {
	var unauthenticated *auth.UnauthenticatedError
	var forbidden *auth.ForbiddenError
	switch {
	case errors.As(err, &unauthenticated):
		return &Error{Status: http.StatusUnauthorized, Code: CodeUnauthenticated, Message: unauthenticated.Error()}
	case errors.As(err, &forbidden):
		return &Error{Status: http.StatusForbidden, Code: CodeForbidden, Message: forbidden.Error()}
	}
	return nil
}

func fromBodyError(err error) *Error {
	var tooLarge *http.MaxBytesError
	var syntax *strictjson.SyntaxError
	var value *strictjson.ValueError
	var overloaded *OverloadedError
	switch {
	case errors.As(err, &overloaded):
		return &Error{
			Status: http.StatusServiceUnavailable, Code: CodeUnavailable, Reason: "overloaded", Message: "the host has no memory for the body",
			RetryAfterMS: defaultRetryAfter.Milliseconds(),
		}
	case errors.As(err, &tooLarge):
		message := fmt.Sprintf("body above the limit of %d bytes", tooLarge.Limit)
		return &Error{Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge, Message: message}
	case errors.As(err, &syntax):
		return invalidRequest("body", syntax.Error())
	case errors.As(err, &value):
		return &Error{Status: http.StatusBadRequest, Code: CodeInvalid, Path: value.Path, Reason: value.Reason, Message: value.Error()}
	}
	return nil
}

func fromSettingsError(err error) *Error {
	var (
		invalid     *settings.InvalidError
		immutable   *settings.ImmutableError
		missing     *settings.NotFoundError
		conflict    *settings.ConflictError
		reused      *settings.ReusedIDError
		unavailable *settings.UnavailableError
		unknown     *settings.UnknownOutcomeError
		tooLarge    *store.TooLargeError
		corrupt     *settings.CorruptError
	)
	switch {
	case errors.As(err, &unknown):
		return &Error{Status: http.StatusGatewayTimeout, Code: CodeUnknownOutcome, Message: unknown.Error()}
	case errors.As(err, &corrupt):
		return &Error{Status: http.StatusInternalServerError, Code: CodeInternal, Message: corrupt.Error()}
	case errors.As(err, &invalid):
		return &Error{
			Status: http.StatusBadRequest, Code: CodeInvalid, Message: invalid.Error(),
			Path: invalid.Path, Reason: invalid.Reason, Allowed: invalid.Allowed,
		}
	case errors.As(err, &immutable):
		return &Error{Status: http.StatusConflict, Code: CodeImmutable, Message: immutable.Error(), Path: immutable.Path}
	case errors.As(err, &missing):
		return &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: missing.Error(), Path: missing.Path}
	case errors.As(err, &conflict):
		return &Error{
			Status: http.StatusConflict, Code: CodeConflict, Message: conflict.Error(),
			Winner: &conflict.Winner, Expect: conflict.Expect, Actual: conflict.Actual,
		}
	case errors.As(err, &reused):
		return &Error{Status: http.StatusConflict, Code: CodeReusedID, Message: reused.Error(), Winner: &reused.First}
	case errors.As(err, &unavailable):
		return unavailableError(unavailable.Error(), defaultRetryAfter)
	case errors.As(err, &tooLarge):
		return &Error{Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge, Message: tooLarge.Error()}
	}
	return nil
}

func fromJobError(err error) *Error {
	var (
		conflict    *job.ConflictError
		missing     *job.NotFoundError
		invalid     *job.InvalidError
		tooLarge    *job.TooLargeError
		unavailable *job.UnavailableError
		unknown     *job.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &unknown):
		return &Error{Status: http.StatusGatewayTimeout, Code: CodeUnknownOutcome, Message: unknown.Error()}
	case errors.As(err, &conflict):
		return &Error{Status: http.StatusConflict, Code: CodeConflict, Message: conflict.Error()}
	case errors.As(err, &missing):
		return &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: missing.Error()}
	case errors.As(err, &invalid):
		return &Error{
			Status: http.StatusBadRequest, Code: CodeInvalid, Message: invalid.Error(),
			Path: invalid.Field, Reason: invalid.Reason,
		}
	case errors.As(err, &tooLarge):
		return &Error{
			Status: http.StatusUnprocessableEntity, Code: CodeNeverFits, Message: tooLarge.Error(),
			Path: tooLarge.Resource, Need: tooLarge.Need, Largest: tooLarge.Largest,
		}
	case errors.As(err, &unavailable):
		e := unavailableError(unavailable.Error(), unavailable.RetryAfter)
		e.Reason = unavailable.Reason
		return e
	}
	return nil
}

func unavailableError(message string, retryAfter time.Duration) *Error {
	return &Error{
		Status:       http.StatusServiceUnavailable,
		Code:         CodeUnavailable,
		Message:      message,
		RetryAfterMS: retryAfter.Milliseconds(),
	}
}

// retryAfterSeconds returns the value of the Retry-After header: the retry
// delay in whole seconds, rounded up.
func (e *Error) retryAfterSeconds() string {
	const millisecondsPerSecond = 1000
	return strconv.Itoa(int(math.Ceil(float64(e.RetryAfterMS) / millisecondsPerSecond)))
}
