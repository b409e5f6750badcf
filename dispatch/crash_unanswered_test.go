package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// crashUnanswered plans, and restarts the worker of each start before it answers.
func (r *crashRig) crashUnanswered() []Order {
	r.storeAt(farFuture)
	r.storeRecords()
	r.now += 2 * time.Second // past the pauses
	r.reportRunning()
	r.reportRunning()
	starts := r.planOnly()
	for _, s := range starts {
		r.m.StartAnswered(s, NoAnswer, r.now)
		r.crash(s.Worker)
		r.m.StopAnswered(Order{Kind: OrderStop, Worker: s.Worker, Task: s.Task, Run: s.Run}, Accepted, r.now)
		r.report(s.Worker, workload.Report{StartedMS: r.incarnations[s.Worker]})
	}
	return starts
}

// nextOwner returns a rig of the next owner, which loads what is stored of a job of one
// step. A worker has restarted meanwhile.
func (r *crashRig) nextOwner(id fleet.JobID, step workload.Step, restarted fleet.WorkerID) *crashRig {
	next := newCrashRig(r.T, 0)
	next.now = r.now
	next.m.AddJob(&workload.Job{ID: id, Queue: testQueue, Steps: []workload.Step{step}}, workload.StateRunning, 2, r.m.progress(r.m.jobs[id]), r.now, true)
	for _, w := range r.m.workerList {
		info := w.Worker
		next.m.RestoreWorker(WorkerRecord{info, w.record.stored}, 5, r.now)
		if w.ID == restarted {
			info.StartedMS++
		}
		next.incarnations[w.ID] = info.StartedMS
		next.m.SetWorker(info, r.now)
	}
	next.reportRunning()
	next.reportRunning()
	return next
}

// A start without an answer on a worker that restarts may not have been executed: two of
// them beside one crash do not show that the task is at fault.
func TestJobIsGivenUpForOneCrashAndUnansweredStarts(t *testing.T) {
	r := newCrashRig(t, 6)
	r.addJob("sound", cpuStep(1, 1000))
	r.crash(r.planStarts()[0].Worker)
	for range 2 {
		if starts := r.crashUnanswered(); len(starts) != 1 {
			t.Fatalf("started %v, want the task", starts)
		}
	}
	if state := r.stateOf("sound"); state != workload.StateRunning {
		t.Errorf("the job is %s after one crash and two starts without an answer, want running", state)
	}
}

// A task may crash each worker before it answers.
func TestTaskCrashesWorkersBeforeTheyAnswer(t *testing.T) {
	for _, serving := range []bool{false, true} {
		r := newCrashRig(t, 12)
		step := cpuStep(1, 1000)
		step.Serving = serving
		r.addJob("deadly", step)
		r.now += maxServingDelay
		crashes := 0
		for range 12 {
			crashes += len(r.crashUnanswered())
		}
		if crashes > 4 || r.stateOf("deadly") != workload.StateFailed {
			t.Errorf("serving %v: %d workers crashed under one task and its job is %s, want 4 at most and failed", serving, crashes, r.stateOf("deadly"))
		}
	}
}

// The owner may change before each worker restarts. Runs that the former owner has seen
// count in full.
func TestNextOwnerTakesUnansweredStartForCrash(t *testing.T) {
	for outcome, want := range map[Outcome]workload.State{NoAnswer: workload.StateRunning, Accepted: workload.StateFailed} {
		t.Run(string(outcome), func(t *testing.T) {
			r := newCrashRig(t, 6)
			step := cpuStep(1, 1000)
			r.addJob("a", step)
			r.crash(r.planStarts()[0].Worker)
			for range 2 {
				r.store()
				r.storeRecords()
				r.now += 2 * time.Second
				r.reportRunning()
				starts := r.planOnly()
				if len(starts) != 1 {
					t.Fatalf("started %v, want the task", starts)
				}
				r.m.StartAnswered(starts[0], outcome, r.now)
				r.store()
				r = r.nextOwner("a", step, starts[0].Worker)
			}
			if state := r.m.jobs["a"].state; state != want {
				t.Errorf("the job is %s after one crash and two starts, %s, before changes of owner, want %s", state, outcome, want)
			}
		})
	}
}
