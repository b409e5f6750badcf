package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// unresponsiveWrites returns the workers that are to be recorded as unresponsive now,
// and confirms the other writes.
func (r *rig) unresponsiveWrites() []WorkerWrite {
	var unresponsive []WorkerWrite
	for _, x := range r.m.TakeWorkerWrites(31, r.now) {
		if x.Closed {
			unresponsive = append(unresponsive, x)
		} else {
			r.m.WorkerWritesDone([]WorkerWrite{x}, 1)
		}
	}
	return unresponsive
}

// An owner is killed seconds after a worker was lost. If the worker is recorded as
// unresponsive, the next owner starts the inherited tasks at once, except the one
// that may still run on the lost worker.
func TestTakeoverDoesNotWaitForUnresponsiveWorker(t *testing.T) {
	for name, unresponsive := range map[string]bool{"recorded as quiet": true, "not recorded": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			for _, id := range []fleet.WorkerID{"w1", "w2"} {
				r.m.RestoreWorker(WorkerRecord{
					Worker:      workload.Worker{ID: id, Service: testService, Capacity: fleet.Resources{MilliCores: 4000, MemoryMB: 8000}},
					WorkerMarks: WorkerMarks{Closed: unresponsive && id == "w2"},
				}, 5, r.now)
			}
			r.m.workers["w1"].listed = true
			steps := []workload.Step{cpuStep(2, 500)}
			r.m.AddJob(&workload.Job{ID: "j", Queue: testQueue, Steps: steps}, workload.StateRunning, 1,
				workload.Progress{Tasks: []workload.TaskProgress{{Index: 0, Run: 1, Worker: "w2"}}}, r.now, true)
			r.report("w1", workload.Report{})
			starts := r.planStarts()
			if !unresponsive && len(starts) != 0 {
				t.Fatalf("started %v before w2 has reported", starts)
			}
			if unresponsive && (len(starts) != 1 || starts[0].Task.Index != 1) {
				t.Fatalf("started %v, want only the task that never ran on w2", starts)
			}
			r.now = r.m.formerLeasesEnd
			rep := workload.Report{}
			for _, o := range starts {
				rep.Running = append(rep.Running, runningOf(o))
			}
			r.report("w1", rep)
			if starts = append(starts, r.planStarts()...); len(starts) != 2 {
				t.Errorf("started %v after the leases of the former owner had ended, want both", starts)
			}
		})
	}
}

func TestRecordOfUnresponsiveWorker(t *testing.T) {
	r := newRig(t, "w1", "w2")
	if got := r.unresponsiveWrites(); len(got) != 0 {
		t.Fatalf("%v recorded as unresponsive at the start", got)
	}
	r.addJob("j", cpuStep(2, 3000))
	if starts := r.planStarts(); len(starts) != 2 {
		t.Fatalf("started %v, want a task on each worker", starts)
	}
	r.now += unresponsiveAfter
	if got := r.unresponsiveWrites(); len(got) != 0 {
		t.Fatalf("%v recorded as unresponsive before their placements are stored", got)
	}
	r.m.WritesDone(r.m.TakeWrites(31, r.now), 7)
	r.report("w1", workload.Report{})
	writes := r.unresponsiveWrites()
	if len(writes) != 1 || writes[0].ID != "w2" || writes[0].Revision != 1 {
		t.Fatalf("recorded as unresponsive %v, want w2 if its key is at revision 1", writes)
	}

	t.Log("response lost: the flag may be stored, so nothing starts on w2 although it is back")
	r.m.WorkerWritesFailed(writes, nil)
	r.report("w2", workload.Report{})
	if r.m.mayStart(r.m.workers["w2"], r.now) {
		t.Error("work may start on a worker that may be recorded as unresponsive")
	}
	back := r.m.TakeWorkerWrites(31, r.now)
	if len(back) != 1 || back[0].Closed || back[0].Revision != 1 {
		t.Fatalf("writes %v, want the flag cleared if the key is at revision 1", back)
	}

	t.Log("the flag was stored: the conflict carries the revision, and the next write clears it")
	r.m.WorkerWritesFailed(back, map[fleet.WorkerID]StoredRecord{"w2": {WorkerRecord: writes[0].WorkerRecord, Revision: 9}})
	back = r.m.TakeWorkerWrites(31, r.now)
	if len(back) != 1 || back[0].Revision != 9 {
		t.Fatalf("writes %v, want one at revision 9", back)
	}
	r.m.WorkerWritesDone(back, 10)
	r.report("w2", workload.Report{})
	if !r.m.mayStart(r.m.workers["w2"], r.now) {
		t.Error("no work may start on a worker that is back")
	}
}

