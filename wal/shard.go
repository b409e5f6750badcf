package wal

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// drainTimeout bounds the commit of what is pending when Serve ends.
	drainTimeout = time.Second
	// snapshotShare is the share of the ring, in eighths, after which a
	// snapshot is due.
	snapshotDueEighths = 6
)

// Counters in Vars.
const (
	varCommits   = "commits"
	varRecords   = "records"
	varBytes     = "bytes"
	varSnapshots = "snapshot_writes"
	varRetries   = "retries"
)

// Shard is an owned journal with its Machine. Do, View and Vars are safe for
// concurrent use.
type Shard struct {
	name    string
	owner   Owner
	machine Machine
	client  *client
	logger  log.Logger
	vars    *expvar.Map
	ring    int

	calls        chan *call
	results      chan result
	done         chan struct{} // closed when Serve has ended
	err          error         // why; set before done is closed
	effects      sync.WaitGroup
	writeStarted atomic.Int64 // when the outstanding write began, Unix nanoseconds; 0 for none

	// The rest belongs to the goroutine of Serve.
	pace            *pacer
	lastDurable     Sequence         // newest durable entry
	revisions       []store.Revision // of each slot
	snapshots       *snapshotter     // used by the write in progress, if it is a snapshot's
	pending         []*batch         // records not yet sent; all but the last are full
	inFlight        *batch           // records of entry last+1
	writeInProgress bool             // a write is outstanding
	snapshotTurn    bool             // a snapshot's write goes before the next entry
	applyErr        error            // a record could not be applied
}

var _ Committer = (*Shard)(nil)

func newShard(deps Deps, name string, owner Owner, m Machine, ring int) *Shard {
	s := &Shard{
		name:    name,
		owner:   owner,
		machine: m,
		logger:  log.With(deps.Logger, "shard", name, "epoch", owner.Epoch),
		vars:    newVars(),
		ring:    ring,
		calls:   make(chan *call),
		results: make(chan result, 1),
		done:    make(chan struct{}),
		pace:    newPacer(deps.Pace),
	}
	s.client = &client{
		store:     deps.Store,
		onRetry:   func() { s.vars.Add(varRetries, 1) },
		onRestart: func() { s.log("event", "journal_gap") },
	}
	return s
}

func (s *Shard) log(keyvals ...any) { s.logger.Log(keyvals...) }

// Vars returns the shard's counters.
func (s *Shard) Vars() *expvar.Map { return s.vars }

// Owner returns the owner under which the shard was opened.
func (s *Shard) Owner() Owner { return s.owner }

// Done returns a channel that is closed when Serve has ended.
func (s *Shard) Done() <-chan struct{} { return s.done }

// StalledFor returns for how long the outstanding write has been under way; 0 if
// there is none. Long times mean that the store does not answer.
func (s *Shard) StalledFor() time.Duration {
	began := s.writeStarted.Load()
	if began == 0 {
		return 0
	}
	return time.Since(time.Unix(0, began))
}

// Do implements Committer.
func (s *Shard) Do(ctx context.Context, fn func(Tx) error) error {
	return s.call(ctx, newCall(fn, false))
}

// View runs fn on the shard's goroutine, between transactions. The Machine
// may show records that are not durable yet. Errors: *StoppedError, the
// context's error.
func (s *Shard) View(ctx context.Context, fn func()) error {
	run := func(Tx) error {
		fn()
		return nil
	}
	return s.call(ctx, newCall(run, true))
}

func (s *Shard) call(ctx context.Context, c *call) error {
	select {
	case s.calls <- c:
	case <-s.done:
		return s.err
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-c.reply:
		return err
	case <-ctx.Done():
		// fn runs now; the caller must not return while it does.
		<-c.returned
		return ctx.Err()
	}
}

// Serve runs transactions and commits them until ctx ends or the shard is
// lost. When ctx ends it takes no more transactions and tries once to commit
// those it has. It returns a *StoppedError, after all effects have returned.
func (s *Shard) Serve(ctx context.Context) error {
	io, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	err := s.loop(ctx, io, cancel)
	cancel()
	if s.writeInProgress {
		<-s.results
	}
	s.err = s.stopped(err)
	s.log("event", "journal_stopped", "err", err)
	s.failWaiters()
	close(s.done)
	s.effects.Wait()
	return s.err
}

func (s *Shard) stopped(cause error) error {
	return eris.Wrap(&StoppedError{Shard: s.name, Cause: cause}, "journal")
}

// fail answers everyone who waits for a commit.
func (s *Shard) failWaiters() {
	if s.inFlight != nil {
		s.pending = append(s.pending, s.inFlight)
	}
	for _, b := range s.pending {
		for _, w := range b.waiters {
			w <- s.err
		}
	}
}

func (s *Shard) loop(ctx, io context.Context, cancel func()) error {
	ended := ctx.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	drain := time.AfterFunc(time.Hour, cancel)
	drain.Stop()
	defer drain.Stop()
	for {
		s.startWrite(io, timer, ended == nil)
		if ended == nil && !s.writeInProgress {
			return ctx.Err()
		}
		select {
		case <-ended:
			ended = nil
			drain.Reset(drainTimeout)
		case c := <-s.acceptedCalls(ended):
			s.runCall(c)
			if s.applyErr != nil {
				return s.applyErr
			}
		case r := <-s.results:
			if err := s.finishWrite(r); err != nil {
				return err
			}
		case <-timer.C:
		}
	}
}

