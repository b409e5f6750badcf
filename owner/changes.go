package owner

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/mirror"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// handleSubmissionChange adds a new submission to the machine.
func (d *dispatcher) handleSubmissionChange(e store.Event) {
	id := fleet.JobID(e.Key[len(intake.SubmissionPrefix):])
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.Deleted {
		delete(d.submissions, id)
		delete(d.withheld, id)
		d.machine.DropHeldBack(id)
		return
	}
	if d.submissions[id] {
		return
	}
	if steady.Now() >= time.Duration(d.authorityEnd.Load()) {
		// It may have been accepted under a later owner, which starts it without
		// waiting for the workers of this one.
		d.withheld[id] = e
		return
	}
	d.addSubmission(id, e, mayHoldBack)
}

// releaseWithheld adds the submissions that came while another host could be the owner.
func (d *dispatcher) releaseWithheld() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.withheld {
		d.addSubmission(id, e, mayHoldBack)
	}
	clear(d.withheld)
}

// addSubmission adds a submission to the machine. d.mu is held.
func (d *dispatcher) addSubmission(id fleet.JobID, e store.Event, addition addition) {
	// The job's state was written in the same transaction as its submission.
	state := store.Entry{Key: intake.StatePrefix + string(id), Revision: e.Revision}
	if known, ok := d.deps.Shared.Get(state.Key); ok && known.Revision > e.Revision {
		state = known
	} else {
		var job workload.Job
		if err := json.Unmarshal(e.Value, &job); err == nil {
			state.Value = intake.Record{Queue: job.Queue, State: workload.StateQueued, AcceptedMS: job.AcceptedMS, Workspace: job.Workspace}.Encode()
		}
	}
	d.addJob(e.Entry, state, nil, steady.Now(), addition)
	d.requestPlan()
}

// handleSharedChange applies a change of a job's state or of the owner key.
func (d *dispatcher) handleSharedChange(e store.Event) {
	if e.Key == intake.OwnerKey {
		if e.Revision > d.revision {
			d.end("the owner key has changed")
		}
		return
	}
	id, ok := intake.JobIDFromKey(e.Key)
	if !ok || e.Deleted {
		return
	}
	record, err := intake.DecodeRecord(e.Value)
	if err != nil {
		d.deps.Log("record_unreadable", "key", e.Key, "revision", e.Revision, "err", err)
		return
	}
	d.mu.Lock()
	d.machine.StateChanged(id, record.State, e.Revision, steady.Now())
	d.mu.Unlock()
	if record.State == workload.StateCancelled {
		d.requestPlan()
	}
}

// applyConfig passes on the owner's configuration. It is read under the lock: of two versions
// that come at once, the later one stays.
func (d *dispatcher) applyConfig() {
	d.mu.Lock()
	if cfg := d.owner.config.Load(); cfg != nil {
		d.machine.SetConfig(cfg)
	}
	d.mu.Unlock()
	d.requestPlan()
}

// setDataCentresOut passes on the data centres that are out of service.
func (d *dispatcher) setDataCentresOut(out map[fleet.DataCentre]bool) {
	d.mu.Lock()
	d.machine.SetDataCentresOut(out)
	d.mu.Unlock()
	d.requestPlan()
}

// workerMirror returns the mirror of the workers' entries, from what was loaded on.
func (d *dispatcher) workerMirror() *mirror.Mirror {
	m := mirror.New(d.deps.Store, platform.WorkerPrefix, workerBatchDelay, d.handleWorkerChange, d.deps.Log)
	m.Preload(d.loadedEntries.entries, d.loadedEntries.revision)
	d.loadedEntries = loadedKeys{}
	return m
}

// submissionMirror returns the mirror of the submissions, from what was loaded on.
func (d *dispatcher) submissionMirror() *mirror.Mirror {
	m := mirror.New(d.deps.Store, intake.SubmissionPrefix, submissionBatchDelay, d.handleSubmissionChange, d.deps.Log)
	m.KeepKeysOnly()
	m.Preload(d.loadedSubmissions.entries, d.loadedSubmissions.revision)
	d.loadedSubmissions = loadedKeys{}
	return m
}

// handleWorkerChange applies a change of a worker's entry. Entries change with
// every heartbeat; only changes of the decoded fields are passed to the
// machine.
func (d *dispatcher) handleWorkerChange(e store.Event) {
	id, ok := platform.WorkerFromKey(e.Key)
	if !ok {
		return
	}
	if e.Deleted {
		d.removeEntry(id)
		return
	}
	info, err := platform.DecodeWorker(id, e.Value)
	if err == nil {
		err = checkStart(info, time.Now())
	}
	if err != nil {
		// Another writer's entry. A worker that has had one keeps its runs, and gets
		// no new ones before it has written its entry again.
		d.deps.Log("worker_entry_unreadable", "worker", id, "revision", e.Revision, "err", err)
		d.removeEntry(id)
		return
	}
	if known, ok := d.workerEntries[id]; ok && reflect.DeepEqual(known, info) {
		return
	}
	d.workerEntries[id] = info
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.SetWorker(info, steady.Now())
	if w, ok := d.workers[id]; ok && w.restartedAs(info.StartedMS) {
		go d.renewRestarted(w)
	}
}

// removeEntry tells the machine that a worker has no entry any more.
func (d *dispatcher) removeEntry(id fleet.WorkerID) {
	delete(d.workerEntries, id)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.WorkerGone(id, steady.Now())
}

// maxStartLead is how far the start of a worker may lie in the future. It exceeds the
// differences between clocks by far.
const maxStartLead = 24 * time.Hour

// FutureStartError reports a worker's entry with a start in the future. If it were
// taken for a restart, the worker's reports would never be newer.
type FutureStartError struct {
	Worker    fleet.WorkerID
	StartedMS int64 // Unix time in ms
}

func (e *FutureStartError) Error() string {
	return fmt.Sprintf("owner: worker %s starts at %d ms, in the future", e.Worker, e.StartedMS)
}

// checkStart returns a *FutureStartError if the entry's start lies beyond maxStartLead.
func checkStart(info workload.Worker, now time.Time) error {
	if info.StartedMS > now.Add(maxStartLead).UnixMilli() {
		return &FutureStartError{Worker: info.ID, StartedMS: info.StartedMS}
	}
	return nil
}
