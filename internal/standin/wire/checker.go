package wire

import (
	"fmt"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// givenUpCrashes is how many crashes under a task allow its job to be given up.
	givenUpCrashes = 2
	// deadlyCrashes is how many workers may crash under a deadly task before its
	// further starts count.
	deadlyCrashes = 3
	// maxDeadlyStarts is how many further starts of a deadly task are allowed.
	maxDeadlyStarts = 2
)

// Checker checks the guarantees about tasks by what callers and workers observe.
// It is safe for concurrent use.
type Checker struct {
	mu          sync.Mutex
	jobs        map[fleet.JobID]*jobRecord
	violations  []string
	oddCalls    map[fleet.WorkerID]int // calls that follow an odd entry
	starts      int
	strays      int // stray starts after the acknowledged completion of their task
	maxFailures int
	// cancelBound is how long after a job's cancellation its tasks may still start.
	cancelBound time.Duration
	tenants     map[string]*tenantCaps
	gangs       gangs
	alone       int // runs that ended alone
}

type jobRecord struct {
	steps              []workload.Step
	tenant             string
	rejected           bool // every attempt to submit it was rejected
	cancelled          time.Time
	acknowledged       map[workload.TaskName]bool // completed, and the system acknowledged it
	completed          map[workload.TaskName]bool // completed, acknowledged or not
	failed             map[workload.TaskName]int  // failures that the system acknowledged
	failedRuns         map[workload.TaskName]int  // failures, acknowledged or not
	running            map[workload.TaskName]int
	deadly             map[workload.TaskName]bool // crashes each worker that starts it
	crashes            map[workload.TaskName]int  // of workers while the task ran there
	startsAfterCrashes map[workload.TaskName]int  // of a deadly task after deadlyCrashes
	givenUp            bool                       // shown as failed for crashes alone
	starts             map[workload.TaskName]int  // that something could have refused
	startsUntilFailed  map[workload.TaskName]int  // until the last acknowledged failure
}

// NewChecker returns a Checker of jobs whose tasks may fail maxFailures times and
// may start until cancelBound after the cancellation of their job.
func NewChecker(maxFailures int, cancelBound time.Duration) *Checker {
	return &Checker{jobs: make(map[fleet.JobID]*jobRecord), oddCalls: make(map[fleet.WorkerID]int), tenants: make(map[string]*tenantCaps), maxFailures: maxFailures, cancelBound: cancelBound, gangs: gangs{members: make(map[gangRun]map[workload.TaskName]*Worker)}}
}

// RecordSubmission records a job before the first attempt to submit it. Each
// worker that starts one of the deadly tasks crashes.
func (c *Checker) RecordSubmission(id fleet.JobID, steps []workload.Step, deadly ...workload.TaskName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := &jobRecord{
		steps: steps, acknowledged: make(map[workload.TaskName]bool), completed: make(map[workload.TaskName]bool),
		failed: make(map[workload.TaskName]int), failedRuns: make(map[workload.TaskName]int), running: make(map[workload.TaskName]int),
		deadly: make(map[workload.TaskName]bool), crashes: make(map[workload.TaskName]int), startsAfterCrashes: make(map[workload.TaskName]int),
		starts: make(map[workload.TaskName]int), startsUntilFailed: make(map[workload.TaskName]int),
	}
	for _, n := range deadly {
		job.deadly[n] = true
	}
	c.jobs[id] = job
}

// RecordRejection records that all attempts to submit a job were rejected.
func (c *Checker) RecordRejection(id fleet.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].rejected = true
	if len(c.jobs[id].completed)+len(c.jobs[id].running) > 0 {
		c.addViolation("REFUSED", "%s was rejected but has run", id)
	}
}

// RecordCancellation records that a job's cancellation was acknowledged.
func (c *Checker) RecordCancellation(id fleet.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelled = time.Now()
}

// CheckState checks a job state that was reported to a caller.
func (c *Checker) CheckState(id fleet.JobID, state workload.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case workload.StateCompleted:
		c.checkCompletion(id)
	case workload.StateFailed:
		c.checkFailure(id)
	}
}

