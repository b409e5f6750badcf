package owner

import (
	"encoding/json"
	"reflect"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// bodyChanged takes in a new submission.
func (r *reign) bodyChanged(e store.Event) {
	id := fleet.JobID(e.Key[len(intake.SubmissionPrefix):])
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
	r.addJob(e.Entry, state, nil, steady.Now(), false)
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
	id, ok := intake.JobIDFromKey(e.Key)
	if !ok || e.Deleted {
		return
	}
	record, err := intake.DecodeRecord(e.Value)
	if err != nil {
		r.deps.Log("record_unreadable", "key", e.Key, "revision", e.Revision, "err", err)
		return
	}
	r.mu.Lock()
	r.machine.StateChanged(id, record.State, e.Revision, steady.Now())
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
	r.machine.SetDisabledDataCentres(out)
	r.mu.Unlock()
	r.wake()
}

// workerChanged takes in a change of a worker's entry. Entries change with
// every beat; only what matters to the machine is passed on.
func (r *reign) workerChanged(e store.Event) {
	id, ok := platform.WorkerFromKey(e.Key)
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
