package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// succession is a rig whose owners replace one another. It holds what they store, and
// workers that run what they are told to.
type succession struct {
	*rig
	term     int
	listed   map[fleet.WorkerID]workload.Worker
	gone     map[fleet.WorkerID]bool // can't be reached
	running  map[fleet.WorkerID][]workload.ActiveRun
	job      workload.Job
	progress workload.Progress
	records  map[fleet.WorkerID]WorkerRecord
	revision store.Revision
	claims   map[int]time.Duration // by term
}

// newSuccession returns a succession whose first owner runs a serving task on w2.
func newSuccession(t *testing.T) *succession {
	r := &succession{
		rig: newRig(t), listed: make(map[fleet.WorkerID]workload.Worker), gone: make(map[fleet.WorkerID]bool), running: make(map[fleet.WorkerID][]workload.ActiveRun),
		job: workload.Job{ID: "j", Queue: testQueue, Steps: []workload.Step{servingStep("img", 1, 1000)}}, records: make(map[fleet.WorkerID]WorkerRecord), revision: 1, claims: make(map[int]time.Duration),
	}
	r.listed["w2"] = workload.Worker{ID: "w2", StartedMS: 1, Service: testService, Capacity: fleet.Resources{MilliCores: 4000, MemoryMB: 8000}}
	r.takeOver()
	r.pass(2 * time.Second)
	if !r.serves() {
		t.Fatal("the task does not run")
	}
	r.list("w1", false)
	r.pass(time.Second)
	return r
}

// list updates the entry of a worker.
func (r *succession) list(id fleet.WorkerID, draining bool) {
	r.listed[id] = workload.Worker{ID: id, StartedMS: 1, Service: testService, Draining: draining, Capacity: fleet.Resources{MilliCores: 4000, MemoryMB: 8000}}
	r.m.SetWorker(r.listed[id], r.now)
}

// leave ends a worker for good and removes its entry.
func (r *succession) leave(id fleet.WorkerID) {
	r.gone[id], r.running[id] = true, nil
	delete(r.listed, id)
	r.m.WorkerGone(id, r.now)
}

// takeOver replaces the owner by one that loads what is stored.
func (r *succession) takeOver() {
	r.term++
	r.m = New(testLimits, r.term, r.now)
	r.m.RecordTerms(maps.Clone(r.claims))
	r.claims[r.term] = r.now
	r.m.SetConfig(&workload.Config{
		Queues:   []workload.Queue{{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2, Objective: time.Second}},
		Services: map[fleet.Service]workload.Service{testService: {Name: testService}},
	})
	for _, id := range slices.Sorted(maps.Keys(r.listed)) {
		r.m.SetWorker(r.listed[id], r.now)
	}
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		r.m.RestoreWorker(r.records[id], r.revision, r.now)
	}
	r.m.CallsStarted(r.now)
	r.m.AddJob(&r.job, workload.StateRunning, r.revision, r.progress, r.now, true)
	r.m.ProgressStored(r.job.ID, r.revision)
}

// pass lets workers report, and the owner plan and store, for d.
func (r *succession) pass(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += 100 * time.Millisecond {
		for id := range r.m.Addresses() {
			if r.gone[id] {
				r.m.CallFailed(id, r.now)
			} else {
				r.report(id, workload.Report{Running: r.running[id]})
			}
		}
		for _, o := range r.planStarts() {
			r.running[o.Worker] = append(r.running[o.Worker], runningOf(o))
		}
		r.store()
	}
}

// store carries out the writes of the owner.
func (r *succession) store() {
	r.revision++
	workers := r.m.TakeWorkerWrites(31, r.now)
	for _, x := range workers {
		if x.Delete {
			delete(r.records, x.ID)
		} else {
			r.records[x.ID] = x.WorkerRecord
		}
	}
	r.m.WorkerWritesDone(workers, r.revision)
	writes := r.m.TakeWrites(31, r.now)
	for _, x := range writes {
		r.progress = x.Progress
	}
	r.m.WritesDone(writes, r.revision)
}

// serves reports whether the task runs on a worker that can be reached.
func (r *succession) serves() bool {
	for id, runs := range r.running {
		if len(runs) > 0 && !r.gone[id] {
			return true
		}
	}
	return false
}

