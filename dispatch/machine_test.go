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

var testLimits = Limits{Lease: 4 * time.Second, LeaseMax: 4 * time.Second}

// later is a time at which every change is due to be written.
const later = time.Hour

// rig drives a machine by hand.
type rig struct {
	*testing.T
	m   *Machine
	now time.Duration
	end map[fleet.WorkerID]int64
}

func newRig(t *testing.T, workers ...fleet.WorkerID) *rig {
	t.Helper()
	r := &rig{T: t, m: New(testLimits, 1, 0), now: time.Second, end: make(map[fleet.WorkerID]int64)}
	r.m.SetConfig(&workload.Config{
		Version:  1,
		Queues:   []workload.Queue{{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2, Objective: time.Second}},
		Services: map[fleet.Service]workload.Service{testService: {Name: testService}},
	})
	for _, id := range workers {
		r.worker(id, fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
	}
	return r
}

func (r *rig) worker(id fleet.WorkerID, capacity fleet.Resources) {
	r.m.SetWorker(workload.Worker{ID: id, StartedMS: 1, Service: testService, Address: "127.0.0.1:1", DataCentre: "dc-1", Capacity: capacity}, r.now)
	r.m.RenewalSent(id, r.now)
	r.report(id, workload.Report{StartedMS: 1})
}

// report takes in a report whose renewal was sent just before.
func (r *rig) report(id fleet.WorkerID, rep workload.Report) {
	if rep.StartedMS == 0 {
		rep.StartedMS = 1
	}
	r.m.RenewalSent(id, r.now)
	r.now += 10 * time.Millisecond
	r.m.WorkerReported(id, rep, r.now-time.Millisecond, r.now)
}

func (r *rig) job(id fleet.JobID, steps ...workload.Step) {
	r.m.AddJob(&workload.Job{ID: id, Queue: testQueue, Steps: steps}, workload.StateQueued, 1, workload.Progress{}, r.now, false)
}

// starts plans and returns the starts, which it answers as accepted.
func (r *rig) starts() []Order {
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

func running(o Order) workload.ActiveRun { return workload.ActiveRun{Task: o.Task, Run: o.Run} }

func (r *rig) ended(o Order, how workload.Outcome) workload.EndedRun {
	r.end[o.Worker]++
	return workload.EndedRun{Sequence: r.end[o.Worker], Task: o.Task, Run: o.Run, Outcome: how}
}

func cpuStep(count int, millicores int64) workload.Step {
	return workload.Step{Count: count, Need: fleet.Resources{MilliCores: millicores, MemoryMB: 100}, EstimateMS: 1000}
}

// A run of a job that is not known any more, such as one whose cancellation
// was made durable by a former owner, still takes its room.
func TestUnknownRunTakesItsRoom(t *testing.T) {
	r := newRig(t, "w1")
	stranger := workload.ActiveRun{Task: workload.TaskName{Job: "gone"}, Run: 1}
	r.report("w1", workload.Report{Running: []workload.ActiveRun{stranger}})
	r.job("a", cpuStep(1, 1000))
	if starts := r.starts(); len(starts) != 0 {
		t.Fatalf("started %v beside a run of unknown size", starts)
	}
	r.report("w1", workload.Report{})
	if starts := r.starts(); len(starts) != 1 {
		t.Fatalf("started %d tasks once the unknown run had ended, want 1", len(starts))
	}
}

func TestStartsNeedALease(t *testing.T) {
	r := newRig(t)
	r.m.SetWorker(workload.Worker{ID: "w1", StartedMS: 1, Service: testService, Capacity: fleet.Resources{MilliCores: 4000, MemoryMB: 8000}}, r.now)
	r.m.WorkerReported("w1", workload.Report{StartedMS: 1}, r.now, r.now+1)
	r.job("a", cpuStep(1, 1000))
	if starts := r.starts(); len(starts) != 0 {
		t.Fatalf("started %v on a worker without a lease", starts)
	}
}

func TestPlanKeepsToCapacity(t *testing.T) {
	r := newRig(t, "w1", "w2")
	r.job("a", cpuStep(10, 1500))
	starts := r.starts()
	if len(starts) != 4 {
		t.Fatalf("started %d tasks of 1.5 cores on two workers of 4, want 4", len(starts))
	}
	first := starts[0]
	// What is being stopped still counts.
	r.m.StateChanged("a", workload.StateCancelled, 2, r.now)
	r.job("b", cpuStep(10, 1500))
	if more := r.starts(); len(more) != 0 {
		t.Fatalf("started %v before the stopped runs were gone", more)
	}
	r.report(first.Worker, workload.Report{Ended: []workload.EndedRun{r.ended(first, workload.OutcomeStopped)}, Running: othersOn(starts, first)})
	if more := r.starts(); len(more) != 1 || more[0].Worker != first.Worker {
		t.Fatalf("started %v after one end on %s", more, first.Worker)
	}
}

func othersOn(starts []Order, but Order) []workload.ActiveRun {
	var list []workload.ActiveRun
	for _, o := range starts {
		if o.Worker == but.Worker && o.Task != but.Task {
			list = append(list, running(o))
		}
	}
	return list
}

func TestStepsInOrder(t *testing.T) {
	r := newRig(t, "w1")
	second := cpuStep(1, 100)
	second.After = []int{0}
	r.job("a", cpuStep(2, 100), second)
	starts := r.starts()
	if len(starts) != 2 {
		t.Fatalf("started %d tasks of the first step, want 2", len(starts))
	}
	r.report("w1", workload.Report{Ended: []workload.EndedRun{r.ended(starts[0], workload.OutcomeDone)}, Running: []workload.ActiveRun{running(starts[1])}})
	if more := r.starts(); len(more) != 0 {
		t.Fatalf("started %v while a task of the step before ran", more)
	}
	r.report("w1", workload.Report{Ended: []workload.EndedRun{r.ended(starts[1], workload.OutcomeDone)}})
	more := r.starts()
	if len(more) != 1 || more[0].Task.Step != 1 {
		t.Fatalf("started %v, want the second step", more)
	}
	r.report("w1", workload.Report{Ended: []workload.EndedRun{r.ended(more[0], workload.OutcomeDone)}})
	writes := r.m.TakeWrites(10*4, later)
	if len(writes) != 1 || writes[0].State != workload.StateCompleted {
		t.Fatalf("writes %+v, want the job completed", writes)
	}
}

// An end is forgotten by the worker only once its effect is durable.
func TestEndsAreForgottenOnceDurable(t *testing.T) {
	r := newRig(t, "w1")
	r.job("a", cpuStep(2, 100))
	starts := r.starts()
	r.m.WritesDone(r.m.TakeWrites(10*4, later), 2)
	r.report("w1", workload.Report{Ended: []workload.EndedRun{r.ended(starts[0], workload.OutcomeDone)}, Running: []workload.ActiveRun{running(starts[1])}})
	if seen := r.m.AcknowledgedEnd("w1"); seen != 0 {
		t.Fatalf("the worker may forget up to %d before anything is durable", seen)
	}
	writes := r.m.TakeWrites(10*4, later)
	r.m.WritesFailed(writes)
	if seen := r.m.AcknowledgedEnd("w1"); seen != 0 {
		t.Fatalf("the worker may forget up to %d after a failed write", seen)
	}
	r.m.WritesDone(r.m.TakeWrites(10*4, later), 3)
	if seen := r.m.AcknowledgedEnd("w1"); seen != 1 {
		t.Fatalf("the worker may forget up to %d after the write, want 1", seen)
	}
}

// A start without an answer may come yet: its room stays taken and the task
// does not run elsewhere until a stop is answered and a later report shows
// nothing.
func TestUnansweredStartIsStoppedFirst(t *testing.T) {
	r := newRig(t, "w1", "w2")
	r.job("a", cpuStep(1, 1000))
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
	if starts := r.starts(); len(starts) != 0 {
		t.Fatalf("started %v before the stop was answered", starts)
	}
	r.m.StopAnswered(orders[0], Accepted, r.now)
	r.report(start.Worker, workload.Report{})
	starts := r.starts()
	if len(starts) != 1 || starts[0].Run <= start.Run {
		t.Fatalf("started %+v, want a higher run than %d", starts, start.Run)
	}
}

func TestSilentWorkerLapses(t *testing.T) {
	r := newRig(t, "w1")
	r.job("a", cpuStep(1, 1000))
	first := r.starts()[0]
	r.worker("w2", fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
	r.now += testLimits.Lease - time.Second
	r.report("w2", workload.Report{})
	if starts := r.starts(); len(starts) != 0 {
		t.Fatalf("started %v while the lease on %s held", starts, first.Worker)
	}
	r.now += time.Second + leaseBound(testLimits.Lease) - testLimits.Lease
	r.report("w2", workload.Report{})
	starts := r.starts()
	if len(starts) != 1 || starts[0].Worker != "w2" {
		t.Fatalf("started %v after the lease, want one on w2", starts)
	}
}

func TestRebornWorkerHoldsNothing(t *testing.T) {
	r := newRig(t, "w1")
	r.job("a", cpuStep(1, 1000))
	first := r.starts()[0]
	r.report("w1", workload.Report{StartedMS: 2})
	if starts := r.starts(); len(starts) != 0 {
		t.Fatalf("started %v before the new life had a lease", starts)
	}
	r.report("w1", workload.Report{StartedMS: 2})
	starts := r.starts()
	if len(starts) != 1 || starts[0].Run <= first.Run {
		t.Fatalf("started %v on the new life, want a higher run than %d", starts, first.Run)
	}
}

// Until every worker has shown what it holds, the new owner starts nothing
// that a former owner may have started.
func TestInheritedWaitsForAllWorkers(t *testing.T) {
	r := newRig(t, "w1")
	r.m.SetWorker(workload.Worker{ID: "w2", StartedMS: 1, Service: testService}, r.now)
	r.m.AddJob(&workload.Job{ID: "old", Queue: testQueue, Steps: []workload.Step{cpuStep(1, 100)}}, workload.StateQueued, 1, workload.Progress{}, r.now, true)
	r.job("new", cpuStep(1, 100))
	starts := r.starts()
	if len(starts) != 1 || starts[0].Task.Job != "new" {
		t.Fatalf("started %v, want only the new job", starts)
	}
	r.report("w2", workload.Report{})
	starts = r.starts()
	if len(starts) != 1 || starts[0].Task.Job != "old" {
		t.Fatalf("started %v, want the inherited job", starts)
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	r := newRig(t, "w1", "w2", "w3", "w4")
	r.job("a", cpuStep(1, 100))
	for range 3 {
		starts := r.starts()
		if len(starts) != 1 {
			t.Fatalf("started %v, want one", starts)
		}
		r.report(starts[0].Worker, workload.Report{Ended: []workload.EndedRun{r.ended(starts[0], workload.OutcomeFailed)}})
	}
	if starts := r.starts(); len(starts) != 0 {
		t.Fatalf("started %v after three failures", starts)
	}
	if w := r.m.TakeWrites(1*4, later); w[0].State != workload.StateFailed {
		t.Fatalf("state %s, want failed", w[0].State)
	}
}

// An end is listed again until it may be forgotten, also to a new owner that
// finds its effect durable already: it counts once.
func TestFailureCountsOnce(t *testing.T) {
	r := newRig(t, "w1", "w2")
	step := cpuStep(1, 100)
	r.job("a", step)
	first := r.starts()[0]
	end := r.ended(first, workload.OutcomeFailed)
	r.report(first.Worker, workload.Report{Ended: []workload.EndedRun{end}})
	writes := r.m.TakeWrites(1*4, later)
	if len(writes) != 1 {
		t.Fatalf("writes %+v, want one", writes)
	}

	next := newRig(t)
	next.m.AddJob(&workload.Job{ID: "a", Queue: testQueue, Steps: []workload.Step{step}}, workload.StateRunning, 2, writes[0].Progress, next.now, true)
	next.worker(first.Worker, fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
	next.report(first.Worker, workload.Report{Ended: []workload.EndedRun{end}})
	if got := next.m.jobs["a"].find(first.Task).failures(); got != 1 {
		t.Fatalf("%d failures after one failed run, want 1", got)
	}
}

// An order that got no answer may reach the next life of its worker, whose
// clock starts anew: the lease's end proves nothing of it.
func TestUnansweredStartOutlivesTheLease(t *testing.T) {
	r := newRig(t, "w1")
	r.job("a", cpuStep(1, 1000))
	r.m.Plan(r.now, 0)
	start := r.m.TakeOrders()[0]
	r.m.StartAnswered(start, NoAnswer, r.now)
	r.now += leaseBound(testLimits.Lease) + time.Second
	r.worker("w2", fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
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
		t.Fatal("the new life was not told to refuse the first order")
	}
	r.m.StopAnswered(*stop, Accepted, r.now)
	r.report("w1", workload.Report{StartedMS: 2})
	if starts := r.starts(); len(starts) != 1 {
		t.Fatalf("started %v once the new life refuses the first order, want one", starts)
	}
}

// Entries of workers lapse while the store is away. A new owner that does not
// see a worker's entry yet must not take the runs there for lost.
func TestRunsOnUnlistedWorkersAreWaitedFor(t *testing.T) {
	r := newRig(t, "w1", "w2")
	step := cpuStep(2, 100)
	r.job("a", step)
	starts := r.starts()
	writes := r.m.TakeWrites(31, later)
	if len(starts) != 2 || len(writes) != 1 {
		t.Fatalf("starts %v, writes %+v", starts, writes)
	}
	next := newRig(t)
	next.m.AddJob(&workload.Job{ID: "a", Queue: testQueue, Steps: []workload.Step{step}}, workload.StateRunning, 2, writes[0].Progress, next.now, true)
	next.worker("w3", fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
	if again := next.starts(); len(again) != 0 {
		t.Fatalf("started %v, which run on workers that are not listed yet", again)
	}
	// The entry comes back, and the worker shows that its run is over.
	first, other := starts[0], starts[1]
	if first.Worker == other.Worker {
		t.Fatalf("both tasks on %s, want them spread", first.Worker)
	}
	next.worker(first.Worker, fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
	again := next.starts()
	if len(again) != 1 || again[0].Task != first.Task {
		t.Fatalf("started %v, want only the task that was on %s", again, first.Worker)
	}
	next.now += leaseBound(testLimits.LeaseMax)
	next.report("w3", workload.Report{})
	next.report(again[0].Worker, workload.Report{Running: []workload.ActiveRun{running(again[0])}})
	if last := next.starts(); len(last) != 1 || last[0].Task != other.Task {
		t.Fatalf("started %v once all former leases had ended, want the other task", last)
	}
}
