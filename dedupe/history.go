// Package dedupe detects non-idempotent requests that a caller sends again under
// the same ID, whichever entry host they reach.
//
// Each ID has a home: one of the region's fronts, chosen by rendezvous hashing of
// the ID. Before a request is run, its ID is claimed at the owner of that front,
// which keeps a history of the claimed IDs for Window. shard.SendRights makes ownership
// of a front exclusive, so two hosts can't both accept the same ID even if they
// disagree about the members of the cluster:
//
//   - A home accepts a claim only if it still has the rights to the front after it
//     has recorded the claim, so every accepted claim precedes the start of the
//     next owner's history.
//   - An accepted ID was created at most Margins.MaxFuture ahead of the home's
//     clock.
//   - The next owner's history starts when it becomes the owner, and it rejects IDs
//     created before that time plus Margins.StartMargin. So it rejects every ID that
//     an earlier owner may have accepted.
//   - An owner that gives up a front retains its history, and accepts nothing in it
//     any more. If the owner of the very next epoch fetches it completely, it can
//     verify all IDs that the former owner could verify.
//
// The set of fronts comes from the settings. While hosts may see different sets,
// new histories start only after Margins.Propagation. When a front is removed, all
// histories start again.
package dedupe

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// Window is how long after its creation an ID stays in the history.
	Window = 10 * time.Minute
	// MaxIDs is the maximum number of IDs in one history. When it is full, the
	// oldest IDs are dropped, and IDs of their age can no longer be verified.
	MaxIDs = 50_000

	bucketSpan = 10 * time.Second
)

// Margins are limits on the differences between hosts: of their clocks, and of the
// sets of fronts they see.
type Margins struct {
	// MaxFuture is the maximum time by which the time in an ID may be ahead of
	// its home's clock.
	MaxFuture time.Duration
	// StartMargin is the minimum time between the start of a history and the
	// creation of the IDs that it accepts: MaxFuture plus the maximum difference
	// between the clocks of two homes.
	StartMargin time.Duration
	// Propagation is the maximum time until all hosts see a change of the
	// region's fronts.
	Propagation time.Duration
}

// DefaultMargins are the margins of a deployment.
var DefaultMargins = Margins{
	MaxFuture:   500 * time.Millisecond,
	StartMargin: 750 * time.Millisecond,
	Propagation: 10 * time.Second,
}

// DuplicateError reports that the ID was claimed before: the request may have
// run.
type DuplicateError struct{ ID uuid.UUID }

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("dedupe: request %s was sent before", e.ID)
}

// UnverifiableReason is the reason why an ID can't be verified.
type UnverifiableReason string

// Reasons why an ID can't be verified.
const (
	UnverifiableTooOld  UnverifiableReason = "old"     // created before the start of the home's history
	UnverifiableFuture  UnverifiableReason = "future"  // created too far in the future
	UnverifiableVersion UnverifiableReason = "version" // not a UUIDv7
)

// UnverifiableError reports that the home does not know whether the ID was claimed
// before: the request may have run.
type UnverifiableError struct {
	ID     uuid.UUID
	Reason UnverifiableReason
}

func (e *UnverifiableError) Error() string {
	return fmt.Sprintf("dedupe: can't verify that request %s is new: %s", e.ID, e.Reason)
}

// Token identifies one send of a request. The same send may claim its ID again if
// the reply was lost.
type Token uint64

// History is the set of IDs that were claimed at one home. It is not safe for
// concurrent use.
//
// Invariants: every ID that was claimed and not released, here or at an earlier
// owner, and was created at or after floor, is in its bucket; no bucket lies
// entirely before floor; count is the number of IDs in all buckets and is at most
// max.
type History struct {
	margins      Margins
	max          int
	floor        time.Time // IDs created earlier can't be verified
	initialFloor time.Time // floor of the new history
	buckets      map[int64]map[uuid.UUID]Token
	oldestBucket int64 // lower bound of the bucket numbers
	count        int
}