// A worker without an entry is recorded as unresponsive sooner, and its record is
// deleted once nothing can run on it.
func TestUnlistedWorkerIsRecordedSooner(t *testing.T) {
	r := newRig(t, "w1")
	r.unresponsiveWrites()
	r.m.WorkerGone("w1", r.now)
	r.now += unlistedUnresponsiveAfter
	writes := r.unresponsiveWrites()
	if len(writes) != 1 {
		t.Fatalf("recorded as unresponsive: %v", writes)
	}
	r.m.WorkerWritesDone(writes, 2)
	r.now += 10 * time.Second
	r.m.Plan(r.now, 0)
	writes = r.m.TakeWorkerWrites(31, r.now)
	if len(writes) != 1 || !writes[0].Delete || writes[0].Revision != 2 {
		t.Fatalf("writes %v, want the record deleted if it is at revision 2", writes)
	}
	r.m.WorkerWritesFailed(writes, map[fleet.WorkerID]StoredRecord{"w1": {Revision: 3}})
	if writes = r.m.TakeWorkerWrites(31, r.now); len(writes) != 0 {
		t.Errorf("writes %v of a worker that has a newer record", writes)
	}
}

// A worker that has left stays out of use after a change of owner, although its record
// is still stored: only its entry on the platform brings it back.
func TestRestoredWorkerWithoutEntryGetsNoWork(t *testing.T) {
	r := newRig(t)
	gone := workload.Worker{ID: "w1", StartedMS: 1, Service: testService, Capacity: fleet.Resources{MilliCores: 4000, MemoryMB: 8000}}
	r.m.RestoreWorker(WorkerRecord{Worker: gone}, 3, r.now)
	r.addJob("a", cpuStep(1, 1000))
	r.report("w1", workload.Report{})
	r.report("w1", workload.Report{})
	if starts := r.planStarts(); len(starts) != 0 {
		t.Fatalf("started %v on a worker without an entry", starts)
	}
	r.m.SetWorker(gone, r.now)
	r.report("w1", workload.Report{})
	if starts := r.planStarts(); len(starts) != 1 {
		t.Fatalf("started %d tasks once the entry was back, want 1", len(starts))
	}
}

// A record that could not be written was not written again, so that the next owner waited
// for a worker that had long been lost.
func TestRecordOfLostWorkerIsLost(t *testing.T) {
	tests := map[string]map[fleet.WorkerID]StoredRecord{
		"without an answer": nil,
		"by a conflict":     {"w1": {Revision: 4}},
	}
	for name, current := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "w1")
			r.unresponsiveWrites()
			r.now += unresponsiveAfter
			writes := r.unresponsiveWrites()
			if len(writes) != 1 {
				t.Fatalf("recorded as closed: %v", writes)
			}
			r.m.WorkerWritesFailed(writes, current)
			if writes = r.unresponsiveWrites(); len(writes) != 1 {
				t.Errorf("writes %v after the first one failed, want it again", writes)
			}
		})
	}
}

// A worker that an owner had started work on was recorded as one that the owner had not
// reached, once it had restarted and could not be called, so that the next owner took its
// leases for over.
func TestRestartedWorkerIsRecordedAsUnreached(t *testing.T) {
	r := newRig(t, "w1", "w2")
	r.addJob("j", cpuStep(1, 3000))
	worker := r.planStarts()[0].Worker
	restarted := r.m.workers[worker].Worker
	restarted.StartedMS = 2
	r.m.SetWorker(restarted, r.now)
	r.m.CallFailed(worker, r.now)
	r.now += unreachedAfter
	if marks := r.m.marks(r.m.workers[worker], r.now); marks.UnreachedSince != 0 {
		t.Errorf("marks %+v while the runs of this owner may exist, want none", marks)
	}
	r.m.BeginHandover()
	leases, orders := r.m.runsEnd(r.m.workers[worker])
	if marks, want := r.m.marks(r.m.workers[worker], r.now), r.m.leaseEndAt(leases, orders); marks.UnreachedSince != r.m.term+1 || marks.LeaseEnd != want {
		t.Errorf("marks %+v at the end of term %d, want the end of the runs %+v", marks, r.m.term, want)
	}
}

