package store

import (
	"fmt"
	"time"
)

// Check requires a key to be at a revision. Revision 0 requires that the key does
// not exist.
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

// Txn is a transaction: the puts and deletes are applied atomically if all checks
// hold.
type Txn struct {
	Checks  []Check
	Puts    []Put
	Deletes []string
}

// MaxTxnEntries is the maximum total number of checks, puts and deletes in a Txn.
// The platform's contract of its store sets it.
const MaxTxnEntries = 32

// Entries returns the number of checks, puts and deletes, which MaxTxnEntries
// limits.
func (t *Txn) Entries() int { return len(t.Checks) + len(t.Puts) + len(t.Deletes) }

// Transactional is a key-value service with transactions over several keys,
// paginated reads of ranges, and long polling. Errors are those of Store, and
// *TxnConflictError and *CompactedError.
type Transactional interface {
	// Get returns the entry at key, or a *NotFoundError.
	Get(key string) (Entry, error)
	// Page returns the next entries under prefix whose keys are above after, in
	// order of key, and whether there are more. Together, the pages are not a
	// consistent snapshot.
	Page(prefix, after string) ([]Entry, bool, Revision, error)
	// Changes waits up to wait for changes under prefix with a revision above
	// after. The next call continues from the Revision returned. It returns a
	// *CompactedError if the changes are no longer available.
	Changes(prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Commit applies a transaction and returns its revision. It returns a
	// *TxnConflictError if a check does not hold.
	Commit(txn Txn) (Revision, error)
	// Grant creates a lease that ends ttl after its last renewal.
	Grant(ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its full ttl, or returns a *LeaseGoneError.
	Renew(lease LeaseID) error
	// Revoke ends a lease immediately and deletes its keys.
	Revoke(lease LeaseID) error
}

// TxnConflictError reports that a transaction was not applied because a check did
// not hold. Current holds the current entries of the checked keys that exist.
type TxnConflictError struct{ Current []Entry }

func (e *TxnConflictError) Error() string { return "store: a checked key has changed" }

// At returns the current entry of a checked key. Its revision is 0 if the key does
// not exist.
func (e *TxnConflictError) At(key string) Entry {
	for _, entry := range e.Current {
		if entry.Key == key {
			return entry
		}
	}
	return Entry{Key: key}
}

// CompactedError reports that the service no longer has the changes after a
// revision. The caller must read the current state instead.
type CompactedError struct{ After Revision }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: history after revision %d has been compacted", e.After)
}
