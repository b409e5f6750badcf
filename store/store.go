// Package store is the client of the platform's key-value service, which holds
// all state that must survive a process.
//
// The service provides compare-and-swap of single keys, leases and watches.
// Every call, and every outstanding watch, counts against the quota of its
// users, so a Store is normally wrapped in a Metered one.
package store

import (
	"context"
	"time"
)

// Revision orders all changes in the service. Each successful write gets a
// Revision above those of all earlier writes. 0 means "no such key".
type Revision int64

// LeaseID identifies a lease in the service. 0 means "no lease".
type LeaseID int64

// Entry is a key with its value.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"` // of the last write to this key
	Lease    LeaseID  `json:"lease,omitempty"`
}

// Event is one change observed by a watch.
type Event struct {
	Entry
	Deleted bool `json:"deleted,omitempty"` // Value is empty; Revision is that of the deletion
}

// Store is the platform's key-value service. Implementations are safe for
// concurrent use. Every error wraps exactly one of the error types of this
// package or the context's error; a write that ends with the context's error
// has an unknown outcome.
//
// Reads are linearizable when the service responds.
type Store interface {
	// Get returns the entry at key, or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)

	// GetNewer returns the entry at key and true if its revision differs from
	// known. Otherwise it returns an empty entry and false, without a transfer
	// of the value. Errors are those of Get.
	GetNewer(ctx context.Context, key string, known Revision) (Entry, bool, error)

	// List returns the entries whose keys start with prefix, ordered by key,
	// and the revision of the service at that time.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)

	// CompareAndSwap writes value at key if the revision of the key is expect
	// (0: the key does not exist) and returns the new revision. If lease is
	// not 0, the key is deleted when the lease ends. Errors: *ConflictError,
	// *UnavailableError (not applied), *UnknownOutcomeError,
	// *LeaseGoneError, *TooLargeError.
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Revision, error)

	// Delete deletes key if its revision is expect. Errors are those of
	// CompareAndSwap.
	Delete(ctx context.Context, key string, expect Revision) error

	// Grant creates a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)

	// Renew extends a lease by its full ttl, or returns a *LeaseGoneError.
	Renew(ctx context.Context, lease LeaseID) error

	// Revoke ends a lease immediately and deletes its keys. It returns a
	// *LeaseGoneError if the lease has already ended.
	Revoke(ctx context.Context, lease LeaseID) error

	// Watch sends every change under prefix with a revision above after, in
	// order of revision, until ctx ends; then it closes the channel. It
	// reconnects automatically, resumes after the last revision sent, and
	// never sends a revision twice or a lower one after a higher one. If the
	// service no longer has the history, it sends an Event for every current
	// entry under prefix whose revision is above the last one sent.
	Watch(ctx context.Context, prefix string, after Revision) (<-chan Event, error)
}

// MaxValueBytes is the maximum size of a value that the service accepts, in bytes.
const MaxValueBytes = 1 << 20