// checkCompletion checks a job reported as completed. The caller holds c.mu.
func (c *Checker) checkCompletion(id fleet.JobID) {
	job := c.jobs[id]
	for i, s := range job.steps {
		for x := range s.Count {
			if n := (workload.TaskName{Job: id, Step: i, Index: x}); !job.completed[n] {
				c.addViolation("MIXED", "%s is reported as completed but task %s has not completed", id, n)
				return
			}
		}
	}
}

// checkFailure checks a job reported as failed. The caller holds c.mu.
func (c *Checker) checkFailure(id fleet.JobID) {
	job := c.jobs[id]
	for _, failures := range job.failedRuns {
		if failures >= c.maxFailures {
			return
		}
	}
	for _, crashes := range job.crashes {
		if crashes >= givenUpCrashes {
			job.givenUp = true
			return
		}
	}
	c.addViolation("LOST", "%s is shown as failed without cause", id)
}

// GivenUp returns the number of jobs without a deadly task that were shown as
// failed for no cause but ordinary crashes.
func (c *Checker) GivenUp() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	jobs := 0
	for _, job := range c.jobs {
		if job.givenUp && len(job.deadly) == 0 {
			jobs++
		}
	}
	return jobs
}

// requestedStep returns the step of a task, with its resources and duration, and
// false if no submitted job has the task.
func (c *Checker) requestedStep(n workload.TaskName) (workload.Step, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, ok := c.jobs[n.Job]
	if !ok || n.Step >= len(job.steps) || n.Index >= job.steps[n.Step].Count {
		return workload.Step{}, false
	}
	return job.steps[n.Step], true
}

// isDeadly reports whether a task crashes each worker that starts it.
func (c *Checker) isDeadly(n workload.TaskName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, ok := c.jobs[n.Job]
	return ok && job.deadly[n]
}

// startTime tells when a worker executed a start command.
type startTime int

const (
	startOnTime startTime = iota
	startLate             // seconds after it got no reply
	// startStray is a late start in a later incarnation of the worker that no owner
	// has called yet, so that no fencing token, stop or deadline can refuse it.
	startStray
)

// recordStart checks a start.
func (c *Checker) recordStart(w *Worker, n workload.TaskName, run int, when startTime) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	job, ok := c.jobs[n.Job]
	if !ok {
		c.addViolation("UNASKED", "%s run %d on %s", n, run, w.id)
		return
	}
	if when != startStray {
		job.starts[n]++
	}
	if job.running[n] > 0 {
		c.addViolation("TWICE", "%s run %d on %s during another run", n, run, w.id)
	}
	switch {
	case !job.acknowledged[n]:
	case when == startStray:
		c.strays++
	default:
		c.addViolation("TWICE", "%s run %d on %s after its completion was acknowledged", n, run, w.id)
	}
	if job.failed[n] >= c.maxFailures {
		c.addViolation("BUDGET", "%s run %d after %d failures", n, run, job.failed[n])
	}
	if job.deadly[n] && job.crashes[n] >= deadlyCrashes {
		if job.startsAfterCrashes[n]++; job.startsAfterCrashes[n] == maxDeadlyStarts+1 { // reported once per task
			c.addViolation("BUDGET", "%s run %d on %s is start %d after %d crashes under it", n, run, w.id, job.startsAfterCrashes[n], job.crashes[n])
		}
	}
	if when == startOnTime && !job.cancelled.IsZero() && time.Since(job.cancelled) > c.cancelBound {
		c.addViolation("UNASKED", "%s run %d started %v after its cancellation", n, run, time.Since(job.cancelled))
	}
	for _, dependency := range job.steps[n.Step].After {
		for x := range job.steps[dependency].Count {
			if required := (workload.TaskName{Job: n.Job, Step: dependency, Index: x}); !job.completed[required] {
				c.addViolation("ORDER", "%s started before %s had completed", n, required)
			}
		}
	}
	c.checkTenantCap(w, n, run)
	job.running[n]++
}

