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

// closedWindow is how long a cell remembers an attempt that it no longer
// holds. A repeated or delayed message about it is recognised meanwhile; it
// is longer than any message between hosts can be under way.
const closedWindow = 2 * time.Minute

// expireInterval is the time between two looks for what may be forgotten.
const expireInterval = 10 * time.Second

// phase is the progress of an attempt. It only goes up.
type phase uint8

const (
	phaseWaiting phase = iota + 1 // accepted, given to no worker
	phasePlaced                   // journaled for a worker, which may have started it
	phaseEnded                    // runs nowhere any more; Outcome is set
)

// attempt is what the cell knows durably of an attempt.
type attempt struct {
	Task       delegation.Task    `cbor:"1,keyasint"`
	Phase      phase              `cbor:"2,keyasint"`
	AcceptedMS int64              `cbor:"3,keyasint"`
	Order      uint64             `cbor:"4,keyasint"`
	Placement  placement          `cbor:"5,keyasint"` // from phasePlaced on
	Cancelled  bool               `cbor:"6,keyasint,omitempty"`
	Outcome    delegation.Outcome `cbor:"7,keyasint"`           // in phaseEnded
	TakenBack  bool               `cbor:"8,keyasint,omitempty"` // to be stopped, its room was lent
}

// closed is an attempt that the cell refused or whose return was
// acknowledged.
type closed struct {
	Attempt fleet.Attempt  `cbor:"1,keyasint"`
	AtMS    int64          `cbor:"2,keyasint"`
	Refused string         `cbor:"3,keyasint,omitempty"` // reason; "" if it was returned
	Worker  fleet.WorkerID `cbor:"4,keyasint,omitempty"` // where it ran
	// FailedOn are the workers where this attempt or earlier ones failed.
	FailedOn []fleet.WorkerID `cbor:"5,keyasint,omitempty"`
}

// state is the snapshot of a Machine.
//
// Invariants: a task has at most one attempt; the sizes of a worker's placed
// attempts never exceed its capacity at the time of placing; an ended attempt
// stays until its queue has acknowledged its return.
type state struct {
	Version  uint8                                `cbor:"1,keyasint"`
	Order    uint64                               `cbor:"2,keyasint"`
	Owner    ownerRecord                          `cbor:"3,keyasint"`
	Previous []ownerRecord                        `cbor:"4,keyasint,omitempty"`
	Attempts map[fleet.TaskID]*attempt            `cbor:"5,keyasint,omitempty"`
	Closed   map[fleet.TaskID]closed              `cbor:"6,keyasint,omitempty"`
	Health   map[fleet.WorkerID]*workerHealth     `cbor:"7,keyasint,omitempty"`
	Jobs     map[fleet.JobID]*jobHealth           `cbor:"8,keyasint,omitempty"`
	Sizes    map[fleet.JobClass][]fleet.Resources `cbor:"9,keyasint,omitempty"`
	Offers   map[shard.ID]offerMark               `cbor:"11,keyasint,omitempty"` // latest of each queue
	RunTimes map[classKey]runTimes                `cbor:"12,keyasint,omitempty"`
	Gate     gateRecord                           `cbor:"13,keyasint"`           // latest; SinceMS is 0 before any
	ExpireMS int64                                `cbor:"10,keyasint,omitempty"` // when memory was last expired
}

// Machine is the state machine of one cell. It does no I/O, has no clock and
// is used by one goroutine.
type Machine struct {
	codec  codec
	state  state
	placed map[fleet.WorkerID][]*attempt // in phasePlaced, by worker, in order of placing
}

var _ wal.Machine = (*Machine)(nil)

// NewMachine returns the state of a cell without tasks.
func NewMachine() *Machine {
	m := &Machine{codec: newCodec(), state: state{Version: recordVersion}}
	m.state.fill()
	m.placed = make(map[fleet.WorkerID][]*attempt)
	return m
}

func (s *state) fill() {
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
		s.Offers = make(map[shard.ID]offerMark)
	}
	if s.RunTimes == nil {
		s.RunTimes = make(map[classKey]runTimes)
	}
	if s.Sizes == nil {
		s.Sizes = make(map[fleet.JobClass][]fleet.Resources)
	}
}

