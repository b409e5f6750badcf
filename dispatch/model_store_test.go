package dispatch

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// modelJob is a job as the store and the judge know it.
type modelJob struct {
	job      workload.Job
	state    workload.State
	stateRev store.Revision
	progress workload.Progress
	progRev  store.Revision
	ended    map[workload.TaskName]bool // done, as the worker saw it
	noted    map[workload.TaskName]bool // done, and forgotten by the worker
	failed   map[workload.TaskName]int  // taken note of
	failing  map[workload.TaskName]int
	failures int // of the task that failed most
}

type lateCommit struct {
	at      time.Duration
	writes  []Write
	workers []WorkerWrite
}

// modelRecord is a stored worker.
type modelRecord struct {
	WorkerRecord
	revision store.Revision
}

// countFailure counts the failed runs of a task, taken note of or not.
func (j *modelJob) countFailure(n workload.TaskName) int {
	j.failing[n]++
	return j.failing[n]
}

// commit writes what is due: answered, refused, unanswered or late.
func (w *world) commit() {
	for i := 0; i < len(w.commits); i++ {
		if c := w.commits[i]; w.now >= c.at {
			w.apply(c.writes)
			w.applyWorkers(c.workers)
			w.commits = slices.Delete(w.commits, i, i+1)
			i--
		}
	}
	w.commitWorkers()
	writes := w.m.TakeWrites(31, w.now)
	switch rapid.IntRange(0, 5).Draw(w.T, "commit") {
	case 0:
		w.m.WritesFailed(writes)
	case 1:
		w.commits = append(w.commits, lateCommit{at: w.now + 3*time.Second, writes: writes})
		w.m.WritesFailed(writes)
	case 2:
		w.apply(writes)
		w.m.WritesFailed(writes)
	default:
		if w.apply(writes) {
			w.m.WritesDone(writes, w.rev)
			return
		}
		w.m.WritesFailed(writes)
		for _, wr := range writes {
			j := w.jobs[wr.Job]
			w.m.StateChanged(wr.Job, j.state, j.stateRev, w.now)
			w.m.ProgressStored(wr.Job, j.progRev)
		}
	}
}

// apply carries a transaction out if its checks hold.
func (w *world) apply(writes []Write) bool {
	for _, wr := range writes {
		j := w.jobs[wr.Job]
		if wr.StateChanged && j.stateRev != wr.Revision || !wr.State.Final() && j.progRev != wr.ProgressRevision {
			return false
		}
	}
	w.rev++
	for _, wr := range writes {
		j := w.jobs[wr.Job]
		if wr.StateChanged && wr.State == workload.StateFailed && j.failures < 3 {
			w.Fatalf("LOST: %s is shown as failed after %d failures", wr.Job, j.failures)
		}
		if wr.StateChanged {
			j.state, j.stateRev = wr.State, w.rev
		}
		if !wr.State.Final() {
			j.progress, j.progRev = wr.Progress, w.rev
		}
	}
	return true
}

// commitWorkers writes what is due of the workers, with the same fates.
func (w *world) commitWorkers() {
	writes := w.m.TakeWorkerWrites(31, w.now)
	if len(writes) == 0 {
		return
	}
	switch rapid.IntRange(0, 5).Draw(w.T, "commit workers") {
	case 0:
		w.m.WorkerWritesFailed(writes, nil)
	case 1:
		w.commits = append(w.commits, lateCommit{at: w.now + 3*time.Second, workers: writes})
		w.m.WorkerWritesFailed(writes, nil)
	case 2:
		w.applyWorkers(writes)
		w.m.WorkerWritesFailed(writes, nil)
	default:
		if w.applyWorkers(writes) {
			w.m.WorkerWritesDone(writes, w.rev)
			return
		}
		current := make(map[fleet.WorkerID]store.Revision)
		for _, x := range writes {
			current[x.ID] = w.known[x.ID].revision
		}
		w.m.WorkerWritesFailed(writes, current)
	}
}

// applyWorkers carries a transaction on workers out if its checks hold.
func (w *world) applyWorkers(writes []WorkerWrite) bool {
	for _, x := range writes {
		if w.known[x.ID].revision != x.Revision {
			return false
		}
	}
	w.rev++
	for _, x := range writes {
		if x.Delete {
			delete(w.known, x.ID)
			continue
		}
		w.known[x.ID] = modelRecord{x.WorkerRecord, w.rev}
	}
	return true
}
