package owner

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
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
	h := o.deps.Host
	limits := dispatch.Limits{
		Lease:    min(time.Duration(leaseShare*float64(h.HoldMax)), leaseMost),
		LeaseMax: min(time.Duration(leaseShare*float64(h.HoldMax)), leaseMost) + obeyedSlack,
		Turn:     h.LeaseOverlap,
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
	total, answered := r.machine.Reporting(now - obeyedSpan)
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
	r.catchUp()
	bodies := mirror.New(r.deps.Store, intake.BodyPrefix, gatherBodies, r.bodyChanged, r.deps.Log)
	workers := mirror.New(r.deps.Store, platform.WorkerPrefix, gatherEntries, r.workerChanged, r.deps.Log)
	group.Go(func() { _ = bodies.Serve(ctx) })  // ends with ctx only
	group.Go(func() { _ = workers.Serve(ctx) }) // ends with ctx only
	group.Go(func() { r.planLoop(ctx) })
	group.Go(func() { r.commitLoop(ctx) })
	group.Go(func() { r.tellLoop(ctx) })
	group.Go(func() { r.waveLoop(ctx) })
	group.Go(func() { r.sweepLoop(ctx) })
	group.Go(func() { r.adviceLoop(ctx) })
	group.Wait()
}

// catchUp takes in what changed while the state was loaded.
func (r *reign) catchUp() {
	if cfg := r.owner.config.Load(); cfg != nil {
		r.setConfig(cfg)
	}
	r.setOut(r.owner.dataCentresOut())
	var events []store.Event
	r.deps.Shared.Each(func(e store.Entry) { events = append(events, store.Event{Entry: e}) })
	for _, e := range events {
		r.sharedChanged(e)
	}
}

// load reads all that is durable, once.
func (r *reign) load() error {
	began := steady.Now()
	states, err := r.readAll(intake.StatePrefix)
	if err != nil {
		return err
	}
	bodies, err := r.readAll(intake.BodyPrefix)
	if err != nil {
		return err
	}
	progress, err := r.readAll(intake.ProgressPrefix)
	if err != nil {
		return err
	}
	// All workers are known before any plan: one that is not would not be
	// waited for, and its runs be taken for lost.
	workers, err := r.readAll(platform.WorkerPrefix)
	if err != nil {
		return err
	}
	for _, e := range workers {
		r.workerChanged(store.Event{Entry: e})
	}
	known, err := r.readAll(intake.WorkerPrefix)
	if err != nil {
		return err
	}
	r.knowWorkers(known)
	now := steady.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	loaded := 0
	for id, body := range bodies {
		state, ok := states[intake.StatePrefix+id[len(intake.BodyPrefix):]]
		if !ok {
			continue // accepted between the two reads: its change follows
		}
		p := progress[intake.ProgressPrefix+id[len(intake.BodyPrefix):]]
		if r.addJob(body, state, p.Value, now, true) {
			r.machine.ProgressStored(fleet.JobID(id[len(intake.BodyPrefix):]), p.Revision)
			loaded++
		}
	}
	r.deps.Log("state_loaded", "term", r.term, "jobs", loaded, "known", len(states), "workers", len(workers), "took", now-began)
	return nil
}

// knowWorkers takes in the workers that a former owner has known.
func (r *reign) knowWorkers(known map[string]store.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range known {
		var info workload.Worker
		if err := json.Unmarshal(e.Value, &info); err != nil {
			r.deps.Log("known_worker_unreadable", "key", e.Key, "revision", e.Revision, "err", err)
			continue
		}
		r.machine.KnowWorker(info, steady.Now())
	}
}

// commitWorkers makes the set of workers durable.
func (r *reign) commitWorkers() {
	r.mu.Lock()
	writes := r.machine.TakeWorkerWrites(store.MaxTxnEntries - 1)
	r.mu.Unlock()
	if len(writes.Put)+len(writes.Delete) == 0 {
		return
	}
	txn := store.Txn{Checks: []store.Check{{Key: intake.OwnerKey, Revision: r.revision}}}
	for _, info := range writes.Put {
		value, err := json.Marshal(info)
		if err != nil {
			r.deps.Log("commit_failed", "worker", info.ID, "err", err)
			continue
		}
		txn.Puts = append(txn.Puts, store.Put{Key: intake.WorkerPrefix + string(info.ID), Value: value})
	}
	for _, id := range writes.Delete {
		txn.Deletes = append(txn.Deletes, intake.WorkerPrefix+string(id))
	}
	_, err := r.deps.Store.Commit(txn)
	if err != nil {
		r.deps.Log("commit_failed", "workers", len(writes.Put)+len(writes.Delete), "err", err)
	}
	r.mu.Lock()
	r.machine.WorkerWritesDone(writes, err == nil)
	r.mu.Unlock()
}

