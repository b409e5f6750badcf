package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// job is a job that this owner dispatches.
//
// Invariants: version counts the changes of state that must be stored;
// version >= saving >= saved.
type job struct {
	workload.Job
	state    workload.State
	revision store.Revision // of the key that holds its state
	// progressRevision is the revision of the key that holds the progress of its
	// tasks; 0 if there is none.
	progressRevision store.Revision
	inherited        bool          // was accepted under a former owner
	arrivedAt        time.Duration // when it was accepted
	// occurrences are those from firstOccurrence on, by number. Nothing is left of the earlier
	// ones; those that are nil or missing have not been opened.
	occurrences     []*occurrence
	firstOccurrence int
	dueOccurrences  int // how many this owner has found due
	opened          int // how many of those it has created

	bytes                  int64 // see JobBytes
	records                int   // of its tasks
	version, saving, saved int64
	// urgent is set by changes that must be written at once; others may be batched.
	urgent        bool
	hold          hold
	dirtySince    time.Duration  // of the oldest change that is not being saved
	storedState   workload.State // state that is stored
	runCount      int            // current runs of all its tasks
	priority      int
	rank          float64       // order in the queue, lower first; set by Plan
	slack         time.Duration // delay without a change of timeliness; set by Plan
	estimatedWork float64       // core-seconds of the whole job, as expected when it was added
	// blockedFor is how long tasks that were ready found no capacity.
	blockedFor                     time.Duration
	timeliness, reportedTimeliness timeliness
	hasReservation                 bool          // workers have been reserved for one of its gangs
	heldByCap                      bool          // the cap of its workspace held back tasks in the last plan that tried them
	overCap                        bool          // heldByCap, by the known runs of its workspace alone
	reportedHolds                  []string      // reasons for waiting that the log has
	behindShares                   bool          // jobs of workspaces with a larger share owed were put before it
	planFailed                     bool          // planning it panicked
	idleSince                      time.Duration // since when tasks are ready and nothing runs, if so
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	steps     []*step // nil once all are done and have no runs
	stepsLeft int     // steps that are not done
}

// endedOccurrence stands for every occurrence of which nothing is left.
var endedOccurrence = &occurrence{}

// step is a step of one occurrence.
type step struct {
	*workload.Step
	job               *job
	occurrence, index int
	tasks             taskList
	doneCount         int
	waitingCount      int // tasks that are neither done nor have a run
	lastGangRun       int // highest run number of the gang
	// unansweredUntil is until when unanswered starts of members of the gang may be executed.
	unansweredUntil time.Duration
	runsOnWorker    map[fleet.WorkerID]int
	// doneRates are the progress rates, in percent per second, of runs that are
	// done.
	doneRates []float64
	nextRate  int     // position of the oldest rate, once as many are kept as may be
	tickets   tickets // from the advice service, if the queue has one
	// heldSince is since when its workspace's cap holds back the next task or the gang; 0:
	// it does not.
	heldSince time.Duration
	own       ownTail // of a serving step
}

// task is one task.
type task struct {
	job          *job
	step         *step
	name         workload.TaskName
	done         bool
	runs         []*run
	lastRun      int
	failedRuns   []int            // numbers of the failed runs, as the end of a run is reported repeatedly
	crashes      []workload.Crash // of workers under its runs
	crashVersion int64            // version of the job that includes the last of them
	checkpoint   string
	avoidance    avoidance
	// formerWorker may still have a run that a former owner started.
	formerWorker    fleet.WorkerID
	formerConfirmed bool // the former owner knew that the run was executed
	formerBound     bool // see workload.TaskProgress.Bound
	unanswered      []*unansweredStart
	slowOn          fleet.WorkerID // worker that a run was moved off as it was slow there
	isLong          bool           // slow on a second worker, too: it takes longer than its siblings
	stalls          int            // runs that were stopped for lack of progress
	waitingSince    time.Duration
}

type runState int

const (
	runOrdered    runState = iota // start sent, no response yet
	runRunning                    // confirmed by a response or a report
	runUnresolved                 // the start got no response and may still be executed
	runStopping                   // to be stopped
)

