package shard

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	claimPrefix   = "claims/"
	renewalPrefix = "renewals/"
)

// Claim is the record of a shard in the store, at claims/<shard>. It is
// changed by compare-and-swap only and never deleted, so the epoch of each
// claim is higher than that of every claim before it.
type Claim struct {
	Owner
	Released bool `json:"released,omitempty"` // the owner has let go; nobody owns the shard
	// Drained says that no request begun under an earlier owner can still be
	// in progress; in a released claim, also none begun by the owner itself.
	Drained bool `json:"drained,omitempty"`
}

// Renewal is the record of a host that holds fronts, at renewals/<host>. One
// renewal covers all of its fronts. Its revision in the store is what counts.
type Renewal struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// record is a claim as last seen in the store.
type record struct {
	Claim
	revision store.Revision // to compare with; 0 if the key was deleted
	order    store.Revision // of the last change seen
	seen     time.Time      // when this change was first seen
}

func claimKey(id ID) string { return claimPrefix + string(id) }

func renewalKey(host fleet.HostID) string { return renewalPrefix + string(host) }

func idOf(key string) ID { return ID(strings.TrimPrefix(key, claimPrefix)) }

// MalformedError reports a record in the store that can't be decoded. It is
// never skipped over: the shard stays with whoever holds it.
type MalformedError struct {
	Key   string
	Cause error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("shard: record %q malformed: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// LostError reports that a shard has passed to another owner, or to nobody.
type LostError struct {
	Shard    ID
	NewOwner Owner
}

func (e *LostError) Error() string {
	return fmt.Sprintf("shard: %s lost to host %s at epoch %d", e.Shard, e.NewOwner.Host, e.NewOwner.Epoch)
}

// PanicError is the panic of a Runner.
type PanicError struct {
	Shard ID
	Value any
}

func (e *PanicError) Error() string {
	return fmt.Sprintf("shard: runner of %s panicked: %v", e.Shard, e.Value)
}

func decodeClaim(e store.Entry) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(e.Value, &c); err != nil {
		return Claim{}, &MalformedError{Key: e.Key, Cause: err}
	}
	return c, nil
}

// Status is what a host knows of a shard.
type Status struct {
	ID           ID           `json:"id"`
	Owner        Owner        `json:"owner"` // of the newest claim; zero if there is none
	Owned        bool         `json:"owned"` // false if nobody owns the shard
	DesiredOwner fleet.HostID `json:"wanted"`
	Running      bool         `json:"running"`            // by this host
	MaySend      bool         `json:"sending,omitempty"`  // this host may send, for fronts
	Error        string       `json:"error,omitempty"`    // that ended the last run on this host
	Restarts     int          `json:"restarts,omitempty"` // of the runner on this host
}

func sortStatus(list []Status) {
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
}