// hasHoles reports whether an entry of a map is empty, which no snapshot of a
// Machine has.
func (s *state) hasHoles() bool {
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
	if s.hasHoles() {
		return eris.Wrap(&DecodeError{What: "snapshot", Cause: &ContradictionError{Record: "empty"}}, "journal")
	}
	s.fill()
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
	if r.Gate != nil {
		m.state.Gate = *r.Gate
	}
	for _, mark := range r.Marks {
		m.raise(mark)
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
	for _, ref := range r.TakeBack {
		if a := m.find(ref); a != nil {
			a.TakenBack = true
		}
	}
	for _, o := range r.End {
		if err := m.end(o, r.AtMS); err != nil {
			return err
		}
	}
	for _, ran := range r.Ran {
		m.observeRunTime(ran, r.AtMS)
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

// open makes o the owner. The owner before it stays known until no call of
// it can reach a worker any more.
func (m *Machine) open(o ownerRecord, atMS int64) {
	s := &m.state
	if s.Owner.Epoch != 0 && !s.Owner.Released {
		s.Owner.EndMS = atMS
		s.Previous = append(s.Previous, s.Owner)
	}
	s.Owner = o
}

// raise notes an offer of a queue, or that all offers up to it are out of date.
func (m *Machine) raise(mark offerMark) {
	if m.state.Offers[mark.Queue].precedes(mark) {
		m.state.Offers[mark.Queue] = mark
	}
}

// isLate reports whether an offer is not above those noted: its sender is
// superseded, or has sent a later one with the same tasks.
func (m *Machine) isLate(mark offerMark) bool { return !m.state.Offers[mark.Queue].precedes(mark) }

func (m *Machine) accept(t delegation.Task, atMS int64) error {
	if !m.canAccept(t.AttemptRef) {
		return eris.Wrap(&ContradictionError{AttemptRef: t.AttemptRef, Record: "accept"}, "journal")
	}
	if before, ok := m.state.Attempts[t.Task]; ok {
		m.acknowledge(before.Task.AttemptRef, atMS)
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

// canAccept reports whether ref is newer than everything known of its task. A
// queue delegates a task again only when it has durably got the outcome of
// the attempt before, so a newer attempt acknowledges an ended one.
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
	m.observe(a, atMS)
	return nil
}

func (m *Machine) unplace(a *attempt) {
	id := a.Placement.Worker
	left := slices.DeleteFunc(m.placed[id], func(other *attempt) bool { return other == a })
	if len(left) == 0 {
		delete(m.placed, id)
		return
	}
	m.placed[id] = left
}

func (m *Machine) acknowledge(ref inventory.AttemptRef, atMS int64) {
	a := m.find(ref)
	if a == nil || a.Phase != phaseEnded {
		return
	}
	failedOn := m.state.Closed[ref.Task].FailedOn
	if a.Outcome.End == delegation.EndFailed && a.Outcome.Worker != "" {
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

// expire drops what is only remembered for a time.
func (m *Machine) expire(nowMS int64) {
	if since := nowMS - m.state.ExpireMS; since >= 0 && since < expireInterval.Milliseconds() {
		return
	}
	m.state.ExpireMS = nowMS
	for task, c := range m.state.Closed {
		if nowMS-c.AtMS > closedWindow.Milliseconds() {
			delete(m.state.Closed, task)
		}
	}
	m.state.Previous = slices.DeleteFunc(m.state.Previous, func(o ownerRecord) bool {
		return nowMS-o.EndMS > (MaxUnconfirmedOwnership + MaxWorkerLease + MaxTerminationDelay + 2*ClockMargin).Milliseconds()
	})
	m.expireHealth(nowMS)
	m.expireRunTimes(nowMS)
}

// find returns the attempt, or nil if the cell does not hold exactly it.
func (m *Machine) find(ref inventory.AttemptRef) *attempt {
	a := m.state.Attempts[ref.Task]
	if a == nil || a.Task.Attempt != ref.Attempt {
		return nil
	}
	return a
}

// inPhase returns the attempts of a phase in order of acceptance.
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
// the slice over a change of the state.
func (m *Machine) onWorker(id fleet.WorkerID) []*attempt { return m.placed[id] }

// waiting returns how many attempts wait for a worker.
func (m *Machine) waiting() int {
	n := 0
	for _, a := range m.state.Attempts {
		if a.Phase == phaseWaiting {
			n++
		}
	}
	return n
}
