// Package dispatch decides which task runs on which worker. It is a state
// machine without I/O: its input is jobs, workers and the workers' reports, its
// output is orders to workers and the state that has to be stored.
//
// Times are readings of one monotonic clock, as a time.Duration since an
// arbitrary fixed moment.
package dispatch

import (
	"math"
	"time"

	"github.com/fuchsiahill/fuchsiahill/cost"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Limits are the bounds that the site sets.
type Limits struct {
	Lease            time.Duration // lease requested from workers
	LeaseMax         time.Duration // longest lease that any owner could have requested
	LongestLease     time.Duration // longest lease that a worker grants, whatever is requested
	Quota            QuotaLimits
	JobBytes         int64         // memory for the jobs that are held, see JobBytes; 0: any
	Records          int           // tasks that are under way, see MaxRecords; 0: any
	MaintenanceDelay time.Duration // a new owner orders no machine maintenance for this long, so that two owners do not alternate
}

// OrderKind is the action that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderStart    OrderKind = "start"
	OrderStop     OrderKind = "stop"
	OrderThrottle OrderKind = "pace" // limit the CPU share of a run
	OrderReport   OrderKind = "look" // report immediately
)

// Order is a command to one worker.
type Order struct {
	Kind       OrderKind
	Worker     fleet.WorkerID
	Task       workload.TaskName
	Run        int
	Payload    string
	Checkpoint string
	Ticket     string // issued by the advice service, if the queue has one
	// ReplacesUnanswered means that an earlier start of the task may still be executed on the worker,
	// which must refuse that one from this order on.
	ReplacesUnanswered bool
	Percent            int    // of OrderThrottle: the CPU share of the run
	Reason             string // for the log
}

// orderOverhead is the size of an order without its variable parts: the headers of a
// request and of its packets, and the names of the fields.
const orderOverhead = 400

// Size returns the approximate size of an order on the network, in bytes.
func (o *Order) Size() int {
	return orderOverhead + len(o.Payload) + len(o.Checkpoint) + len(o.Ticket)
}

// Outcome is the response to an order.
type Outcome string

// Outcomes of an order.
const (
	Accepted   Outcome = "accepted"
	Refused    Outcome = "refused"    // certainly not executed
	Unhealthy  Outcome = "unhealthy"  // certainly not executed; the worker accepts no work at present
	Superseded Outcome = "superseded" // the worker has seen a higher fencing token
	NoAnswer   Outcome = "no answer"  // may be executed, now or later
)

// Event is a log entry about a decision or an observation of the Machine.
type Event struct {
	Name    string
	Job     fleet.JobID
	KeyVals []any
	Ended   *JobEnded // set when a batch job has ended, for the metrics
}

// JobEnded describes the end of a batch job.
type JobEnded struct {
	State workload.State
	// Timeliness compares the duration of a completed job with its target; it is
	// empty if the job did not complete.
	Timeliness string
	Large      bool // it had more than largeFactor times the mean work of its queue
	Duration   time.Duration
}

