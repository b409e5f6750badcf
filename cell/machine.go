package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

// closedRetention is how long a cell remembers an attempt that it no longer
// holds, in order to recognise repeated and delayed messages about it. It is
// longer than any message between hosts can be in flight.
const closedRetention = 2 * time.Minute

// expireInterval is the time between two removals of expired state.
const expireInterval = 10 * time.Second

// phase is the progress of an attempt. It never decreases.
type phase uint8

const (
	phaseWaiting phase = iota + 1 // accepted, not yet placed on a worker
	phasePlaced                   // placement journaled; the worker may have started it
	phaseEnded                    // certainly not running; Outcome is set
)

// attempt is the durable state of an attempt.
type attempt struct {
	Task       delegation.Task    `cbor:"1,keyasint"`
	Phase      phase              `cbor:"2,keyasint"`
	AcceptedMS int64              `cbor:"3,keyasint"`
	Order      uint64             `cbor:"4,keyasint"`
	Placement  placement          `cbor:"5,keyasint"` // from phasePlaced on
	Cancelled  bool               `cbor:"6,keyasint,omitempty"`
	Outcome    delegation.Outcome `cbor:"7,keyasint"`           // in phaseEnded
	Reclaimed  bool               `cbor:"8,keyasint,omitempty"` // to be stopped, since it runs on lent capacity that is reclaimed
}

// closed is an attempt that the cell refused, or whose outcome the queue has
// acknowledged.
type closed struct {
	Attempt fleet.Attempt  `cbor:"1,keyasint"`
	AtMS    int64          `cbor:"2,keyasint"`
	Refused string         `cbor:"3,keyasint,omitempty"` // reason of the refusal; "" if the outcome was returned
	Worker  fleet.WorkerID `cbor:"4,keyasint,omitempty"` // that ran it
	// FailedOn lists the workers on which this attempt or earlier ones failed.
	FailedOn []fleet.WorkerID `cbor:"5,keyasint,omitempty"`
}

// state is the snapshot of a Machine.
//
// Invariants: a task has at most one attempt; the total size of a worker's
// placed attempts never exceeds its capacity at the time of placement; an
// ended attempt is kept until its queue has acknowledged the outcome.
type state struct {
	Version      uint8                                `cbor:"1,keyasint"`
	Order        uint64                               `cbor:"2,keyasint"`
	Owner        ownerRecord                          `cbor:"3,keyasint"`
	Previous     []ownerRecord                        `cbor:"4,keyasint,omitempty"`
	Attempts     map[fleet.TaskID]*attempt            `cbor:"5,keyasint,omitempty"`
	Closed       map[fleet.TaskID]closed              `cbor:"6,keyasint,omitempty"`
	Health       map[fleet.WorkerID]*workerHealth     `cbor:"7,keyasint,omitempty"`
	Jobs         map[fleet.JobID]*jobHealth           `cbor:"8,keyasint,omitempty"`
	Sizes        map[fleet.JobClass][]fleet.Resources `cbor:"9,keyasint,omitempty"`
	Offers       map[shard.ID]offerPosition           `cbor:"11,keyasint,omitempty"` // latest of each queue
	RunTimes     map[classKey]runTimes                `cbor:"12,keyasint,omitempty"`
	DCState      dcStateRecord                        `cbor:"13,keyasint"`           // latest change; SinceMS is 0 before the first
	LastExpiryMS int64                                `cbor:"10,keyasint,omitempty"` // when expired state was last removed
}

// Machine is the state machine of one cell. It does no I/O, has no clock and
// is used by one goroutine.
type Machine struct {
	codec  codec
	state  state
	placed map[fleet.WorkerID][]*attempt // in phasePlaced, by worker, in order of placement
}

var _ wal.Machine = (*Machine)(nil)

// NewMachine returns the Machine of a cell without tasks.
func NewMachine() *Machine {
	m := &Machine{codec: newCodec(), state: state{Version: recordVersion}}
	m.state.initMaps()
	m.placed = make(map[fleet.WorkerID][]*attempt)
	return m
}

func (s *state) initMaps() {
	if s.Attempts == nil {
		s.Attempts = make(map[fleet.TaskID]*attempt)
	}
	if s.Closed == nil {
		s.Closed = make(map[fleet.TaskID]closed)
	}
	if s.Health == nil {
		s.Health = make(map[fleet.WorkerID]*workerHealth)
	}
	if s.Jobs == nil {
		s.Jobs = make(map[fleet.JobID]*jobHealth)
	}
	if s.Offers == nil {
		s.Offers = make(map[shard.ID]offerPosition)
	}
	if s.RunTimes == nil {
		s.RunTimes = make(map[classKey]runTimes)
	}
	if s.Sizes == nil {
		s.Sizes = make(map[fleet.JobClass][]fleet.Resources)
	}
}

