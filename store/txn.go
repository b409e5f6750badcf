package store

import (
	"fmt"
	"time"
)

// Check requires a key to be at a revision; 0: the key must not exist.
type Check struct {
	Key      string
	Revision Revision
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID // 0: none
}

// Txn is applied whole or not at all.
type Txn struct {
	Checks  []Check
	Puts    []Put
	Deletes []string
}

// MaxTxnEntries bounds the checks, puts and deletes of one Txn together.
// Source: the platform's contract of its store.
const MaxTxnEntries = 32

// Entries counts what MaxTxnEntries bounds.
func (t *Txn) Entries() int { return len(t.Checks) + len(t.Puts) + len(t.Deletes) }

// Transactional is a key-value service with transactions over several keys,
// paged ranges and long polls. Errors are those of Store, with
// *TxnConflictError and *CompactedError.
type Transactional interface {
	// Get returns the entry at key, or a *NotFoundError.
	Get(key string) (Entry, error)
	// Page returns entries under prefix in order of key that follow after, and
	// whether more follow. Pages are not a snapshot.
	Page(prefix, after string) ([]Entry, bool, Revision, error)
	// Changes waits for changes under prefix above a revision, up to wait.
	// The Revision returned is the one to continue from.
	Changes(prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	Commit(txn Txn) (Revision, error)
	Grant(ttl time.Duration) (LeaseID, error)
	Renew(lease LeaseID) error
	Revoke(lease LeaseID) error
}

// TxnConflictError reports a transaction that was not applied because a check
// failed. Current holds the checked keys that exist.
type TxnConflictError struct{ Current []Entry }

func (e *TxnConflictError) Error() string { return "store: a checked key has changed" }

// At returns the current entry of a checked key; its revision is 0 if the key
// does not exist.
func (e *TxnConflictError) At(key string) Entry {
	for _, entry := range e.Current {
		if entry.Key == key {
			return entry
		}
	}
	return Entry{Key: key}
}

// CompactedError reports that the changes after a revision are no longer
// kept: the caller reads the present state instead.
type CompactedError struct{ After Revision }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: no history after revision %d", e.After)
}
