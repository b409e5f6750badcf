package owner

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// minPlanInterval is the minimum time between two plans: a tenth of the
	// shortest objective, 250 ms, divided by the hops of a step.
	minPlanInterval = 8 * time.Millisecond
	// maxPlanInterval is the maximum time between two plans, since time limits
	// expire without an event.
	maxPlanInterval = 200 * time.Millisecond
	// heldBackPlanInterval is the same after a plan that lacked room for starts: a
	// fraction of startBurst, so that the link stays in use.
	heldBackPlanInterval = 16 * time.Millisecond
	// commitInterval is how long changes are batched for a transaction. A job
	// shows as completed once its commit succeeds, which must happen within an
	// objective of 250 ms.
	commitInterval = 30 * time.Millisecond
	// maxCommitsInFlight bounds the concurrent transactions; a slow store takes
	// 240 ms for each.
	maxCommitsInFlight = 6
	// submissionBatchDelay and workerBatchDelay are how long changes of
	// submissions and of workers' entries are batched: a tenth of the shortest
	// objective, 250 ms, and a seventh of the 2 s within which a draining worker
	// must be noticed.
	submissionBatchDelay = 25 * time.Millisecond
	workerBatchDelay     = 300 * time.Millisecond
	// workerLeaseShare is the fraction of the longest permitted lease that is
	// requested on workers, up to maxWorkerLease. A shorter lease releases the
	// tasks of an unresponsive worker sooner, but it must outlast a change of
	// owner.
	workerLeaseShare = 0.75
	maxWorkerLease   = 5 * time.Second
)

// dispatcher dispatches jobs during one term of ownership.
type dispatcher struct {
	owner    *Owner
	deps     Deps
	term     int
	revision store.Revision // of the owner key
	lease    store.LeaseID
	reason   atomic.Value
	cancel   context.CancelFunc
	// authorityEnd is the time on the steady clock, in ns, from which another
	// host may become the owner.
	authorityEnd atomic.Int64
	// planRequested holds a value if a plan has been requested.
	planRequested chan struct{}
	// failedCommits counts consecutive failed commits.
	failedCommits atomic.Int64
	heldBack      heldBack // entries of transactions with a single entry
	// failedRecordCommits counts those of worker records.
	failedRecordCommits atomic.Int64

	mu          sync.Mutex
	machine     *dispatch.Machine
	workers     map[fleet.WorkerID]*workerLoop
	lastTokens  map[fleet.WorkerID]int64 // of workers whose loops have ended
	submissions map[fleet.JobID]bool
	calling     bool          // workers are being called
	early       *earlyReports // while the state is being loaded; nil afterwards
	// withheld are submissions received while another host could be the owner.
	withheld map[fleet.JobID]store.Event
	// workerEntries are the workers' entries last passed to the machine. It is
	// used only by loadWorkers and then by the mirror of the entries, so it needs
	// no lock.
	workerEntries map[fleet.WorkerID]workload.Worker
	// loadedEntries and loadedSubmissions are the workers' entries and the submissions as
	// loaded, until their mirrors start.
	loadedEntries, loadedSubmissions loadedKeys
	// waveRevisions are the revisions of the waves already loaded. Only waveLoop
	// uses it, so it needs no lock.
	waveRevisions map[string]store.Revision
	// waveRecordRevisions are the revisions of the stored records of waves, for
	// waveLoop as well.
	waveRecordRevisions map[int64]store.Revision
	inFlight            *inFlight
	limiter             orderLimiter
	connections         *platform.Connections // to workers
	// workspaceGauges are the metrics of workspaces that are set, for publishLoadLoop alone.
	workspaceGauges []string
}

