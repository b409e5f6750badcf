package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// lateStartRig returns a rig with a worker that left the start of a step's task unanswered, answered
// a stop, and reports that it does not run it, beside idle workers.
func lateStartRig(t *testing.T, s workload.Step) (*rig, Order) {
	t.Helper()
	r := newRig(t, "w1", "w2", "w3")
	r.addJob("a", s)
	r.now += maxServingDelay
	r.reportIdle()
	starts := r.planStartsAnswered(NoAnswer)
	r.stopAndReport()
	r.storeRecords()
	return r, starts[0]
}

// planStartsAnswered makes a plan and gives the first start an outcome; others are accepted.
func (r *rig) planStartsAnswered(first Outcome) []Order {
	r.now += 10 * time.Millisecond
	r.m.Plan(r.now, 0)
	var starts []Order
	for _, o := range r.m.TakeOrders() {
		if o.Kind == OrderStart {
			starts = append(starts, o)
			r.m.StartAnswered(o, first, r.now)
			first = Accepted
		}
	}
	return starts
}

// reportIdle delivers a report of each worker, which lists the confirmed runs.
func (r *rig) reportIdle() {
	for _, w := range slices.Clone(r.m.workerList) {
		rep := workload.Report{StartedMS: w.incarnationStartMS}
		for _, x := range w.runs {
			if x.confirmedAt > 0 && x.stopAnsweredAt == 0 {
				rep.Running = append(rep.Running, workload.ActiveRun{Task: x.task.name, Run: x.number})
			}
		}
		r.report(w.ID, rep)
	}
}

// stopAndReport answers the stops that are due, and lets all workers report.
func (r *rig) stopAndReport() {
	r.m.Plan(r.now, 0)
	for _, o := range r.m.TakeOrders() {
		if o.Kind == OrderStop {
			r.m.StopAnswered(o, Accepted, r.now)
		}
	}
	r.reportIdle()
}

// A start without an answer arrived at the next incarnation of its worker, before the owner's
// first call, while the task ran elsewhere or after it had ended there.
func TestLateStartReachesNextIncarnation(t *testing.T) {
	serving, gang, speculative := cpuStep(1, 1000), cpuStep(3, 1000), cpuStep(1, 1000)
	serving.Serving, gang.Gang, speculative.Speculative = true, true, true
	tests := map[string]struct {
		step  workload.Step
		bound bool
	}{
		"batch task":                            {cpuStep(1, 1000), true},
		"task that lasts":                       {serving, true},
		"member of a gang":                      {gang, true},
		"copies that may run beside each other": {speculative, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, late := lateStartRig(t, tt.step)
			if tt.step.Gang {
				r.m.stopGang(r.taskOf("a").step, late.Run)
				r.stopAndReport()
			}
			for end := r.now + maxOrderDelay; r.now < end; {
				for _, o := range r.planStarts() {
					if o.Task == late.Task && (o.Worker == late.Worker) != tt.bound {
						t.Fatalf("%s started on %s after a start on %s without an answer", o.Task, o.Worker, late.Worker)
					}
					if o.Task == late.Task {
						return
					}
				}
				r.now += 100 * time.Millisecond
				r.reportIdle()
			}
			t.Errorf("%s was not started again within %v", late.Task, maxOrderDelay)
		})
	}
}

// at returns when a worker was found to leave a start unanswered.
func (o Order) at(r *rig) time.Duration {
	for _, u := range r.m.workers[o.Worker].unanswered {
		if u.task.name == o.Task {
			return u.until - maxOrderDelay
		}
	}
	return r.now
}

// The worker of an unanswered start has no room: the task waits until the start can't arrive any
// more rather than run elsewhere.
func TestTaskOfUnansweredStartMovesTooEarly(t *testing.T) {
	r, late := lateStartRig(t, cpuStep(1, 1000))
	until := late.at(r) + maxOrderDelay
	r.m.workers[late.Worker].addUsage(&workload.Step{Need: testCapacity}, 1)
	for r.now < until-100*time.Millisecond {
		r.now += 50 * time.Millisecond
		r.reportIdle()
		r.noStart("while a later incarnation may execute the late start")
	}
	r.now = until
	r.reportIdle()
	if starts := r.planStarts(); len(starts) != 1 || starts[0].Worker == late.Worker {
		t.Errorf("started %v once the late start can't arrive any more, want the task elsewhere", starts)
	}
}

