package dispatch

import (
	"slices"
	"time"

	"pgregory.net/rapid"

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
	at     time.Duration
	writes []Write
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
			w.commits = slices.Delete(w.commits, i, i+1)
			i--
		}
	}
	writes := w.m.TakeWrites(31, w.now)
	switch rapid.IntRange(0, 5).Draw(w.T, "commit") {
	case 0:
		w.m.WritesFailed(writes)
	case 1:
		w.commits = append(w.commits, lateCommit{w.now + 3*time.Second, writes})
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
			w.m.StateChanged(wr.Job, j.state, j.stateRev)
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
