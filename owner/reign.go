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
	"github.com/fuchsiahill/fuchsiahill/mirror"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// planInterval is the least time between two plans. Source: a tenth of
	// the shortest objective, 250 ms, over the hops of a step.
	planInterval = 8 * time.Millisecond
	// idleInterval is the longest time between two plans: time limits pass
	// without any event.
	idleInterval = 200 * time.Millisecond
	// commitInterval gathers changes for a transaction. Source: a completed
	// job is shown by the answer of its commit, within an objective of 250 ms.
	commitInterval = 30 * time.Millisecond
	// commitsInFlight bounds the transactions on their way, as a slow store
	// takes 240 ms each.
	commitsInFlight = 6
	// gatherBodies and gatherEntries are how long changes of submissions and
	// of workers' entries gather. Source: a tenth of the shortest objective,
	// 250 ms, and a seventh of the 2 s in which draining is to be noticed.
	gatherBodies  = 25 * time.Millisecond
	gatherEntries = 300 * time.Millisecond
	// leaseShare of the longest lease is asked for on workers, up to
	// leaseMost: shorter ones free the tasks of a silent worker sooner, and
	// must outlast a change of owner.
	leaseShare = 0.75
	leaseMost  = 5 * time.Second
)

// reign is one time of ownership.
type reign struct {
	owner    *Owner
	deps     Deps
	term     int
	revision store.Revision // of the owner's key
	lease    store.LeaseID
	reason   atomic.Value
	cancel   context.CancelFunc
	// authorityEnd is when ownership may pass to another host, on the steady
	// clock.
	authorityEnd atomic.Int64
	// kick asks for a plan.
	kick chan struct{}
	// failures counts the commits that failed in a row.
	failures atomic.Int64

	mu      sync.Mutex
	machine *dispatch.Machine
	workers map[fleet.WorkerID]*workerLoop
	bodies  map[fleet.JobID]bool
	// entries are the workers' entries as the machine knows them; only the
	// load and then the mirror of entries use it.
	entries map[fleet.WorkerID]workload.Worker
	// wavesSeen are the revisions of the waves taken in; only the loop of
	// waves uses it.
	wavesSeen map[string]store.Revision
}

func newReign(o *Owner, term int, revision store.Revision, lease store.LeaseID, sent time.Duration) *reign {
	h := o.deps.Settings
	limits := dispatch.Limits{
		Lease:       min(time.Duration(leaseShare*float64(h.MaxTaskLease)), leaseMost),
		LeaseMax:    min(time.Duration(leaseShare*float64(h.MaxTaskLease)), leaseMost) + obeyedSlack,
		UpkeepDelay: h.LeaseOverlap,
	}
	r := &reign{
		owner: o, deps: o.deps, term: term, revision: revision, lease: lease, kick: make(chan struct{}, 1),
		machine: dispatch.New(limits, term, steady.Now()),
		workers: make(map[fleet.WorkerID]*workerLoop), bodies: make(map[fleet.JobID]bool), entries: make(map[fleet.WorkerID]workload.Worker), wavesSeen: make(map[string]store.Revision),
	}
	r.authorityEnd.Store(int64(sent + ownerTTL))
	r.reason.Store("unknown")
	return r
}

// end gives ownership up.
func (r *reign) end(reason string) {
	r.reason.CompareAndSwap("unknown", reason)
	r.cancel()
}

// authorised reports whether this host may dispatch at now: no other can own
// dispatching, or the store is away and nearly all workers still take this
// owner's orders. A later owner renews all workers first, so that this one
// would be refused by each worker that the later one reaches; it starts
// nothing inherited before those it can't reach have lapsed.
func (r *reign) authorised(now time.Duration) bool {
	end := time.Duration(r.authorityEnd.Load())
	return now < end || now < end+awayMost && r.obeyed(now)
}

