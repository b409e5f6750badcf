package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// simulation models the platform by its contract: workers with fencing tokens, leases,
// lost and delayed orders, crashes and restarts, and a store that loses responses.
// Owners are replaced. The rules are checked against what the workers execute.
type simulation struct {
	*rapid.T
	now         time.Duration
	term        int
	m           *Machine
	workers     map[fleet.WorkerID]*modelWorker
	loops       map[fleet.WorkerID]*modelLoop
	lateOrders  []delayedOrder
	lateReports []delayedReport
	jobs        map[fleet.JobID]*modelJob
	lateCommits []delayedCommit
	records     map[fleet.WorkerID]StoredRecord
	jobCount    int
	revision    store.Revision
	termsSeen   map[int]time.Duration // when the claims of former owners were seen
	calm        bool                  // no random faults, and runs that last
	maxEnds     int                   // that a report lists
	caps        *modelCaps            // nil: no workspaces
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{T: t, now: time.Second, workers: make(map[fleet.WorkerID]*modelWorker), jobs: make(map[fleet.JobID]*modelJob), records: make(map[fleet.WorkerID]StoredRecord), revision: 1, termsSeen: make(map[int]time.Duration), maxEnds: modelReportedEnds}
	for i := range 3 {
		id := modelWorkerID(i)
		w.workers[id] = &modelWorker{id: id, entry: 1, listed: true}
		w.boot(w.workers[id])
	}
	w.takeOver()
	return w
}

// takeOver replaces the owner by one that loads the stored state.
func (w *simulation) takeOver() {
	w.recordUnstored()
	w.term++
	w.trace("owner of term %d", w.term)
	w.lateReports = nil
	w.m = New(testLimits, w.term, w.now)
	w.m.RecordTerms(maps.Clone(w.termsSeen), w.now)
	if w.calm || rapid.Bool().Draw(w.T, "claim seen") {
		w.termsSeen[w.term] = w.now
	}
	w.loops = make(map[fleet.WorkerID]*modelLoop)
	w.m.SetConfig(w.config())
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		x := w.workers[id]
		w.loops[id] = &modelLoop{token: w.term * modelTokensPerTerm, answered: true}
		if x.listed {
			w.m.SetWorker(x.entryInStore(), w.now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.records)) {
		w.m.RestoreWorker(w.records[id].WorkerRecord, w.records[id].Revision, w.now)
	}
	w.m.CallsStarted(w.now)
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[id]
		w.m.AddJob(&j.job, j.state, j.stateRev, j.progress, w.now, true)
		w.m.ProgressStored(id, j.progRev)
	}
}

// config returns the configuration in force.
func (w *simulation) config() *workload.Config {
	return &workload.Config{
		Queues:     []workload.Queue{{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2, Objective: time.Second}},
		Services:   map[fleet.Service]workload.Service{testService: {Name: testService}},
		Workspaces: w.caps.workspaces(),
	}
}

// submitJob accepts a job of one or two steps.
func (w *simulation) submitJob() {
	w.jobCount++
	w.revision++
	id := fleet.JobID(fmt.Sprintf("j%d", w.jobCount))
	steps := []workload.Step{{Count: rapid.IntRange(1, 3).Draw(w.T, "tasks"), Need: fleet.Resources{MilliCores: 700}, EstimateMS: 500}}
	if rapid.Bool().Draw(w.T, "two steps") {
		steps = append(steps, workload.Step{Count: 1, Need: fleet.Resources{MilliCores: 900}, EstimateMS: 400, After: []int{0}})
	}
	j := &modelJob{
		job: workload.Job{ID: id, Queue: testQueue, Steps: steps, Workspace: w.caps.workspaceOf(w.jobCount)}, state: workload.StateQueued, stateRev: w.revision,
		ended: make(map[workload.TaskName]bool), acknowledgedDone: make(map[workload.TaskName]bool), acknowledgedFailures: make(map[workload.TaskName]int),
		failedRuns: make(map[workload.TaskName]int), crashes: make(map[workload.TaskName]int), starts: make(map[workload.TaskName]int),
	}
	w.jobs[id] = j
	w.m.AddJob(&j.job, j.state, j.stateRev, workload.Progress{}, w.now, false)
}

// pass moves time forward and ends the runs that are due.
func (w *simulation) pass(d time.Duration) {
	w.now += d
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		w.tick(w.workers[id])
	}
}

// trace adds a line to the output of a failed test.
func (w *simulation) trace(format string, args ...any) {
	w.Logf("%v "+format, append([]any{w.now}, args...)...)
}

// drawFault draws from 0 to most, which is no fault.
func (w *simulation) drawFault(most int, label string) int {
	if w.calm {
		return most
	}
	return rapid.IntRange(0, most).Draw(w.T, label)
}

func (w *simulation) anyWorker() *modelWorker {
	return w.workers[modelWorkerID(rapid.IntRange(0, len(w.workers)-1).Draw(w.T, "worker"))]
}

func modelWorkerID(i int) fleet.WorkerID { return fleet.WorkerID(fmt.Sprintf("w%d", i)) }

// maxModelWorkers bounds the workers that are added.
const maxModelWorkers = 5

