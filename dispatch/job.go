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
// Invariants: version counts changes of what must be durable; it is at least
// saving, which is at least saved.
type job struct {
	workload.Job
	state    workload.State
	revision store.Revision // of the key that holds its state
	// progressRevision is that of the key that holds its tasks' progress; 0:
	// there is none.
	progressRevision store.Revision
	inherited        bool          // was accepted under a former owner
	arrivedAt        time.Duration // when this owner learned of it
	occurrences      []*occurrence // by number; those to come are missing

	version, saving, saved int64
	// urgent is set by changes that somebody waits for; others may gather.
	urgent        bool
	dirtySince    time.Duration  // of the oldest change that is not being saved
	storedState   workload.State // durable state
	runCount      int            // in all its tasks
	priority      int
	rank          float64 // place in line, lower first; set by Plan
	estimatedWork float64 // core-seconds in all, as expected when it came
	// passed is for how long tasks whose turn had come found no room.
	blockedFor                     time.Duration
	timeliness, reportedTimeliness timeliness
	hasReservation                 bool // room has been kept free for a gang of it
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	steps     []*step
	stepsLeft int // steps not done
}

// step is a step of one occurrence.
type step struct {
	*workload.Step
	tasks        []*task
	doneCount    int
	waitingCount int // tasks that are neither done nor have a run
	lastGangRun  int // highest run of the gang
	runsOnWorker map[fleet.WorkerID]int
	// doneRates are the rates, in percent a second, of runs that ended done.
	doneRates []float64
	tickets   tickets // of a queue with advice
}

// task is one task.
type task struct {
	job         *job
	step        *step
	name        workload.TaskName
	done        bool
	runs        []*run
	lastRun     int
	failedRuns  []int // the runs that failed; ends are listed more than once
	checkpoint  string
	avoidWorker fleet.WorkerID // where it failed or stalled last
	// former may still have a run of a former owner's.
	formerWorker fleet.WorkerID
	waitingSince time.Duration
}

type runState int

const (
	runOrdered    runState = iota // start sent, no answer yet
	runRunning                    // confirmed by an answer or a report
	runUnresolved                 // no answer to its start: may come yet
	runStopping                   // to be stopped
)

// run is one start of a task on a worker.
type run struct {
	task   *task
	number int
	worker *worker
	state  runState
	// confirmed is when the start was answered or the run reported; 0: never.
	confirmedAt   time.Duration
	orderedAt     time.Duration
	placedVersion int64 // the job's version with it
	// stopSent and stopAnswered tell how far a stop is.
	stopSentAt, stopAnsweredAt time.Duration
	percent                    int
	percentAt                  time.Duration // when percent last changed
	firstPercent               int
	firstPercentAt             time.Duration
	gauge                      int64
	rate                       float64 // of progress lately, in percent a second
	hasRate                    bool    // rate has been taken
	rateBasePercent            int     // progress at markAt, from where rate is taken
	rateBaseAt                 time.Duration
	lastReport                 int64 // the worker's report that listed it last
	pace                       int
	wasSlowed                  bool          // its pace was below fullPace for a while
	slowedSince                time.Duration // since when it is held back; 0: it is not
	stopReason                 string        // of its stop
}

// AddJob takes in an accepted job with what is durable of it. arrived is when it
// was accepted, which for an inherited job is before this owner began.
func (m *Machine) AddJob(j *workload.Job, state workload.State, revision store.Revision, progress workload.Progress, arrived time.Duration, inherited bool) {
	if _, ok := m.jobs[j.ID]; ok {
		return
	}
	nj := &job{Job: *j, state: state, storedState: state, revision: revision, inherited: inherited, arrivedAt: arrived}
	m.jobs[j.ID] = nj
	nj.estimatedWork = m.remainingWork(nj)
	if m.jobSizes[j.Queue] == nil {
		m.jobSizes[j.Queue] = &jobSizeStats{}
	}
	m.jobSizes[j.Queue].add(nj.estimatedWork)
	m.recordJobAdded(nj, revision)
	if state.Final() {
		return
	}
	for _, p := range progress.Tasks {
		nj.restore(p)
	}
	for _, o := range nj.occurrences {
		if o != nil {
			o.recount()
		}
	}
	m.completeIfDone(nj, arrived)
}

// occurrence returns an occurrence, which it creates when needed.
func (j *job) occurrence(k int) *occurrence {
	for len(j.occurrences) <= k {
		j.occurrences = append(j.occurrences, nil)
	}
	if j.occurrences[k] == nil {
		o := &occurrence{stepsLeft: len(j.Steps)}
		for i := range j.Steps {
			s := &step{Step: &j.Steps[i], waitingCount: j.Steps[i].Count, runsOnWorker: make(map[fleet.WorkerID]int)}
			for t := range s.Count {
				s.tasks = append(s.tasks, &task{job: j, step: s, name: workload.TaskName{Job: j.ID, Occurrence: k, Step: i, Index: t}, waitingSince: j.arrivedAt})
			}
			o.steps = append(o.steps, s)
		}
		j.occurrences[k] = o
	}
	return j.occurrences[k]
}

