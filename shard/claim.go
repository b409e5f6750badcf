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

// Claim is the ownership record of a shard, stored at claims/<shard>. It is
// changed only by compare-and-swap and never deleted, so each new owner's epoch
// is higher than every epoch before it.
type Claim struct {
	Owner
	Released bool `json:"released,omitempty"` // the owner has released the shard, which has no owner now
	// Drained is true if no request started under an earlier owner can still
	// be in progress, and in a released claim, none started by its owner.
	Drained bool `json:"drained,omitempty"`
}

// Renewal is the record with which a host renews its ownership of all of its
// fronts, stored at renewals/<host>. Other hosts check only whether its
// revision in the store changes.
type Renewal struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// observedClaim is a claim as last seen in the store.
type observedClaim struct {
	Claim
	revision   store.Revision // expected by the next compare-and-swap; 0 if the key was deleted
	lastChange store.Revision // revision of the last change seen
	firstSeen  time.Time      // when this process saw that change
}

func claimKey(id ID) string { return claimPrefix + string(id) }

func renewalKey(host fleet.HostID) string { return renewalPrefix + string(host) }

func shardOfKey(key string) ID { return ID(strings.TrimPrefix(key, claimPrefix)) }

// MalformedError reports a record that can't be encoded, or one in the store
// that can't be decoded. A malformed claim is not treated as a missing one: the
// shard stays with its last known owner.
type MalformedError struct {
	Key   string
	Cause error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("shard: malformed record %q: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// LostError reports that the claim in the store is no longer the expected one.
// NewOwner is the owner that the claim names; it may have released the shard.
type LostError struct {
	Shard    ID
	NewOwner Owner
}

func (e *LostError) Error() string {
	return fmt.Sprintf("shard: %s lost to host %s at epoch %d", e.Shard, e.NewOwner.Host, e.NewOwner.Epoch)
}

// PanicError reports that a Runner panicked with Value.
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

// Status is the state of a shard as known to a host.
type Status struct {
	ID           ID           `json:"id"`
	Owner        Owner        `json:"owner"` // of the newest known claim; zero if there is none
	Owned        bool         `json:"owned"` // false if the shard has no owner
	DesiredOwner fleet.HostID `json:"wanted"`
	Running      bool         `json:"running"`            // on this host
	MaySend      bool         `json:"sending,omitempty"`  // this host may send for the front
	Error        string       `json:"error,omitempty"`    // why the last run on this host failed
	Restarts     int          `json:"restarts,omitempty"` // of the runner on this host after failures
}

func sortStatuses(list []Status) {
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
}
