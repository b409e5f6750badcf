package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// An owner that lost the store goes on while its workers answer, that is until the next
// owner calls them. A next owner that loads its state for long calls them late; it must not
// take the leases that were extended meanwhile for over.
func TestFormerOwnerRenewsWhileNextOwnerLoads(t *testing.T) {
	limits := Limits{Lease: 5 * time.Second, LeaseMax: 6600 * time.Millisecond, LongestLease: 7 * time.Second}
	const load = 4700 * time.Millisecond
	formerLeaseEnd := load + limits.Lease // w1 was renewed last when the first call reached w2
	takeOver := func(r *rig, term int, now time.Duration) {
		r.m, r.now = New(limits, term, now), now
		r.m.SetConfig(&workload.Config{
			Queues:   []workload.Queue{{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2, Objective: time.Second}},
			Services: map[fleet.Service]workload.Service{testService: {Name: testService}},
		})
	}
	restore := func(r *rig, w1 WorkerMarks) {
		for _, id := range []fleet.WorkerID{"w1", "w2", "w3"} {
			info := workload.Worker{ID: id, StartedMS: 1, Service: testService, Capacity: testCapacity}
			marks := WorkerMarks{}
			if id == "w1" {
				marks = w1
			}
			r.m.SetWorker(info, r.now)
			r.m.RestoreWorker(WorkerRecord{Worker: info, WorkerMarks: marks}, 5, r.now)
		}
	}
	inherit := func(r *rig) {
		r.m.CallsStarted(r.now)
		progress := workload.Progress{Tasks: []workload.TaskProgress{{Run: 1, Worker: "w1", Confirmed: true}}}
		r.m.AddJob(&workload.Job{ID: "a", Queue: testQueue, Steps: []workload.Step{cpuStep(1, 1000)}}, workload.StateRunning, 2, progress, r.now, true)
	}
	callOthers := func(r *rig) {
		r.m.CallFailed("w1", r.now)
		r.report("w2", workload.Report{})
		r.report("w3", workload.Report{})
	}
	expectNoStart := func(t *testing.T, r *rig) {
		for ; r.now < formerLeaseEnd; r.now += 100 * time.Millisecond {
			callOthers(r)
			if starts := r.planStarts(); len(starts) > 0 {
				t.Fatalf("started %v at %v, the run on w1 may last until %v", starts[0].Task, r.now, formerLeaseEnd)
			}
		}
	}
	t.Run("by the owner that loaded", func(t *testing.T) {
		r := newRig(t)
		takeOver(r, 2, 0)
		restore(r, WorkerMarks{})
		r.now = load
		inherit(r)
		expectNoStart(t, r)
	})
	t.Run("by its successor", func(t *testing.T) {
		r := newRig(t)
		takeOver(r, 2, 0)
		restore(r, WorkerMarks{})
		r.now = load
		inherit(r)
		callOthers(r)
		var marks WorkerMarks
		for _, x := range r.m.TakeWorkerWrites(31, r.now) {
			if x.ID == "w1" {
				marks = x.WorkerMarks
			}
		}
		takeOver(r, 3, load+500*time.Millisecond)
		r.m.RecordTerms(map[int]time.Duration{2: 0}, r.now)
		restore(r, marks)
		inherit(r)
		expectNoStart(t, r)
	})
}
