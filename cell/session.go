package cell

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/sharing"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

const (
	controlInterval = 200 * time.Millisecond // between two rounds of decisions
	holdInterval    = 5 * time.Minute        // longest time without a journal entry
	releaseTimeout  = 2 * time.Second        // for the last entry of an owner
)

// session is one term of ownership of one cell.
//
// It runs a loop that journals, one that decides, one that returns outcomes
// and one agent per worker. Only the first waits for the store, so that
// running tasks keep their leases through its outages.
type session struct {
	deps    *Deps
	vars    *expvar.Map
	id      shard.ID
	dc      fleet.DataCentre
	number  int
	owner   shard.Owner
	logger  log.Logger
	journal Journal
	calls   sync.WaitGroup // agents and calls to queues
	wake    chan struct{}  // the journal loop has work
	fenced  chan error     // a worker knows a later owner
	ready   atomic.Bool    // offers are taken: the owner is journaled and the workers are known

	mu        sync.Mutex // guards what follows
	machine   *Machine
	runs      map[inventory.AttemptRef]*run // of placed attempts
	workers   map[fleet.WorkerID]*worker
	ends      map[inventory.AttemptRef]delegation.Outcome // decided, not yet journaled
	ran       []ranRecord                                 // of them, not yet journaled
	returns   map[inventory.AttemptRef]returning          // durable, not yet acknowledged
	acked     []inventory.AttemptRef                      // acknowledged, not yet journaled
	marks     map[shard.ID]offerMark                      // of acknowledgements, not yet journaled
	started   map[shard.ID][]inventory.AttemptRef         // to be reported to queues
	calling   map[shard.ID]bool                           // queues with a call under way
	retryAt   map[shard.ID]time.Time                      // after a failed call
	openedAt  time.Time                                   // when this term began
	durableAt time.Time                                   // when the last durable entry was begun
	others    time.Time                                   // when the last predecessor stops sending
	gate      gate
	gateSeen  *gateRecord // last change of the gate, not yet journaled
	members   membership
	sharedAt  time.Time // when the policy was last asked
	model     *sharing.Model
	policy    *sharing.Policy
	shared    map[fleet.WorkerID]sharing.Worker // as the policy last saw them
	fronts    frontLatencies
	values    map[resolvedKey]settings.Resolved
	valuesAt  store.Revision
	told      member.CellLoad // as load last returned it
	lending   lending
}

// returning is an outcome on its way to its queue.
type returning struct {
	queue   shard.ID
	outcome delegation.Outcome
}

// guarded is the Machine as the journal sees it: every access takes the
// session's mutex, since agents read the state while the journal writes.
type guarded struct{ s *session }

func (g guarded) Apply(record []byte) error {
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	return g.s.machine.Apply(record)
}

func (g guarded) Snapshot() ([]byte, error) {
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	return g.s.machine.Snapshot()
}

func (g guarded) Restore(snapshot []byte) error {
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	return g.s.machine.Restore(snapshot)
}

func (srv *Server) openSession(ctx context.Context, id shard.ID, dc fleet.DataCentre, n int, owner shard.Owner) (*session, error) {
	s := &session{
		deps:      &srv.deps,
		vars:      srv.vars,
		id:        id,
		dc:        dc,
		number:    n,
		owner:     owner,
		logger:    log.With(srv.deps.Logger, "cell", id, "epoch", owner.Epoch),
		wake:      make(chan struct{}, 1),
		fenced:    make(chan error, 1),
		machine:   NewMachine(),
		runs:      make(map[inventory.AttemptRef]*run),
		workers:   make(map[fleet.WorkerID]*worker),
		ends:      make(map[inventory.AttemptRef]delegation.Outcome),
		returns:   make(map[inventory.AttemptRef]returning),
		marks:     make(map[shard.ID]offerMark),
		started:   make(map[shard.ID][]inventory.AttemptRef),
		calling:   make(map[shard.ID]bool),
		retryAt:   make(map[shard.ID]time.Time),
		openedAt:  time.Now(),
		durableAt: time.Now(),
		model:     sharing.NewModel(),
	}
	s.policy = sharing.NewPolicy(s.model)
	j, err := s.deps.Open(ctx, id, owner, guarded{s})
	if err != nil {
		return nil, err
	}
	s.journal = j
	return s, nil
}

// serve runs the session until ctx ends or the cell is lost. No call to a
// worker is under way when it returns.
func (s *session) serve(ctx context.Context) error {
	journalCtx, stopJournal := context.WithCancel(context.WithoutCancel(ctx))
	lost := make(chan struct{})
	var lostCause error
	go func() {
		defer close(lost)
		lostCause = s.journal.Serve(journalCtx)
	}()
	err := s.run(ctx, lost)
	select {
	case <-lost:
		err = eris.Wrap(lostCause, string(s.id))
	default:
		s.release(ctx)
	}
	stopJournal()
	<-lost
	return err
}