// find returns a task of the job, or nil if it has none of that name.
func (j *job) find(n workload.TaskName) *task {
	if n.Occurrence >= j.Occurrences() || n.Step >= len(j.Steps) || n.Index >= j.Steps[n.Step].Count {
		return nil
	}
	return j.occurrence(n.Occurrence).steps[n.Step].tasks[n.Index]
}

func (j *job) restore(p workload.TaskProgress) {
	t := j.find(workload.TaskName{Job: j.ID, Occurrence: p.Occurrence, Step: p.Step, Index: p.Index})
	if t == nil {
		return
	}
	t.done, t.lastRun, t.failedRuns, t.checkpoint = p.Done, p.Run, p.Failed, p.Checkpoint
	t.step.lastGangRun = max(t.step.lastGangRun, p.Run)
	if !p.Done {
		t.formerWorker = p.Worker
	}
}

// settle counts a restored occurrence.
func (o *occurrence) recount() {
	o.stepsLeft = 0
	for _, s := range o.steps {
		s.doneCount, s.waitingCount = 0, 0
		for _, t := range s.tasks {
			if t.done {
				s.doneCount++
			} else if len(t.runs) == 0 {
				s.waitingCount++
			}
		}
		if s.doneCount < s.Count {
			o.stepsLeft++
		}
	}
}

// ready reports whether the steps before s are done.
func (o *occurrence) ready(s *step) bool {
	return !slices.ContainsFunc(s.After, func(i int) bool { return o.steps[i].doneCount < o.steps[i].Count })
}

// progress is what must be durable of the job's tasks.
func (j *job) progress() workload.Progress {
	var p workload.Progress
	for k, o := range j.occurrences {
		if o == nil {
			continue
		}
		for i, s := range o.steps {
			for x, t := range s.tasks {
				if t.lastRun == 0 && !t.done {
					continue
				}
				p.Tasks = append(p.Tasks, workload.TaskProgress{
					Occurrence: k, Step: i, Index: x, Run: t.lastRun, Done: t.done, Failed: t.failedRuns, Checkpoint: t.storedCheckpoint(),
					Worker: t.worker(),
				})
			}
		}
	}
	return p
}

// failures counts the runs that failed.
func (t *task) failures() int { return len(t.failedRuns) }

// kept is the checkpoint worth storing: none of a task that is done.
func (t *task) storedCheckpoint() string {
	if t.done {
		return ""
	}
	return t.checkpoint
}

// worker is where the newest run is, or may be.
func (t *task) worker() fleet.WorkerID {
	if n := len(t.runs); n > 0 {
		return t.runs[n-1].worker.ID
	}
	return t.formerWorker
}

// mayRunElsewhere reports whether a run of a former owner's may exist on a
// worker that has not reported to this one. It answers owners killed while
// entries of workers are missing from the store.
func (m *Machine) mayRunElsewhere(t *task, now time.Duration) bool {
	if t.formerWorker == "" {
		return false
	}
	if w, ok := m.workers[t.formerWorker]; now >= m.formerLeasesEnd || ok && w.adopted {
		t.formerWorker = ""
		return false
	}
	return true
}

// allDone reports whether all occurrences are done.
func (j *job) allDone() bool {
	if len(j.occurrences) < j.Occurrences() {
		return false
	}
	return !slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return o == nil || o.stepsLeft > 0 })
}

func (m *Machine) completeIfDone(j *job, now time.Duration) {
	if !j.state.Final() && j.allDone() {
		m.endJob(j, workload.StateCompleted, now)
	}
}

// end makes a state final and stops what still runs.
func (m *Machine) endJob(j *job, state workload.State, now time.Duration) {
	j.state = state
	j.markUrgent()
	m.recordJobEnded(j, now)
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					m.requestStop(r, string(state))
				}
			}
		}
	}
}

// StateChanged takes in a state that is stored: one that another host has
// written, or this owner's own.
func (m *Machine) StateChanged(id fleet.JobID, state workload.State, revision store.Revision, now time.Duration) {
	j, ok := m.jobs[id]
	if !ok || revision <= j.revision {
		return
	}
	j.revision, j.storedState = revision, state
	if state == workload.StateCancelled && j.state != workload.StateCancelled {
		m.endJob(j, workload.StateCancelled, now)
	}
}

// Step returns the step of a task, or nil if there is no such job or step.
func (m *Machine) Step(n workload.TaskName) *workload.Step {
	j, ok := m.jobs[n.Job]
	if !ok || n.Step >= len(j.Steps) {
		return nil
	}
	return &j.Steps[n.Step]
}