// run is one execution of a task on a worker.
type run struct {
	task   *task
	number int
	worker *worker
	state  runState
	// confirmedAt is when the start was accepted or the run was first reported; 0
	// if neither has happened.
	confirmedAt   time.Duration
	orderedAt     time.Duration
	placedVersion int64 // version of the job that includes the run
	// stopSentAt is when a stop was last sent, and stopAnsweredAt when it was
	// accepted; 0 if that has not happened.
	stopSentAt, stopAnsweredAt time.Duration
	unansweredAt               time.Duration // when the start was found to get no answer; 0: it was not
	startInFlight              bool          // the order to start it has no outcome yet
	percent                    int
	percentAt                  time.Duration // when percent last changed
	firstPercent               int
	firstPercentAt             time.Duration
	gauge                      int64
	rate                       float64 // recent progress, in percent per second
	hasRate                    bool    // rate has been measured
	speed                      runSpeed
	slowestPercent             time.Duration // the longest time that a percent took
	rateBasePercent            int           // progress at rateBaseAt, where the measurement of rate began
	rateBaseAt                 time.Duration
	lastReport                 int64 // the worker's last report that listed it
	restarted                  bool  // its worker has restarted, and no report has listed it
	restartWeight              int   // of that restart as evidence against the task, if the run was there
	survivedStart              bool  // reported at an age of probation or more
	onProbation                bool
	cpuShare                   int
	starved                    bool          // started regardless of the learned interference
	initialCPUShare            int           // CPU share, in percent, to set once it has started; 0: none
	wasThrottled               bool          // its CPU share has been below fullCPUShare at some time
	throttledSince             time.Duration // since when it is throttled; 0 if it is not
	stopReason                 string        // for the log
}

// AddJob adds an accepted job with its stored state. arrived is when it was
// accepted, which for an inherited job is before this owner started. A job that
// is already known is ignored.
func (m *Machine) AddJob(j *workload.Job, state workload.State, revision store.Revision, progress workload.Progress, arrived time.Duration, inherited bool) {
	if _, ok := m.jobs[j.ID]; ok {
		return
	}
	delete(m.heldBack, j.ID)
	nj := &job{Job: *j, bytes: JobBytes(j), state: state, storedState: state, revision: revision, inherited: inherited, arrivedAt: arrived}
	nj.idleSince = max(arrived, m.startedAt)
	if inherited && nj.hasWaitedForRoom() {
		nj.blockedFor = max(0, m.startedAt-arrived)
	}
	m.jobs[j.ID] = nj
	m.heldBytes += nj.bytes
	nj.estimatedWork = m.remainingWork(nj)
	if m.jobSizes[j.Queue] == nil {
		m.jobSizes[j.Queue] = &jobSizeStats{}
	}
	m.jobSizes[j.Queue].add(nj.estimatedWork)
	m.recordJobAdded(nj, revision)
	if !inherited {
		m.recordArrival(nj, arrived)
		m.recordSubmission(nj.Workspace, arrived)
	}
	if state.Final() {
		nj.markUrgent() // its submission may still be stored
		return
	}
	nj.restoreDone(progress)
	for _, p := range progress.Tasks {
		if t := nj.restore(p); t != nil && t.formerWorker != "" {
			m.inherited[t.formerWorker] = append(m.inherited[t.formerWorker], t)
		}
	}
	nj.recount()
	m.completeIfDone(nj, arrived)
}

// hasWaitedForRoom reports whether an inherited job has waited for capacity since it was accepted:
// nothing of it has run, it was due at once, and no cap of a workspace can have held it back.
func (j *job) hasWaitedForRoom() bool {
	return j.state == workload.StateQueued && j.Repeats == 0 && j.Workspace == ""
}

// occurrenceAt returns the occurrence with number k, or nil if it has not been created.
func (j *job) occurrenceAt(k int) *occurrence {
	switch k -= j.firstOccurrence; {
	case k < 0:
		return endedOccurrence
	case k < len(j.occurrences):
		return j.occurrences[k]
	default:
		return nil
	}
}

// isPlanned reports whether the job has been in a plan when any of its occurrences was due.
func (j *job) isPlanned() bool { return j.firstOccurrence+len(j.occurrences) > 0 }

// setOccurrence sets an occurrence that is not below firstOccurrence.
func (j *job) setOccurrence(k int, o *occurrence) {
	for j.firstOccurrence+len(j.occurrences) <= k {
		j.occurrences = append(j.occurrences, nil)
	}
	j.occurrences[k-j.firstOccurrence] = o
}

