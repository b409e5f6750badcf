package owner

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
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

// applyMissedChanges applies what changed while the state was being loaded.
func (d *dispatcher) applyMissedChanges() {
	d.applyConfig()
	d.setDataCentresOut(d.owner.dataCentresOut())
	var events []store.Event
	d.deps.Shared.Each(func(e store.Entry) { events = append(events, store.Event{Entry: e}) })
	for _, e := range events {
		d.handleSharedChange(e)
	}
}

// load reads the complete stored state, once at the start of a term. The workers come
// first, so that their leases do not expire while the jobs are read.
func (d *dispatcher) load(ctx context.Context) error {
	began := steady.Now()
	workers, err := d.loadWorkers(ctx)
	if err != nil {
		return err
	}
	d.startEarlyRenewals(ctx)
	loaded, known, err := d.loadJobs(ctx)
	if err != nil {
		return err
	}
	d.deps.Log("state_loaded", "term", d.term, "jobs", loaded, "known", known, "workers", workers, "took", steady.Now()-began)
	return nil
}

// loadWorkers reads the workers' entries and records, and returns the number of entries.
// All workers must be known before the first plan: an unknown worker's report would not be
// awaited, and its runs would be considered lost.
func (d *dispatcher) loadWorkers(ctx context.Context) (int, error) {
	workers, revision, err := d.readAll(ctx, platform.WorkerPrefix)
	if err != nil {
		return 0, err
	}
	d.loadedEntries = loadedKeys{workers, revision}
	for _, e := range workers {
		d.handleWorkerChange(store.Event{Entry: e})
	}
	known, _, err := d.readAll(ctx, intake.WorkerPrefix)
	if err != nil {
		return 0, err
	}
	d.restoreKnownWorkers(known)
	return len(workers), nil
}

// loadJobs reads the jobs that have not ended. It returns their number and that of all
// job states.
func (d *dispatcher) loadJobs(ctx context.Context) (loaded, known int, err error) {
	// The submissions come first: the state of each one that is read is there, and one that
	// is accepted later is followed.
	submissions, revision, err := d.readWithin(ctx, intake.SubmissionPrefix, d.deps.Settings.Clients.JobBytes)
	if err != nil {
		return 0, 0, err
	}
	d.loadedSubmissions = loadedKeys{submissions, revision}
	states, _, err := d.readAll(ctx, intake.StatePrefix)
	if err != nil {
		return 0, 0, err
	}
	progress, _, err := d.readAll(ctx, intake.ProgressPrefix)
	if err != nil {
		return 0, 0, err
	}
	now := steady.Now()
	for _, key := range loadingOrder(submissions, states) {
		id := key[len(intake.SubmissionPrefix):]
		body, p := submissions[key], progress[intake.ProgressPrefix+id]
		state, ok := states[intake.StatePrefix+id]
		if !ok {
			d.deps.Log("submission_without_state", "key", key, "revision", body.Revision)
			continue
		}
		if len(body.Value) == 0 {
			if d.holdUnread(fleet.JobID(id), state, p) {
				continue
			}
			if body, err = d.readOne(ctx, key); err != nil {
				return 0, 0, err
			}
		}
		d.mu.Lock()
		if d.addJob(body, state, p.Value, now, addition{inherited: true, mayHoldBack: true}) {
			d.machine.ProgressStored(fleet.JobID(id), p.Revision)
			loaded++
		}
		d.mu.Unlock()
	}
	return loaded, len(states), nil
}

// holdUnread holds back a job whose submission was not kept for want of memory, and reports
// whether it may: nothing of it has been started.
func (d *dispatcher) holdUnread(id fleet.JobID, state, progress store.Entry) bool {
	r, err := intake.DecodeRecord(state.Value)
	if err != nil || r.State != workload.StateQueued || len(progress.Value) > 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.submissions[id] = true
	d.machine.HoldBack(id, r.Bytes, r.AcceptedMS, true)
	return true
}

// readOne reads the entry of a key that may be gone.
func (d *dispatcher) readOne(ctx context.Context, key string) (store.Entry, error) {
	entries, _, _, err := d.readPage(ctx, key, "")
	for _, e := range entries {
		if e.Key == key {
			return e, err
		}
	}
	return store.Entry{Key: key}, err
}

// loadingOrder returns the keys of submissions in the order in which they take the memory of the
// owner: those that have runs, then the others by the time of their acceptance.
func loadingOrder(submissions, states map[string]store.Entry) []string {
	order := make(map[string]int64, len(submissions))
	for key := range submissions {
		r, err := intake.DecodeRecord(states[intake.StatePrefix+key[len(intake.SubmissionPrefix):]].Value)
		if err == nil && r.State == workload.StateQueued {
			order[key] = max(r.AcceptedMS, 0)
		} else {
			order[key] = -1
		}
	}
	return slices.SortedFunc(maps.Keys(submissions), func(a, b string) int {
		return cmp.Or(cmp.Compare(order[a], order[b]), cmp.Compare(a, b))
	})
}