func newDispatcher(o *Owner, term int, revision store.Revision, lease store.LeaseID, sent time.Duration) *dispatcher {
	h := o.deps.Settings
	limits := dispatch.Limits{
		Lease:            min(time.Duration(workerLeaseShare*float64(h.MaxTaskLease)), maxWorkerLease),
		LeaseMax:         min(time.Duration(workerLeaseShare*float64(h.MaxTaskLease)), maxWorkerLease) + formerOwnerSlack,
		LongestLease:     h.MaxTaskLease,
		MaintenanceDelay: h.MaintenanceDelay,
		Quota:            dispatch.QuotaLimits{Window: h.QuotaWindow, Overage: h.QuotaOverage, Slack: h.QuotaSlack},
		JobBytes:         h.Clients.JobBytes,
		Records:          dispatch.MaxRecords(h.Clients.TaskBytes),
	}
	d := &dispatcher{
		owner: o, deps: o.deps, term: term, revision: revision, lease: lease, planRequested: make(chan struct{}, 1),
		machine: dispatch.New(limits, term, steady.Now()),
		workers: make(map[fleet.WorkerID]*workerLoop), lastTokens: make(map[fleet.WorkerID]int64), submissions: make(map[fleet.JobID]bool), withheld: make(map[fleet.JobID]store.Event), workerEntries: make(map[fleet.WorkerID]workload.Worker), waveRevisions: make(map[string]store.Revision), waveRecordRevisions: make(map[int64]store.Revision),
		inFlight: newInFlight(), limiter: orderLimiter{limits: limitsOf(h)},
	}
	d.deps.Store = &termStore{Transactional: o.deps.Store, claim: store.Check{Key: intake.OwnerKey, Revision: revision}}
	d.connections = platform.NewConnections(h.UsableDescriptors(), func() bool { return d.authorised(steady.Now()) })
	d.machine.RecordTerms(o.claimsSeen(), sent)
	d.authorityEnd.Store(int64(sent + ownerTTL))
	d.reason.Store("unknown")
	return d
}

// end gives up ownership; the first reason is kept.
func (d *dispatcher) end(reason string) {
	d.reason.CompareAndSwap("unknown", reason)
	d.cancel()
}

// authorised reports whether this host may dispatch at now: either no other host
// can be the owner, or the store is unreachable and nearly all workers still
// accept this owner's orders. A later owner first renews all workers, after
// which each worker it reaches refuses this owner. It starts no inherited task
// until the leases of the workers that it can't reach have expired.
func (d *dispatcher) authorised(now time.Duration) bool {
	end := time.Duration(d.authorityEnd.Load())
	return now < end || now < end+maxStoreOutage && d.workersAnswer(now)
}

// holdsLease reports whether no other host can be the owner. Orders to machines need that: a
// machine knows of a later owner only once that one has ordered it, while a worker does from
// its first renewal.
func (d *dispatcher) holdsLease() bool {
	return steady.Now() < time.Duration(d.authorityEnd.Load())
}

const (
	// maxStoreOutage bounds dispatching without the store. The longest outage
	// in the users' requirements is 9 s.
	maxStoreOutage = 15 * time.Second
	// minAnsweredShare is the fraction of the workers that must have answered a
	// renewal sent within answeredWindow, which leaves a second beyond the long poll.
	minAnsweredShare = 0.8
	answeredWindow   = renewalLongPoll + time.Second
	// formerOwnerSlack is how long after a change of owner the former one may
	// still renew a worker that the new one can't reach.
	formerOwnerSlack = answeredWindow
)

// workersAnswer reports whether at least minAnsweredShare of the workers have
// answered a renewal sent within answeredWindow.
func (d *dispatcher) workersAnswer(now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	total, answered := d.machine.CountReporting(now - answeredWindow)
	return total > 0 && float64(answered) >= minAnsweredShare*float64(total)
}

// run dispatches until ownership or parent ends.
func (d *dispatcher) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	d.cancel = cancel
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { d.renewLoop(ctx) })
	if err := d.load(ctx); err != nil {
		d.end("loading the state: " + err.Error())
		group.Wait()
		return
	}
	d.owner.current.Store(d)
	defer d.owner.current.Store(nil)
	d.restoreEstimates()
	d.applyMissedChanges()
	d.admitReports()
	submissions := d.submissionMirror()
	workers := d.workerMirror()
	group.Go(func() { _ = submissions.Serve(ctx) }) // ends with ctx only
	group.Go(func() { _ = workers.Serve(ctx) })     // ends with ctx only
	group.Go(func() { d.planLoop(ctx) })
	group.Go(func() { d.inFlightLoop(ctx) })
	group.Go(func() { d.commitLoop(ctx) })
	group.Go(func() { d.heldBackLoop(ctx) })
	group.Go(func() { d.recordLoop(ctx) })
	group.Go(func() { d.publishLoadLoop(ctx) })
	group.Go(func() { d.storeEstimatesLoop(ctx) })
	group.Go(func() { d.waveLoop(ctx) })
	group.Go(func() { d.sweepLoop(ctx) })
	group.Go(func() { d.adviceLoop(ctx) })
	group.Go(func() {
		<-ctx.Done()
		if d.reason.Load() == reasonDraining {
			d.handOver()
		}
	})
	group.Wait()
}

