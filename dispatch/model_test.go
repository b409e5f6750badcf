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
	lateOrders  []delayedOrder
	jobs        map[fleet.JobID]*modelJob
	lateCommits []delayedCommit
	records     map[fleet.WorkerID]modelRecord
	jobCount    int
	revision    store.Revision
}

type modelWorker struct {
	id              fleet.WorkerID
	incarnation     int64
	up, partitioned bool
	token           int
	leaseEnd        time.Duration
	reachable       bool // answered the last renewal
	runs            map[workload.TaskName]modelRun
	highestRun      map[workload.TaskName]int
	ended           []workload.EndedRun
	lastEnd         int64
}

type modelRun struct {
	number int
	ends   time.Duration
	fails  bool
}

type delayedOrder struct {
	at          time.Duration
	order       Order
	token       int
	incarnation int64 // the delayed order reaches only this incarnation
}

var modelCapacity = fleet.Resources{MilliCores: 2000, MemoryMB: 4000}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{T: t, now: time.Second, workers: make(map[fleet.WorkerID]*modelWorker), jobs: make(map[fleet.JobID]*modelJob), records: make(map[fleet.WorkerID]modelRecord), revision: 1}
	for i := range 3 {
		id := fleet.WorkerID(fmt.Sprintf("w%d", i))
		w.workers[id] = &modelWorker{id: id}
		w.boot(w.workers[id])
	}
	w.takeOver()
	return w
}

// boot starts a new incarnation of a worker.
func (w *simulation) boot(x *modelWorker) {
	x.incarnation++
	x.up, x.token, x.lastEnd, x.ended, x.leaseEnd, x.reachable = true, 0, 0, nil, 0, true
	x.runs, x.highestRun = make(map[workload.TaskName]modelRun), make(map[workload.TaskName]int)
}

// takeOver replaces the owner by one that loads the stored state.
func (w *simulation) takeOver() {
	w.term++
	w.m = New(testLimits, w.term, w.now)
	w.m.SetConfig(&workload.Config{
		Queues:   []workload.Queue{{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2, Objective: time.Second}},
		Services: map[fleet.Service]workload.Service{testService: {Name: testService}},
	})
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		x := w.workers[id]
		x.reachable = true
		w.m.SetWorker(workload.Worker{ID: id, StartedMS: x.incarnation, Service: testService, Capacity: modelCapacity}, w.now)
	}
	for _, id := range slices.Sorted(maps.Keys(w.records)) {
		w.m.RestoreWorker(w.records[id].WorkerRecord, w.records[id].revision, w.now)
	}
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[id]
		w.m.AddJob(&j.job, j.state, j.stateRev, j.progress, w.now, true)
		w.m.ProgressStored(id, j.progRev)
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
		job: workload.Job{ID: id, Queue: testQueue, Steps: steps}, state: workload.StateQueued, stateRev: w.revision,
		ended: make(map[workload.TaskName]bool), acknowledgedDone: make(map[workload.TaskName]bool), acknowledgedFailures: make(map[workload.TaskName]int),
		failedRuns: make(map[workload.TaskName]int),
	}
	w.jobs[id] = j
	w.m.AddJob(&j.job, j.state, j.stateRev, workload.Progress{}, w.now, false)
}

// advance moves time forward and lets the workers and the owner act.
func (w *simulation) advance() {
	w.now += time.Duration(rapid.IntRange(20, 700).Draw(w.T, "ms")) * time.Millisecond
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		w.tick(w.workers[id])
	}
	w.deliverLate()
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		w.renew(w.workers[id])
	}
	w.m.Plan(w.now, 0)
	for _, o := range w.m.TakeOrders() {
		w.deliver(o)
	}
	w.m.TakeEvents()
}

