package backend

import "fmt"

// Outcome is whether a request was run, as reported to the caller.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered" // the backend server's complete response was received
	NotRun   Outcome = "not-run"  // no byte was written to a backend server
	Unknown  Outcome = "unknown"  // the request may or may not have run
)

// Reason is the machine-readable cause of a failed exchange.
type Reason string

// Reasons.
const (
	ReasonDial              Reason = "dial"         // no connection could be established
	ReasonConnections       Reason = "connections"  // the pool has reached its limit of connections
	ReasonNotAllowed        Reason = "not_allowed"  // this host may no longer send to the server
	ReasonCancelled         Reason = "cancelled"    // the caller disconnected
	ReasonDeadline          Reason = "deadline"     // the caller's deadline passed
	ReasonFirstByte         Reason = "first_byte"   // the server did not start to respond in time
	ReasonIdle              Reason = "idle"         // the response stalled for too long
	ReasonRequestBody       Reason = "request_body" // reading the caller's request body failed
	ReasonWrite             Reason = "write"        // the connection failed while the request was being written
	ReasonClosed            Reason = "closed"       // the connection ended before a response
	ReasonTruncated         Reason = "cut"          // the connection ended within the response
	ReasonOverlong          Reason = "overlong"     // further bytes followed the response
	ReasonProtocol          Reason = "protocol"     // the response is not acceptable HTTP/1.1
	ReasonRequestIDMismatch Reason = "wrong_answer" // the response carries the ID of another request
)

// NotRunError reports that no byte of the request was written.
type NotRunError struct {
	Address string
	Reason  Reason
	Cause   error // may be nil
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("backend: request to %s not run (%s): %v", e.Address, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that at least one byte of the request was written and no
// complete response was received.
type UnknownOutcomeError struct {
	Address string
	Reason  Reason
	Reused  bool  // the connection had been used for an earlier exchange
	Cause   error // may be nil
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("backend: outcome of request to %s unknown (%s): %v", e.Address, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Timeout reports whether the request timed out.
func (e *UnknownOutcomeError) Timeout() bool {
	return e.Reason == ReasonFirstByte || e.Reason == ReasonIdle || e.Reason == ReasonDeadline
}

// UndelimitedError is the cause of an UnknownOutcomeError for a response whose body
// ends when the connection closes, so that a truncated body could not be told
// from a complete one.
type UndelimitedError struct{}

func (e *UndelimitedError) Error() string {
	return "backend: response has neither a content length nor chunked encoding"
}

// HeaderTooLargeError is the cause of an UnknownOutcomeError for a response whose
// header exceeds MaxHeaderBytes.
type HeaderTooLargeError struct{}

func (e *HeaderTooLargeError) Error() string { return "backend: response header too large" }

// UpgradeError is the cause of an UnknownOutcomeError for a response that switches
// protocols.
type UpgradeError struct{}

func (e *UpgradeError) Error() string { return "backend: response switches protocols" }

// RequestIDMismatchError is the cause of an UnknownOutcomeError for a response that
// carries the ID of another request.
type RequestIDMismatchError struct {
	Want string
	Got  string
}

func (e *RequestIDMismatchError) Error() string {
	return fmt.Sprintf("backend: response is for request ID %q, want %q", e.Got, e.Want)
}