// occurrence returns the occurrence with number k and creates it if needed.
func (j *job) occurrence(k int) *occurrence {
	if o := j.occurrenceAt(k); o != nil {
		return o
	}
	o := &occurrence{steps: make([]*step, 0, len(j.Steps)), stepsLeft: len(j.Steps)}
	for i := range j.Steps {
		o.steps = append(o.steps, &step{Step: &j.Steps[i], job: j, occurrence: k, index: i, waitingCount: j.Steps[i].Count})
	}
	j.setOccurrence(k, o)
	return o
}

// endOccurrence drops an occurrence of which nothing is left.
func (j *job) endOccurrence(k int) {
	if k < j.firstOccurrence {
		return
	}
	j.setOccurrence(k, endedOccurrence)
	for len(j.occurrences) > 0 && j.occurrences[0] == endedOccurrence {
		j.occurrences = j.occurrences[1:]
		j.firstOccurrence++
	}
}

// dropOccurrence drops an occurrence if all its tasks are done and none has a record.
func (j *job) dropOccurrence(k int) {
	o := j.occurrenceAt(k)
	if o == nil || o.stepsLeft > 0 || slices.ContainsFunc(o.steps, func(s *step) bool { return s.tasks.first < s.Count }) {
		return
	}
	j.endOccurrence(k)
}

// step returns the step of a task, or nil if the job has none of that name. For an occurrence
// of which nothing is left it returns one that is not kept.
func (j *job) step(n workload.TaskName) *step {
	if n.Occurrence < 0 || n.Occurrence >= j.Occurrences() || n.Step < 0 || n.Step >= len(j.Steps) || n.Index < 0 || n.Index >= j.Steps[n.Step].Count {
		return nil
	}
	if o := j.occurrence(n.Occurrence); o != endedOccurrence {
		return o.steps[n.Step]
	}
	s := &j.Steps[n.Step]
	return &step{Step: s, job: j, occurrence: n.Occurrence, index: n.Step, doneCount: s.Count, tasks: taskList{first: s.Count, end: s.Count}}
}

// find returns the task with the given name, or nil if the job has none.
func (j *job) find(n workload.TaskName) *task {
	if s := j.step(n); s != nil {
		return s.record(n.Index)
	}
	return nil
}

// restore applies the stored progress of one task, and returns the task, or nil if the
// job has none of that name.
func (j *job) restore(p workload.TaskProgress) *task {
	t := j.find(workload.TaskName{Job: j.ID, Occurrence: p.Occurrence, Step: p.Step, Index: p.Index})
	if t == nil {
		return nil
	}
	t.done, t.lastRun, t.failedRuns, t.checkpoint = p.Done, p.Run, p.Failed, p.Checkpoint
	t.crashes = p.Crashes
	t.step.lastGangRun = max(t.step.lastGangRun, p.Run)
	if !p.Done {
		t.formerWorker, t.formerConfirmed, t.formerBound = p.Worker, p.Confirmed, p.Bound
	}
	return t
}

// restoreDone applies the stored ranges of what is done. Numbers that the job doesn't have
// are ignored.
func (j *job) restoreDone(p workload.Progress) {
	for _, r := range p.EndedOccurrences {
		for k := max(0, r.First); k < min(r.First+r.Count, j.Occurrences()); k++ {
			j.endOccurrence(k)
		}
	}
	for _, r := range p.Done {
		s := j.step(workload.TaskName{Job: j.ID, Occurrence: r.Occurrence, Step: r.Step})
		if s == nil || r.First < 0 {
			continue
		}
		for i := r.First; i < min(r.First+r.Count, s.Count); i++ {
			s.markDone(i)
		}
	}
}

// recount sets the counters of the occurrences after their tasks were restored.
func (j *job) recount() {
	first := j.firstOccurrence // dropping the first ones changes it
	for i, o := range slices.Clone(j.occurrences) {
		if o != nil && o != endedOccurrence {
			o.recount()
			j.dropOccurrence(first + i)
		}
	}
}

// recount sets the counters of an occurrence after its tasks were restored.
func (o *occurrence) recount() {
	o.stepsLeft = 0
	for _, s := range o.steps {
		s.doneCount = s.tasks.countDone()
		s.waitingCount = s.Count - s.doneCount
		for t := range s.tasks.recorded() {
			if !t.done && len(t.runs) > 0 {
				s.waitingCount--
			}
		}
		if s.doneCount < s.Count {
			o.stepsLeft++
		}
		for _, t := range slices.Clone(s.tasks.records) {
			if t.mayDropRecord() {
				s.markDone(t.name.Index)
			}
		}
	}
}