// The next owner must know of the unanswered start before a run takes its place.
func TestUnansweredStartIsReplacedBeforeItIsStored(t *testing.T) {
	r := newRig(t, "w1", "w2")
	r.addJob("a", cpuStep(1, 1000))
	late := r.planStartsAnswered(NoAnswer)[0]
	r.stopAndReport()
	r.noStart("before the worker's record covers the unanswered start")
	r.storeRecords()
	if starts := r.planStarts(); len(starts) != 1 || starts[0].Worker != late.Worker || !starts[0].ReplacesUnanswered {
		t.Errorf("started %+v once it is stored, want the task on %s in place of the unanswered start", starts, late.Worker)
	}
}

// A worker that forgets the end of a task makes it final, so that a late start would run it twice.
func TestEndBesideLateStartIsAcknowledged(t *testing.T) {
	for _, how := range []workload.Outcome{workload.OutcomeDone, workload.OutcomeFailed} {
		r, late := lateStartRig(t, cpuStep(1, 1000))
		until := late.at(r) + maxOrderDelay
		again := r.planStarts()[0]
		r.m.Plan(r.now, 0)
		ended := workload.Report{Ended: []workload.EndedRun{r.endOf(again, how)}}
		r.report(again.Worker, ended)
		r.store()
		r.now = until - time.Second
		r.report(again.Worker, ended)
		if n := r.m.AcknowledgedEnd(again.Worker); n != 0 {
			t.Errorf("%s: the worker may forget end %d while a late start may arrive", how, n)
		}
		if !r.m.WithholdsAcknowledgement(again.Worker) {
			t.Errorf("%s: renewals are not slowed down although the worker lists the end again each time", how)
		}
		r.now = until
		r.report(again.Worker, ended)
		if n := r.m.AcknowledgedEnd(again.Worker); n != 1 || r.m.WithholdsAcknowledgement(again.Worker) {
			t.Errorf("%s: the worker may forget ends up to %d once no start can arrive, want 1", how, n)
		}
	}
}

// The owner changes while a start may still arrive at a later incarnation of its worker.
func TestNextOwnerForgetsUnansweredStart(t *testing.T) {
	tests := map[string]struct {
		before func(r *rig, late Order) // the change of the owner
		check  func(t *testing.T, next *rig, late Order)
	}{
		"task waits": {
			func(*rig, Order) {},
			func(t *testing.T, next *rig, late Order) {
				next.m.workers[late.Worker].addUsage(&workload.Step{Need: testCapacity}, 1)
				next.noStart("while the late start of the former owner may arrive")
			},
		},
		"task runs again": {
			func(r *rig, late Order) {
				again := r.planStarts()
				if again[0].Worker != late.Worker {
					t.Fatalf("started %v, want the task on %s", again, late.Worker)
				}
				r.reportOf(again)
			},
			func(t *testing.T, next *rig, late Order) {
				w := next.m.workers[late.Worker]
				next.m.handleRestart(w, 2, "report", next.now)
				next.store() // the crash, before which the task does not start
				w.addUsage(&workload.Step{Need: testCapacity}, 1)
				next.noStart("after a crash while the late start of the former owner may arrive")
			},
		},
		"job has ended": {
			func(r *rig, late Order) {
				again := r.planStarts()[0]
				r.report(again.Worker, workload.Report{Ended: []workload.EndedRun{r.endOf(again, workload.OutcomeDone)}})
				r.store()
			},
			func(t *testing.T, next *rig, late Order) {
				ended := workload.Report{Ended: []workload.EndedRun{{Sequence: 1, Task: late.Task, Run: late.Run + 1, Outcome: workload.OutcomeDone}}}
				next.report(late.Worker, ended)
				if n := next.m.AcknowledgedEnd(late.Worker); n != 0 {
					t.Errorf("the worker may forget end %d", n)
				}
				next.now += maxOrderDelay + unansweredMarkStep
				next.report(late.Worker, ended)
				if n := next.m.AcknowledgedEnd(late.Worker); n != 1 {
					t.Errorf("the worker may forget ends up to %d once no start can arrive, want 1", n)
				}
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, late := lateStartRig(t, cpuStep(1, 1000))
			r.store()
			tt.before(r, late)
			r.store()
			next := r.succeed(late)
			tt.check(t, next, late)
		})
	}
}

// reportOf delivers reports that list runs.
func (r *rig) reportOf(starts []Order) {
	for _, o := range starts {
		r.report(o.Worker, workload.Report{Running: []workload.ActiveRun{runningOf(o)}})
	}
}

