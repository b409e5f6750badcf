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
	snapshotShare = 6
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

	calls   chan *call
	results chan result
	done    chan struct{} // closed when Serve has ended
	err     error         // why; set before done is closed
	effects sync.WaitGroup
	writing atomic.Int64 // when the outstanding write began, Unix nanoseconds; 0 for none

	// The rest belongs to the goroutine of Serve.
	pace      *pacer
	last      Sequence         // newest durable entry
	revisions []store.Revision // of each slot
	snapshots *snapshotter     // used by the write in progress, if it is a snapshot's
	queue     []*batch         // records not yet sent; all but the last are full
	inFlight  *batch           // records of entry last+1
	busy      bool             // a write is outstanding
	turn      bool             // a snapshot's write goes before the next entry
	failure   error            // a record could not be applied
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
		store:   deps.Store,
		retries: func() { s.vars.Add(varRetries, 1) },
		restart: func() { s.log("event", "journal_gap") },
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
	began := s.writing.Load()
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
		<-c.ran
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
	if s.busy {
		<-s.results
	}
	s.err = s.stopped(err)
	s.log("event", "journal_stopped", "err", err)
	s.fail()
	close(s.done)
	s.effects.Wait()
	return s.err
}

func (s *Shard) stopped(cause error) error {
	return eris.Wrap(&StoppedError{Shard: s.name, Cause: cause}, "journal")
}

// fail answers everyone who waits for a commit.
func (s *Shard) fail() {
	if s.inFlight != nil {
		s.queue = append(s.queue, s.inFlight)
	}
	for _, b := range s.queue {
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
		if ended == nil && !s.busy {
			return ctx.Err()
		}
		select {
		case <-ended:
			ended = nil
			drain.Reset(drainTimeout)
		case c := <-s.accepting(ended):
			s.run(c)
			if s.failure != nil {
				return s.failure
			}
		case r := <-s.results:
			if err := s.finish(r); err != nil {
				return err
			}
		case <-timer.C:
		}
	}
}

// accepting returns the channel of calls, or nil while the shard takes none:
// at its end and while more than one entry is waiting.
func (s *Shard) accepting(ended <-chan struct{}) <-chan *call {
	if ended == nil || len(s.queue) > 1 {
		return nil
	}
	return s.calls
}

func (s *Shard) run(c *call) {
	err := c.fn(&tx{shard: s})
	close(c.ran)
	if s.failure != nil {
		c.reply <- s.stopped(s.failure)
		return
	}
	b := s.newest()
	if err != nil || c.view || b == nil {
		c.reply <- err
		return
	}
	b.waiters = append(b.waiters, c.reply)
}

// newest returns the newest batch that is not durable, or nil.
func (s *Shard) newest() *batch {
	if n := len(s.queue); n > 0 {
		return s.queue[n-1]
	}
	return s.inFlight
}

// startWrite begins the next write if none is outstanding and one is due, or
// sets the timer to the time when it will be.
func (s *Shard) startWrite(io context.Context, timer *time.Timer, draining bool) {
	if s.busy {
		return
	}
	now := time.Now()
	wait := s.untilEntry(now)
	if draining {
		wait = min(wait, 0)
	}
	switch {
	case s.snapshots.job != nil && !draining && (wait != 0 || s.turn):
		s.startSnapshotWrite(io, now)
	case wait == 0:
		s.startEntryWrite(io, now)
	case wait > 0:
		timer.Reset(wait)
	}
}

// untilEntry returns when the next entry is due: 0 for now, negative for
// never.
func (s *Shard) untilEntry(now time.Time) time.Duration {
	if len(s.queue) == 0 || !s.hasRoom() {
		return -1
	}
	return s.pace.wait(now, s.queue[0].bytes)
}

// hasRoom reports whether a durable snapshot covers the entry that the next
// one overwrites.
func (s *Shard) hasRoom() bool {
	return s.last+1 <= s.snapshots.durable.Sequence+Sequence(s.ring)
}

func (s *Shard) startEntryWrite(io context.Context, now time.Time) {
	b := s.queue[0]
	s.queue = s.queue[1:]
	s.inFlight = b
	s.turn = true
	value, err := s.encode(s.last+1, b.records)
	if err == nil {
		err = s.snapshotIfDue(s.last + 1)
	}
	at := s.position()
	s.pace.beginEntry(now)
	s.write(now, func() result {
		if err != nil {
			return result{err: err}
		}
		rev, err := s.client.write(io, at.nextKey, at.revision, value)
		return result{err: err, done: func() { s.committed(rev, len(value)) }}
	})
}

func (s *Shard) startSnapshotWrite(io context.Context, now time.Time) {
	at := s.position()
	s.turn = false
	s.pace.beginWrite(now)
	s.write(now, func() result {
		err := s.snapshots.step(io, at)
		return result{err: err, done: func() { s.vars.Add(varSnapshots, 1) }}
	})
}

func (s *Shard) write(now time.Time, run func() result) {
	s.busy = true
	s.writing.Store(now.UnixNano())
	go func() {
		r := run()
		r.took = time.Since(now)
		s.results <- r
	}()
}

func (s *Shard) finish(r result) error {
	s.busy = false
	s.writing.Store(0)
	if r.err != nil {
		return r.err
	}
	s.pace.observe(time.Now(), r.took)
	r.done()
	return nil
}

// committed releases the answers and effects of the entry in flight.
func (s *Shard) committed(rev store.Revision, size int) {
	b := s.inFlight
	s.inFlight = nil
	s.appended(rev)
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
func (s *Shard) appended(rev store.Revision) {
	s.last++
	s.revisions[s.slot(s.last)] = rev
}

// snapshotIfDue takes the state after entry n, if that is the state now.
func (s *Shard) snapshotIfDue(n Sequence) error {
	covered := s.snapshots.durable.Sequence
	due := n-covered >= Sequence(s.ring*snapshotShare/8)
	if !due || s.snapshots.job != nil || len(s.queue) > 0 {
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
	slot := s.slot(s.last + 1)
	return position{
		last:     s.last,
		nextKey:  slotKey(s.name, slot),
		revision: s.revisions[slot],
	}
}

func (s *Shard) encode(n Sequence, records [][]byte) ([]byte, error) {
	return encodeEntry(entry{Sequence: n, Owner: s.owner, Records: records})
}
