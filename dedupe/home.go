// Package dedupe recognises a non-idempotent request that a caller sends
// again under the same ID, whichever entry host it reaches.
//
// Each ID has one home: a front, by rendezvous hash of the ID. The owner of
// that front remembers the IDs that were claimed, for a window. Ownership of
// a front is exclusive by shard.Rights, so two hosts that disagree about the
// members still can't both accept one ID:
//
//   - A home accepts a claim only if it has the front's rights after it has
//     recorded the claim, so every accepted claim precedes the next owner's
//     memory.
//   - An accepted ID was created at most Margins.MaxFuture after the home's clock.
//   - The next owner's memory begins when it became the owner, and it refuses
//     IDs created before that plus Margins.ClockSkew. So it refuses every ID that an
//     earlier owner may have accepted.
//   - An owner that lets go keeps its memory, in which nothing is accepted any
//     more. If the owner of the very next epoch gets it whole, it vouches for
//     what the former owner vouched for.
//
// The hash is over the fronts of the region, which come from the settings.
// While hosts may see different sets of fronts, new memories begin only after
// Margins.Propagation, and when fronts are removed all memories begin again.
package dedupe

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// Window is how long an ID is remembered after its creation.
	Window = 10 * time.Minute
	// MaxIDs bounds the memory of one home. When it is full the oldest IDs go,
	// and with them the ability to vouch for IDs of their age.
	MaxIDs = 50_000

	bucketSpan = 10 * time.Second
)

// Margins bound how far hosts may differ.
type Margins struct {
	// MaxFuture is how much the time in an ID may be ahead of its home's clock.
	MaxFuture time.Duration
	// ClockSkew is how much later than the beginning of a memory an ID must have
	// been created: MaxFuture plus the largest difference between the clocks of
	// two homes.
	ClockSkew time.Duration
	// Propagation is the longest time after which all hosts see a change of the
	// region's fronts.
	Propagation time.Duration
}

// DefaultMargins are the margins of a deployment.
var DefaultMargins = Margins{
	MaxFuture:   500 * time.Millisecond,
	ClockSkew:   750 * time.Millisecond,
	Propagation: 10 * time.Second,
}

// DuplicateError reports that the ID was claimed before: the request may have
// run.
type DuplicateError struct{ ID uuid.UUID }

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("dedupe: request %s was sent before", e.ID)
}

// UnverifiableReason tells why nothing can be said of an ID.
type UnverifiableReason string

// Reasons.
const (
	UnverifiableTooOld  UnverifiableReason = "old"     // created before the home's memory
	UnverifiableFuture  UnverifiableReason = "future"  // created in the future
	UnverifiableVersion UnverifiableReason = "version" // not a UUIDv7
)

// UnverifiableError reports that the home can't tell whether the ID was claimed
// before: the request may have run.
type UnverifiableError struct {
	ID     uuid.UUID
	Reason UnverifiableReason
}

func (e *UnverifiableError) Error() string {
	return fmt.Sprintf("dedupe: can't vouch for request %s: %s", e.ID, e.Reason)
}

// Token names one send. The same send may claim again, after a lost answer.
type Token uint64

// History is the memory of one home. It is not safe for concurrent use.
//
// Invariants: every ID that was claimed and not released, here or at an
// earlier owner, and was created at or after floor, is in its bucket; no bucket lies wholly before floor; count
// is the number of IDs in all buckets and at most max.
type History struct {
	margins Margins
	max     int
	floor   time.Time // IDs created earlier can't be vouched for
	begun   time.Time // floor at first
	buckets map[int64]map[uuid.UUID]Token
	oldest  int64 // no bucket has a lower number
	count   int
}

// NewHistory returns a memory that begins at start and holds up to limit IDs.
func NewHistory(start time.Time, limit int, margins Margins) *History {
	floor := start.Add(margins.ClockSkew)
	return &History{
		margins: margins,
		max:     limit,
		floor:   floor,
		begun:   floor,
		buckets: make(map[int64]map[uuid.UUID]Token),
		oldest:  bucketOf(floor),
	}
}

// Restart lets the memory begin anew at start, if that is later.
func (h *History) Restart(start time.Time) { h.raise(start.Add(h.margins.ClockSkew)) }

// Created returns the time in a UUIDv7.
func Created(id uuid.UUID) time.Time {
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

func bucketOf(t time.Time) int64 { return t.UnixMilli() / bucketSpan.Milliseconds() }

// Claim records the ID for a send. It returns nil if no other send has
// claimed it, else *DuplicateError or *UnverifiableError.
func (h *History) Claim(now time.Time, id uuid.UUID, token Token) error {
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return &UnverifiableError{ID: id, Reason: UnverifiableVersion}
	}
	h.raise(now.Add(-Window))
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
	if !h.makeRoom(created) {
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

// makeRoom drops the oldest IDs while the memory is full. It reports whether
// an ID created at the given time can still be vouched for.
func (h *History) makeRoom(created time.Time) bool {
	for h.count >= h.max {
		h.raise(time.UnixMilli((h.oldest + 1) * bucketSpan.Milliseconds()))
	}
	return !created.Before(h.floor)
}

// raise moves the floor up and drops the buckets below it.
func (h *History) raise(floor time.Time) {
	if !floor.After(h.floor) {
		return
	}
	h.floor = floor
	first := bucketOf(floor)
	if first-h.oldest > int64(len(h.buckets)) {
		h.dropBelow(first)
	}
	for ; h.oldest < first; h.oldest++ {
		h.drop(h.oldest)
	}
}

// dropBelow drops buckets when there are fewer of them than numbers to go
// through.
func (h *History) dropBelow(first int64) {
	for b := range h.buckets {
		if b < first {
			h.drop(b)
		}
	}
	h.oldest = first
}

func (h *History) drop(b int64) {
	h.count -= len(h.buckets[b])
	delete(h.buckets, b)
}

// Release forgets an ID whose request was surely not run, so that it can be
// claimed again. Only the send that claimed it can release it.
func (h *History) Release(id uuid.UUID, token Token) {
	ids := h.buckets[bucketOf(Created(id))]
	if earlier, ok := ids[id]; ok && earlier == token {
		delete(ids, id)
		h.count--
	}
}

// holds reports whether an ID is in memory.
func (h *History) holds(id uuid.UUID) bool {
	_, ok := h.buckets[bucketOf(Created(id))][id]
	return ok
}

// Len returns the number of IDs in memory.
func (h *History) Len() int { return h.count }