// accepting returns the channel of calls, or nil while the shard takes none:
// at its end and while more than one entry is waiting.
func (s *Shard) acceptedCalls(ended <-chan struct{}) <-chan *call {
	if ended == nil || len(s.pending) > 1 {
		return nil
	}
	return s.calls
}

func (s *Shard) runCall(c *call) {
	err := c.fn(&tx{shard: s})
	close(c.returned)
	if s.applyErr != nil {
		c.reply <- s.stopped(s.applyErr)
		return
	}
	b := s.newestBatch()
	if err != nil || c.view || b == nil {
		c.reply <- err
		return
	}
	b.waiters = append(b.waiters, c.reply)
}

// newest returns the newest batch that is not durable, or nil.
func (s *Shard) newestBatch() *batch {
	if n := len(s.pending); n > 0 {
		return s.pending[n-1]
	}
	return s.inFlight
}

// startWrite begins the next write if none is outstanding and one is due, or
// sets the timer to the time when it will be.
func (s *Shard) startWrite(io context.Context, timer *time.Timer, draining bool) {
	if s.writeInProgress {
		return
	}
	now := time.Now()
	wait := s.timeUntilEntry(now)
	if draining {
		wait = min(wait, 0)
	}
	switch {
	case s.snapshots.inProgress != nil && !draining && (wait != 0 || s.snapshotTurn):
		s.startSnapshotWrite(io, now)
	case wait == 0:
		s.startEntryWrite(io, now)
	case wait > 0:
		timer.Reset(wait)
	}
}

// untilEntry returns when the next entry is due: 0 for now, negative for
// never.
func (s *Shard) timeUntilEntry(now time.Time) time.Duration {
	if len(s.pending) == 0 || !s.hasFreeSlot() {
		return -1
	}
	return s.pace.wait(now, s.pending[0].bytes)
}

// hasRoom reports whether a durable snapshot covers the entry that the next
// one overwrites.
func (s *Shard) hasFreeSlot() bool {
	return s.lastDurable+1 <= s.snapshots.durable.Sequence+Sequence(s.ring)
}

func (s *Shard) startEntryWrite(io context.Context, now time.Time) {
	b := s.pending[0]
	s.pending = s.pending[1:]
	s.inFlight = b
	s.snapshotTurn = true
	value, err := s.encode(s.lastDurable+1, b.records)
	if err == nil {
		err = s.startSnapshotIfDue(s.lastDurable + 1)
	}
	at := s.position()
	s.pace.beginEntry(now)
	s.goWrite(now, func() result {
		if err != nil {
			return result{err: err}
		}
		rev, err := s.client.write(io, at.nextKey, at.revision, value)
		return result{err: err, onSuccess: func() { s.onCommitted(rev, len(value)) }}
	})
}

func (s *Shard) startSnapshotWrite(io context.Context, now time.Time) {
	at := s.position()
	s.snapshotTurn = false
	s.pace.beginWrite(now)
	s.goWrite(now, func() result {
		err := s.snapshots.step(io, at)
		return result{err: err, onSuccess: func() { s.vars.Add(varSnapshots, 1) }}
	})
}

func (s *Shard) goWrite(now time.Time, run func() result) {
	s.writeInProgress = true
	s.writeStarted.Store(now.UnixNano())
	go func() {
		r := run()
		r.took = time.Since(now)
		s.results <- r
	}()
}

func (s *Shard) finishWrite(r result) error {
	s.writeInProgress = false
	s.writeStarted.Store(0)
	if r.err != nil {
		return r.err
	}
	s.pace.observe(time.Now(), r.took)
	r.onSuccess()
	return nil
}

// committed releases the answers and effects of the entry in flight.
func (s *Shard) onCommitted(rev store.Revision, size int) {
	b := s.inFlight
	s.inFlight = nil
	s.onAppended(rev)
	s.vars.Add(varCommits, 1)
	s.vars.Add(varRecords, int64(len(b.records)))
	s.vars.Add(varBytes, int64(size))
	for _, w := range b.waiters {
		w <- nil
	}
	for _, effect := range b.effects {
		s.effects.Go(effect)
	}
}

// appended notes that entry last+1 is durable.
func (s *Shard) onAppended(rev store.Revision) {
	s.lastDurable++
	s.revisions[s.slot(s.lastDurable)] = rev
}

// snapshotIfDue takes the state after entry n, if that is the state now.
func (s *Shard) startSnapshotIfDue(n Sequence) error {
	covered := s.snapshots.durable.Sequence
	due := n-covered >= Sequence(s.ring*snapshotDueEighths/8)
	if !due || s.snapshots.inProgress != nil || len(s.pending) > 0 {
		return nil
	}
	return s.startSnapshot(n)
}

func (s *Shard) startSnapshot(n Sequence) error {
	data, err := s.machine.Snapshot()
	if err != nil {
		return err
	}
	return s.snapshots.start(n, data)
}

func (s *Shard) slot(n Sequence) int { return int(n % Sequence(s.ring)) }

func (s *Shard) position() position {
	slot := s.slot(s.lastDurable + 1)
	return position{
		last:     s.lastDurable,
		nextKey:  slotKey(s.name, slot),
		revision: s.revisions[slot],
	}
}

func (s *Shard) encode(n Sequence, records [][]byte) ([]byte, error) {
	return encodeEntry(entry{Sequence: n, Owner: s.owner, Records: records})
}