// requestPlan makes planLoop plan soon.
func (d *dispatcher) requestPlan() {
	select {
	case d.planRequested <- struct{}{}:
	default:
	}
}

// maxRenewals bounds the renewals of the ownership lease that are under way: as many as
// may start before the first one has timed out.
const maxRenewals = 3

// renewLoop renews the ownership lease. A renewal does not wait for the former one, which
// may hang on a connection that has gone silent for more than half of ownerTTL.
func (d *dispatcher) renewLoop(ctx context.Context) {
	slots := make(chan struct{}, maxRenewals)
	var group sync.WaitGroup
	defer group.Wait()
	for wait.For(ctx, renewInterval) == nil {
		select {
		case slots <- struct{}{}:
			group.Go(func() {
				defer func() { <-slots }()
				d.renewOwnership()
			})
		default:
		}
	}
}

// renewOwnership renews the ownership lease once.
func (d *dispatcher) renewOwnership() {
	sent := steady.Now()
	err := d.deps.Store.Renew(d.lease)
	var gone *store.LeaseGoneError
	switch {
	case err == nil:
		if !d.authorised(steady.Now()) {
			d.deps.Log("authority_regained", "term", d.term)
		}
		d.extendAuthority(sent + ownerTTL)
		d.releaseWithheld()
	case errors.As(err, &gone):
		d.end("the ownership lease has expired")
	default:
		d.deps.Log("renewal_failed", "term", d.term, "left", time.Duration(d.authorityEnd.Load())-steady.Now(), "err", err)
	}
}

// extendAuthority records that no other host can become the owner before end. Renewals
// may be answered out of order.
func (d *dispatcher) extendAuthority(end time.Duration) {
	for {
		old := d.authorityEnd.Load()
		if old >= int64(end) || d.authorityEnd.CompareAndSwap(old, int64(end)) {
			return
		}
	}
}

// planLoop plans on request, and at least every maxPlanInterval.
func (d *dispatcher) planLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.planRequested:
		case <-time.After(d.planDelay()):
		}
		d.plan(ctx)
		if wait.For(ctx, minPlanInterval) != nil {
			return
		}
	}
}

// planDelay returns the time to the next plan without a request.
func (d *dispatcher) planDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.machine.StartsHeldBack() {
		return heldBackPlanInterval
	}
	return maxPlanInterval
}

// plan makes one plan, sends its orders and reports its events.
func (d *dispatcher) plan(ctx context.Context) {
	now := steady.Now()
	if !d.authorised(now) {
		return
	}
	d.mu.Lock()
	d.machine.SetStartRoom(d.limiter.room(d.inFlight, now))
	d.machine.Plan(now, time.Now().UnixMilli())
	orders, events := d.machine.TakeOrders(), d.machine.TakeEvents()
	superseded := d.machine.Superseded()
	d.syncWorkers(ctx)
	d.mu.Unlock()
	for _, e := range events {
		d.reportEvent(e)
	}
	if superseded {
		d.end("a worker has seen the token of a later owner")
		return
	}
	d.sendOrders(orders)
}

// reportEvent logs and counts an event of the machine.
func (d *dispatcher) reportEvent(e dispatch.Event) {
	keyvals := e.KeyVals
	if e.Job != "" {
		keyvals = append([]any{"job", e.Job}, keyvals...)
	}
	d.deps.Log(e.Name, append(keyvals, "term", d.term)...)
	d.deps.Metrics.Count(e.Name, 1)
	if end := e.Ended; end != nil {
		countJobEnd(d.deps.Metrics, end)
	}
}

// countJobEnd counts an ended batch job by its outcome; large jobs are also
// counted separately.
func countJobEnd(metrics *Metrics, end *dispatch.JobEnded) {
	outcome := string(end.State)
	if end.Timeliness != "" {
		outcome = strings.ReplaceAll(end.Timeliness, " ", "_")
	}
	metrics.Count("jobs_"+outcome, 1)
	metrics.Observe("job_took", end.Duration)
	if end.Large {
		metrics.Count("large_jobs_"+outcome, 1)
		metrics.Observe("large_job_took", end.Duration)
	}
}
