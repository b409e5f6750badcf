package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	testQueue   = "queue-1"
	testService = fleet.Service("service-1")
)

var testCapacity = fleet.Resources{MilliCores: 4000, MemoryMB: 8000}

var testLimits = Limits{Lease: 4 * time.Second, LeaseMax: 4 * time.Second, LongestLease: 6 * time.Second}

// farFuture is a time at which every change is due to be written.
const farFuture = time.Hour

// rig drives a Machine step by step.
type rig struct {
	*testing.T
	m          *Machine
	now        time.Duration
	endNumbers map[fleet.WorkerID]int64
}

func newRig(t *testing.T, workers ...fleet.WorkerID) *rig {
	t.Helper()
	r := &rig{T: t, m: New(testLimits, 1, 0), now: time.Second, endNumbers: make(map[fleet.WorkerID]int64)}
	r.m.SetConfig(&workload.Config{
		Version:  1,
		Queues:   []workload.Queue{{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2, Objective: time.Second}},
		Services: map[fleet.Service]workload.Service{testService: {Name: testService}},
	})
	for _, id := range workers {
		r.addWorker(id, fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
	}
	return r
}

func (r *rig) addWorker(id fleet.WorkerID, capacity fleet.Resources) {
	r.m.SetWorker(workload.Worker{ID: id, StartedMS: 1, Service: testService, Address: "127.0.0.1:1", DataCentre: "dc-1", Capacity: capacity}, r.now)
	r.storeRecord(id)
	r.m.RenewalSent(id, r.now)
	r.report(id, workload.Report{StartedMS: 1})
}

// storeRecord lets the record of a worker be stored.
func (r *rig) storeRecord(id fleet.WorkerID) {
	if w := r.m.workers[id]; !w.record.isStored() {
		r.m.WorkerWritesDone([]WorkerWrite{{WorkerRecord: WorkerRecord{Worker: w.Worker}}}, 1)
	}
}

// report delivers a report whose renewal was sent just before.
func (r *rig) report(id fleet.WorkerID, rep workload.Report) {
	if rep.StartedMS == 0 {
		rep.StartedMS = 1
	}
	r.m.RenewalSent(id, r.now)
	r.now += 10 * time.Millisecond
	r.m.WorkerReported(id, rep, r.now-time.Millisecond, r.now)
}

func (r *rig) addJob(id fleet.JobID, steps ...workload.Step) {
	r.m.AddJob(&workload.Job{ID: id, Queue: testQueue, Steps: steps}, workload.StateQueued, 1, workload.Progress{}, r.now, false)
}

// planStarts makes a plan, accepts its orders and returns the starts.
func (r *rig) planStarts() []Order {
	r.now += 10 * time.Millisecond
	r.m.Plan(r.now, 0)
	var starts []Order
	for _, o := range r.m.TakeOrders() {
		switch o.Kind {
		case OrderStart:
			starts = append(starts, o)
			r.m.StartAnswered(o, Accepted, r.now)
		case OrderStop:
			r.m.StopAnswered(o, Accepted, r.now)
		}
	}
	return starts
}

// storeRecords completes the writes of workers' records that are due.
func (r *rig) storeRecords() {
	r.m.WorkerWritesDone(r.m.TakeWorkerWrites(1000, r.now), 3)
}

// store completes the writes that are due.
func (r *rig) store() {
	r.m.WritesDone(r.m.TakeWrites(1000, farFuture), 2)
}

func runningOf(o Order) workload.ActiveRun { return workload.ActiveRun{Task: o.Task, Run: o.Run} }

func (r *rig) endOf(o Order, how workload.Outcome) workload.EndedRun {
	r.endNumbers[o.Worker]++
	return workload.EndedRun{Sequence: r.endNumbers[o.Worker], Task: o.Task, Run: o.Run, Outcome: how}
}

func cpuStep(count int, millicores int64) workload.Step {
	return workload.Step{Count: count, Need: fleet.Resources{MilliCores: millicores, MemoryMB: 100}, EstimateMS: 1000}
}

// A run of an unknown job still uses capacity on its worker: a former owner may
// have stored the cancellation of the job, so that this owner does not load it.
func TestUnknownRunTakesCapacity(t *testing.T) {
	r := newRig(t, "w1")
	unknown := workload.ActiveRun{Task: workload.TaskName{Job: "gone"}, Run: 1}
	r.report("w1", workload.Report{Running: []workload.ActiveRun{unknown}})
	r.addJob("a", cpuStep(1, 1000))
	if starts := r.planStarts(); len(starts) != 0 {
		t.Fatalf("started %v next to a run of unknown size", starts)
	}
	r.report("w1", workload.Report{})
	if starts := r.planStarts(); len(starts) != 1 {
		t.Fatalf("started %d tasks once the unknown run had ended, want 1", len(starts))
	}
}

func TestStartsNeedALease(t *testing.T) {
	r := newRig(t)
	r.m.SetWorker(workload.Worker{ID: "w1", StartedMS: 1, Service: testService, Capacity: fleet.Resources{MilliCores: 4000, MemoryMB: 8000}}, r.now)
	r.storeRecord("w1")
	r.m.WorkerReported("w1", workload.Report{StartedMS: 1}, r.now, r.now+1)
	r.addJob("a", cpuStep(1, 1000))
	if starts := r.planStarts(); len(starts) != 0 {
		t.Fatalf("started %v on a worker without a lease", starts)
	}
}

func TestPlanKeepsToCapacity(t *testing.T) {
	r := newRig(t, "w1", "w2")
	r.addJob("a", cpuStep(10, 1500))
	starts := r.planStarts()
	if len(starts) != 4 {
		t.Fatalf("started %d tasks of 1.5 cores on two workers of 4, want 4", len(starts))
	}
	first := starts[0]
	// Runs that are being stopped still count.
	r.m.StateChanged("a", workload.StateCancelled, 2, r.now)
	r.addJob("b", cpuStep(10, 1500))
	if more := r.planStarts(); len(more) != 0 {
		t.Fatalf("started %v before the stopped runs had ended", more)
	}
	r.report(first.Worker, workload.Report{Ended: []workload.EndedRun{r.endOf(first, workload.OutcomeStopped)}, Running: othersOnSameWorker(starts, first)})
	if more := r.planStarts(); len(more) != 1 || more[0].Worker != first.Worker {
		t.Fatalf("started %v after one run had ended on %s", more, first.Worker)
	}
}

func othersOnSameWorker(starts []Order, except Order) []workload.ActiveRun {
	var list []workload.ActiveRun
	for _, o := range starts {
		if o.Worker == except.Worker && o.Task != except.Task {
			list = append(list, runningOf(o))
		}
	}
	return list
}

func TestStepsInOrder(t *testing.T) {
	r := newRig(t, "w1")
	second := cpuStep(1, 100)
	second.After = []int{0}
	r.addJob("a", cpuStep(2, 100), second)
	starts := r.planStarts()
	if len(starts) != 2 {
		t.Fatalf("started %d tasks of the first step, want 2", len(starts))
	}
	r.report("w1", workload.Report{Ended: []workload.EndedRun{r.endOf(starts[0], workload.OutcomeDone)}, Running: []workload.ActiveRun{runningOf(starts[1])}})
	if more := r.planStarts(); len(more) != 0 {
		t.Fatalf("started %v while a task of the previous step was running", more)
	}
	r.report("w1", workload.Report{Ended: []workload.EndedRun{r.endOf(starts[1], workload.OutcomeDone)}})
	more := r.planStarts()
	if len(more) != 1 || more[0].Task.Step != 1 {
		t.Fatalf("started %v, want the second step", more)
	}
	r.report("w1", workload.Report{Ended: []workload.EndedRun{r.endOf(more[0], workload.OutcomeDone)}})
	writes := r.m.TakeWrites(10*4, farFuture)
	if len(writes) != 1 || writes[0].State != workload.StateCompleted {
		t.Fatalf("writes %+v, want the job completed", writes)
	}
}

// The worker may forget the end of a run only once its effect is stored. Otherwise
// the end is lost if the owner ends before the write.
func TestEndsAreForgottenOnceDurable(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(2, 100))
	starts := r.planStarts()
	r.m.WritesDone(r.m.TakeWrites(10*4, farFuture), 2)
	r.report("w1", workload.Report{Ended: []workload.EndedRun{r.endOf(starts[0], workload.OutcomeDone)}, Running: []workload.ActiveRun{runningOf(starts[1])}})
	if acknowledged := r.m.AcknowledgedEnd("w1"); acknowledged != 0 {
		t.Fatalf("the worker may forget ends up to %d before anything is stored", acknowledged)
	}
	writes := r.m.TakeWrites(10*4, farFuture)
	r.m.WritesFailed(writes)
	if acknowledged := r.m.AcknowledgedEnd("w1"); acknowledged != 0 {
		t.Fatalf("the worker may forget ends up to %d after a failed write", acknowledged)
	}
	r.m.WritesDone(r.m.TakeWrites(10*4, farFuture), 3)
	if acknowledged := r.m.AcknowledgedEnd("w1"); acknowledged != 1 {
		t.Fatalf("the worker may forget ends up to %d after the write, want 1", acknowledged)
	}
}