// addWorker adds a worker that no owner knows of yet, unless there are many.
func (w *simulation) addWorker() *modelWorker {
	if len(w.workers) >= maxModelWorkers {
		return w.anyWorker()
	}
	x := &modelWorker{id: modelWorkerID(len(w.workers))}
	w.workers[x.id], w.loops[x.id] = x, &modelLoop{token: w.term * modelTokensPerTerm, answered: true}
	w.boot(x)
	w.deliverEntry(x)
	return x
}

// advance moves time forward and lets the workers and the owner act.
func (w *simulation) advance() {
	w.renewAll()
	if w.drawFault(9, "quick restart") == 0 {
		// The owner's orders reach an incarnation that it does not know yet.
		w.boot(w.anyWorker())
		w.deliverEntries()
	}
	w.plan()
}

// renewAll moves time forward and lets the workers act and report.
func (w *simulation) renewAll() {
	w.pass(time.Duration(rapid.IntRange(20, 700).Draw(w.T, "ms")) * time.Millisecond)
	w.deliverLate()
	w.deliverReports()
	w.deliverEntries()
	w.syncLoops()
	for _, id := range slices.Sorted(maps.Keys(w.m.Addresses())) {
		w.renewRegularly(w.workers[id])
	}
}

// plan makes a plan and delivers its orders.
func (w *simulation) plan() {
	w.m.Plan(w.now, 0)
	for _, o := range w.m.TakeOrders() {
		w.deliver(o)
	}
	w.deliverEntries()
	w.checkWorkspaceUsed()
	for _, e := range w.m.TakeEvents() {
		w.trace("event %s %s %v", e.Name, e.Job, e.KeyVals)
	}
}

// TestDispatchModel checks the Machine against the rules under random faults.
func TestDispatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		t.Repeat(w.actions(t))
	})
}

// TestEndsBeyondAReportAreLost checks the Machine against the rules while reports are full:
// a run that a full report leaves out must not be taken for absent.
func TestEndsBeyondAReportAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		actions := w.actions(t)
		actions["ends pile up"] = func(*rapid.T) { w.pileUpEnds(w.anyWorker()) }
		actions["ends pile up while nothing is stored"] = func(*rapid.T) {
			x := w.anyWorker()
			w.advance()
			w.pileUpEnds(x)
			for range 4 {
				w.advance()
			}
		}
		t.Repeat(actions)
	})
}

// actions returns the random actions of a simulation.
func (w *simulation) actions(t *rapid.T) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"step":   func(*rapid.T) { w.advance() },
		"step 2": func(*rapid.T) { w.advance(); w.commitWrites() },
		"wait": func(*rapid.T) {
			for range 6 {
				w.advance()
			}
		},
		"submit": func(*rapid.T) { w.submitJob() },
		"commit": func(*rapid.T) { w.commitWrites() },
		"crash": func(*rapid.T) {
			x := w.anyWorker()
			w.trace("crash %s", x.id)
			w.crash(x)
		},
		"revive": func(*rapid.T) {
			if x := w.anyWorker(); !x.up {
				w.boot(x)
			}
		},
		"added while writes are lost": func(*rapid.T) {
			x := w.addWorker()
			w.submitJob()
			for range rapid.IntRange(2, 6).Draw(t, "steps") {
				w.advance()
				w.loseWorkerWrites()
			}
			if rapid.Bool().Draw(t, "entry lapses") {
				w.lapse(x)
			}
			w.lateCommits = nil
			w.takeOver()
			for range 4 {
				w.advance()
			}
		},
		"entry":        func(*rapid.T) { w.deliverEntry(w.anyWorker()) },
		"entry lapses": func(*rapid.T) { w.lapse(w.anyWorker()) },
		"entries lapse before a takeover": func(*rapid.T) {
			for _, id := range slices.Sorted(maps.Keys(w.workers)) {
				if rapid.Bool().Draw(t, "lapses") {
					w.lapse(w.workers[id])
				}
			}
			w.lateCommits = nil
			w.takeOver()
			w.advance()
		},
		"unlisted until it is forgotten": func(*rapid.T) {
			x := w.anyWorker()
			w.lapse(x)
			x.partitioned = true
			for range 20 {
				w.renewAll()
				w.lapse(x)
				w.plan()
				w.commitWrites()
			}
			x.partitioned = false
		},
		"cut": func(*rapid.T) { w.anyWorker().partitioned = true },
		"silent for a while": func(*rapid.T) {
			x := w.anyWorker()
			x.partitioned = true
			for range 5 {
				w.advance()
				w.commitWrites()
			}
			x.partitioned = rapid.Bool().Draw(t, "stays cut")
			w.advance()
		},
		"restarted and cut": func(*rapid.T) {
			x := w.anyWorker()
			w.renewAll()
			w.boot(x)
			w.plan()
			x.partitioned = true
			for range 10 {
				w.advance()
				w.commitWrites()
			}
		},
		"owner killed and worker cut": func(*rapid.T) {
			w.anyWorker().partitioned = true
			w.lateCommits = nil
			w.takeOver()
			w.advance()
		},
		"heal": func(*rapid.T) { w.anyWorker().partitioned = false },
		"owner killed": func(*rapid.T) {
			// Commits of the former owner check its ownership, so none is
			// executed after this.
			w.lateCommits = nil
			w.takeOver()
		},
	}
}
