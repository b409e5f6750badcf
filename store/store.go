// Package store is the client of the platform's key-value service, where
// everything that must outlive a process is kept.
//
// The service offers single-key compare-and-swap, leases and watches. Every
// call, and every waiting watch, counts against the users' allowance, so a
// Store is normally wrapped in a Metered one.
package store

import (
	"context"
	"time"
)

// Revision orders all changes in the service. Each successful write gets a
// higher Revision than every write before it. 0 means "no such key".
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

// Event is one change seen by a watch.
type Event struct {
	Entry
	Deleted bool `json:"deleted,omitempty"` // Value is empty; Revision is that of the deletion
}

// Store is the platform's key-value service. Implementations are safe for
// concurrent use. Every error wraps exactly one of the error types of this
// package or the context's error; a write that ends with the context's error
// has an unknown outcome.
//
// Reads are linearizable when the service answers.
type Store interface {
	// Get returns the entry at key, or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)

	// GetNewer returns the entry at key and true if its revision differs
	// from known, and else an empty entry and false, which costs no value
	// transfer. Errors as for Get.
	GetNewer(ctx context.Context, key string, known Revision) (Entry, bool, error)

	// List returns the entries whose keys start with prefix, ordered by key,
	// and the service's revision at that moment.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)

	// CompareAndSwap writes value at key if the key's revision is expect (0:
	// the key does not exist) and returns the new revision. The key is
	// deleted when lease ends, if lease is not 0. Errors: *ConflictError,
	// *UnavailableError (not applied), *UnknownOutcomeError,
	// *LeaseGoneError, *TooLargeError.
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Revision, error)

	// Delete removes key if its revision is expect. Errors as for
	// CompareAndSwap.
	Delete(ctx context.Context, key string, expect Revision) error

	// Grant creates a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)

	// Renew extends a lease by its full ttl, or returns a *LeaseGoneError.
	Renew(ctx context.Context, lease LeaseID) error

	// Revoke ends a lease at once and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error

	// Watch sends every change under prefix with a revision above after, in
	// order of revision, until ctx ends; then it closes the channel. It
	// reconnects by itself, resumes after the last revision sent, and never
	// sends a revision twice or a lower one after a higher one. If the
	// service no longer has the history, it sends an Event for every present
	// entry under prefix whose revision is above the last one sent.
	Watch(ctx context.Context, prefix string, after Revision) (<-chan Event, error)
}

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20