// A start that got no response may still be executed: its capacity stays reserved
// and the task does not run elsewhere until a stop is accepted and a later report
// does not list the run.
func TestUnansweredStartIsStoppedFirst(t *testing.T) {
	r := newRig(t, "w1", "w2")
	r.addJob("a", cpuStep(1, 1000))
	r.m.Plan(r.now, 0)
	start := r.m.TakeOrders()[0]
	r.m.StartAnswered(start, NoAnswer, r.now)
	r.now += time.Second
	r.m.Plan(r.now, 0)
	orders := r.m.TakeOrders()
	if len(orders) != 1 || orders[0].Kind != OrderStop {
		t.Fatalf("orders %+v, want one stop", orders)
	}
	r.report(start.Worker, workload.Report{})
	if starts := r.planStarts(); len(starts) != 0 {
		t.Fatalf("started %v before the stop was accepted", starts)
	}
	r.m.StopAnswered(orders[0], Accepted, r.now)
	r.report(start.Worker, workload.Report{})
	r.storeRecords()
	starts := r.planStarts()
	if len(starts) != 1 || starts[0].Run <= start.Run {
		t.Fatalf("started %+v, want a higher run number than %d", starts, start.Run)
	}
}

func TestLeaseOfUnresponsiveWorkerExpires(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(1, 1000))
	first := r.planStarts()[0]
	r.addWorker("w2", fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
	r.report("w1", workload.Report{Running: []workload.ActiveRun{runningOf(first)}})
	r.now += testLimits.Lease - time.Second
	r.report("w2", workload.Report{})
	if starts := r.planStarts(); len(starts) != 0 {
		t.Fatalf("started %v while the lease on %s was valid", starts, first.Worker)
	}
	r.now += time.Second + leaseBound(testLimits.Lease) - testLimits.Lease
	r.report("w2", workload.Report{})
	starts := r.planStarts()
	if len(starts) != 1 || starts[0].Worker != "w2" {
		t.Fatalf("started %v after the lease had ended, want one on w2", starts)
	}
}