const (
	// awayMost bounds dispatching without the store. Source: the longest
	// outage of the users' sheets takes 9 s.
	awayMost = 15 * time.Second
	// obeyedShare of the workers must have answered within obeyedSpan.
	obeyedShare = 0.8
	obeyedSpan  = time.Second
	// obeyedSlack is how long after a change of owner the former one may
	// still renew a worker that the new one can't reach: the span, and a
	// renewal on its way.
	obeyedSlack = obeyedSpan + 600*time.Millisecond
)

// obeyed reports whether nearly all workers have answered a renewal lately.
func (r *reign) obeyed(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	total, answered := r.machine.CountReporting(now - obeyedSpan)
	return total > 0 && float64(answered) >= obeyedShare*float64(total)
}

// run dispatches until ownership ends.
func (r *reign) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	r.cancel = cancel
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { r.renewLoop(ctx) })
	if err := r.load(); err != nil {
		r.end("load: " + err.Error())
		group.Wait()
		return
	}
	r.owner.current.Store(r)
	defer r.owner.current.Store(nil)
	r.recall()
	r.catchUp()
	bodies := mirror.New(r.deps.Store, intake.SubmissionPrefix, gatherBodies, r.bodyChanged, r.deps.Log)
	workers := mirror.New(r.deps.Store, platform.WorkerPrefix, gatherEntries, r.workerChanged, r.deps.Log)
	group.Go(func() { _ = bodies.Serve(ctx) })  // ends with ctx only
	group.Go(func() { _ = workers.Serve(ctx) }) // ends with ctx only
	group.Go(func() { r.planLoop(ctx) })
	group.Go(func() { r.commitLoop(ctx) })
	group.Go(func() { r.tellLoop(ctx) })
	group.Go(func() { r.lessonsLoop(ctx) })
	group.Go(func() { r.waveLoop(ctx) })
	group.Go(func() { r.sweepLoop(ctx) })
	group.Go(func() { r.adviceLoop(ctx) })
	group.Wait()
}

func (r *reign) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// renewLoop keeps the lease of ownership.
func (r *reign) renewLoop(ctx context.Context) {
	for wait.For(ctx, renewInterval) == nil {
		sent := steady.Now()
		err := r.deps.Store.Renew(r.lease)
		var gone *store.LeaseGoneError
		switch {
		case err == nil:
			if !r.authorised(steady.Now()) {
				r.deps.Log("authority_regained", "term", r.term)
			}
			r.authorityEnd.Store(int64(sent + ownerTTL))
		case errors.As(err, &gone):
			r.end("lease gone")
		default:
			r.deps.Log("renewal_failed", "term", r.term, "left", time.Duration(r.authorityEnd.Load())-steady.Now(), "err", err)
		}
	}
}

// planLoop plans whenever something has happened.
func (r *reign) planLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.kick:
		case <-time.After(idleInterval):
		}
		r.plan(ctx)
		if wait.For(ctx, planInterval) != nil {
			return
		}
	}
}

func (r *reign) plan(ctx context.Context) {
	now := steady.Now()
	if !r.authorised(now) {
		return
	}
	r.mu.Lock()
	r.machine.Plan(now, time.Now().UnixMilli())
	orders, events := r.machine.TakeOrders(), r.machine.TakeEvents()
	superseded := r.machine.Superseded()
	r.syncWorkers(ctx)
	r.mu.Unlock()
	for _, e := range events {
		r.tell(e)
	}
	if superseded {
		r.end("a worker has seen a later owner")
		return
	}
	r.send(orders)
}

func (r *reign) tell(e dispatch.Event) {
	keyvals := e.KeyVals
	if e.Job != "" {
		keyvals = append([]any{"job", e.Job}, keyvals...)
	}
	r.deps.Log(e.Name, append(keyvals, "term", r.term)...)
	r.deps.Metrics.Count(e.Name, 1)
	if end := e.Ended; end != nil {
		countEnd(r.deps.Metrics, end)
	}
}

// countEnd counts a batch job by its outcome, and large ones besides.
func countEnd(metrics *Metrics, end *dispatch.JobEnded) {
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