// ready reports whether the steps that s depends on are done.
func (o *occurrence) ready(s *step) bool {
	return !slices.ContainsFunc(s.After, func(i int) bool { return o.steps[i].doneCount < o.steps[i].Count })
}

// progress returns the state of the job's tasks that must be stored. Its size is bounded by
// what is under way: what is done is stored as ranges.
func (m *Machine) progress(j *job) workload.Progress {
	var p workload.Progress
	for k := range j.firstOccurrence {
		p.EndOccurrence(k)
	}
	for k, o := range j.occurrences {
		k += j.firstOccurrence
		if o == nil {
			continue
		}
		if o.stepsLeft == 0 {
			p.EndOccurrence(k)
			continue
		}
		for i, s := range o.steps {
			// The other members of a gang are started with a run number above those of the
			// ones that are done.
			omitRuns := !s.Gang || s.doneCount == s.Count
			for x := range s.tasks.end {
				t := s.tasks.get(x)
				if t == nil {
					continue
				}
				if t.done && (omitRuns || t == doneTask) {
					p.EndTask(workload.TaskName{Job: j.ID, Occurrence: k, Step: i, Index: x})
					continue
				}
				if t.lastRun == 0 && !t.done {
					continue
				}
				p.Tasks = append(p.Tasks, workload.TaskProgress{
					Occurrence: k, Step: i, Index: x, Run: t.lastRun, Done: t.done, Failed: t.failedRuns, Checkpoint: t.storedCheckpoint(),
					Crashes: t.crashes, Worker: t.worker(), Confirmed: t.isConfirmed(), Bound: m.isBound(t),
				})
			}
		}
	}
	return p
}

// recordPlacementEnd makes the progress due to be written after a run has ended: the next owner
// would wait for the leases of the worker that the stored one names.
func (j *job) recordPlacementEnd(now time.Duration) {
	if !j.state.Final() {
		j.markDirty(now)
	}
}

// failures returns the number of failed runs.
func (t *task) failures() int { return len(t.failedRuns) }

// storedCheckpoint returns the checkpoint to store, which is empty once the task
// is done.
func (t *task) storedCheckpoint() string {
	if t.done {
		return ""
	}
	return t.checkpoint
}

// worker returns the worker that has, or may get, the newest run.
func (t *task) worker() fleet.WorkerID {
	if n := len(t.runs); n > 0 {
		return t.runs[n-1].worker.ID
	}
	if n := len(t.unanswered); n > 0 && !t.done {
		return t.unanswered[n-1].worker
	}
	return t.formerWorker
}

// isConfirmed reports whether the newest run is known to have been executed. Once its worker is
// recorded as unreached, that is a run that the worker has listed: the leases there are recorded
// for these alone.
func (t *task) isConfirmed() bool {
	if n := len(t.runs); n > 0 {
		r := t.runs[n-1]
		return r.confirmedAt > 0 && (r.lastReport > 0 || r.worker.record.possible.UnreachedSince == 0)
	}
	return t.formerWorker != "" && len(t.unanswered) == 0 && t.formerConfirmed
}

// allDone reports whether all occurrences are done.
func (j *job) allDone() bool {
	if j.firstOccurrence+len(j.occurrences) < j.Occurrences() {
		return false
	}
	return !slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return o == nil || o.stepsLeft > 0 })
}

func (m *Machine) completeIfDone(j *job, now time.Duration) {
	if !j.state.Final() && j.allDone() {
		m.endJob(j, workload.StateCompleted, now)
	}
}

// endJob sets a final state and stops the runs that remain.
func (m *Machine) endJob(j *job, state workload.State, now time.Duration) {
	j.state = state
	j.markUrgent()
	j.hold = hold{}
	m.recordJobEnded(j, now)
	m.demand.released.add(float64(servingRequest(&j.Job)), now)
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, s := range o.steps {
			for t := range s.tasks.recorded() {
				for _, r := range t.runs {
					m.requestStop(r, string(state))
				}
			}
		}
	}
}

// StateChanged processes a stored state of a job, which another host or this owner
// has written. States at old revisions are ignored.
func (m *Machine) StateChanged(id fleet.JobID, state workload.State, revision store.Revision, now time.Duration) {
	j, ok := m.jobs[id]
	if !ok {
		if state == workload.StateCancelled {
			m.want(id)
		}
		return
	}
	if revision <= j.revision {
		return
	}
	j.revision, j.storedState = revision, state
	if state == workload.StateCancelled && j.state != workload.StateCancelled {
		m.endJob(j, workload.StateCancelled, now)
	}
}