func TestRestartedWorkerHasNoRuns(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(1, 1000))
	first := r.planStarts()[0]
	r.report("w1", workload.Report{StartedMS: 2})
	r.restart()
	if starts := r.planStarts(); len(starts) != 0 {
		t.Fatalf("started %v before the new incarnation had a lease", starts)
	}
	r.report("w1", workload.Report{StartedMS: 2})
	r.store()
	starts := r.planStarts()
	if len(starts) != 1 || starts[0].Run <= first.Run {
		t.Fatalf("started %v on the new incarnation, want a higher run number than %d", starts, first.Run)
	}
}

// A new owner starts no task that a former owner may have started until every
// worker has reported its runs.
func TestInheritedWaitsForAllWorkers(t *testing.T) {
	r := newRig(t, "w1")
	w2 := workload.Worker{ID: "w2", StartedMS: 1, Service: testService}
	r.m.SetWorker(w2, r.now)
	r.m.RestoreWorker(WorkerRecord{Worker: w2}, 5, r.now)
	r.m.AddJob(&workload.Job{ID: "old", Queue: testQueue, Steps: []workload.Step{cpuStep(1, 100)}}, workload.StateQueued, 1, workload.Progress{}, r.now, true)
	r.addJob("new", cpuStep(1, 100))
	starts := r.planStarts()
	if len(starts) != 1 || starts[0].Task.Job != "new" {
		t.Fatalf("started %v, want only the new job", starts)
	}
	r.report("w2", workload.Report{})
	starts = r.planStarts()
	if len(starts) != 1 || starts[0].Task.Job != "old" {
		t.Fatalf("started %v, want the inherited job", starts)
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	r := newRig(t, "w1", "w2", "w3", "w4")
	r.addJob("a", cpuStep(1, 100))
	for range 3 {
		starts := r.planStarts()
		if len(starts) != 1 {
			t.Fatalf("started %v, want one", starts)
		}
		r.report(starts[0].Worker, workload.Report{Ended: []workload.EndedRun{r.endOf(starts[0], workload.OutcomeFailed)}})
	}
	if starts := r.planStarts(); len(starts) != 0 {
		t.Fatalf("started %v after three failures", starts)
	}
	if w := r.m.TakeWrites(1*4, farFuture); w[0].State != workload.StateFailed {
		t.Fatalf("state %s, want failed", w[0].State)
	}
}

// A worker reports the end of a run again until it may forget it, also to a new
// owner that has loaded its effect from the store: the failure counts only once.
func TestFailureCountsOnce(t *testing.T) {
	r := newRig(t, "w1", "w2")
	step := cpuStep(1, 100)
	r.addJob("a", step)
	first := r.planStarts()[0]
	end := r.endOf(first, workload.OutcomeFailed)
	r.report(first.Worker, workload.Report{Ended: []workload.EndedRun{end}})
	writes := r.m.TakeWrites(1*4, farFuture)
	if len(writes) != 1 {
		t.Fatalf("writes %+v, want one", writes)
	}

	next := newRig(t)
	next.m.AddJob(&workload.Job{ID: "a", Queue: testQueue, Steps: []workload.Step{step}}, workload.StateRunning, 2, writes[0].Progress, next.now, true)
	next.addWorker(first.Worker, fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
	next.report(first.Worker, workload.Report{Ended: []workload.EndedRun{end}})
	if got := next.m.jobs["a"].find(first.Task).failures(); got != 1 {
		t.Fatalf("%d failures after one failed run, want 1", got)
	}
}

// An order that got no response may reach the next incarnation of its worker, whose
// clock starts again: the end of the lease does not show that it can't be executed.
func TestUnansweredStartOutlivesTheLease(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(1, 1000))
	r.m.Plan(r.now, 0)
	start := r.m.TakeOrders()[0]
	r.m.StartAnswered(start, NoAnswer, r.now)
	r.now += leaseBound(testLimits.Lease) + time.Second
	r.addWorker("w2", fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
	r.m.Plan(r.now, 0)
	for _, o := range r.m.TakeOrders() {
		if o.Kind == OrderStart {
			t.Fatalf("started %+v while the first order may still arrive", o)
		}
	}
	r.report("w1", workload.Report{StartedMS: 2})
	r.m.Plan(r.now, 0)
	var stop *Order
	for _, o := range r.m.TakeOrders() {
		if o.Kind == OrderStop {
			stop = &o
		}
	}
	if stop == nil {
		t.Fatal("no stop was sent that makes the new incarnation refuse the first order")
	}
	r.m.StopAnswered(*stop, Accepted, r.now)
	r.restart()
	r.report("w1", workload.Report{StartedMS: 2})
	r.storeRecords()
	if starts := r.planStarts(); len(starts) != 1 {
		t.Fatalf("started %v once the new incarnation refuses the first order, want one", starts)
	}
}

// Entries of workers expire while the store is unavailable. A new owner that does
// not see a worker's entry yet must not treat the runs there as lost.
func TestRunsOnUnlistedWorkersAreWaitedFor(t *testing.T) {
	r := newRig(t, "w1", "w2")
	step := cpuStep(2, 100)
	r.addJob("a", step)
	starts := r.planStarts()
	writes := r.m.TakeWrites(31, farFuture)
	if len(starts) != 2 || len(writes) != 1 {
		t.Fatalf("starts %v, writes %+v", starts, writes)
	}
	next := newRig(t)
	next.m.AddJob(&workload.Job{ID: "a", Queue: testQueue, Steps: []workload.Step{step}}, workload.StateRunning, 2, writes[0].Progress, next.now, true)
	next.addWorker("w3", fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
	if again := next.planStarts(); len(again) != 0 {
		t.Fatalf("started %v, which run on workers without an entry", again)
	}
	// The entry returns, and the worker reports that its run has ended.
	first, other := starts[0], starts[1]
	if first.Worker == other.Worker {
		t.Fatalf("both tasks on %s, want them on different workers", first.Worker)
	}
	next.addWorker(first.Worker, fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
	again := next.planStarts()
	if len(again) != 1 || again[0].Task != first.Task {
		t.Fatalf("started %v, want only the task that was on %s", again, first.Worker)
	}
	next.now += leaseBound(testLimits.LeaseMax)
	next.report("w3", workload.Report{})
	next.report(again[0].Worker, workload.Report{Running: []workload.ActiveRun{runningOf(again[0])}})
	if last := next.planStarts(); len(last) != 1 || last[0].Task != other.Task {
		t.Fatalf("started %v once all former leases had ended, want the other task", last)
	}
}

// The stop of a run whose start was never confirmed changes nothing about the
// start: it may still reach the next incarnation of its worker.
func TestUnconfirmedStartIsStoppedAfterRestart(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(1, 1000))
	r.m.Plan(r.now, 0)
	start := r.m.TakeOrders()[0]
	r.m.StartAnswered(start, NoAnswer, r.now)
	r.m.requestStop(r.m.workers["w1"].runs[0], "worker is draining")
	r.report("w1", workload.Report{StartedMS: 2})
	r.restart()
	r.report("w1", workload.Report{StartedMS: 2})
	r.m.Plan(r.now, 0)
	orders := r.m.TakeOrders()
	if len(orders) != 1 || orders[0].Kind != OrderStop {
		t.Fatalf("orders %+v, want one stop that makes the new incarnation refuse the first start", orders)
	}
	r.m.StopAnswered(orders[0], Accepted, r.now)
	r.now += noAnswerPause
	r.report("w1", workload.Report{StartedMS: 2})
	r.storeRecords()
	if starts := r.planStarts(); len(starts) != 1 || starts[0].Run <= start.Run {
		t.Fatalf("started %v once the new incarnation refuses the first start, want one", starts)
	}
}

// A job whose plan panics costs only itself, and the panic does not repeat in each
// later plan.
func TestPanicInOnePlanCostsOneJob(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("bad", cpuStep(1, 1000))
	r.addJob("good", cpuStep(1, 1000))
	r.m.jobs["bad"].occurrence(0).steps[0].job = nil
	for range 3 {
		for _, o := range r.planStarts() {
			if o.Task.Job != "good" {
				t.Errorf("started %v", o.Task)
			}
		}
	}
	failed := 0
	for _, e := range r.m.TakeEvents() {
		if e.Name == "job_plan_failed" {
			failed++
			if e.Job != "bad" {
				t.Errorf("the failed plan is logged for job %q", e.Job)
			}
		}
	}
	if failed != 1 || len(r.m.workers["w1"].runs) != 1 {
		t.Errorf("%d failed plans and %d runs, want one of each", failed, len(r.m.workers["w1"].runs))
	}
}
