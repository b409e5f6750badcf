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
	// drainTimeout limits the time for committing pending records when Serve
	// ends.
	drainTimeout = time.Second
	// snapshotDueEighths is the fraction of the ring, in eighths, that entries
	// since the last snapshot fill when the next snapshot is due.
	snapshotDueEighths = 6
)

// Names of the counters in Vars.
const (
	varCommits   = "commits"
	varRecords   = "records"
	varBytes     = "bytes"
	varSnapshots = "snapshot_writes"
	varRetries   = "retries"
)

// Shard is the journal of a shard that this process owns, with its Machine. Do,
// View and Vars are safe for concurrent use.
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
	err          error         // why Serve ended; set before done is closed
	effects      sync.WaitGroup
	writeStarted atomic.Int64 // start of the outstanding write in Unix nanoseconds; 0 if there is none

	// The fields below belong to the goroutine of Serve.
	pace            *pacer
	lastDurable     Sequence         // newest durable entry
	revisions       []store.Revision // by slot
	snapshots       *snapshotter     // used by the outstanding write if that is part of a snapshot
	pending         []*batch         // not yet sent; all but the last are full
	inFlight        *batch           // records of entry lastDurable+1, while it is being written
	writeInProgress bool             // a write is outstanding; there is at most one
	snapshotTurn    bool             // the next write of a snapshot precedes the next entry
	applyErr        error            // of a record that was too large or could not be applied
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

// Owner returns the owner that the shard was opened for.
func (s *Shard) Owner() Owner { return s.owner }

// Done returns a channel that is closed when Serve has ended.
func (s *Shard) Done() <-chan struct{} { return s.done }

// StalledFor returns how long the outstanding write has been in progress, or 0
// if there is none. A long time means that the store does not respond.
func (s *Shard) StalledFor() time.Duration {
	started := s.writeStarted.Load()
	if started == 0 {
		return 0
	}
	return time.Since(time.Unix(0, started))
}

// Do implements Committer.
func (s *Shard) Do(ctx context.Context, fn func(Tx) error) error {
	return s.call(ctx, newCall(fn, false))
}

// View runs fn on the shard's goroutine, between transactions. The state of the
// Machine may include records that are not durable yet. Errors are
// *StoppedError and the context's error.
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
		// fn is running; call must not return before it has returned.
		<-c.returned
		return ctx.Err()
	}
}

// Serve runs and commits transactions until ctx ends or ownership of the shard
// is lost. When ctx ends, it accepts no more transactions and spends up to
// drainTimeout on committing the pending ones. It waits until all effects have
// returned, and returns a *StoppedError.
func (s *Shard) Serve(ctx context.Context) error {
	writeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	err := s.loop(ctx, writeCtx, cancel)
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

// failWaiters reports the shard's error to every caller that waits for a commit.
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

func (s *Shard) loop(ctx, writeCtx context.Context, cancel func()) error {
	stopping := ctx.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	drainTimer := time.AfterFunc(time.Hour, cancel)
	drainTimer.Stop()
	defer drainTimer.Stop()
	for {
		s.startWrite(writeCtx, timer, stopping == nil)
		if stopping == nil && !s.writeInProgress {
			return ctx.Err()
		}
		select {
		case <-stopping:
			stopping = nil
			drainTimer.Reset(drainTimeout)
		case c := <-s.acceptedCalls(stopping):
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

// acceptedCalls returns the channel of calls, or nil while the shard accepts
// none: while it stops, and while more than one batch is pending.
func (s *Shard) acceptedCalls(stopping <-chan struct{}) <-chan *call {
	if stopping == nil || len(s.pending) > 1 {
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

// newestBatch returns the newest batch that is not durable, or nil.
func (s *Shard) newestBatch() *batch {
	if n := len(s.pending); n > 0 {
		return s.pending[n-1]
	}
	return s.inFlight
}

// startWrite starts the next write if none is outstanding and one is due;
// otherwise it sets the timer for when the next one is due.
func (s *Shard) startWrite(writeCtx context.Context, timer *time.Timer, draining bool) {
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
		s.startSnapshotWrite(writeCtx, now)
	case wait == 0:
		s.startEntryWrite(writeCtx, now)
	case wait > 0:
		timer.Reset(wait)
	}
}

// timeUntilEntry returns the time until the next entry is due: 0 if it is due
// now, negative if there is none or the ring has no free slot.
func (s *Shard) timeUntilEntry(now time.Time) time.Duration {
	if len(s.pending) == 0 || !s.hasFreeSlot() {
		return -1
	}
	return s.pace.wait(now, s.pending[0].bytes)
}

// hasFreeSlot reports whether a durable snapshot covers the entry that the next
// one overwrites.
func (s *Shard) hasFreeSlot() bool {
	return s.lastDurable+1 <= s.snapshots.durable.Sequence+Sequence(s.ring)
}

func (s *Shard) startEntryWrite(writeCtx context.Context, now time.Time) {
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
		rev, err := s.client.write(writeCtx, at.nextKey, at.revision, value)
		return result{err: err, onSuccess: func() { s.onCommitted(rev, len(value)) }}
	})
}

func (s *Shard) startSnapshotWrite(writeCtx context.Context, now time.Time) {
	at := s.position()
	s.snapshotTurn = false
	s.pace.beginWrite(now)
	s.goWrite(now, func() result {
		err := s.snapshots.step(writeCtx, at)
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

// onCommitted reports success to the callers of the entry in flight and starts
// its effects.
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

// onAppended records that entry lastDurable+1 is durable at revision rev.
func (s *Shard) onAppended(rev store.Revision) {
	s.lastDurable++
	s.revisions[s.slot(s.lastDurable)] = rev
}

// startSnapshotIfDue starts a snapshot of the state after entry n if one is due.
// While records of later entries are pending, the Machine is already ahead of
// entry n and no snapshot is taken.
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