// tick ends the runs on a worker that are over or whose lease has expired.
func (w *simulation) tick(x *modelWorker) {
	for _, n := range slices.SortedFunc(maps.Keys(x.runs), compareNames) {
		r := x.runs[n]
		switch {
		case w.now > x.leaseEnd:
			w.endRun(x, n, workload.OutcomeLeaseExpired)
		case w.now >= r.ends && r.fails:
			w.endRun(x, n, workload.OutcomeFailed)
		case w.now >= r.ends:
			w.endRun(x, n, workload.OutcomeDone)
		}
	}
}

func compareNames(a, b workload.TaskName) int {
	if a.String() < b.String() {
		return -1
	}
	return 1
}

func (w *simulation) endRun(x *modelWorker, n workload.TaskName, how workload.Outcome) {
	r := x.runs[n]
	delete(x.runs, n)
	x.highestRun[n] = max(x.highestRun[n], r.number)
	x.lastEnd++
	x.ended = append(x.ended, workload.EndedRun{Sequence: x.lastEnd, Task: n, Run: r.number, Outcome: how})
	switch how {
	case workload.OutcomeDone:
		w.jobs[n.Job].ended[n] = true
	case workload.OutcomeFailed:
		w.jobs[n.Job].maxFailures = max(w.jobs[n.Job].maxFailures, w.jobs[n.Job].countFailure(n))
	}
}

// tokenFor returns the owner's fencing token for a worker's present incarnation.
func (w *simulation) tokenFor(x *modelWorker) int { return w.term*1000 + int(x.incarnation) }

func (w *simulation) renew(x *modelWorker) {
	if x.reachable {
		w.m.RenewalSent(x.id, w.now)
	}
	if !x.up || x.partitioned {
		x.reachable = false
		return
	}
	x.reachable = true
	x.token = max(x.token, w.tokenFor(x))
	x.leaseEnd = max(x.leaseEnd, w.now+testLimits.Lease)
	acknowledged := w.m.AcknowledgedEnd(x.id)
	x.ended = slices.DeleteFunc(x.ended, func(e workload.EndedRun) bool {
		if e.Sequence > acknowledged {
			return false
		}
		switch e.Outcome {
		case workload.OutcomeDone:
			w.jobs[e.Task.Job].acknowledgedDone[e.Task] = true
		case workload.OutcomeFailed:
			w.jobs[e.Task.Job].acknowledgedFailures[e.Task]++
		}
		return true
	})
	rep := workload.Report{StartedMS: x.incarnation, Ended: slices.Clone(x.ended)}
	for _, n := range slices.SortedFunc(maps.Keys(x.runs), compareNames) {
		rep.Running = append(rep.Running, workload.ActiveRun{Task: n, Run: x.runs[n].number, PercentDone: int(w.now/time.Millisecond) % 100})
	}
	w.m.WorkerReported(x.id, rep, w.now-time.Millisecond, w.now)
}

// deliver executes an order at once, late, or with its response lost.
func (w *simulation) deliver(o Order) {
	x := w.workers[o.Worker]
	outcome := Accepted
	fault := rapid.IntRange(0, 9).Draw(w.T, "fate")
	switch {
	case !x.up || x.partitioned || fault == 0:
		outcome = NoAnswer
		delay := time.Duration(rapid.IntRange(1, 5000).Draw(w.T, "late ms")) * time.Millisecond
		w.lateOrders = append(w.lateOrders, delayedOrder{w.now + delay, o, w.tokenFor(x), x.incarnation})
	case fault == 1:
		outcome = NoAnswer
		w.execute(x, o, w.tokenFor(x))
	default:
		if !w.execute(x, o, w.tokenFor(x)) {
			outcome = Refused
		}
	}
	switch o.Kind {
	case OrderStart:
		w.m.StartAnswered(o, outcome, w.now)
	case OrderStop:
		w.m.StopAnswered(o, outcome, w.now)
	}
}

func (w *simulation) deliverLate() {
	var left []delayedOrder
	for _, l := range w.lateOrders {
		x := w.workers[l.order.Worker]
		switch {
		case w.now < l.at:
			left = append(left, l)
		case x.up && x.incarnation == l.incarnation:
			w.execute(x, l.order, l.token)
		}
	}
	w.lateOrders = left
}