// hasNilEntries reports whether a map has a nil entry. No snapshot of a Machine
// has one.
func (s *state) hasNilEntries() bool {
	for _, a := range s.Attempts {
		if a == nil {
			return true
		}
	}
	for _, h := range s.Health {
		if h == nil {
			return true
		}
	}
	for _, j := range s.Jobs {
		if j == nil {
			return true
		}
	}
	return false
}

// Snapshot implements wal.Machine.
func (m *Machine) Snapshot() ([]byte, error) { return m.codec.encode(&m.state) }

// Restore implements wal.Machine.
func (m *Machine) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		*m = *NewMachine()
		return nil
	}
	var s state
	if err := m.codec.dec.Unmarshal(snapshot, &s); err != nil {
		return eris.Wrap(&DecodeError{What: "snapshot", Cause: err}, "journal")
	}
	if s.Version != recordVersion {
		return eris.Wrap(&VersionError{Version: s.Version}, "journal")
	}
	if s.hasNilEntries() {
		return eris.Wrap(&DecodeError{What: "snapshot", Cause: &ContradictionError{Record: "empty"}}, "journal")
	}
	s.initMaps()
	m.state = s
	m.placed = make(map[fleet.WorkerID][]*attempt)
	for _, a := range m.inPhase(phasePlaced) {
		m.placed[a.Placement.Worker] = append(m.placed[a.Placement.Worker], a)
	}
	return nil
}

// Apply implements wal.Machine.
func (m *Machine) Apply(data []byte) error {
	r, err := m.codec.decodeRecord(data)
	if err != nil {
		return err
	}
	return m.apply(&r)
}

func (m *Machine) apply(r *record) error {
	if r.Open != nil {
		m.open(*r.Open, r.AtMS)
	}
	if r.DCState != nil {
		m.state.DCState = *r.DCState
	}
	for _, position := range r.OfferPositions {
		m.advanceOffers(position)
	}
	for _, t := range r.Accept {
		if err := m.accept(t, r.AtMS); err != nil {
			return err
		}
	}
	for _, refusal := range r.Refuse {
		m.close(refusal.AttemptRef, closed{Refused: refusal.Reason}, r.AtMS)
	}
	for _, p := range r.Place {
		if err := m.place(p); err != nil {
			return err
		}
	}
	for _, ref := range r.Cancel {
		if a := m.find(ref); a != nil {
			a.Cancelled = true
		}
	}
	for _, ref := range r.Reclaim {
		if a := m.find(ref); a != nil {
			a.Reclaimed = true
		}
	}
	for _, o := range r.End {
		if err := m.end(o, r.AtMS); err != nil {
			return err
		}
	}
	for _, sample := range r.RunTimes {
		m.observeRunTime(sample, r.AtMS)
	}
	for _, ref := range r.Acked {
		m.acknowledge(ref, r.AtMS)
	}
	if r.Release {
		m.state.Owner.Released = true
	}
	m.expire(r.AtMS)
	return nil
}

// open makes o the owner. The previous owner is kept until none of its calls
// can reach a worker any more.
func (m *Machine) open(o ownerRecord, atMS int64) {
	s := &m.state
	if s.Owner.Epoch != 0 && !s.Owner.Released {
		s.Owner.EndMS = atMS
		s.Previous = append(s.Previous, s.Owner)
	}
	s.Owner = o
}

// advanceOffers marks the offers of a queue up to the given position as
// processed or out of date.
func (m *Machine) advanceOffers(position offerPosition) {
	if m.state.Offers[position.Queue].precedes(position) {
		m.state.Offers[position.Queue] = position
	}
}

// isStale reports whether an offer is at or before the latest position
// recorded for its queue: its sender was superseded, or has sent a later offer
// with the same tasks.
func (m *Machine) isStale(p offerPosition) bool { return !m.state.Offers[p.Queue].precedes(p) }

func (m *Machine) accept(t delegation.Task, atMS int64) error {
	if !m.canAccept(t.AttemptRef) {
		return eris.Wrap(&ContradictionError{AttemptRef: t.AttemptRef, Record: "accept"}, "journal")
	}
	if previous, ok := m.state.Attempts[t.Task]; ok {
		m.acknowledge(previous.Task.AttemptRef, atMS)
	}
	m.state.Order++
	m.state.Attempts[t.Task] = &attempt{
		Task:       t,
		Phase:      phaseWaiting,
		AcceptedMS: atMS,
		Order:      m.state.Order,
	}
	return nil
}

