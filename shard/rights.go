package shard

import (
	"context"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// beatsPerPause is how often within the threshold of a pause a process checks
// that it was not paused.
const beatsPerThreshold = 10

// rights holds which fronts this process may send for.
//
// Invariant: while MaySend is true for a front, its claim in the store is this
// process's, and no other host may take it: the last renewal was sent less
// than the bound less the margin ago, by the monotonic and by the wall clock,
// and this process has not been paused since the claim was last confirmed.
type sendRights struct {
	origin         time.Time // origin of monotonic times
	pauseThreshold time.Duration

	grants          atomic.Pointer[map[ID]time.Duration] // monotonic time from when on requests may be sent
	untilMono       atomic.Int64                         // nanoseconds since base
	untilWall       atomic.Int64                         // Unix time in nanoseconds
	beatMono        atomic.Int64
	beatWall        atomic.Int64
	pauseCount      atomic.Int64 // seen so far, starting at 1
	confirmedPauses atomic.Int64 // pauses after which every claim was confirmed

	mu        sync.Mutex // serialises changes of grants
	onSuspend func()
}

func newSendRights(now time.Time, pauseThreshold time.Duration, onSuspend func()) *sendRights {
	r := &sendRights{origin: now, pauseThreshold: pauseThreshold, onSuspend: onSuspend}
	r.grants.Store(&map[ID]time.Duration{})
	r.pauseCount.Store(1)
	r.untilMono.Store(math.MinInt64)
	r.untilWall.Store(math.MinInt64)
	r.recordBeat(now)
	return r
}

// maySend is on the path of every request.
func (r *sendRights) maySend(front ID) bool {
	// The beats are read before the clock and before the count of pauses.
	// Whoever sees a fresh beat after a pause then also sees that pause
	// counted, which comes first; whoever sees a stale beat sees the gap.
	beatMono := r.beatMono.Load()
	beatWall := r.beatWall.Load()
	if r.isSuspended() {
		return false
	}
	now := time.Now()
	mono := int64(now.Sub(r.origin))
	wall := now.UnixNano()
	if mono-beatMono > int64(r.pauseThreshold) || wall-beatWall > int64(r.pauseThreshold) {
		return false
	}
	if mono >= r.untilMono.Load() || wall >= r.untilWall.Load() {
		return false
	}
	sendFrom, ok := (*r.grants.Load())[front]
	return ok && mono >= int64(sendFrom)
}

// beat looks for pauses until ctx ends.
func (r *sendRights) detectPauses(ctx context.Context) {
	ticker := time.NewTicker(r.pauseThreshold / beatsPerThreshold)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.checkPause(time.Now())
		}
	}
}

// check suspends the rights if the process was paused since the last beat.
// The pause is counted before the beat is renewed.
func (r *sendRights) checkPause(now time.Time) {
	mono := int64(now.Sub(r.origin)) - r.beatMono.Load()
	wall := now.UnixNano() - r.beatWall.Load()
	if mono > int64(r.pauseThreshold) || wall > int64(r.pauseThreshold) {
		r.suspend()
	}
	r.recordBeat(now)
}

func (r *sendRights) recordBeat(now time.Time) {
	r.beatMono.Store(int64(now.Sub(r.origin)))
	r.beatWall.Store(now.UnixNano())
}

// suspend stops all sending until every claim is confirmed.
func (r *sendRights) suspend() {
	r.pauseCount.Add(1)
	r.onSuspend()
}

func (r *sendRights) isSuspended() bool { return r.confirmedPauses.Load() != r.pauseCount.Load() }

// confirm lets sending go on after every claim was confirmed. pauses is the
// count read before the first of them was: a later pause needs another round.
func (r *sendRights) confirm(pauseCount int64) { r.confirmedPauses.Store(pauseCount) }

// extend moves the end of all rights to until.
func (r *sendRights) extend(until time.Time) {
	r.untilMono.Store(int64(until.Sub(r.origin)))
	r.untilWall.Store(until.UnixNano())
}

// expired reports whether the end of all rights has passed.
func (r *sendRights) expired(now time.Time) bool {
	return int64(now.Sub(r.origin)) >= r.untilMono.Load() || now.UnixNano() >= r.untilWall.Load()
}

// grant allows sending for a front from a time on. pauses is the count before
// its claim was confirmed; after a later pause it must be confirmed again.
func (r *sendRights) grant(front ID, sendFrom time.Time, pauseCount int64) {
	r.updateGrants(func(m map[ID]time.Duration) { m[front] = sendFrom.Sub(r.origin) })
	if r.pauseCount.Load() != pauseCount {
		r.suspend()
	}
}

// revoke ends sending for a front.
func (r *sendRights) revoke(front ID) {
	r.updateGrants(func(m map[ID]time.Duration) { delete(m, front) })
}

func (r *sendRights) updateGrants(edit func(map[ID]time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := maps.Clone(*r.grants.Load())
	edit(next)
	r.grants.Store(&next)
}
