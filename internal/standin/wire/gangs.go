package wire

import (
	"maps"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// gangTimeout is how long a task waits for the others of its gang.
const gangTimeout = 3 * time.Second

// gangRun names one run of a gang.
type gangRun struct {
	step string
	run  int
}

// gangs keeps which tasks of gangs are present, on all workers together. Its methods lock
// the workers concerned, so that callers must not hold the lock of one.
type gangs struct {
	mu      sync.Mutex
	members map[gangRun]map[workload.TaskName]*Worker
}

// join adds a task that has started. The gang works for d from the moment when all its
// tasks are present, and they end together.
func (g *gangs) join(n workload.TaskName, run, count int, w *Worker, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangRun{n.StepName(), run}
	if g.members[key] == nil {
		g.members[key] = make(map[workload.TaskName]*Worker)
	}
	g.members[key][n] = w
	if len(g.members[key]) < count {
		return
	}
	now := time.Now()
	for member, worker := range g.members[key] {
		worker.changeRun(member, run, func(r *activeRun) { r.assembled, r.startedAt, r.endsAt = true, now, now.Add(d) })
	}
}

// leave removes a task that has ended. Unless it was done, the others end as well.
func (g *gangs) leave(n workload.TaskName, run int, outcome workload.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangRun{n.StepName(), run}
	delete(g.members[key], n)
	if outcome == workload.OutcomeDone {
		return
	}
	for member, worker := range maps.Clone(g.members[key]) {
		worker.changeRun(member, run, func(r *activeRun) { r.broken = true })
	}
}

// changeRun calls f for a run if it is on the worker.
func (w *Worker) changeRun(n workload.TaskName, run int, f func(*activeRun)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r, ok := w.runs[n]; ok && r.run == run {
		f(r)
	}
}

// joinGang lets a run wait for the rest of its gang, if it is of one. The caller holds w.mu.
func (w *Worker) joinGang(n workload.TaskName, r *activeRun, d time.Duration) {
	if !r.step.Gang {
		return
	}
	r.aloneAt = time.Now().Add(gangTimeout)
	go w.checker.gangs.join(n, r.run, r.step.Count, w, d)
}

// leaveGang ends the rest of a run's gang, if it is of one. The caller holds w.mu.
func (w *Worker) leaveGang(n workload.TaskName, r *activeRun, outcome workload.Outcome) {
	if r.step.Gang {
		go w.checker.gangs.leave(n, r.run, outcome)
	}
}