// NewHistory returns an empty history that starts at start and holds up to limit
// IDs.
func NewHistory(start time.Time, limit int, margins Margins) *History {
	floor := start.Add(margins.StartMargin)
	return &History{
		margins:      margins,
		max:          limit,
		floor:        floor,
		initialFloor: floor,
		buckets:      make(map[int64]map[uuid.UUID]Token),
		oldestBucket: bucketOf(floor),
	}
}

// Restart moves the start of the history to start if that is later, and drops IDs
// created before it.
func (h *History) Restart(start time.Time) { h.raiseFloor(start.Add(h.margins.StartMargin)) }

// Created returns the creation time in a UUIDv7.
func Created(id uuid.UUID) time.Time {
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

func bucketOf(t time.Time) int64 { return t.UnixMilli() / bucketSpan.Milliseconds() }

// Claim records the ID for a send. It returns nil if no other send has claimed it,
// otherwise *DuplicateError or *UnverifiableError.
func (h *History) Claim(now time.Time, id uuid.UUID, token Token) error {
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return &UnverifiableError{ID: id, Reason: UnverifiableVersion}
	}
	h.raiseFloor(now.Add(-Window))
	created := Created(id)
	if created.After(now.Add(h.margins.MaxFuture)) {
		return &UnverifiableError{ID: id, Reason: UnverifiableFuture}
	}
	if created.Before(h.floor) {
		return &UnverifiableError{ID: id, Reason: UnverifiableTooOld}
	}
	b := bucketOf(created)
	if earlier, ok := h.buckets[b][id]; ok {
		if earlier == token {
			return nil
		}
		return &DuplicateError{ID: id}
	}
	if !h.evictFor(created) {
		return &UnverifiableError{ID: id, Reason: UnverifiableTooOld}
	}
	h.add(b, id, token)
	return nil
}

func (h *History) add(b int64, id uuid.UUID, token Token) {
	if h.buckets[b] == nil {
		h.buckets[b] = make(map[uuid.UUID]Token)
	}
	h.buckets[b][id] = token
	h.count++
}

// evictFor drops the oldest IDs while the history is full. It reports whether an ID
// created at the given time can still be verified.
func (h *History) evictFor(created time.Time) bool {
	for h.count >= h.max {
		h.raiseFloor(time.UnixMilli((h.oldestBucket + 1) * bucketSpan.Milliseconds()))
	}
	return !created.Before(h.floor)
}

// raiseFloor raises the floor, unless it is already higher, and drops the buckets
// below it.
func (h *History) raiseFloor(floor time.Time) {
	if !floor.After(h.floor) {
		return
	}
	h.floor = floor
	first := bucketOf(floor)
	if first-h.oldestBucket > int64(len(h.buckets)) {
		h.dropBucketsBelow(first)
	}
	for ; h.oldestBucket < first; h.oldestBucket++ {
		h.dropBucket(h.oldestBucket)
	}
}

// dropBucketsBelow drops the buckets below first. It iterates over the buckets
// instead of their numbers, for when there are fewer buckets.
func (h *History) dropBucketsBelow(first int64) {
	for b := range h.buckets {
		if b < first {
			h.dropBucket(b)
		}
	}
	h.oldestBucket = first
}

func (h *History) dropBucket(b int64) {
	h.count -= len(h.buckets[b])
	delete(h.buckets, b)
}

// Release removes an ID whose request was certainly not run, so that it can be
// claimed again. Only the send that claimed it can release it.
func (h *History) Release(id uuid.UUID, token Token) {
	ids := h.buckets[bucketOf(Created(id))]
	if earlier, ok := ids[id]; ok && earlier == token {
		delete(ids, id)
		h.count--
	}
}

// contains reports whether an ID is in the history.
func (h *History) contains(id uuid.UUID) bool {
	_, ok := h.buckets[bucketOf(Created(id))][id]
	return ok
}

// Len returns the number of IDs in the history.
func (h *History) Len() int { return h.count }