// canAccept reports whether ref is newer than every known attempt of its task.
// A queue delegates a task again only after it has durably recorded the outcome
// of the previous attempt, so a newer attempt acknowledges an ended one.
func (m *Machine) canAccept(ref inventory.AttemptRef) bool {
	if a, ok := m.state.Attempts[ref.Task]; ok {
		return a.Phase == phaseEnded && ref.Attempt > a.Task.Attempt
	}
	c, ok := m.state.Closed[ref.Task]
	return !ok || ref.Attempt > c.Attempt
}

func (m *Machine) place(p placement) error {
	a := m.find(p.AttemptRef)
	if a == nil || a.Phase != phaseWaiting {
		return eris.Wrap(&ContradictionError{AttemptRef: p.AttemptRef, Record: "place"}, "journal")
	}
	a.Phase = phasePlaced
	a.Placement = p
	m.placed[p.Worker] = append(m.placed[p.Worker], a)
	return nil
}

func (m *Machine) end(o delegation.Outcome, atMS int64) error {
	a := m.find(o.AttemptRef)
	if a == nil || a.Phase == phaseEnded {
		return eris.Wrap(&ContradictionError{AttemptRef: o.AttemptRef, Record: "end"}, "journal")
	}
	if a.Phase == phasePlaced {
		m.unplace(a)
	}
	a.Phase = phaseEnded
	a.Outcome = o
	m.observeOutcome(a, atMS)
	return nil
}

func (m *Machine) unplace(a *attempt) {
	id := a.Placement.Worker
	rest := slices.DeleteFunc(m.placed[id], func(other *attempt) bool { return other == a })
	if len(rest) == 0 {
		delete(m.placed, id)
		return
	}
	m.placed[id] = rest
}

func (m *Machine) acknowledge(ref inventory.AttemptRef, atMS int64) {
	a := m.find(ref)
	if a == nil || a.Phase != phaseEnded {
		return
	}
	failedOn := m.state.Closed[ref.Task].FailedOn
	if a.Outcome.Kind == delegation.OutcomeFailed && a.Outcome.Worker != "" {
		failedOn = addWorker(slices.Clone(failedOn), a.Outcome.Worker)
	}
	m.close(ref, closed{Worker: a.Placement.Worker, FailedOn: failedOn}, atMS)
	delete(m.state.Attempts, ref.Task)
}

func (m *Machine) close(ref inventory.AttemptRef, c closed, atMS int64) {
	c.Attempt = ref.Attempt
	c.AtMS = atMS
	m.state.Closed[ref.Task] = c
}

// expire removes state that has outlived its retention time.
func (m *Machine) expire(nowMS int64) {
	if since := nowMS - m.state.LastExpiryMS; since >= 0 && since < expireInterval.Milliseconds() {
		return
	}
	m.state.LastExpiryMS = nowMS
	for task, c := range m.state.Closed {
		if nowMS-c.AtMS > closedRetention.Milliseconds() {
			delete(m.state.Closed, task)
		}
	}
	m.state.Previous = slices.DeleteFunc(m.state.Previous, func(o ownerRecord) bool {
		return nowMS-o.EndMS > (MaxUnconfirmedOwnership + MaxWorkerLease + MaxTerminationDelay + 2*ClockMargin).Milliseconds()
	})
	m.expireHealth(nowMS)
	m.expireRunTimes(nowMS)
}

// find returns the attempt, or nil if the cell does not hold exactly this
// attempt of the task.
func (m *Machine) find(ref inventory.AttemptRef) *attempt {
	a := m.state.Attempts[ref.Task]
	if a == nil || a.Task.Attempt != ref.Attempt {
		return nil
	}
	return a
}

// inPhase returns the attempts in a phase, in order of acceptance.
func (m *Machine) inPhase(p phase) []*attempt {
	var found []*attempt
	for _, a := range m.state.Attempts {
		if a.Phase == p {
			found = append(found, a)
		}
	}
	slices.SortFunc(found, func(a, b *attempt) int { return cmp.Compare(a.Order, b.Order) })
	return found
}

// onWorker returns the placed attempts of a worker. The caller must not keep
// the slice across a change of the state.
func (m *Machine) onWorker(id fleet.WorkerID) []*attempt { return m.placed[id] }

// waiting returns the number of attempts that wait for a worker.
func (m *Machine) waiting() int {
	n := 0
	for _, a := range m.state.Attempts {
		if a.Phase == phaseWaiting {
			n++
		}
	}
	return n
}
