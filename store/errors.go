package store

import "fmt"

// NotFoundError reports that a key does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("store: key %q not found", e.Key) }

// ConflictError reports that a write was not applied because the key's
// revision was not the expected one.
type ConflictError struct {
	Key    string
	Expect Revision
	Actual Revision // 0 if the key does not exist
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: key %q is at revision %d, not %d", e.Key, e.Actual, e.Expect)
}

// UnavailableError reports that the service did not process a call; nothing was
// applied.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: %s not applied, service unavailable: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that a write may or may not have been applied.
type UnknownOutcomeError struct {
	Op    string
	Key   string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("store: outcome of %s %q unknown: %v", e.Op, e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// LeaseGoneError reports that a lease does not exist or has ended; nothing was
// applied.
type LeaseGoneError struct{ Lease LeaseID }

func (e *LeaseGoneError) Error() string { return fmt.Sprintf("store: lease %d is gone", e.Lease) }

// TooLargeError reports that a value exceeds MaxValueBytes; nothing was applied.
// Bytes is 0 if the service rejected the value.
type TooLargeError struct {
	Key   string
	Bytes int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("store: value of key %q has %d bytes, the limit is %d", e.Key, e.Bytes, MaxValueBytes)
}

// BadRequestError reports that the service rejected a call as malformed;
// nothing was applied.
type BadRequestError struct{ Message string }

func (e *BadRequestError) Error() string { return "store: bad request: " + e.Message }
