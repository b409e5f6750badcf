package shard

import (
	"context"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// beatsPerThreshold is the number of beats, each with a check for a pause, per
// pause threshold.
const beatsPerThreshold = 10

// sendRights holds the fronts that this process may send requests for.
//
// Invariant: while maySend is true for a front, the claim in the store belongs
// to this process and no other host may take the front over. The last renewal
// was sent less than the takeover timeout minus the clock margin ago, by both
// the monotonic and the wall clock, and this process has not been paused since
// it sent the write that last confirmed the claim of this front.
type sendRights struct {
	origin         time.Time // origin of monotonic times
	pauseThreshold time.Duration

	grants          atomic.Pointer[map[ID]grant]
	untilMono       atomic.Int64 // nanoseconds since origin
	untilWall       atomic.Int64 // Unix time in nanoseconds
	beatMono        atomic.Int64
	beatWall        atomic.Int64
	pauseCount      atomic.Int64 // pauses and other suspensions so far, plus 1
	confirmedPauses atomic.Int64 // pauseCount at which every claim was last confirmed

	mu        sync.Mutex // serialises updates of grants
	onSuspend func()
}

// grant is the right to send for one front.
type grant struct {
	sendFrom time.Duration // when sending may start, relative to the origin
	// confirmedPauses is pauseCount before the write was sent that last confirmed
	// the claim. The right is suspended while it differs from pauseCount.
	confirmedPauses int64
}

func newSendRights(now time.Time, pauseThreshold time.Duration, onSuspend func()) *sendRights {
	r := &sendRights{origin: now, pauseThreshold: pauseThreshold, onSuspend: onSuspend}
	r.grants.Store(&map[ID]grant{})
	r.pauseCount.Store(1)
	r.untilMono.Store(math.MinInt64)
	r.untilWall.Store(math.MinInt64)
	r.recordBeat(now)
	return r
}

// maySend reports whether this process may send for the front. It runs once
// per request, so it takes no lock.
func (r *sendRights) maySend(front ID) bool {
	// The beats must be read before the clock and the pause count. checkPause
	// counts a pause before it records the next beat, so a caller that reads
	// the new beat also sees the pause counted, and a caller that reads the old
	// beat sees the gap.
	beatMono := r.beatMono.Load()
	beatWall := r.beatWall.Load()
	pauses := r.pauseCount.Load()
	now := time.Now()
	mono := int64(now.Sub(r.origin))
	wall := now.UnixNano()
	if mono-beatMono > int64(r.pauseThreshold) || wall-beatWall > int64(r.pauseThreshold) {
		return false
	}
	if mono >= r.untilMono.Load() || wall >= r.untilWall.Load() {
		return false
	}
	g, ok := (*r.grants.Load())[front]
	return ok && g.confirmedPauses == pauses && mono >= int64(g.sendFrom)
}

// detectPauses checks for pauses until ctx ends.
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

// checkPause suspends the rights if the process has been paused since the last
// beat. It counts the pause before it records the beat; maySend relies on that
// order.
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

// suspend stops all sending until every claim has been confirmed.
func (r *sendRights) suspend() {
	r.pauseCount.Add(1)
	r.onSuspend()
}

// isSuspended reports whether claims have to be confirmed.
func (r *sendRights) isSuspended() bool { return r.confirmedPauses.Load() != r.pauseCount.Load() }

// confirm resumes sending for the given fronts after every claim has been
// confirmed. pauseCount is the count read before the first confirmation: if a
// pause has been counted since, sending stays suspended until all claims are
// confirmed again. A front that was granted meanwhile is not resumed.
func (r *sendRights) confirm(pauseCount int64, fronts []ID) {
	r.updateGrants(func(m map[ID]grant) {
		for _, front := range fronts {
			if g, ok := m[front]; ok {
				g.confirmedPauses = max(g.confirmedPauses, pauseCount)
				m[front] = g
			}
		}
	})
	r.confirmedPauses.Store(pauseCount)
}

// extend sets the time at which all rights expire.
func (r *sendRights) extend(until time.Time) {
	r.untilMono.Store(int64(until.Sub(r.origin)))
	r.untilWall.Store(until.UnixNano())
}

// expired reports whether all rights have expired, by either clock.
func (r *sendRights) expired(now time.Time) bool {
	return int64(now.Sub(r.origin)) >= r.untilMono.Load() || now.UnixNano() >= r.untilWall.Load()
}

// grant allows sending for a front from sendFrom. pauseCount is the count read
// before its claim was confirmed: if a pause has been counted since, all rights
// are suspended until the claims are confirmed again.
func (r *sendRights) grant(front ID, sendFrom time.Time, pauseCount int64) {
	r.updateGrants(func(m map[ID]grant) {
		m[front] = grant{sendFrom: sendFrom.Sub(r.origin), confirmedPauses: pauseCount}
	})
	if r.pauseCount.Load() != pauseCount {
		r.suspend()
	}
}

// revoke stops sending for a front. It returns the pauseCount at which its claim
// was last confirmed, or 0 if there was no right to send.
func (r *sendRights) revoke(front ID) (confirmedPauses int64) {
	r.updateGrants(func(m map[ID]grant) {
		confirmedPauses = m[front].confirmedPauses
		delete(m, front)
	})
	return confirmedPauses
}

// isGranted reports whether there is a right to send for a front, which may be
// suspended, expired or begin later.
func (r *sendRights) isGranted(front ID) bool {
	_, ok := (*r.grants.Load())[front]
	return ok
}

func (r *sendRights) updateGrants(edit func(map[ID]grant)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := maps.Clone(*r.grants.Load())
	edit(next)
	r.grants.Store(&next)
}