// succeed returns the next owner, which has loaded what is stored. Each worker has reported to it.
func (r *rig) succeed(late Order) *rig {
	next := newRig(r.T)
	next.m.term, next.m.startedAt, next.now = r.m.term+1, r.now, r.now
	seen := maps.Clone(r.m.termsSeen)
	if seen == nil {
		seen = make(map[int]time.Duration)
	}
	seen[r.m.term] = r.m.claimedAt
	next.m.RecordTerms(seen, r.now)
	for _, w := range r.m.workerList {
		next.m.SetWorker(w.Worker, next.now)
		next.m.RestoreWorker(WorkerRecord{w.Worker, w.record.stored}, w.record.revision, next.now)
	}
	if j, ok := r.m.jobs[late.Task.Job]; ok && !j.state.Final() {
		next.m.AddJob(&j.Job, j.state, 2, r.m.progress(j), next.now, true)
	}
	for _, w := range r.m.workerList {
		rep := workload.Report{}
		for _, x := range w.runs {
			rep.Running = append(rep.Running, workload.ActiveRun{Task: x.task.name, Run: x.number})
		}
		next.report(w.ID, rep)
	}
	next.now += minServingDelay
	return next
}

// Each owner counts from the same moment.
func TestTaskOfUnansweredStartWaitsAnewForEachOwner(t *testing.T) {
	r, late := lateStartRig(t, cpuStep(1, 1000))
	until := late.at(r) + maxOrderDelay + unansweredMarkStep
	r.store()
	for range 3 {
		r = r.succeed(late)
		r.store()
		r.now += 3 * time.Second
	}
	r = r.succeed(late)
	r.m.workers[late.Worker].addUsage(&workload.Step{Need: testCapacity}, 1)
	r.now = until
	r.reportIdle()
	if starts := r.planStarts(); len(starts) != 1 {
		t.Errorf("started %v %v after a start without an answer, want the task", starts, maxOrderDelay+unansweredMarkStep)
	}
}

// A mark that has passed stayed in the record: an owner that has not seen the claim of its term would
// withhold the ends on that worker anew.
func TestPassedMarkOfUnansweredStartIsKept(t *testing.T) {
	r, late := lateStartRig(t, cpuStep(1, 1000))
	w := r.m.workers[late.Worker]
	if w.record.stored.Unanswered == (UnansweredEnd{}) {
		t.Fatal("the record has no mark")
	}
	r.now += maxOrderDelay + unansweredMarkStep
	r.reportIdle()
	r.planStarts()
	r.storeRecords()
	if w.record.stored.Unanswered != (UnansweredEnd{}) {
		t.Errorf("the record has the mark %+v", w.record.stored.Unanswered)
	}
	if writes := r.m.TakeWorkerWrites(1000, r.now); len(writes) != 0 {
		t.Errorf("the record is written again: %+v", writes)
	}
}

// The next owner bound each task that it found on a worker that had left other starts unanswered: services
// whose runs there had lapsed waited for up to 17 s with room elsewhere.
func TestNextOwnerBindsTasksOfAnsweredStarts(t *testing.T) {
	r, late := lateStartRig(t, cpuStep(1, 1000))
	s := cpuStep(1, 3000)
	s.Serving = true
	r.m.AddJob(&workload.Job{ID: "b", Queue: testQueue, Steps: []workload.Step{s}}, workload.StateQueued, 1, workload.Progress{}, r.now, false)
	b := r.m.jobs["b"].find(workload.TaskName{Job: "b"})
	sound := r.m.attach(b, r.m.workers[late.Worker], 1, r.now)
	sound.state = runRunning
	sound.confirm(r.now)
	for _, p := range r.m.progress(r.m.jobs["b"]).Tasks {
		if p.Bound {
			t.Errorf("a task whose start was answered is stored as bound to %s", p.Worker)
		}
	}
	next := r.succeed(late)
	next.m.AddJob(&r.m.jobs["b"].Job, workload.StateRunning, 2, r.m.progress(r.m.jobs["b"]), next.now, true)
	next.report(late.Worker, workload.Report{Ended: []workload.EndedRun{{Sequence: 1, Task: b.name, Run: 1, Outcome: workload.OutcomeLeaseExpired}}})
	next.m.workers[late.Worker].addUsage(&workload.Step{Need: testCapacity}, 1)
	next.now += maxServingDelay
	next.reportIdle()
	if starts := next.planStarts(); len(starts) != 1 || starts[0].Task != b.name {
		t.Errorf("started %v, want the service elsewhere", starts)
	}
}

// Other work took the room on the worker of an unanswered start, so that a service that may start nowhere else
// waited until the start couldn't arrive any more.
func TestOtherWorkTakesRoomOfBoundTask(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(1, 3000))
	r.planStartsAnswered(NoAnswer)
	r.stopAndReport()
	r.addJob("b", cpuStep(1, 3000))
	r.now += noAnswerPause
	r.reportIdle()
	r.noStart("that takes the room before the unanswered start is stored")
	r.storeRecords()
	if starts := r.planStarts(); len(starts) != 1 || starts[0].Task.Job != "a" {
		t.Errorf("started %v, want the task that may start nowhere else", starts)
	}
}
