package wire

import (
	"fmt"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Judge checks the promises about tasks from what callers and workers see.
// Methods are safe for concurrent use.
type Checker struct {
	mu       sync.Mutex
	jobs     map[fleet.JobID]*judged
	broken   []string
	starts   int
	maxFails int
	// cancelBound is how long after its cancellation a job may still start.
	cancelBound time.Duration
}

type judged struct {
	steps     []workload.Step
	refused   bool // every attempt to hand it in was refused
	cancelled time.Time
	done      map[workload.TaskName]bool // by an end that was taken note of
	ended     map[workload.TaskName]bool // by any end
	failed    map[workload.TaskName]int
	running   map[workload.TaskName]int
}

// NewJudge returns a judge of jobs whose tasks may fail maxFails times.
func NewChecker(maxFails int, cancelBound time.Duration) *Checker {
	return &Checker{jobs: make(map[fleet.JobID]*judged), maxFails: maxFails, cancelBound: cancelBound}
}

// Submitting tells of a job before its first attempt to hand it in.
func (j *Checker) RecordSubmission(id fleet.JobID, steps []workload.Step) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id] = &judged{
		steps: steps, done: make(map[workload.TaskName]bool), ended: make(map[workload.TaskName]bool),
		failed: make(map[workload.TaskName]int), running: make(map[workload.TaskName]int),
	}
}

// Refused tells that all attempts to hand a job in were refused.
func (j *Checker) RecordRejection(id fleet.JobID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id].refused = true
	if len(j.jobs[id].ended)+len(j.jobs[id].running) > 0 {
		j.breakRule("REFUSED", "%s has run", id)
	}
}

// Cancelled tells that a cancellation was acknowledged.
func (j *Checker) RecordCancellation(id fleet.JobID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id].cancelled = time.Now()
}

// Shown judges a state that a caller was told.
func (j *Checker) CheckState(id fleet.JobID, state workload.State) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job := j.jobs[id]
	if state != workload.StateCompleted {
		return
	}
	for i, s := range job.steps {
		for x := range s.Count {
			if n := (workload.TaskName{Job: id, Step: i, Index: x}); !job.ended[n] {
				j.breakRule("MIXED", "%s is shown as completed, task %s has not ended so", id, n)
				return
			}
		}
	}
}

// need returns what a task takes and how long it runs; false: nobody asked
// for it.
func (j *Checker) need(n workload.TaskName) (workload.Step, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job, ok := j.jobs[n.Job]
	if !ok || n.Step >= len(job.steps) || n.Index >= job.steps[n.Step].Count {
		return workload.Step{}, false
	}
	return job.steps[n.Step], true
}

// started judges a start. late is set for an order that was carried out late.
func (j *Checker) started(w *Worker, n workload.TaskName, run int, late bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	job, ok := j.jobs[n.Job]
	if !ok {
		j.breakRule("UNASKED", "%s run %d on %s", n, run, w.id)
		return
	}
	if job.running[n] > 0 {
		j.breakRule("TWICE", "%s run %d on %s beside another run", n, run, w.id)
	}
	if job.done[n] {
		j.breakRule("TWICE", "%s run %d on %s after it was done", n, run, w.id)
	}
	if job.failed[n] >= j.maxFails {
		j.breakRule("BUDGET", "%s run %d after %d failures", n, run, job.failed[n])
	}
	if !late && !job.cancelled.IsZero() && time.Since(job.cancelled) > j.cancelBound {
		j.breakRule("UNASKED", "%s run %d, %v after its cancellation", n, run, time.Since(job.cancelled))
	}
	for _, before := range job.steps[n.Step].After {
		for x := range job.steps[before].Count {
			if b := (workload.TaskName{Job: n.Job, Step: before, Index: x}); !job.ended[b] {
				j.breakRule("ORDER", "%s started before %s was done", n, b)
			}
		}
	}
	job.running[n]++
}

// gone tells that a run is over; how is empty if its worker has crashed.
func (j *Checker) gone(n workload.TaskName, how workload.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job, ok := j.jobs[n.Job]
	if !ok {
		return
	}
	job.running[n]--
	if how == workload.OutcomeDone {
		job.ended[n] = true
	}
}

// noted tells that the system has taken note of an end.
func (j *Checker) noted(n workload.TaskName, how workload.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job, ok := j.jobs[n.Job]
	if !ok {
		return
	}
	switch how {
	case workload.OutcomeDone:
		job.done[n] = true
	case workload.OutcomeFailed:
		job.failed[n]++
	}
}

// overloaded tells that a start brought a worker over its capacity.
func (j *Checker) overloaded(w *Worker, n workload.TaskName, used fleet.Resources) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breakRule("LIMIT", "%s brings %s to %+v of %+v", n, w.id, used, w.capacity)
}

// Lost tells of an accepted job that a caller was told not to exist.
func (j *Checker) RecordLostJob(id fleet.JobID, what string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breakRule("LOST", "%s: %s", id, what)
}

// breakRule records a broken rule. j.mu is held.
func (j *Checker) breakRule(rule, format string, args ...any) {
	j.broken = append(j.broken, time.Now().Format("15:04:05.000 ")+rule+": "+fmt.Sprintf(format, args...))
}

// Verdict returns the starts seen and the rules broken.
func (j *Checker) Violations() (starts int, broken []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts, append([]string(nil), j.broken...)
}