// Each new owner waited anew for a worker that had left for good, so that a task that
// lasts was not started again while owners changed.
func TestLastingTaskIsLostOverSuccessiveTakeovers(t *testing.T) {
	tests := map[string]func(r *succession){
		"its worker was draining": func(r *succession) {
			r.list("w2", true)
			r.pass(500 * time.Millisecond)
			r.leave("w2")
			r.takeOver()
		},
		"its worker left soon after a takeover": func(r *succession) {
			r.takeOver()
			r.leave("w2")
			r.takeOver()
		},
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			r := newSuccession(t)
			lose(r)
			const limit = 9 * time.Second // 6 s to start it, and 3 s of waiting
			for lost := r.now; !r.serves(); r.takeOver() {
				if r.now-lost > limit {
					t.Fatalf("the task does not run %v after its worker left, in term %d", r.now-lost, r.term)
				}
				r.pass(4 * time.Second)
			}
		})
	}
}

// A new owner held back all inherited tasks for a worker that had drained before the
// takeover, although the former owner had long started nothing there.
func TestTakeoverWaitsForDrainedWorker(t *testing.T) {
	r := newSuccession(t)
	r.list("w2", true)
	r.pass(time.Second)
	r.leave("w2")
	r.progress = workload.Progress{} // the run was stopped there
	r.takeOver()
	r.pass(maxServingDelay + time.Second)
	if !r.serves() {
		t.Errorf("the task does not run %v after the takeover", r.now-r.m.startedAt)
	}
}

// Jobs that were accepted during a takeover took the room of inherited serving tasks that
// were held back meanwhile, and that then found none.
func TestNewJobsTakeRoomOfHeldBackServices(t *testing.T) {
	r := newSuccession(t)
	r.job.Steps[0].Need.MilliCores = 3000
	r.leave("w2")
	r.takeOver()
	r.pass(2 * time.Second)
	r.m.AddJob(&workload.Job{ID: "new", Queue: testQueue, Steps: []workload.Step{servingStep("img", 4, 1000)}}, workload.StateQueued, r.revision, workload.Progress{}, r.now, false)
	r.pass(testLimits.LeaseMax + maxServingDelay)
	for _, run := range r.running["w1"] {
		if run.Task.Job == "j" {
			return
		}
	}
	t.Errorf("w1 runs %v, want the inherited task among them", r.running["w1"])
}

// forgottenAfter is the time after which an owner has forgotten a lost worker.
const forgottenAfter = crashMemory + 5*time.Second

// An owner that saw a run end with its worker, while no other one had room, did not store
// that: each later owner waited anew for the former leases of a worker that nothing is
// recorded of.
func TestEndOfRunOnLostWorkerIsNotStored(t *testing.T) {
	tests := map[string]func(r *succession){
		"seen by the owner that started it": func(r *succession) { r.leave("w2") },
		"seen by the next owner": func(r *succession) {
			r.leave("w2")
			r.takeOver()
		},
		"seen by the owner after the next": func(r *succession) {
			r.leave("w2")
			r.takeOver()
			r.pass(2 * time.Second)
			r.takeOver()
		},
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			r := newSuccession(t)
			r.list("w1", true) // no room
			lose(r)
			r.pass(forgottenAfter)
			if _, ok := r.records["w2"]; ok {
				t.Fatal("the lost worker is still recorded")
			}
			r.list("w1", false)
			r.takeOver()
			r.pass(startDelay)
			if !r.serves() {
				t.Errorf("the task does not run %v after the takeover, with room for it", startDelay)
			}
		})
	}
}

// The record of a lost worker was deleted while the stored progress of a job still named the
// worker: an owner that took over in between waited for the longest former lease.
func TestRecordIsDeletedBeforeProgressThatNamesItsWorker(t *testing.T) {
	r := newSuccession(t)
	r.list("w1", true) // no room
	r.leave("w2")
	for end := r.now + forgottenAfter; r.now < end; r.now += 100 * time.Millisecond {
		r.m.Plan(r.now, 0)
		writes := r.m.TakeWorkerWrites(31, r.now)
		for _, x := range writes {
			if x.Delete {
				t.Fatalf("the record of %s is deleted, the stored progress is %+v", x.ID, r.progress.Tasks)
			}
		}
		r.m.WorkerWritesDone(writes, 50)
	}
	r.store()
	r.pass(time.Second)
	if _, ok := r.records["w2"]; ok {
		t.Error("the lost worker is still recorded once the progress is stored")
	}
}
