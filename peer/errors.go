package peer

import (
	"fmt"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// TooLargeError reports a message that exceeds the size limit, both in bytes. The
// message was not sent.
type TooLargeError struct {
	Bytes int
	Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("peer: message of %d bytes, the limit is %d", e.Bytes, e.Limit)
}

// AddressUnknownError reports that the address of a host is not known.
type AddressUnknownError struct{ Host fleet.HostID }

func (e *AddressUnknownError) Error() string {
	return fmt.Sprintf("peer: address of host %s unknown", e.Host)
}

// IdentityError reports that the other end of a connection is not the expected
// host.
type IdentityError struct {
	Want fleet.HostID
	Got  fleet.HostID
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer: expected host %s, found %s", e.Want, e.Got)
}

// CertificateError reports that a caller's certificate was not verified or does
// not contain its host ID.
type CertificateError struct{ Host fleet.HostID }

func (e *CertificateError) Error() string {
	return fmt.Sprintf("peer: no verified certificate for host %s", e.Host)
}

// EncodingError reports a request that can't be encoded as JSON. It was not sent.
type EncodingError struct {
	Method string
	Cause  error
}

func (e *EncodingError) Error() string {
	return fmt.Sprintf("peer: request of %s can't be encoded: %v", e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *EncodingError) Unwrap() error { return e.Cause }

// ClosedError reports that the client was closed before the call was sent.
type ClosedError struct{}

func (*ClosedError) Error() string { return "peer: closed" }