func (r *reign) readAll(prefix string) (map[string]store.Entry, error) {
	all := make(map[string]store.Entry)
	after, more := "", true
	for more {
		entries, truncated, _, err := r.deps.Store.Page(prefix, after)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			all[e.Key] = e
			after = e.Key
		}
		more = truncated && len(entries) > 0
	}
	return all, nil
}

// addJob gives a submission to the machine.
func (r *reign) addJob(body, state store.Entry, progress []byte, now time.Duration, inherited bool) bool {
	var job workload.Job
	if err := json.Unmarshal(body.Value, &job); err != nil {
		r.deps.Log("submission_unreadable", "key", body.Key, "revision", body.Revision, "err", err)
		return false
	}
	record, err := intake.DecodeRecord(state.Value)
	if err != nil {
		r.deps.Log("record_unreadable", "key", state.Key, "revision", state.Revision, "err", err)
		return false
	}
	var p workload.Progress
	if len(progress) > 0 {
		if err := json.Unmarshal(progress, &p); err != nil {
			r.deps.Log("progress_unreadable", "job", job.ID, "err", err)
			return false
		}
	}
	r.bodies[job.ID] = true
	r.machine.AddJob(&job, record.State, state.Revision, p, now, inherited)
	return true
}

// bodyChanged takes in a new submission.
func (r *reign) bodyChanged(e store.Event) {
	id := fleet.JobID(e.Key[len(intake.BodyPrefix):])
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Deleted {
		delete(r.bodies, id)
		return
	}
	if r.bodies[id] {
		return
	}
	// The state was written in the same transaction.
	state := store.Entry{Key: intake.StatePrefix + string(id), Revision: e.Revision}
	if known, ok := r.deps.Shared.Get(state.Key); ok && known.Revision > e.Revision {
		state = known
	} else {
		var job workload.Job
		if err := json.Unmarshal(e.Value, &job); err == nil {
			state.Value = intake.Record{Queue: job.Queue, State: workload.StateQueued, AcceptedMS: job.AcceptedMS}.Encode()
		}
	}
	if r.addJob(e.Entry, state, nil, steady.Now(), false) {
		r.deps.Log("job_taken_over", "job", id, "revision", e.Revision, "term", r.term)
	}
	r.wake()
}

// sharedChanged takes in a change of a job's state or of the owner's key.
func (r *reign) sharedChanged(e store.Event) {
	if e.Key == intake.OwnerKey {
		if e.Revision > r.revision {
			r.end("the owner's key has changed")
		}
		return
	}
	id, ok := intake.JobOfKey(e.Key)
	if !ok || e.Deleted {
		return
	}
	record, err := intake.DecodeRecord(e.Value)
	if err != nil {
		r.deps.Log("record_unreadable", "key", e.Key, "revision", e.Revision, "err", err)
		return
	}
	r.mu.Lock()
	r.machine.StateChanged(id, record.State, e.Revision)
	r.mu.Unlock()
	if record.State == workload.StateCancelled {
		r.wake()
	}
}

func (r *reign) setConfig(cfg *workload.Config) {
	r.mu.Lock()
	r.machine.SetConfig(cfg)
	r.mu.Unlock()
	r.wake()
}

func (r *reign) setOut(out map[fleet.DataCentre]bool) {
	r.mu.Lock()
	r.machine.SetOut(out)
	r.mu.Unlock()
	r.wake()
}

// workerChanged takes in a change of a worker's entry. Entries change with
// every beat; only what matters to the machine is passed on.
func (r *reign) workerChanged(e store.Event) {
	id, ok := platform.WorkerOfKey(e.Key)
	if !ok {
		return
	}
	if e.Deleted {
		delete(r.entries, id)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.machine.WorkerGone(id, steady.Now())
		return
	}
	info, err := platform.DecodeWorker(id, e.Value)
	if err != nil {
		r.deps.Log("worker_entry_unreadable", "worker", id, "revision", e.Revision, "err", err)
		return
	}
	if known, ok := r.entries[id]; ok && reflect.DeepEqual(known, info) {
		return
	}
	r.entries[id] = info
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.SetWorker(info, steady.Now())
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
}

// tellInterval is how often the load is told. Source: a burst comes within
// seconds; each telling is a priced call.
const tellInterval = time.Second

// tellLoop tells all hosts the load while work waits, and once when it ends.
func (r *reign) tellLoop(ctx context.Context) {
	told := false
	for wait.For(ctx, tellInterval) == nil {
		r.mu.Lock()
		waiting := r.machine.Waiting(steady.Now())
		r.mu.Unlock()
		if len(waiting) == 0 && !told {
			continue
		}
		if err := r.tellLoad(waiting); err != nil {
			r.deps.Log("load_not_told", "term", r.term, "err", err)
			continue
		}
		told = len(waiting) > 0
	}
}

