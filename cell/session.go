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
	controlInterval = 200 * time.Millisecond // between two rounds of the control loop
	confirmInterval = 5 * time.Minute        // after this long without a durable entry an empty record is written
	releaseTimeout  = 2 * time.Second        // for writing the last entry of an owner
)

// session is one term of ownership of one cell.
//
// It runs a journal loop, a control loop, a return loop for outcomes and one
// agent per worker. Only the journal loop waits for the store, so that running
// tasks keep their leases during its outages.
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
	wake    chan struct{}  // wakes the journal loop
	fenced  chan error     // receives the error when a worker has accepted a later owner
	ready   atomic.Bool    // offers are accepted: the owner is journaled and the workers are known

	mu                    sync.Mutex // guards the fields below
	machine               *Machine
	runs                  map[inventory.AttemptRef]*run // of placed attempts
	workers               map[fleet.WorkerID]*worker
	pendingEnds           map[inventory.AttemptRef]delegation.Outcome // decided, not yet journaled
	pendingRunTimes       []runTimeRecord                             // of finished attempts, not yet journaled
	pendingReturns        map[inventory.AttemptRef]pendingReturn      // durable, not yet acknowledged
	pendingAcks           []inventory.AttemptRef                      // acknowledged, not yet journaled
	ackedOffers           map[shard.ID]offerPosition                  // position of the last acknowledged return, not yet journaled
	pendingStarts         map[shard.ID][]inventory.AttemptRef         // to be reported to queues
	returnsInFlight       map[shard.ID]bool                           // queues with a call in flight
	retryAt               map[shard.ID]time.Time                      // earliest time of the next call after a failed one
	openedAt              time.Time                                   // when this term began
	lastDurableAt         time.Time                                   // when the commit of the last durable entry began
	predecessorsStopAt    time.Time                                   // latest time at which a predecessor may send a call
	dcState               dcState
	pendingDCState        *dcStateRecord // last change of dcState, not yet journaled
	members               membership
	lastSharingAt         time.Time // when the policy last decided
	model                 *sharing.Model
	policy                *sharing.Policy
	lastSharing           map[fleet.WorkerID]sharing.Worker // input of the policy's last decision
	frontLatencies        frontLatencies
	settingsCache         map[classSettingsKey]settings.Resolved
	settingsCacheRevision store.Revision
	lastLoad              member.CellLoad // last result of load
	lending               lending
}

// pendingReturn is an outcome that its queue has not acknowledged yet.
type pendingReturn struct {
	queue   shard.ID
	outcome delegation.Outcome
}

// lockedMachine is the Machine that the journal uses: every method takes the
// session's mutex, since agents read the state while the journal writes.
type lockedMachine struct{ s *session }

func (m lockedMachine) Apply(record []byte) error {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	return m.s.machine.Apply(record)
}

func (m lockedMachine) Snapshot() ([]byte, error) {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	return m.s.machine.Snapshot()
}

func (m lockedMachine) Restore(snapshot []byte) error {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	return m.s.machine.Restore(snapshot)
}

func (srv *Server) openSession(ctx context.Context, id shard.ID, dc fleet.DataCentre, n int, owner shard.Owner) (*session, error) {
	s := &session{
		deps:            &srv.deps,
		vars:            srv.vars,
		id:              id,
		dc:              dc,
		number:          n,
		owner:           owner,
		logger:          log.With(srv.deps.Logger, "cell", id, "epoch", owner.Epoch),
		wake:            make(chan struct{}, 1),
		fenced:          make(chan error, 1),
		machine:         NewMachine(),
		runs:            make(map[inventory.AttemptRef]*run),
		workers:         make(map[fleet.WorkerID]*worker),
		pendingEnds:     make(map[inventory.AttemptRef]delegation.Outcome),
		pendingReturns:  make(map[inventory.AttemptRef]pendingReturn),
		ackedOffers:     make(map[shard.ID]offerPosition),
		pendingStarts:   make(map[shard.ID][]inventory.AttemptRef),
		returnsInFlight: make(map[shard.ID]bool),
		retryAt:         make(map[shard.ID]time.Time),
		openedAt:        time.Now(),
		lastDurableAt:   time.Now(),
		model:           sharing.NewModel(),
	}
	s.policy = sharing.NewPolicy(s.model)
	j, err := s.deps.Open(ctx, id, owner, lockedMachine{s})
	if err != nil {
		return nil, err
	}
	s.journal = j
	return s, nil
}

