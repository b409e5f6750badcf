// Package dispatch decides which task runs where: a machine without I/O that
// takes in jobs, workers and their reports, and gives out orders to workers
// and what has to become durable.
//
// Times are readings of one steady clock, as a time.Duration since any fixed
// moment.
package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Limits are the bounds that the site sets.
type Limits struct {
	Lease       time.Duration // that we ask for on workers
	LeaseMax    time.Duration // longest lease that any owner could have asked for
	UpkeepDelay time.Duration // within which two owners may not order machines by turns
}

// OrderKind says what an order asks for.
type OrderKind string

// Kinds of orders.
const (
	OrderStart  OrderKind = "start"
	OrderStop   OrderKind = "stop"
	OrderPace   OrderKind = "pace"
	OrderReport OrderKind = "look" // report at once
)

// Order is for one worker.
type Order struct {
	Kind       OrderKind
	Worker     fleet.WorkerID
	Task       workload.TaskName
	Run        int
	Payload    string
	Checkpoint string
	Ticket     string // of a queue with advice
	Percent    int    // of OrderPace
	Reason     string // for the log
}

// Outcome is the answer to an order.
type Outcome string

// Outcomes.
const (
	Accepted   Outcome = "accepted"
	Refused    Outcome = "refused"    // surely not carried out
	Unhealthy  Outcome = "unhealthy"  // surely not carried out, the worker takes nothing now
	Superseded Outcome = "superseded" // the worker has seen a higher token
	NoAnswer   Outcome = "no answer"  // may be carried out, now or later
)

// Event tells the log what the machine has decided or come to believe.
type Event struct {
	Name    string
	Job     fleet.JobID
	KeyVals []any
	Ended   *JobEnded // of a batch job that has ended, for the metrics
}

// JobEnded tells how a batch job has ended.
type JobEnded struct {
	State workload.State
	// Timeliness is how it ended beside the time in which it was wanted, if it is
	// completed.
	Timeliness string
	Large      bool // it had more than largeFactor times the mean work of its queue
	Duration   time.Duration
}

// Machine is the state of one owner's dispatching. It is not safe for
// concurrent use.
//
// Invariants: a worker's used and filling amounts are the sums over its runs;
// a task is waiting exactly if it is not done and has no run.
type Machine struct {
	limits Limits
	// term counts the owners; its runs are numbered above those of all owners
	// before it.
	term         int
	config       *workload.Config
	order        lineOrder
	finishes     bool // late jobs that have begun come before others begin
	out          map[fleet.DataCentre]bool
	workers      map[fleet.WorkerID]*worker
	list         []*worker // in order of ID
	jobs         map[fleet.JobID]*job
	queues       map[string]*queueStats
	sizes        map[string]*sizeStats // by queue
	interference *interference
	work         []beside  // reused by control
	rates        []float64 // reused by siblingRate
	dropped      []droppedWorker
	orders       []Order
	events       []Event
	superseded   bool
	upkeep       upkeep
	upkeepOrders []UpkeepOrder
	questions    []AdviceRequest
	// started is when this owner began; a run of a former owner that no
	// worker has shown may exist until former.
	started time.Duration
	former  time.Duration
	planned time.Duration // when the last plan was made
	// roomTold is when the use of the workers was told last.
	roomTold time.Duration
}

const (
	// leaseSlack covers a worker's clock that is 2% slow, which the contract
	// allows, and a call on its way.
	leaseFactor = 1.025
	leaseSlack  = 150 * time.Millisecond
	// runsPerTerm separates the run numbers of two owners.
	runsPerTerm = 100
)

// New returns the machine of an owner that begins at now. The first owner
// has term 1.
func New(limits Limits, term int, now time.Duration) *Machine {
	return &Machine{
		limits: limits, term: term, started: now, planned: now, former: now + leaseBound(limits.LeaseMax),
		order: finishBegun, finishes: true, config: &workload.Config{}, out: make(map[fleet.DataCentre]bool),
		workers: make(map[fleet.WorkerID]*worker), jobs: make(map[fleet.JobID]*job), queues: make(map[string]*queueStats),
		sizes:        make(map[string]*sizeStats),
		interference: newInterference(), upkeep: upkeep{quietUntil: now + limits.UpkeepDelay},
	}
}

// leaseBound is how long after a renewal was sent its lease may last.
func leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*leaseFactor) + leaseSlack
}

// SetConfig puts a configuration in force.
func (m *Machine) SetConfig(cfg *workload.Config) { m.config = cfg }

// SetDisabledDataCentres names the data centres that take no new work.
func (m *Machine) SetDisabledDataCentres(out map[fleet.DataCentre]bool) { m.out = out }

// Superseded reports whether a worker has seen the token of a later owner.
func (m *Machine) Superseded() bool { return m.superseded }

// TakeOrders returns the orders decided since the last call.
func (m *Machine) TakeOrders() []Order {
	orders := m.orders
	m.orders = nil
	return orders
}

// TakeEvents returns what was decided and learned since the last call.
func (m *Machine) TakeEvents() []Event {
	events := m.events
	m.events = nil
	return events
}

func (m *Machine) event(name string, id fleet.JobID, keyvals ...any) {
	m.events = append(m.events, Event{Name: name, Job: id, KeyVals: keyvals})
}

// allAdopted reports whether every worker that might hold runs that only a
// former owner knew of has reported to this one, or can't hold any longer.
func (m *Machine) allAdopted(now time.Duration) bool {
	if now >= m.former {
		return true
	}
	return !slices.ContainsFunc(m.list, func(w *worker) bool { return !w.adopted && !w.record.excused })
}