// A new owner took the stored end of a lease for a time on its own clock, or for one after its
// own claim.
func TestLeaseEndIsCountedFromClaim(t *testing.T) {
	const term, now = 9, 100 * time.Second
	longest := leaseBound(testLimits.LeaseMax)
	seen := map[int]time.Duration{6: 90 * time.Second, 7: 97 * time.Second}
	tests := map[string]struct {
		marks               WorkerMarks
		leaseEnd, ordersEnd time.Duration
	}{
		"recorded at a handover":              {WorkerMarks{UnreachedSince: 7, LeaseEnd: LeaseEnd{6, 11000, 12000}}, 101 * time.Second, 102 * time.Second},
		"recorded at a handover, has passed":  {WorkerMarks{UnreachedSince: 7, LeaseEnd: LeaseEnd{6, 8000, 8000}}, 98 * time.Second, 98 * time.Second},
		"unanswered start at a handover":      {WorkerMarks{UnreachedSince: 7, LeaseEnd: LeaseEnd{6, 11000, 20000}}, 101 * time.Second, 110 * time.Second},
		"not reached":                         {WorkerMarks{UnreachedSince: 7, LeaseEnd: LeaseEnd{7, 5000, 13000}}, 102 * time.Second, 110 * time.Second},
		"not reached, state loaded for long":  {WorkerMarks{UnreachedSince: 7, LeaseEnd: LeaseEnd{7, 9000, 17000}}, now + longest, now + maxOrderDelay},
		"not reached, of an earlier version":  {WorkerMarks{UnreachedSince: 7}, 97*time.Second + maxCallDelay + longest, 97*time.Second + maxCallDelay + maxOrderDelay},
		"claim not seen, but a later one":     {WorkerMarks{UnreachedSince: 6, LeaseEnd: LeaseEnd{5, 11000, 11000}}, 101 * time.Second, 101 * time.Second},
		"claim not seen, and none since then": {WorkerMarks{UnreachedSince: 9, LeaseEnd: LeaseEnd{8, 3000, 3000}}, 103 * time.Second, 103 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := New(testLimits, term, now)
			m.RecordTerms(seen, now)
			m.RestoreWorker(WorkerRecord{Worker: workload.Worker{ID: "w1"}, WorkerMarks: test.marks}, 5, now)
			if w := m.workers["w1"]; w.formerLeaseEnd != test.leaseEnd || w.formerOrdersEnd != test.ordersEnd {
				t.Errorf("leases end at %v and starts at %v, want %v and %v", w.formerLeaseEnd, w.formerOrdersEnd, test.leaseEnd, test.ordersEnd)
			}
		})
	}
}

// One start on a lost worker that had no answer, or was accepted and not listed, held back all
// tasks that had run there, as the record had one time for both.
func TestUnlistedStartHoldsBackOtherTasks(t *testing.T) {
	tests := map[string]struct {
		outcome Outcome
		after   time.Duration // the start, until when its run may exist
	}{
		"no answer": {NoAnswer, maxOrderDelay},
		"accepted":  {Accepted, leaseBound(testLimits.LongestLease)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "w1")
			r.addJob("ran", cpuStep(1, 1000))
			first := r.planStarts()[0]
			r.report("w1", workload.Report{Running: []workload.ActiveRun{runningOf(first)}})
			r.addJob("unlisted", cpuStep(1, 1000))
			r.m.Plan(r.now, 0)
			for _, o := range r.m.TakeOrders() {
				r.m.StartAnswered(o, test.outcome, r.now)
			}
			end := r.now + test.after
			r.m.CallFailed("w1", r.now)
			r.m.BeginHandover()
			marks := func() LeaseEnd { return r.m.marks(r.m.workers["w1"], r.now).LeaseEnd }
			if want := r.m.leaseEndAt(end, end); marks() != want {
				t.Errorf("%+v before the placement is stored, want %+v", marks(), want)
			}
			r.store()
			if want := r.m.leaseEndAt(r.m.workers["w1"].leaseEnd, end); marks() != want {
				t.Errorf("%+v once the placement is stored, want %+v", marks(), want)
			}
			r.m.TakeWorkerWrites(31, r.now)
			for _, x := range r.m.TakeWrites(31, r.now) {
				if x.Job == "unlisted" && x.Progress.Tasks[0].Confirmed {
					t.Errorf("stored %+v, want the unlisted run as unconfirmed", x.Progress.Tasks)
				}
			}
			if task := r.m.jobs["unlisted"].occurrences[0].steps[0].record(0); task.isConfirmed() {
				t.Error("the unlisted run counts as confirmed")
			}
		})
	}
}