// serve runs the session until ctx ends or the cell is lost. No call to a
// worker is in flight when it returns.
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

// run runs the loops until ctx ends, the journal stops or a worker turns out to
// have accepted a later owner.
func (s *session) run(ctx context.Context, lost <-chan struct{}) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		select {
		case <-lost:
			return &JournalError{ID: s.id}
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

// open journals this owner before it sends anything to a worker, so that every
// later owner knows which predecessors it has to wait for.
func (s *session) open(ctx context.Context) error {
	now := time.Now()
	opened := &ownerRecord{Host: s.owner.Host, Incarnation: s.owner.Incarnation, Epoch: s.owner.Epoch}
	err := s.commit(ctx, func() *record { return &record{Open: opened} })
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.predecessorsStopAt = latestPredecessorStop(now, s.machine.state.Previous, s.hasEnded)
	s.dcState.restore(s.machine.state.DCState, now)
	for _, a := range s.machine.state.Attempts {
		s.recover(a)
	}
	s.logger.Log("event", "cell_opened", "attempts", len(s.machine.state.Attempts))
	return nil
}

// recover restores the session's state of an attempt that a predecessor
// left.
func (s *session) recover(a *attempt) {
	switch a.Phase {
	case phasePlaced:
		s.runs[a.Task.AttemptRef] = &run{takenBack: a.TakenBack}
	case phaseEnded:
		s.pendingReturns[a.Task.AttemptRef] = pendingReturn{queue: a.Task.Queue, outcome: a.Outcome}
	case phaseWaiting:
	}
}

// release journals that this owner sends no further calls to workers.
func (s *session) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	err := s.commit(ctx, func() *record {
		if s.machine.state.Owner.Epoch != s.owner.Epoch {
			return nil // open failed before the entry was applied
		}
		return &record{Release: true}
	})
	s.logger.Log("event", "cell_released", "err", err)
}

// commit runs the steps in one transaction and returns once their records are
// durable. A step returns nil to journal nothing. Steps run with the mutex held,
// and each sees the effects of the ones before it.
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
		panic("cell: record not encoded: " + err.Error()) // can't fail: no type in a record has a custom encoding
	}
	tx.Append(data)
	tx.OnDurable(func() { s.onDurable(begun, r) })
}

// onDurable carries out the consequences of a record once it is durable.
func (s *session) onDurable(begun time.Time, r *record) {
	count(s.vars, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if begun.After(s.lastDurableAt) {
		s.lastDurableAt = begun
	}
	for _, p := range r.Place {
		if run := s.runs[p.AttemptRef]; run != nil {
			run.durable = true
			s.wakeAgent(p.Worker)
		}
	}
	for _, ref := range r.TakeBack {
		if run := s.runs[ref]; run != nil {
			run.takenBack = true
		}
	}
	for _, o := range r.End {
		s.onEnded(o)
	}
}

// onEnded schedules a durable outcome for its queue, and for its worker, which
// may now forget the attempt.
func (s *session) onEnded(o delegation.Outcome) {
	delete(s.runs, o.AttemptRef)
	a := s.machine.find(o.AttemptRef)
	if a == nil {
		return
	}
	s.pendingReturns[o.AttemptRef] = pendingReturn{queue: a.Task.Queue, outcome: o}
	if w := s.workers[a.Placement.Worker]; w != nil {
		w.forget[o.AttemptRef] = true
	}
}

// decideEnd records the end of an attempt. The journal loop makes it durable.
func (s *session) decideEnd(o delegation.Outcome) {
	if s.isEndDecided(o.AttemptRef) {
		return
	}
	if r := s.runs[o.AttemptRef]; r != nil {
		r.endDecided = true
	}
	s.pendingEnds[o.AttemptRef] = o
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