// execute executes an order on a worker and checks a start against the rules. It
// reports whether the worker has accepted the order.
func (w *simulation) execute(x *modelWorker, o Order, token int) bool {
	if token < x.token {
		return false
	}
	x.token = token
	switch o.Kind {
	case OrderStop:
		x.highestRun[o.Task] = max(x.highestRun[o.Task], o.Run)
		if r, ok := x.runs[o.Task]; ok && r.number <= o.Run {
			w.endRun(x, o.Task, workload.OutcomeStopped)
		}
	case OrderStart:
		if r, ok := x.runs[o.Task]; ok && r.number == o.Run {
			return true
		}
		if o.Run <= x.highestRun[o.Task] || w.now > x.leaseEnd {
			return false
		}
		w.checkStart(x, o)
		x.runs[o.Task] = modelRun{
			number: o.Run, ends: w.now + time.Duration(rapid.IntRange(100, 1500).Draw(w.T, "run ms"))*time.Millisecond,
			fails: rapid.IntRange(0, 3).Draw(w.T, "fails") == 0,
		}
	}
	return true
}

// checkStart fails the test if a start breaks a rule: a task runs once at a time and
// not again after it was done or failed three times, steps run in order, and workers
// stay within their capacity.
func (w *simulation) checkStart(x *modelWorker, o Order) {
	j := w.jobs[o.Task.Job]
	for _, y := range w.workers {
		if r, ok := y.runs[o.Task]; ok && y.up {
			w.Fatalf("TWICE: %s run %d on %s while run %d is on %s", o.Task, o.Run, x.id, r.number, y.id)
		}
	}
	if j.acknowledgedDone[o.Task] {
		w.Fatalf("TWICE: %s run %d on %s after it was done", o.Task, o.Run, x.id)
	}
	if j.acknowledgedFailures[o.Task] >= 3 {
		w.Fatalf("BUDGET: %s run %d after three failures", o.Task, o.Run)
	}
	for _, before := range j.job.Steps[o.Task.Step].After {
		for i := range j.job.Steps[before].Count {
			if n := (workload.TaskName{Job: o.Task.Job, Step: before, Index: i}); !j.ended[n] {
				w.Fatalf("ORDER: %s before %s was done", o.Task, n)
			}
		}
	}
	used := j.job.Steps[o.Task.Step].Need
	for n := range x.runs {
		used = used.Add(w.jobs[n.Job].job.Steps[n.Step].Need)
	}
	if !used.Fits(modelCapacity) {
		w.Fatalf("LIMIT: %s brings %s to %+v", o.Task, x.id, used)
	}
}

// TestDispatchModel checks the Machine against the rules under random faults.
func TestDispatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		anyWorker := func() *modelWorker {
			return w.workers[fleet.WorkerID(fmt.Sprintf("w%d", rapid.IntRange(0, 2).Draw(t, "worker")))]
		}
		t.Repeat(map[string]func(*rapid.T){
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
				x := anyWorker()
				x.up, x.runs = false, make(map[workload.TaskName]modelRun)
			},
			"revive": func(*rapid.T) {
				if x := anyWorker(); !x.up {
					w.boot(x)
				}
			},
			"cut": func(*rapid.T) { anyWorker().partitioned = true },
			"silent for a while": func(*rapid.T) {
				x := anyWorker()
				x.partitioned = true
				for range 5 {
					w.advance()
					w.commitWrites()
				}
				x.partitioned = rapid.Bool().Draw(t, "stays cut")
				w.advance()
			},
			"owner killed and worker cut": func(*rapid.T) {
				anyWorker().partitioned = true
				w.lateCommits = nil
				w.takeOver()
				w.advance()
			},
			"heal": func(*rapid.T) { anyWorker().partitioned = false },
			"owner killed": func(*rapid.T) {
				// Commits of the former owner check its ownership, so none is
				// executed after this.
				w.lateCommits = nil
				w.takeOver()
			},
		})
	})
}
