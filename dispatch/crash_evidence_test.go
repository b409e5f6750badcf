package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// planOnly plans and returns starts without answering them.
func (r *rig) planOnly() []Order {
	r.now += 10 * time.Millisecond
	r.m.Plan(r.now, 0)
	var starts []Order
	for _, o := range r.m.TakeOrders() {
		if o.Kind == OrderStart {
			starts = append(starts, o)
		}
	}
	return starts
}

// A start that was sent to a worker that was already down was not executed: its restart
// is no crash under the task.
func TestUnexecutedStartsCountAsCrashes(t *testing.T) {
	r := newCrashRig(t, 6)
	r.addJob("sound", cpuStep(1, 1000))
	for range 6 {
		r.reportRunning()
		r.now += 2 * time.Second // past the pauses
		r.reportRunning()
		for _, s := range r.planOnly() {
			r.m.CallFailed(s.Worker, r.now-100*time.Millisecond) // before the start
			r.m.StartAnswered(s, NoAnswer, r.now)
			r.crash(s.Worker)
			r.m.StopAnswered(Order{Kind: OrderStop, Worker: s.Worker, Task: s.Task, Run: s.Run}, Accepted, r.now)
			r.report(s.Worker, workload.Report{StartedMS: r.incarnations[s.Worker]})
			r.now += time.Second
		}
	}
	if s := r.stateOf("sound"); s == workload.StateFailed {
		t.Errorf("the job is failed although none of its runs has ever been executed")
	}
}

// The same, when the run has lapsed before the restart.
func TestUnexecutedStartCountsAfterLapse(t *testing.T) {
	r := newCrashRig(t, 2)
	r.addJob("a", cpuStep(1, 1000))
	s := r.planOnly()[0]
	r.m.CallFailed(s.Worker, r.now-100*time.Millisecond) // before the start
	r.m.StartAnswered(s, NoAnswer, r.now)
	r.now += maxOrderDelay + time.Second
	r.m.Plan(r.now, 0)
	r.crash(s.Worker)
	if w := r.m.jobs["a"].find(s.Task).crashWeight(); w > 0 {
		t.Errorf("weight %d for a start that nobody has confirmed", w)
	}
}

// A worker that leaves as announced has not crashed.
func TestLeavingWorkerCountsAsCrash(t *testing.T) {
	r := newCrashRig(t, 6)
	r.addJob("sound", cpuStep(1, 1000))
	for i := range 5 {
		r.reportRunning()
		starts := r.planStarts()
		if len(starts) != 1 {
			t.Fatalf("round %d: %v %s", i, starts, r.stateOf("sound"))
		}
		id := starts[0].Worker
		r.now += time.Second
		r.reportRunning()
		r.m.SetWorker(workload.Worker{ID: id, StartedMS: 1, Draining: true, Service: testService, Address: "127.0.0.1:1", DataCentre: "dc-1", Capacity: fleet.Resources{MilliCores: 4000, MemoryMB: 8000}}, r.now)
		r.now += 5 * time.Second
		r.reportRunning()
		r.m.WorkerGone(id, r.now)
		r.m.CallFailed(id, r.now)
		r.now += 200 * time.Millisecond
		r.m.WorkerReplaced(id, r.now)
		delete(r.incarnations, id)
		r.now += time.Second
		if s := r.stateOf("sound"); s == workload.StateFailed {
			t.Fatalf("the job is failed after %d workers have left as announced; none crashed", i+1)
		}
	}
}

// A task of a service may crash its workers before they answer, or without resetting
// connections, so that the crash does not look early.
func TestDeadlyServiceIsStartedWithoutEnd(t *testing.T) {
	for name, answered := range map[string]bool{"no answer": false, "answered, failure seen after a hung renewal": true} {
		t.Run(name, func(t *testing.T) {
			r := newCrashRig(t, 12)
			step := cpuStep(1, 1000)
			step.Serving = true
			r.addJob("service", step)
			r.now += maxServingDelay
			crashes := 0
			for range 30 {
				r.now += 2 * time.Second
				r.reportRunning()
				r.reportRunning()
				for _, s := range r.planOnly() {
					if answered {
						r.m.StartAnswered(s, Accepted, r.now)
						r.now += 1300 * time.Millisecond
						r.m.CallFailed(s.Worker, r.now)
					} else {
						r.m.StartAnswered(s, NoAnswer, r.now)
						r.m.CallFailed(s.Worker, r.now)
					}
					crashes++
					r.crash(s.Worker)
					r.m.StopAnswered(Order{Kind: OrderStop, Worker: s.Worker, Task: s.Task, Run: s.Run}, Accepted, r.now)
					r.report(s.Worker, workload.Report{StartedMS: r.incarnations[s.Worker]})
				}
			}
			if crashes > 5 {
				t.Errorf("%d workers crashed under one service, want 5 at most; the job is %s", crashes, r.stateOf("service"))
			}
		})
	}
}

