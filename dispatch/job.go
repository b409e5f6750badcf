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
	inherits         bool          // was accepted under a former owner
	arrived          time.Duration // when this owner learned of it
	occ              []*occurrence // by number; those to come are missing

	version, saving, saved int64
	// urgent is set by changes that somebody waits for; others may gather.
	urgent     bool
	dirtySince time.Duration  // of the oldest change that is not being saved
	shown      workload.State // durable state
	runs       int            // in all its tasks
	priority   int
	key        float64 // place in line, lower first; set by Plan
	work       float64 // core-seconds in all, as expected when it came
	// passed is for how long tasks whose turn had come found no room.
	passed               time.Duration
	outlook, toldOutlook outlook
	reserved             bool // room has been kept free for a gang of it
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	steps []*step
	left  int // steps not done
}

// step is a step of one occurrence.
type step struct {
	*workload.Step
	tasks   []*task
	done    int
	waiting int // tasks that are neither done nor have a run
	gangRun int // highest run of the gang
	perNode map[fleet.WorkerID]int
	// doneRates are the rates, in percent a second, of runs that ended done.
	doneRates []float64
	tickets   tickets // of a queue with advice
}

// task is one task.
type task struct {
	job        *job
	step       *step
	name       workload.TaskName
	done       bool
	runs       []*run
	lastRun    int
	failed     []int // the runs that failed; ends are listed more than once
	checkpoint string
	avoid      fleet.WorkerID // where it failed or stalled last
	// former may still have a run of a former owner's.
	former    fleet.WorkerID
	waitsFrom time.Duration
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
	confirmed time.Duration
	ordered   time.Duration
	placed    int64 // the job's version with it
	// stopSent and stopAnswered tell how far a stop is.
	stopSent, stopAnswered time.Duration
	percent                int
	percentAt              time.Duration // when percent last changed
	firstPercent           int
	firstPercentAt         time.Duration
	gauge                  int64
	rate                   float64 // of progress lately, in percent a second
	rated                  bool    // rate has been taken
	markPercent            int     // progress at markAt, from where rate is taken
	markAt                 time.Duration
	listedBy               int64 // the worker's report that listed it last
	pace                   int
	slowed                 bool          // its pace was below fullPace for a while
	heldAt                 time.Duration // since when it is held back; 0: it is not
	reason                 string        // of its stop
}

// AddJob takes in an accepted job with what is durable of it. arrived is when it
// was accepted, which for an inherited job is before this owner began.
func (m *Machine) AddJob(j *workload.Job, state workload.State, revision store.Revision, progress workload.Progress, arrived time.Duration, inherited bool) {
	if _, ok := m.jobs[j.ID]; ok {
		return
	}
	nj := &job{Job: *j, state: state, shown: state, revision: revision, inherits: inherited, arrived: arrived}
	m.jobs[j.ID] = nj
	nj.work = m.restWork(nj)
	if m.sizes[j.Queue] == nil {
		m.sizes[j.Queue] = &sizeStats{}
	}
	m.sizes[j.Queue].take(nj.work)
	m.noteJob(nj, revision)
	if state.Final() {
		return
	}
	for _, p := range progress.Tasks {
		nj.restore(p)
	}
	for _, o := range nj.occ {
		if o != nil {
			o.settle()
		}
	}
	m.finishIfDone(nj, arrived)
}

// occurrence returns an occurrence, which it creates when needed.
func (j *job) occurrence(k int) *occurrence {
	for len(j.occ) <= k {
		j.occ = append(j.occ, nil)
	}
	if j.occ[k] == nil {
		o := &occurrence{left: len(j.Steps)}
		for i := range j.Steps {
			s := &step{Step: &j.Steps[i], waiting: j.Steps[i].Count, perNode: make(map[fleet.WorkerID]int)}
			for t := range s.Count {
				s.tasks = append(s.tasks, &task{job: j, step: s, name: workload.TaskName{Job: j.ID, Occurrence: k, Step: i, Index: t}, waitsFrom: j.arrived})
			}
			o.steps = append(o.steps, s)
		}
		j.occ[k] = o
	}
	return j.occ[k]
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
	t.done, t.lastRun, t.failed, t.checkpoint = p.Done, p.Run, p.Failed, p.Checkpoint
	t.step.gangRun = max(t.step.gangRun, p.Run)
	if !p.Done {
		t.former = p.Worker
	}
}

// settle counts a restored occurrence.
func (o *occurrence) settle() {
	o.left = 0
	for _, s := range o.steps {
		s.done, s.waiting = 0, 0
		for _, t := range s.tasks {
			if t.done {
				s.done++
			} else if len(t.runs) == 0 {
				s.waiting++
			}
		}
		if s.done < s.Count {
			o.left++
		}
	}
}

// ready reports whether the steps before s are done.
func (o *occurrence) ready(s *step) bool {
	return !slices.ContainsFunc(s.After, func(i int) bool { return o.steps[i].done < o.steps[i].Count })
}

// progress is what must be durable of the job's tasks.
func (j *job) progress() workload.Progress {
	var p workload.Progress
	for k, o := range j.occ {
		if o == nil {
			continue
		}
		for i, s := range o.steps {
			for x, t := range s.tasks {
				if t.lastRun == 0 && !t.done {
					continue
				}
				p.Tasks = append(p.Tasks, workload.TaskProgress{
					Occurrence: k, Step: i, Index: x, Run: t.lastRun, Done: t.done, Failed: t.failed, Checkpoint: t.kept(),
					Worker: t.worker(),
				})
			}
		}
	}
	return p
}

// failures counts the runs that failed.
func (t *task) failures() int { return len(t.failed) }

// kept is the checkpoint worth storing: none of a task that is done.
func (t *task) kept() string {
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
	return t.former
}

// mayRunElsewhere reports whether a run of a former owner's may exist on a
// worker that has not reported to this one. It answers owners killed while
// entries of workers are missing from the store.
func (m *Machine) mayRunElsewhere(t *task, now time.Duration) bool {
	if t.former == "" {
		return false
	}
	if w, ok := m.workers[t.former]; now >= m.former || ok && w.adopted {
		t.former = ""
		return false
	}
	return true
}

// allDone reports whether all occurrences are done.
func (j *job) allDone() bool {
	if len(j.occ) < j.Occurrences() {
		return false
	}
	return !slices.ContainsFunc(j.occ, func(o *occurrence) bool { return o == nil || o.left > 0 })
}

func (m *Machine) finishIfDone(j *job, now time.Duration) {
	if !j.state.Final() && j.allDone() {
		m.end(j, workload.StateCompleted, now)
	}
}

// end makes a state final and stops what still runs.
func (m *Machine) end(j *job, state workload.State, now time.Duration) {
	j.state = state
	j.changed()
	m.noteEnd(j, now)
	for _, o := range j.occ {
		if o == nil {
			continue
		}
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					m.stop(r, string(state))
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
	j.revision, j.shown = revision, state
	if state == workload.StateCancelled && j.state != workload.StateCancelled {
		m.end(j, workload.StateCancelled, now)
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