// run works until ctx ends, the journal is lost or a worker is seen to know a
// later owner.
func (s *session) run(ctx context.Context, lost <-chan struct{}) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		select {
		case <-lost:
			return &JournalStoppedError{ID: s.id}
		case err := <-s.fenced:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	group.Go(func() error {
		if err := s.open(ctx); err != nil {
			return err
		}
		s.control(ctx, time.Now())
		s.ready.Store(true)
		group.Go(func() error { return s.journalLoop(ctx) })
		group.Go(func() error { return s.controlLoop(ctx) })
		group.Go(func() error { return s.returnLoop(ctx) })
		return nil
	})
	err := group.Wait()
	s.calls.Wait()
	return err
}

// open journals this owner before it sends anything to a worker, so that
// every later owner knows whom it has to wait for.
func (s *session) open(ctx context.Context) error {
	now := time.Now()
	opened := &ownerRecord{Host: s.owner.Host, Incarnation: s.owner.Incarnation, Epoch: s.owner.Epoch}
	err := s.commit(ctx, func() *record { return &record{Open: opened} })
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = othersUntil(now, s.machine.state.Previous, s.hasEnded)
	s.gate.restore(s.machine.state.Gate, now)
	for _, a := range s.machine.state.Attempts {
		s.recover(a)
	}
	s.logger.Log("event", "cell_opened", "attempts", len(s.machine.state.Attempts))
	return nil
}

// recover takes up an attempt that a predecessor left.
func (s *session) recover(a *attempt) {
	switch a.Phase {
	case phasePlaced:
		s.runs[a.Task.AttemptRef] = &run{takenBack: a.TakenBack}
	case phaseEnded:
		s.returns[a.Task.AttemptRef] = returning{queue: a.Task.Queue, outcome: a.Outcome}
	case phaseWaiting:
	}
}

// release journals that this owner sends nothing to workers any more.
func (s *session) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	err := s.commit(ctx, func() *record {
		if s.machine.state.Owner.Epoch != s.owner.Epoch {
			return nil // open did not get that far
		}
		return &record{Release: true}
	})
	s.logger.Log("event", "cell_released", "err", err)
}

// commit runs the steps in one transaction and returns when what they built is
// durable. A step returns nil to journal nothing; each sees the effects of
// those before it. It is called with the mutex held.
func (s *session) commit(ctx context.Context, steps ...func() *record) error {
	begun := time.Now()
	return s.journal.Do(ctx, func(tx wal.Tx) error {
		for _, step := range steps {
			s.appendStep(tx, begun, step)
		}
		return nil
	})
}

func (s *session) appendStep(tx wal.Tx, begun time.Time, step func() *record) {
	s.mu.Lock()
	r := step()
	s.mu.Unlock()
	if r == nil {
		return
	}
	r.Version = recordVersion
	r.AtMS = begun.UnixMilli()
	data, err := s.machine.codec.encode(r)
	if err != nil {
		panic("cell: record not encoded: " + err.Error()) // types without custom encoding
	}
	tx.Append(data)
	tx.OnDurable(func() { s.durable(begun, r) })
}

// durable takes effect of a record once it can't be lost any more.
func (s *session) durable(begun time.Time, r *record) {
	count(s.vars, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if begun.After(s.durableAt) {
		s.durableAt = begun
	}
	for _, p := range r.Place {
		if run := s.runs[p.AttemptRef]; run != nil {
			run.durable = true
			s.wakeWorker(p.Worker)
		}
	}
	for _, ref := range r.TakeBack {
		if run := s.runs[ref]; run != nil {
			run.takenBack = true
		}
	}
	for _, o := range r.End {
		s.ended(o)
	}
}

// ended makes a durable outcome known: to its queue, and to its worker, which
// may now forget the attempt.
func (s *session) ended(o delegation.Outcome) {
	delete(s.runs, o.AttemptRef)
	a := s.machine.find(o.AttemptRef)
	if a == nil {
		return
	}
	s.returns[o.AttemptRef] = returning{queue: a.Task.Queue, outcome: o}
	if w := s.workers[a.Placement.Worker]; w != nil {
		w.forget[o.AttemptRef] = true
	}
}

// decide notes the end of an attempt. The journal loop makes it durable.
func (s *session) decide(o delegation.Outcome) {
	if s.isDecided(o.AttemptRef) {
		return
	}
	if r := s.runs[o.AttemptRef]; r != nil {
		r.decided = true
	}
	s.ends[o.AttemptRef] = o
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
