package intake

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// recordBytes bounds the memory that the state of a job takes on every host, until it is
	// deleted some time after the job's end.
	recordBytes = 512
	// unknownJobBytes is what a job takes whose record does not say, from a host of an earlier
	// version.
	unknownJobBytes = 4 << 10
	// jobWeight is how many times a job must fit into the room that is left. The largest jobs
	// are refused first.
	jobWeight = 4
	// unseenWeight is the number of hosts that may accept jobs at the same time, of which none
	// sees those of the others yet.
	unseenWeight = 16
	// unseenTimeout is the time after which a job counts as not accepted whose outcome was
	// unknown and which the store has not shown.
	unseenTimeout = 10 * time.Second
	// releaseWindow is the time over which the rate is measured at which jobs release memory.
	releaseWindow = 10 * time.Second
)

// ledger counts the memory that the accepted jobs take of their owner. Every host keeps one, as
// the store shows each of them all jobs, and counts a job of its own from the moment at which it
// is accepted. Each host may become the owner, so that the budget is the same on all.
//
// Invariants: held is the sum of the bytes of all accounts, bySource of those of a source, and
// unseen of those that the store has not shown. queued counts the accounts that are queued and
// not unseen, by queue.
type ledger struct {
	mu       sync.Mutex
	limit    int64
	accounts map[fleet.JobID]account
	held     int64
	unseen   int64
	bySource map[uint32]int64
	queued   map[string]int
	expiry   []expiry // of unseen accounts, the earliest first
	// released is the decayed sum of the bytes that were released, at releasedAt.
	released   float64
	releasedAt time.Duration
	// ownerFullUntil is until when what the owner has published holds: that it holds jobs back for
	// want of memory.
	ownerFullUntil time.Duration
}

type account struct {
	bytes  int64
	source uint32
	queue  string // shared with the keys of queued
	queued bool
	unseen bool
}

type expiry struct {
	id fleet.JobID
	at time.Duration
}

func newLedger(limit int64) *ledger {
	return &ledger{limit: limit, accounts: make(map[fleet.JobID]account), bySource: make(map[uint32]int64), queued: make(map[string]int)}
}

// apply counts a change of a job's state that the store has shown.
func (l *ledger) apply(e store.Event, now time.Duration) {
	id, ok := JobIDFromKey(e.Key)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Deleted {
		l.replace(id, account{}, now)
		return
	}
	a := account{bytes: recordBytes + unknownJobBytes}
	if r, err := DecodeRecord(e.Value); err == nil {
		a = r.account()
	}
	l.replace(id, a, now)
}

// account returns what a job with the record takes.
func (r Record) account() account {
	a := account{bytes: recordBytes, source: r.Source, queue: r.Queue, queued: r.State == workload.StateQueued}
	switch {
	case r.State.Final():
	case r.Bytes > 0:
		a.bytes += r.Bytes
	default:
		a.bytes += unknownJobBytes
	}
	return a
}

// replace sets the account of a job; one of 0 bytes removes it. It requires mu.
func (l *ledger) replace(id fleet.JobID, a account, now time.Duration) {
	old, known := l.accounts[id]
	l.add(old, -1)
	if released := old.bytes - a.bytes; released > 0 && !old.unseen {
		l.decay(now)
		l.released += float64(released)
	}
	if a.bytes == 0 {
		delete(l.accounts, id)
		return
	}
	l.add(a, 1)
	if known && a.queue == old.queue {
		a.queue = old.queue
	}
	l.accounts[id] = a
}

// add adds an account to the sums, or takes it from them.
func (l *ledger) add(a account, sign int64) {
	l.held += sign * a.bytes
	if l.bySource[a.source] += sign * a.bytes; l.bySource[a.source] == 0 {
		delete(l.bySource, a.source)
	}
	switch {
	case a.unseen:
		l.unseen += sign * a.bytes
	case a.queued:
		if l.queued[a.queue] += int(sign); l.queued[a.queue] == 0 {
			delete(l.queued, a.queue)
		}
	}
}

// decay reduces the sum of what was released to now.
func (l *ledger) decay(now time.Duration) {
	if past := now - l.releasedAt; past > 0 {
		l.released *= max(0, 1-past.Seconds()/releaseWindow.Seconds())
	}
	l.releasedAt = now
}

// shortfall returns how many bytes are missing for a job: 0 if it may be accepted. A source may
// hold as much as is left for all others, so that one that fills its part leaves the same again.
func (l *ledger) shortfall(source uint32, bytes int64) int64 {
	if l.limit <= 0 {
		return 0
	}
	room := l.limit - l.held - unseenWeight*l.unseen
	return max(0, l.bySource[source]+jobWeight*bytes-room)
}

// reserve counts a job that is about to be accepted. It returns *RefusedError if there is no room
// for it. A job that is counted already stays so.
func (l *ledger) reserve(job *workload.Job, now time.Duration) *RefusedError {
	bytes := recordBytes + dispatch.JobBytes(job)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if _, ok := l.accounts[job.ID]; ok {
		return nil
	}
	missing := l.shortfall(job.Source, bytes)
	if missing == 0 && now >= l.ownerFullUntil {
		l.replace(job.ID, account{bytes: bytes, source: job.Source, unseen: true}, now)
		l.expiry = append(l.expiry, expiry{job.ID, now + unseenTimeout})
		return nil
	}
	l.decay(now)
	wait := maxRetryAfter
	if l.released > 0 {
		wait = seconds(float64(missing) / (l.released / releaseWindow.Seconds()))
	}
	return &RefusedError{
		Reason:     fmt.Sprintf("no memory for further jobs: %d bytes of %d are held, %d by this source, and the job takes %d", l.held, l.limit, l.bySource[job.Source], bytes),
		RetryAfter: retryAfter(wait, job), OutOfMemory: true,
	}
}

// release takes back the reservation of a job that was not accepted.
func (l *ledger) release(id fleet.JobID, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.accounts[id].unseen {
		l.replace(id, account{}, now)
	}
}

// expire takes back reservations whose outcome is unknown and which the store has not shown.
func (l *ledger) expire(now time.Duration) {
	for len(l.expiry) > 0 && now >= l.expiry[0].at {
		if id := l.expiry[0].id; l.accounts[id].unseen {
			l.replace(id, account{}, now)
		}
		l.expiry = l.expiry[1:]
	}
}

// setOwnerFull records whether the owner has published that it holds jobs back.
func (l *ledger) setOwnerFull(full bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownerFullUntil = 0
	if full {
		l.ownerFullUntil = now + maxLoadAge
	}
}

// pending returns the number of jobs of a queue that have started no task.
func (l *ledger) pending(queue string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queued[queue]
}

// Usage is the memory that the accepted jobs take of their owner.
type Usage struct {
	Jobs, Sources int
	Bytes, Limit  int64
}

// Usage returns the memory that the accepted jobs take of their owner.
func (in *Intake) Usage() Usage {
	l := in.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{Jobs: len(l.accounts), Sources: len(l.bySource), Bytes: l.held, Limit: l.limit}
}

// sourceOf returns the source to which a job counts: its workspace, or else the address that it
// came from.
func sourceOf(job *workload.Job) uint32 {
	if job.Workspace == "" {
		return job.Source
	}
	h := fnv.New32a()
	_, _ = h.Write(binary.LittleEndian.AppendUint32([]byte("workspace "+job.Workspace), 0)) // never fails
	return h.Sum32()
}
