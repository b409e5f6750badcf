package intake

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"github.com/fuchsiahill/fuchsiahill/cost"
	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// WorkspaceLoad is the load of one workspace.
type WorkspaceLoad struct {
	// AdmitShare is the share of its submissions that is admitted, while there is too little
	// room and it submits more than its weight; 0 is all.
	AdmitShare float64 `json:"f,omitempty"`
	// Throughput is the rate, in core-seconds per second, at which its share of the capacity
	// or its cap lets its work be done.
	Throughput float64 `json:"r"`
	// CapHolds is set if its cap holds back work of it, so that room of others does not help.
	CapHolds bool `json:"c,omitempty"`
	// Backlog is its cumulative waiting work by rank, like that of a queue.
	Backlog []RankBacklog `json:"a,omitempty"`
}

// TooWideError reports a job that can never run, as one of its tasks or gangs is wider than
// the cap of its workspace. A later configuration may raise the cap; until then a repeated
// submission gets the same answer.
type TooWideError struct {
	Workspace string
	Step      int
	Need, Cap fleet.Resources // Need is that of the task, or of the whole gang
	Version   int64           // of the configuration that decided
}

func (e *TooWideError) Error() string {
	return fmt.Sprintf("intake: step %d needs %d millicores, %d MB and %d accelerators at once, above the cap of workspace %s: %d, %d and %d (configuration %d)",
		e.Step, e.Need.MilliCores, e.Need.MemoryMB, e.Need.Accelerators, e.Workspace, e.Cap.MilliCores, e.Cap.MemoryMB, e.Cap.Accelerators, e.Version)
}

// CheckWidth returns a *TooWideError if a job can never run within the cap of its workspace.
func CheckWidth(w *workload.Workspace, job *workload.Job, version int64) error {
	i := w.TooWide(job)
	if i < 0 {
		return nil
	}
	need := job.Steps[i].Need
	if job.Steps[i].Gang {
		need = workload.Times(need, int64(job.Steps[i].Count))
	}
	return &TooWideError{Workspace: w.Name, Step: i, Need: need, Cap: w.Cap, Version: version}
}

// AdmitForWorkspace decides whether a job of a workspace is admitted; nil means yes. While
// there is too little room, submissions beyond the workspace's weight are refused first.
// Work that is held back by the workspace's cap is refused if its own backlog alone makes it
// worthless. Any other job waits at most for what its workspace has waiting, done at its
// share of the capacity, however much other workspaces submit.
func AdmitForWorkspace(q *workload.Queue, w *workload.Workspace, job *workload.Job, load Load, now time.Time) *RefusedError {
	refused := Admit(q, job, load, now)
	wl, ok := load.Workspaces[w.Name]
	switch {
	case now.UnixMilli()-load.AtMS > maxLoadAge.Milliseconds():
		return refused
	case !ok && len(load.Workspaces) > 0 && !job.HasServingStep():
		return nil // it has nothing waiting, so that its share is free
	case !ok:
		return refused
	}
	if wl.AdmitShare > 0 && admissionNumber(job) >= wl.AdmitShare {
		return &RefusedError{
			Reason:     fmt.Sprintf("workspace %s submits more than its weight of %v jobs a second, and there is too little room", w.Name, w.Weight),
			RetryAfter: retryAfter(wl.waitForAll(), job),
		}
	}
	if job.HasServingStep() || refused == nil && !wl.CapHolds || wl.Throughput <= 0 {
		return refused
	}
	ql, _ := load.of(q.Name, job)
	excess := wl.excess(q, w, job, ql, now)
	if excess <= 0 {
		return nil
	}
	reason := "the work of workspace %s before it takes until after it is worth nothing, at its share of the capacity"
	if wl.CapHolds {
		reason = "the work of workspace %s before it takes until after it is worth nothing, within its cap"
	}
	return &RefusedError{Reason: fmt.Sprintf(reason, w.Name), RetryAfter: retryAfter(excess, job)}
}

// excess returns for how much too long the backlog of its workspace delays a job.
func (l WorkspaceLoad) excess(q *workload.Queue, w *workload.Workspace, job *workload.Job, ql QueueLoad, now time.Time) time.Duration {
	ratio := 1.0
	if ql.RunTimeRatio > 0 {
		ratio = max(ql.RunTimeRatio, 0.1)
	}
	work, _ := expectedSize(job, ratio)
	criticalPath := pathInWaves(w, job, ratio)
	target := time.Duration(q.Stretch*float64(criticalPath)) + q.Objective
	untilDue := max(0, time.Duration(job.FirstMS-now.UnixMilli())*time.Millisecond)
	rank := dispatch.RankOfNewJob(job, work, ql.MeanWork)
	return l.wait(rank) - untilDue + criticalPath - cost.LateFactor*target
}

// wait returns how long the work of the workspace before a rank takes.
func (l WorkspaceLoad) wait(rank float64) time.Duration {
	return l.timeOf(QueueLoad{Backlog: l.Backlog}.before(rank).Work)
}

// waitForAll returns how long all waiting work of the workspace takes.
func (l WorkspaceLoad) waitForAll() time.Duration { return l.wait(math.Inf(1)) }

// timeOf returns how long work in core-seconds takes, within maxPredictedWait.
func (l WorkspaceLoad) timeOf(work float64) time.Duration {
	if l.Throughput <= 0 {
		return 0
	}
	return time.Duration(min(work/l.Throughput, maxPredictedWait.Seconds()) * float64(time.Second))
}

// maxPredictedWait bounds a predicted wait, far above the target of any job.
const maxPredictedWait = 10 * time.Minute

// pathInWaves returns the expected run time of the longest chain of dependent steps of a
// job, of which those wider than its workspace may run take several waves.
func pathInWaves(w *workload.Workspace, job *workload.Job, ratio float64) time.Duration {
	ends := make([]time.Duration, len(job.Steps))
	longest := time.Duration(0)
	for i := range job.Steps {
		s := &job.Steps[i]
		for _, dependency := range s.After {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += time.Duration(w.Waves(s, s.Count)) * time.Duration(ratio*float64(s.Estimate()))
		longest = max(longest, ends[i])
	}
	return longest
}

// admissionNumber returns a pseudorandom number from 0 to 1 for one submission of a job, the
// same on every host. It is independent of the job's lottery number.
func admissionNumber(job *workload.Job) float64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte("admit"+string(job.ID)), uint64(job.AcceptedMS))) // never fails
	return float64(h.Sum64()%admissionNumbers) / admissionNumbers
}

// admissionNumbers is the number of different results of admissionNumber, a prime.
const admissionNumbers = 1_000_003
