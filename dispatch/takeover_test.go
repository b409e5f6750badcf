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
	r.m.RecordTerms(maps.Clone(r.claims), r.now)
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

// handOver stores what the owner leaves when it shuts down, and replaces it.
func (r *succession) handOver() {
	r.m.BeginHandover()
	r.store()
	r.store() // what depends on the writes before
	r.takeOver()
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

// A worker that had reported no run of a task was lost before the task was tried again. The
// stored progress went on naming it, after its record was deleted.
func TestAbsentRunIsNotStored(t *testing.T) {
	tests := map[string]struct {
		confirmed, lost bool
		after           time.Duration // of the report
	}{
		"confirmed run":                           {confirmed: true},
		"start that can't arrive any more":        {after: maxOrderDelay},
		"start on a worker that is gone for good": {lost: true, after: entryReturnTime},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			lost := workload.Worker{ID: "w1", StartedMS: 1, Service: testService, Capacity: testCapacity}
			r.m.SetWorker(lost, r.now)
			r.m.RestoreWorker(WorkerRecord{Worker: lost}, 5, r.now)
			progress := workload.Progress{Tasks: []workload.TaskProgress{{Index: 0, Run: 1, Worker: "w1", Confirmed: tt.confirmed}, {Index: 1, Run: 1, Worker: "w1", Confirmed: tt.confirmed}}}
			r.m.AddJob(&workload.Job{ID: "j", Queue: testQueue, Steps: []workload.Step{cpuStep(2, 9000)}}, workload.StateRunning, 2, progress, r.now, true)
			r.report("w1", workload.Report{})
			r.planStarts() // neither fits
			r.store()
			if tt.lost {
				r.m.WorkerGone("w1", r.now)
			}
			r.now += tt.after
			r.planStarts()
			r.now += placementBatchDelay
			for _, p := range r.m.progress(r.m.jobs["j"]).Tasks {
				if p.Worker != "" {
					t.Errorf("task %d is on %s, which has reported that it has no run there", p.Index, p.Worker)
				}
			}
			if j := r.m.jobs["j"]; !tt.confirmed && len(r.m.TakeWrites(31, r.now)) != 1 {
				t.Errorf("the progress is not stored again, version %d of %d", j.saved, j.version)
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

// An owner that shut down did not store the changes that it was still batching, so that the
// next one waited for what had ended.
func TestHandoverDropsBatchedChanges(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("j", cpuStep(1, 3000))
	r.planStarts()
	r.store()
	r.m.jobs["j"].markDirty(r.now)
	if writes := r.m.TakeWrites(31, r.now); len(writes) != 0 {
		t.Fatalf("writes %v, want them batched", writes)
	}
	r.m.BeginHandover()
	if writes := r.m.TakeWrites(31, r.now); len(writes) != 1 {
		t.Errorf("writes %v at the handover, want the batched one", writes)
	}
}

// Each owner counted the leases of its predecessors from its own claim, also of a worker that the
// last one had long known to be lost, so that owners that were shut down in quick succession
// started a task late or, below the longest lease, never.
func TestLostWorkersLeaseIsWaitedForByEachOwner(t *testing.T) {
	const owners, took = 10, 40 * time.Second
	tests := map[string]struct {
		lost, entryLapses time.Duration // after the first of the owners has claimed
	}{
		"lost soon after a claim":       {200 * time.Millisecond, 3800 * time.Millisecond},
		"lost in the middle of a term":  {2 * time.Second, 5500 * time.Millisecond},
		"lost just before a handover":   {3900 * time.Millisecond, 7500 * time.Millisecond},
		"lost with its entry":           {2 * time.Second, 2 * time.Second},
		"lost while owners have passed": {13 * time.Second, 16 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newSuccession(t)
			began := r.now
			lost, lapses, handover := began+test.lost, began+test.entryLapses, began+took/owners
			for r.now < began+took {
				switch {
				case r.now >= lapses:
					delete(r.listed, "w2")
					r.m.WorkerGone("w2", r.now)
					lapses = began + took
				case r.now >= lost && !r.gone["w2"]:
					r.gone["w2"], r.running["w2"] = true, nil
				case r.now >= handover:
					r.handOver()
					handover += took / owners
				}
				r.pass(100 * time.Millisecond)
				limit := leaseBound(testLimits.Lease)
				if r.now-lost >= limit && !r.m.allAdopted(r.now) {
					t.Fatalf("inherited jobs are held back %v after the loss of a worker, in term %d", r.now-lost, r.term)
				}
				if limit += startDelay; r.now-lost >= limit && !r.serves() {
					t.Fatalf("the task does not run %v after its worker was lost, in term %d", limit, r.term)
				}
			}
			if r.term < owners {
				t.Errorf("%d owners, want %d", r.term, owners)
			}
		})
	}
}

// A start without an answer may be executed long after it was sent. Each owner counted that
// time from its own claim.
func TestUnansweredStartIsWaitedForByEachOwner(t *testing.T) {
	r := newSuccession(t)
	r.gone["w2"], r.running["w2"] = true, nil // it can't be called, and keeps its entry
	r.progress = workload.Progress{Tasks: []workload.TaskProgress{{Run: 1, Worker: "w2"}}}
	sent := r.now
	for r.now-sent < maxOrderDelay {
		r.takeOver() // the former owner was killed
		r.pass(4 * time.Second)
		if r.now-sent < maxOrderDelay && r.serves() {
			t.Fatalf("the task is started again %v after its start", r.now-sent)
		}
	}
	r.takeOver()
	r.pass(startDelay)
	if !r.serves() {
		t.Errorf("the task does not run %v after a start without an answer, in term %d", r.now-sent, r.term)
	}
}
