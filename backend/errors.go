package backend

import "fmt"

// Outcome is what is known about a request once its caller gets an answer.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered" // the backend server's whole answer
	NotRun   Outcome = "not-run"  // no byte was written to a backend server
	Unknown  Outcome = "unknown"  // it may or may not have run
)

// Reason is the machine-readable cause of a failed exchange.
type Reason string

// Reasons.
const (
	ReasonDial              Reason = "dial"         // no connection could be opened
	ReasonConnections       Reason = "connections"  // the server's share of connections is in use
	ReasonNotAllowed        Reason = "not_allowed"  // the right to send ended
	ReasonCancelled         Reason = "cancelled"    // the caller went away
	ReasonDeadline          Reason = "deadline"     // the caller's deadline passed
	ReasonFirstByte         Reason = "first_byte"   // the server did not begin to answer in time
	ReasonIdle              Reason = "idle"         // silence inside the answer
	ReasonRequestBody       Reason = "request_body" // the caller's body failed
	ReasonWrite             Reason = "write"        // the connection failed while the request was written
	ReasonClosed            Reason = "closed"       // the connection ended before the answer
	ReasonTruncated         Reason = "cut"          // the answer ended too early
	ReasonOverlong          Reason = "overlong"     // bytes followed the answer
	ReasonProtocol          Reason = "protocol"     // the answer is not acceptable HTTP/1.1
	ReasonRequestIDMismatch Reason = "wrong_answer" // the answer names another request
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

// UnknownError reports that at least one byte of the request was written and
// no whole answer came back.
type UnknownError struct {
	Address string
	Reason  Reason
	Reused  bool  // the connection had carried an earlier exchange
	Cause   error // may be nil
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("backend: outcome of request to %s unknown (%s): %v", e.Address, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Timeout reports whether the request ran out of time, rather than failed.
func (e *UnknownError) Timeout() bool {
	return e.Reason == ReasonFirstByte || e.Reason == ReasonIdle || e.Reason == ReasonDeadline
}

// UndelimitedError is the cause of an UnknownError for an answer whose body
// ends with the connection, so that a cut could not be told from its end.
type UndelimitedError struct{}

func (e *UndelimitedError) Error() string {
	return "backend: answer has neither a length nor chunked coding"
}

// HeaderTooLargeError is the cause of an UnknownError for an answer with more
// than MaxHeaderBytes of header.
type HeaderTooLargeError struct{}

func (e *HeaderTooLargeError) Error() string { return "backend: answer header too large" }

// UpgradeError is the cause of an UnknownError for an answer that switches
// protocols.
type UpgradeError struct{}

func (e *UpgradeError) Error() string { return "backend: answer switches protocols" }

// RequestIDMismatchError is the cause of an UnknownError for an answer that names
// another request.
type RequestIDMismatchError struct {
	Want string
	Got  string
}

func (e *RequestIDMismatchError) Error() string {
	return fmt.Sprintf("backend: answer names request %q, not %q", e.Got, e.Want)
}