// restoreKnownWorkers adds the workers recorded by former owners.
func (d *dispatcher) restoreKnownWorkers(entries map[string]store.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		worker, err := decodeWorkerRecord(e.Value)
		if err != nil {
			d.deps.Log("known_worker_unreadable", "key", e.Key, "revision", e.Revision, "err", err)
			continue
		}
		d.machine.RestoreWorker(worker, e.Revision, steady.Now())
	}
}

// loadedKeys are the entries under a prefix as loaded, and the store's revision at their first
// page: all changes after it are followed.
type loadedKeys struct {
	entries  map[string]store.Entry
	revision store.Revision
}

// readAll reads all entries under a prefix, by key, and returns the store's revision at the
// first page.
func (d *dispatcher) readAll(ctx context.Context, prefix string) (map[string]store.Entry, store.Revision, error) {
	return d.readWithin(ctx, prefix, 0)
}

// readWithin is readAll that leaves out the values of further entries once those of the first ones
// take limit bytes; 0: it leaves out none.
func (d *dispatcher) readWithin(ctx context.Context, prefix string, limit int64) (map[string]store.Entry, store.Revision, error) {
	taken := int64(0)
	all := make(map[string]store.Entry)
	var first store.Revision
	after, more := "", true
	for more {
		var entries []store.Entry
		var revision store.Revision
		var err error
		entries, more, revision, err = d.readPage(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = revision
		}
		for _, e := range entries {
			if taken += int64(len(e.Value)); limit > 0 && taken > limit {
				e.Value = nil
			}
			all[e.Key] = e
			after = e.Key
		}
	}
	return all, first, nil
}

// pageRetryDelay is the delay after a page that could not be read.
const pageRetryDelay = 100 * time.Millisecond

// readPage reads a page of entries. It reads a page again that got no answer, as another
// owner would have to read all of them, but for no longer than the ownership lease lasted at
// the first failure: a host that renews its lease and can't read must let others try.
func (d *dispatcher) readPage(ctx context.Context, prefix, after string) (entries []store.Entry, truncated bool, revision store.Revision, err error) {
	for deadline := time.Duration(0); ; {
		entries, truncated, revision, err = d.deps.Store.Page(prefix, after)
		if err == nil || !isTransient(err) {
			return entries, truncated, revision, err
		}
		if deadline == 0 {
			deadline = time.Duration(d.authorityEnd.Load())
		}
		if steady.Now() >= deadline {
			return nil, false, 0, err
		}
		d.deps.Log("page_unread", "term", d.term, "prefix", prefix, "after", after, "err", err)
		if err := wait.For(ctx, pageRetryDelay); err != nil {
			return nil, false, 0, err
		}
	}
}

// isTransient reports whether a call to the store may succeed if it is repeated.
func isTransient(err error) bool {
	var unavailable *store.UnavailableError
	var unknown *store.UnknownOutcomeError
	return errors.As(err, &unavailable) || errors.As(err, &unknown)
}

// addition is how a job comes to the machine.
type addition struct {
	inherited   bool // it was accepted under a former owner
	mayHoldBack bool // it stays in the store while there is no memory for it
}

// mayHoldBack is the addition of a job that was accepted under this owner.
var mayHoldBack = addition{mayHoldBack: true}

// addJob adds a submission to the machine, or holds it back. It reports whether the entries
// could be decoded.
func (d *dispatcher) addJob(body, state store.Entry, progress []byte, now time.Duration, a addition) bool {
	var job workload.Job
	if err := json.Unmarshal(body.Value, &job); err != nil {
		d.deps.Log("submission_unreadable", "key", body.Key, "revision", body.Revision, "err", err)
		return false
	}
	if err := job.Validate(); err != nil {
		d.deps.Log("submission_invalid", "key", body.Key, "revision", body.Revision, "err", err)
		return false
	}
	record, err := intake.DecodeRecord(state.Value)
	if err != nil {
		d.deps.Log("record_unreadable", "key", state.Key, "revision", state.Revision, "err", err)
		return false
	}
	var p workload.Progress
	if len(progress) > 0 {
		if err := json.Unmarshal(progress, &p); err != nil {
			d.deps.Log("progress_unreadable", "job", job.ID, "err", err)
			return false
		}
	}
	d.submissions[job.ID] = true
	if bytes := dispatch.JobBytes(&job); a.mayHoldBack && record.State == workload.StateQueued && len(progress) == 0 && !d.machine.HasRoomFor(bytes) {
		d.machine.HoldBack(job.ID, bytes, job.AcceptedMS, a.inherited)
		return true
	}
	arrived := now
	if a.inherited || !a.mayHoldBack { // held back until now, if it is not inherited
		arrived = arrivalTime(&job, now, time.Now().UnixMilli())
	}
	d.machine.AddJob(&job, record.State, state.Revision, p, arrived, a.inherited)
	return true
}

// maxInheritedAge bounds the age of an inherited job, since a host's clock may be
// wrong. It exceeds the target time of any job.
const maxInheritedAge = 2 * time.Minute

// arrivalTime returns when a job was accepted, on this owner's steady clock.
// Hosts' clocks differ, so the result is never later than now.
func arrivalTime(job *workload.Job, now time.Duration, nowMS int64) time.Duration {
	age := time.Duration(nowMS-job.AcceptedMS) * time.Millisecond
	return now - min(max(age, 0), maxInheritedAge)
}
