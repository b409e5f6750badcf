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

// world plays the platform by its contract: workers with tokens, leases, lost
// and late orders, crashes and new lives, and a store that loses answers.
// Owners come and go; the rules are judged by what the workers do.
type world struct {
	*rapid.T
	now     time.Duration
	term    int
	m       *Machine
	workers map[fleet.WorkerID]*modelWorker
	late    []delayedOrder
	jobs    map[fleet.JobID]*modelJob
	commits []lateCommit
	known   map[fleet.WorkerID]modelRecord
	next    int
	rev     store.Revision
}

type modelWorker struct {
	id       fleet.WorkerID
	born     int64
	up, cut  bool
	token    int
	leaseEnd time.Duration
	answered bool
	runs     map[workload.TaskName]modelRun
	highest  map[workload.TaskName]int
	ended    []workload.EndedRun
	number   int64
}

type modelRun struct {
	number int
	ends   time.Duration
	fails  bool
}

type delayedOrder struct {
	at    time.Duration
	order Order
	token int
	life  int64 // deadline is of this life's clock
}

var modelCapacity = fleet.Resources{MilliCores: 2000, MemoryMB: 4000}

func newWorld(t *rapid.T) *world {
	w := &world{T: t, now: time.Second, workers: make(map[fleet.WorkerID]*modelWorker), jobs: make(map[fleet.JobID]*modelJob), known: make(map[fleet.WorkerID]modelRecord), rev: 1}
	for i := range 3 {
		id := fleet.WorkerID(fmt.Sprintf("w%d", i))
		w.workers[id] = &modelWorker{id: id}
		w.live(w.workers[id])
	}
	w.takeOver()
	return w
}

// live begins a life of a worker.
func (w *world) live(x *modelWorker) {
	x.born++
	x.up, x.token, x.number, x.ended, x.leaseEnd, x.answered = true, 0, 0, nil, 0, true
	x.runs, x.highest = make(map[workload.TaskName]modelRun), make(map[workload.TaskName]int)
}

// takeOver replaces the owner by one that loads what is durable.
func (w *world) takeOver() {
	w.term++
	w.m = New(testLimits, w.term, w.now)
	w.m.SetConfig(&workload.Config{
		Queues:   []workload.Queue{{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2, Objective: time.Second}},
		Services: map[fleet.Service]workload.Service{testService: {Name: testService}},
	})
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		x := w.workers[id]
		x.answered = true
		w.m.SetWorker(workload.Worker{ID: id, StartedMS: x.born, Service: testService, Capacity: modelCapacity}, w.now)
	}
	for _, id := range slices.Sorted(maps.Keys(w.known)) {
		w.m.RestoreWorker(w.known[id].WorkerRecord, w.known[id].revision, w.now)
	}
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[id]
		w.m.AddJob(&j.job, j.state, j.stateRev, j.progress, w.now, true)
		w.m.ProgressStored(id, j.progRev)
	}
}

// submit accepts a job of one or two steps.
func (w *world) submit() {
	w.next++
	w.rev++
	id := fleet.JobID(fmt.Sprintf("j%d", w.next))
	steps := []workload.Step{{Count: rapid.IntRange(1, 3).Draw(w.T, "tasks"), Need: fleet.Resources{MilliCores: 700}, EstimateMS: 500}}
	if rapid.Bool().Draw(w.T, "two steps") {
		steps = append(steps, workload.Step{Count: 1, Need: fleet.Resources{MilliCores: 900}, EstimateMS: 400, After: []int{0}})
	}
	j := &modelJob{
		job: workload.Job{ID: id, Queue: testQueue, Steps: steps}, state: workload.StateQueued, stateRev: w.rev,
		ended: make(map[workload.TaskName]bool), noted: make(map[workload.TaskName]bool), failed: make(map[workload.TaskName]int),
		failing: make(map[workload.TaskName]int),
	}
	w.jobs[id] = j
	w.m.AddJob(&j.job, j.state, j.stateRev, workload.Progress{}, w.now, false)
}

// step lets time pass and the owner work.
func (w *world) step() {
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
		w.carry(o)
	}
	w.m.TakeEvents()
}