func (r *reign) tellLoad(waiting map[string]dispatch.QueueBacklog) error {
	load := intake.Load{AtMS: time.Now().UnixMilli(), Queues: make(map[string]intake.QueueLoad, len(waiting))}
	for queue, b := range waiting {
		ql := intake.QueueLoad{Rate: b.Rate, Ratio: b.Ratio}
		for _, s := range b.Sizes {
			ql.Ahead = append(ql.Ahead, intake.Backlog{Size: s.Size, Work: s.Work})
		}
		load.Queues[queue] = ql
	}
	value, err := json.Marshal(load)
	if err != nil {
		return err
	}
	_, err = r.deps.Store.Commit(store.Txn{
		Checks: []store.Check{{Key: intake.OwnerKey, Revision: r.revision}},
		Puts:   []store.Put{{Key: intake.LoadKey, Value: value}},
	})
	return err
}

// commitLoop makes what the machine has decided durable.
func (r *reign) commitLoop(ctx context.Context) {
	slots := make(chan struct{}, commitsInFlight)
	for wait.For(ctx, r.commitPause()) == nil {
		r.commitWorkers()
		for more := true; more && ctx.Err() == nil; {
			r.mu.Lock()
			writes := r.machine.TakeWrites(store.MaxTxnEntries-1, steady.Now())
			if len(writes) == 0 {
				r.machine.WritesDone(nil, 0) // ends of unknown jobs need no write
			}
			r.mu.Unlock()
			if len(writes) == 0 {
				break
			}
			// A store that fails gets one transaction at a time.
			more = r.failures.Load() == 0
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				r.commit(writes)
			}()
		}
	}
}

// commitPause is how long to gather before the next transactions: longer
// after some have failed, as refused calls are priced too.
func (r *reign) commitPause() time.Duration {
	return commitInterval << min(r.failures.Load(), commitBackoffMost)
}

// commitBackoffMost bounds the doublings of commitInterval to 480 ms, within
// an ack's time.
const commitBackoffMost = 4

// commit writes what belongs to some jobs, under the condition that this host
// still owns dispatching.
func (r *reign) commit(writes []dispatch.Write) {
	txn, err := r.transaction(writes)
	if err != nil {
		r.deps.Log("commit_failed", "jobs", len(writes), "err", err)
		return
	}
	began := steady.Now()
	revision, err := r.deps.Store.Commit(txn)
	r.deps.Metrics.Observe("commit", steady.Now()-began)
	var conflict *store.TxnConflictError
	errors.As(err, &conflict)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.failures.Store(0)
		r.machine.WritesDone(writes, revision)
		return
	}
	r.machine.WritesFailed(writes)
	if conflict == nil {
		r.failures.Add(1)
	}
	r.deps.Log("commit_failed", "jobs", len(writes), "age", steady.Now()-began, "err", err)
	if conflict == nil {
		return
	}
	if conflict.At(intake.OwnerKey).Revision != r.revision {
		r.end("the owner's key has changed")
		return
	}
	for _, e := range conflict.Current {
		if id, ok := strings.CutPrefix(e.Key, intake.ProgressPrefix); ok {
			r.machine.ProgressStored(fleet.JobID(id), e.Revision)
		}
		if id, ok := intake.JobOfKey(e.Key); ok {
			if record, err := intake.DecodeRecord(e.Value); err == nil {
				r.machine.StateChanged(id, record.State, e.Revision)
			}
		}
	}
}

func (r *reign) transaction(writes []dispatch.Write) (store.Txn, error) {
	txn := store.Txn{Checks: []store.Check{{Key: intake.OwnerKey, Revision: r.revision}}}
	for _, w := range writes {
		id := string(w.Job)
		if w.StateChanged {
			record := intake.Record{Queue: w.Queue, State: w.State, AcceptedMS: w.Accepted}
			if w.State.Final() {
				record.EndedMS = time.Now().UnixMilli()
			}
			txn.Checks = append(txn.Checks, store.Check{Key: intake.StatePrefix + id, Revision: w.Revision})
			txn.Puts = append(txn.Puts, store.Put{Key: intake.StatePrefix + id, Value: record.Encode()})
		}
		if w.State.Final() {
			txn.Deletes = append(txn.Deletes, intake.BodyPrefix+id, intake.ProgressPrefix+id)
			continue
		}
		value, err := json.Marshal(w.Progress)
		if err != nil {
			return txn, err
		}
		txn.Checks = append(txn.Checks, store.Check{Key: intake.ProgressPrefix + id, Revision: w.ProgressRevision})
		txn.Puts = append(txn.Puts, store.Put{Key: intake.ProgressPrefix + id, Value: value})
	}
	return txn, nil
}