// Machine is the dispatching state of one owner. It is not safe for concurrent
// use.
//
// Invariants: a worker's used and bestEffort amounts are the sums over its runs;
// a task is waiting if and only if it is not done and has no run.
type Machine struct {
	limits Limits
	// term is the ordinal of this owner; its runs are numbered above those of
	// all earlier owners.
	term              int
	config            *workload.Config
	rankInTime        rankFunc
	rankLate          func(*Machine, *job, cost.Job) float64 // rank of a job that can end late only
	dataCentresOut    map[fleet.DataCentre]bool
	workers           map[fleet.WorkerID]*worker
	workerList        []*worker // sorted by ID
	jobs              map[fleet.JobID]*job
	inherited         map[fleet.WorkerID][]*task // placed by former owners on workers that have not reported
	workspaceUsed     map[string]fleet.Resources // by the runs of its jobs
	workspaceServing  map[string]fleet.Resources // the part of workspaceUsed that serving runs use
	submissions       map[string]*submissions    // by workspace
	queues            map[string]*queueStats
	jobSizes          map[string]*jobSizeStats // by queue
	interference      *interference
	demand            demand
	usageBuffer       []imageUsage    // scratch space of adjustThrottles
	ownTailBuffer     []float64       // scratch space of ownTail
	scarceLoggedAt    []time.Duration // by best-effort image
	tailsBuffer       []imageTail
	ratesBuffer       []float64 // scratch space of siblingRate
	unstarted         task      // scratch space for a task that has no record
	forgotten         []forgottenRecord
	orders            []Order
	startRoom         StartRoom // for the next plan
	room              StartRoom // what the current plan has left of it
	recordRoom        int       // how many tasks that have no record may be started
	recordsReportedAt time.Duration
	heldBytes         int64 // of the jobs, see JobBytes
	heldBack          map[fleet.JobID]*heldJob
	events            []Event
	superseded        bool
	maintenance       maintenance
	maintenanceOrders []MaintenanceOrder
	adviceRequests    []AdviceRequest
	// startedAt is when this owner started. A run of a former owner that no
	// worker has reported may exist until formerLeasesEnd.
	startedAt          time.Duration
	formerLeasesEnd    time.Duration
	claimedAt          time.Duration         // before this owner's claim was made
	handingOver        bool                  // see BeginHandover
	termsSeen          map[int]time.Duration // when a claim of ownership was seen first, by term
	lastPlanAt         time.Duration         // when the last plan was made
	takeoverComplete   bool                  // reported by takeover_complete
	takeoverReportedAt time.Duration         // when takeover_waits was last emitted
	// utilisationReportedAt is when the utilisation event was last emitted.
	utilisationReportedAt time.Duration
	workspacesReportedAt  time.Duration // when the waits of workspaces were last emitted
	// servingWaitsReportedAt is when the waits of serving tasks were last emitted.
	servingWaitsReportedAt time.Duration
}

const (
	// leaseFactor covers a worker's clock that is 2% slow, which the contract
	// allows, and leaseSlack covers a call in transit.
	leaseFactor = 1.025
	leaseSlack  = 150 * time.Millisecond
	// runsPerTerm separates the run numbers of consecutive owners.
	runsPerTerm = 100
)

// New returns the Machine of an owner that starts at now. The first owner has
// term 1.
func New(limits Limits, term int, now time.Duration) *Machine {
	return &Machine{
		limits: limits, term: term, startedAt: now, claimedAt: now, lastPlanAt: now, formerLeasesEnd: now + leaseBound(limits.LeaseMax),
		rankInTime: finishStarted, rankLate: finishStartedLate, config: &workload.Config{}, dataCentresOut: make(map[fleet.DataCentre]bool),
		workers: make(map[fleet.WorkerID]*worker), jobs: make(map[fleet.JobID]*job), heldBack: make(map[fleet.JobID]*heldJob), inherited: make(map[fleet.WorkerID][]*task), workspaceUsed: make(map[string]fleet.Resources), workspaceServing: make(map[string]fleet.Resources), submissions: make(map[string]*submissions), queues: make(map[string]*queueStats),
		jobSizes: make(map[string]*jobSizeStats), startRoom: StartRoom{Starts: startsPerPlan, Bytes: math.MaxInt},
		interference: newInterference(now), maintenance: maintenance{ordersFrom: now + limits.MaintenanceDelay},
	}
}

// leaseBound returns the longest time, from the sending of a renewal, for which
// its lease may last.
func leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*leaseFactor) + leaseSlack
}

// SetConfig replaces the configuration.
func (m *Machine) SetConfig(cfg *workload.Config) { m.config = cfg }

// SetDataCentresOut replaces the set of data centres that are out of service and
// get no new work.
func (m *Machine) SetDataCentresOut(dcs map[fleet.DataCentre]bool) { m.dataCentresOut = dcs }

// Superseded reports whether a worker has seen the fencing token of a later
// owner.
func (m *Machine) Superseded() bool { return m.superseded }

// TakeOrders returns the orders issued since the last call.
func (m *Machine) TakeOrders() []Order {
	orders := m.orders
	m.orders = nil
	return orders
}

// TakeEvents returns the events emitted since the last call.
func (m *Machine) TakeEvents() []Event {
	events := m.events
	m.events = nil
	return events
}

// emit adds an event for the log; id is empty if it is not about a job.
func (m *Machine) emit(name string, id fleet.JobID, keyvals ...any) {
	m.events = append(m.events, Event{Name: name, Job: id, KeyVals: keyvals})
}

// Step returns the step of a task, or nil if there is no such job or step.
func (m *Machine) Step(n workload.TaskName) *workload.Step {
	j, ok := m.jobs[n.Job]
	if !ok || n.Step >= len(j.Steps) {
		return nil
	}
	return &j.Steps[n.Step]
}
