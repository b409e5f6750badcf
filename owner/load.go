package owner

import (
	"encoding/json"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

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
	bodies, err := r.readAll(intake.SubmissionPrefix)
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
		state, ok := states[intake.StatePrefix+id[len(intake.SubmissionPrefix):]]
		if !ok {
			continue // accepted between the two reads: its change follows
		}
		p := progress[intake.ProgressPrefix+id[len(intake.SubmissionPrefix):]]
		if r.addJob(body, state, p.Value, now, true) {
			r.machine.ProgressStored(fleet.JobID(id[len(intake.SubmissionPrefix):]), p.Revision)
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
		var known dispatch.WorkerRecord
		if err := json.Unmarshal(e.Value, &known); err != nil {
			r.deps.Log("known_worker_unreadable", "key", e.Key, "revision", e.Revision, "err", err)
			continue
		}
		r.machine.RestoreWorker(known, e.Revision, steady.Now())
	}
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
	arrived := now
	if inherited {
		arrived = arrivalOf(&job, now, time.Now().UnixMilli())
	}
	r.machine.AddJob(&job, record.State, state.Revision, p, arrived, inherited)
	return true
}

// ageMost bounds the age of an inherited job. Source: longer than any job is
// wanted in; a clock may be wrong.
const ageMost = 2 * time.Minute

// arrivalOf is when a job was accepted, on this owner's steady clock. Hosts'
// clocks differ: a job is never from the future.
func arrivalOf(job *workload.Job, now time.Duration, nowMS int64) time.Duration {
	age := time.Duration(nowMS-job.AcceptedMS) * time.Millisecond
	return now - min(max(age, 0), ageMost)
}