// represented returns the tasks that are done when one is: all of a gang.
func (j *jobRecord) represented(n workload.TaskName) []workload.TaskName {
	if !j.steps[n.Step].Gang {
		return []workload.TaskName{n}
	}
	members := make([]workload.TaskName, j.steps[n.Step].Count)
	for i := range members {
		members[i] = n
		members[i].Index = i
	}
	return members
}

// Alone returns the number of runs that ended because the rest of their gang was missing.
func (c *Checker) Alone() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alone
}

// recordEnd records that a run has ended.
func (c *Checker) recordEnd(n workload.TaskName, outcome workload.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, ok := c.jobs[n.Job]
	if !ok {
		return
	}
	job.running[n]--
	switch outcome {
	case workload.OutcomeDone:
		for _, member := range job.represented(n) {
			job.completed[member] = true
		}
	case workload.OutcomeFailed:
		job.failedRuns[n]++
	case workload.OutcomeGangTimeout:
		c.alone++
	}
}

// recordCrash records that a run has ended with the crash of its worker.
func (c *Checker) recordCrash(n workload.TaskName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, ok := c.jobs[n.Job]
	if !ok {
		return
	}
	job.running[n]--
	job.crashes[n]++
}

// recordAcknowledgement records that the system acknowledged the end of a run.
func (c *Checker) recordAcknowledgement(n workload.TaskName, outcome workload.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, ok := c.jobs[n.Job]
	if !ok {
		return
	}
	switch outcome {
	case workload.OutcomeDone:
		for _, member := range job.represented(n) {
			job.acknowledged[member] = true
		}
	case workload.OutcomeFailed:
		job.failed[n]++
	}
}

// startsOf returns the number of starts of a task so far that something could have
// refused.
func (c *Checker) startsOf(n workload.TaskName) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job, ok := c.jobs[n.Job]; ok {
		return job.starts[n]
	}
	return 0
}

// checkAcknowledgedEnd checks that a task was not started between an end that counts and
// the acknowledgement of that end.
func (c *Checker) checkAcknowledgedEnd(w *Worker, e endedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job, ok := c.jobs[e.task.Job]
	if !ok {
		return
	}
	switch e.outcome {
	case workload.OutcomeDone:
		if again := job.starts[e.task] - e.starts; again > 0 {
			c.addViolation("TWICE", "%s was started %d times after run %d was done on %s, which was acknowledged later", e.task, again, e.run, w.id)
		}
	case workload.OutcomeFailed:
		job.startsUntilFailed[e.task] = max(job.startsUntilFailed[e.task], e.starts)
		if again := job.starts[e.task] - job.startsUntilFailed[e.task]; again > 0 && job.failed[e.task] == c.maxFailures {
			c.addViolation("BUDGET", "%s was started %d times after %d failures, the last of which was acknowledged later", e.task, again, c.maxFailures)
		}
	}
}

// recordOverload records that a start exceeded the capacity that it could rely on.
func (c *Checker) recordOverload(w *Worker, n workload.TaskName, used, allowed fleet.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("LIMIT", "%s raises the use of %s to %+v of %+v", n, w.id, used, allowed)
}

// RecordLostJob records an accepted job whose state as reported to a caller is
// missing or wrong.
func (c *Checker) RecordLostJob(id fleet.JobID, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("LOST", "%s: %s", id, reason)
}

// recordOddCall records a call that follows an odd entry, once for each ID.
func (c *Checker) recordOddCall(id fleet.WorkerID, path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.oddCalls[id]++; c.oddCalls[id] == 1 {
		c.addViolation("ODD", "%s called by an entry that names no worker: %s", id, path)
	}
}

// RecordUnfollowedWorker records a worker that nobody follows although it has an entry.
func (c *Checker) RecordUnfollowedWorker(id fleet.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("UNFOLLOWED", "%s has an entry and no lease", id)
}

// addViolation records a broken rule. The caller holds c.mu.
func (c *Checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+rule+": "+fmt.Sprintf(format, args...))
}

// Violations returns the number of starts so far and the rules broken.
func (c *Checker) Violations() (starts int, broken []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts, append([]string(nil), c.violations...)
}

// Strays returns the number of starts after the acknowledged completion of their
// task that nothing could refuse: see startStray.
func (c *Checker) Strays() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.strays
}