// tick ends what is over on a worker.
func (w *world) tick(x *modelWorker) {
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

func (w *world) endRun(x *modelWorker, n workload.TaskName, how workload.Outcome) {
	r := x.runs[n]
	delete(x.runs, n)
	x.highest[n] = max(x.highest[n], r.number)
	x.number++
	x.ended = append(x.ended, workload.EndedRun{Sequence: x.number, Task: n, Run: r.number, Outcome: how})
	switch how {
	case workload.OutcomeDone:
		w.jobs[n.Job].ended[n] = true
	case workload.OutcomeFailed:
		w.jobs[n.Job].failures = max(w.jobs[n.Job].failures, w.jobs[n.Job].countFailure(n))
	}
}

// tokenFor is the owner's token for a worker's present life, as it knows it.
func (w *world) tokenFor(x *modelWorker) int { return w.term*1000 + int(x.born) }

func (w *world) renew(x *modelWorker) {
	if x.answered {
		w.m.RenewalSent(x.id, w.now)
	}
	if !x.up || x.cut {
		x.answered = false
		return
	}
	x.answered = true
	x.token = max(x.token, w.tokenFor(x))
	x.leaseEnd = max(x.leaseEnd, w.now+testLimits.Lease)
	seen := w.m.AcknowledgedEnd(x.id)
	x.ended = slices.DeleteFunc(x.ended, func(e workload.EndedRun) bool {
		if e.Sequence > seen {
			return false
		}
		switch e.Outcome {
		case workload.OutcomeDone:
			w.jobs[e.Task.Job].noted[e.Task] = true
		case workload.OutcomeFailed:
			w.jobs[e.Task.Job].failed[e.Task]++
		}
		return true
	})
	rep := workload.Report{StartedMS: x.born, Ended: slices.Clone(x.ended)}
	for _, n := range slices.SortedFunc(maps.Keys(x.runs), compareNames) {
		rep.Running = append(rep.Running, workload.ActiveRun{Task: n, Run: x.runs[n].number, PercentDone: int(w.now/time.Millisecond) % 100})
	}
	w.m.WorkerReported(x.id, rep, w.now-time.Millisecond, w.now)
}

// carry carries an order out: at once, late, or with its answer lost.
func (w *world) carry(o Order) {
	x := w.workers[o.Worker]
	outcome := Accepted
	fate := rapid.IntRange(0, 9).Draw(w.T, "fate")
	switch {
	case !x.up || x.cut || fate == 0:
		outcome = NoAnswer
		delay := time.Duration(rapid.IntRange(1, 5000).Draw(w.T, "late ms")) * time.Millisecond
		w.late = append(w.late, delayedOrder{w.now + delay, o, w.tokenFor(x), x.born})
	case fate == 1:
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

func (w *world) deliverLate() {
	var left []delayedOrder
	for _, l := range w.late {
		x := w.workers[l.order.Worker]
		switch {
		case w.now < l.at:
			left = append(left, l)
		case x.up && x.born == l.life:
			w.execute(x, l.order, l.token)
		}
	}
	w.late = left
}

// execute does what an order asks for, and judges a start.
func (w *world) execute(x *modelWorker, o Order, token int) bool {
	if token < x.token {
		return false
	}
	x.token = token
	switch o.Kind {
	case OrderStop:
		x.highest[o.Task] = max(x.highest[o.Task], o.Run)
		if r, ok := x.runs[o.Task]; ok && r.number <= o.Run {
			w.endRun(x, o.Task, workload.OutcomeStopped)
		}
	case OrderStart:
		if r, ok := x.runs[o.Task]; ok && r.number == o.Run {
			return true
		}
		if o.Run <= x.highest[o.Task] || w.now > x.leaseEnd {
			return false
		}
		w.judge(x, o)
		x.runs[o.Task] = modelRun{
			number: o.Run, ends: w.now + time.Duration(rapid.IntRange(100, 1500).Draw(w.T, "run ms"))*time.Millisecond,
			fails: rapid.IntRange(0, 3).Draw(w.T, "fails") == 0,
		}
	}
	return true
}

func (w *world) judge(x *modelWorker, o Order) {
	j := w.jobs[o.Task.Job]
	for _, y := range w.workers {
		if r, ok := y.runs[o.Task]; ok && y.up {
			w.Fatalf("TWICE: %s run %d on %s beside run %d on %s", o.Task, o.Run, x.id, r.number, y.id)
		}
	}
	if j.noted[o.Task] {
		w.Fatalf("TWICE: %s run %d on %s after it was done", o.Task, o.Run, x.id)
	}
	if j.failed[o.Task] >= 3 {
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

// TestDispatchModel plays random troubles against the machine.
func TestDispatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		anyWorker := func() *modelWorker {
			return w.workers[fleet.WorkerID(fmt.Sprintf("w%d", rapid.IntRange(0, 2).Draw(t, "worker")))]
		}
		t.Repeat(map[string]func(*rapid.T){
			"step":   func(*rapid.T) { w.step() },
			"step 2": func(*rapid.T) { w.step(); w.commit() },
			"wait": func(*rapid.T) {
				for range 6 {
					w.step()
				}
			},
			"submit": func(*rapid.T) { w.submit() },
			"commit": func(*rapid.T) { w.commit() },
			"crash": func(*rapid.T) {
				x := anyWorker()
				x.up, x.runs = false, make(map[workload.TaskName]modelRun)
			},
			"revive": func(*rapid.T) {
				if x := anyWorker(); !x.up {
					w.live(x)
				}
			},
			"cut": func(*rapid.T) { anyWorker().cut = true },
			"silent for a while": func(*rapid.T) {
				x := anyWorker()
				x.cut = true
				for range 5 {
					w.step()
					w.commit()
				}
				x.cut = rapid.Bool().Draw(t, "stays cut")
				w.step()
			},
			"owner killed and worker cut": func(*rapid.T) {
				anyWorker().cut = true
				w.commits = nil
				w.takeOver()
				w.step()
			},
			"heal": func(*rapid.T) { anyWorker().cut = false },
			"owner killed": func(*rapid.T) {
				// Commits of the former owner check its ownership: none is
				// carried out after this.
				w.commits = nil
				w.takeOver()
			},
		})
	})
}