// Long tasks are hit by many outages that are not their doing.
func TestOutagesCountAsCrashes(t *testing.T) {
	r := newCrashRig(t, 12)
	r.addJob("sound", cpuStep(1, 1000))
	for round := range 8 {
		r.reportRunning()
		starts := r.planStarts()
		if len(starts) != 1 {
			t.Fatalf("round %d: started %v, job %s; want the task", round, starts, r.stateOf("sound"))
		}
		r.now += 2 * time.Second
		r.reportRunning()
		down := []fleet.WorkerID{starts[0].Worker}
		for id := range r.incarnations {
			if id != starts[0].Worker && len(down) < 5 {
				down = append(down, id)
			}
		}
		for _, id := range down {
			r.m.CallFailed(id, r.now)
		}
		for _, id := range down {
			r.crash(id)
		}
	}
}

// The worker of a run may crash and be back under its ID while the owner changes.
func TestCrashAroundOwnerChangeIsMissed(t *testing.T) {
	tests := map[string]struct {
		startedMS int64
		report    workload.Report
		want      bool
	}{
		"crashed":                 {2, workload.Report{}, true},
		"did not restart":         {1, workload.Report{}, false},
		"runs":                    {2, workload.Report{Running: []workload.ActiveRun{{Task: workload.TaskName{Job: "a"}, Run: 1}}}, false},
		"ended":                   {2, workload.Report{Ended: []workload.EndedRun{{Sequence: 1, Task: workload.TaskName{Job: "a"}, Run: 1, Outcome: workload.OutcomeStopped}}}, false},
		"ended in an earlier run": {2, workload.Report{Ended: []workload.EndedRun{{Sequence: 1, Task: workload.TaskName{Job: "a"}, Run: 0, Outcome: workload.OutcomeStopped}}}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			first := newCrashRig(t, 1)
			first.m.WorkerWritesDone(first.m.TakeWorkerWrites(31, first.now), 5)
			first.crash("w0")
			first.report("w0", workload.Report{StartedMS: 2})
			records := first.m.TakeWorkerWrites(31, first.now)
			if len(records) != 1 || records[0].StartedMS != 2 {
				t.Fatalf("records %+v after the restart, want one of the new incarnation", records)
			}

			next := newRig(t)
			worker := workload.Worker{ID: "w0", StartedMS: 1, Service: testService, Address: "127.0.0.1:1", Capacity: fleet.Resources{MilliCores: 4000, MemoryMB: 8000}}
			next.m.AddJob(&workload.Job{ID: "a", Queue: testQueue, Steps: []workload.Step{cpuStep(1, 1000)}}, workload.StateRunning, 2,
				workload.Progress{Tasks: []workload.TaskProgress{{Run: 1, Worker: "w0"}}}, next.now, true)
			next.m.RestoreWorker(WorkerRecord{Worker: worker}, 5, next.now)
			worker.StartedMS = test.startedMS
			next.m.SetWorker(worker, next.now)
			test.report.StartedMS = test.startedMS
			next.report("w0", test.report)
			if got := next.m.jobs["a"].occurrence(0).steps[0].record(0).crashWeight() > 0; got != test.want {
				t.Errorf("crash recorded: %v, want %v", got, test.want)
			}
		})
	}
}

// A crash that is not stored dies with the owner. A suspect must not be started on the
// next worker before that.
func TestSuspectStartsBeforeItsCrashIsStored(t *testing.T) {
	r := newRig(t, "w1", "w2")
	r.addJob("a", cpuStep(1, 1000))
	first := r.planStarts()[0]
	r.store()
	r.m.WorkerReplaced(first.Worker, r.now)
	r.noStart("before the crash is stored")
	r.store()
	starts := r.planStarts()
	if len(starts) != 1 || starts[0].Worker == first.Worker {
		t.Fatalf("started %v once the crash was stored, want the task on the other worker", starts)
	}
	if writes := r.m.TakeWrites(1000, r.now); len(writes) != 1 {
		t.Errorf("%d writes due at once, want the placement of the suspect", len(writes))
	}
}

// A call that hangs fails long after a crash, and the run may have ended before it: two
// such crashes do not show that the task is at fault.
func TestTwoUnclearCrashesEndJob(t *testing.T) {
	r := newCrashRig(t, 6)
	r.addJob("a", cpuStep(1, 1000))
	for crashes := range 3 {
		if state := r.stateOf("a"); state == workload.StateFailed {
			t.Fatalf("the job is failed after %d unclear crashes", crashes)
		}
		r.reportRunning()
		starts := r.planStarts()
		if len(starts) != 1 {
			t.Fatalf("started %v, want the task", starts)
		}
		r.now += maxFailureDelay
		r.m.CallFailed(starts[0].Worker, r.now)
		r.crash(starts[0].Worker)
	}
	if state := r.stateOf("a"); state != workload.StateFailed {
		t.Errorf("the job is %s after three unclear crashes, want failed", state)
	}
}
