package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// quietWrites returns the workers that are to be recorded as quiet at now.
func (r *rig) quietWrites() []WorkerWrite {
	var quiet []WorkerWrite
	for _, x := range r.m.TakeWorkerWrites(31, r.now) {
		if x.Quiet {
			quiet = append(quiet, x)
		} else {
			r.m.WorkerWritesDone([]WorkerWrite{x}, 1)
		}
	}
	return quiet
}

// An owner is killed seconds after a worker was lost. The next one starts what
// it inherits at once, but for the task that may still run on the lost worker.
func TestTakeoverDoesNotWaitForAQuietWorker(t *testing.T) {
	for name, quiet := range map[string]bool{"recorded as quiet": true, "not recorded": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			for _, id := range []fleet.WorkerID{"w1", "w2"} {
				r.m.RestoreWorker(WorkerRecord{
					Worker: workload.Worker{ID: id, Service: testService, Capacity: fleet.Resources{MilliCores: 4000, MemoryMB: 8000}},
					Quiet:  quiet && id == "w2",
				}, 5, r.now)
			}
			r.m.workers["w1"].listed = true
			steps := []workload.Step{cpuStep(2, 500)}
			r.m.AddJob(&workload.Job{ID: "j", Queue: testQueue, Steps: steps}, workload.StateRunning, 1,
				workload.Progress{Tasks: []workload.TaskProgress{{Index: 0, Run: 1, Worker: "w2"}}}, r.now, true)
			r.report("w1", workload.Report{})
			starts := r.starts()
			if !quiet && len(starts) != 0 {
				t.Fatalf("started %v before w2 has reported", starts)
			}
			if quiet && (len(starts) != 1 || starts[0].Task.Index != 1) {
				t.Fatalf("started %v, want only the task that w2 never had", starts)
			}
			r.now = r.m.former
			rep := workload.Report{}
			for _, o := range starts {
				rep.Running = append(rep.Running, running(o))
			}
			r.report("w1", rep)
			if starts = append(starts, r.starts()...); len(starts) != 2 {
				t.Errorf("started %v after the leases of the former owner, want both", starts)
			}
		})
	}
}

func TestQuietRecord(t *testing.T) {
	r := newRig(t, "w1", "w2")
	if got := r.quietWrites(); len(got) != 0 {
		t.Fatalf("%v recorded as quiet at the start", got)
	}
	r.job("j", cpuStep(2, 3000))
	if starts := r.starts(); len(starts) != 2 {
		t.Fatalf("started %v, want a task on each worker", starts)
	}
	r.now += quietAfter
	if got := r.quietWrites(); len(got) != 0 {
		t.Fatalf("%v recorded as quiet before their placements are durable", got)
	}
	r.m.WritesDone(r.m.TakeWrites(31, r.now), 7)
	r.report("w1", workload.Report{})
	writes := r.quietWrites()
	if len(writes) != 1 || writes[0].ID != "w2" || writes[0].Revision != 1 {
		t.Fatalf("recorded as quiet %v, want w2 if its key is at revision 1", writes)
	}

	t.Log("the answer is lost: it may be stored, so nothing starts there though w2 is back")
	r.m.WorkerWritesFailed(writes, nil)
	r.report("w2", workload.Report{})
	if r.m.mayStart(r.m.workers["w2"], r.now) {
		t.Error("work may start on a worker that may be recorded as quiet")
	}
	back := r.m.TakeWorkerWrites(31, r.now)
	if len(back) != 1 || back[0].Quiet || back[0].Revision != 1 {
		t.Fatalf("writes %v, want the mark taken back if the key is at revision 1", back)
	}

	t.Log("it was stored: the conflict tells the revision, and the next write takes it back")
	r.m.WorkerWritesFailed(back, map[fleet.WorkerID]store.Revision{"w2": 9})
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

// A worker without an entry is recorded as quiet sooner, and forgotten once
// nothing can run on it.
func TestUnlistedWorkerIsRecordedSooner(t *testing.T) {
	r := newRig(t, "w1")
	r.quietWrites()
	r.m.WorkerGone("w1", r.now)
	r.now += quietUnlisted
	writes := r.quietWrites()
	if len(writes) != 1 {
		t.Fatalf("recorded as quiet: %v", writes)
	}
	r.m.WorkerWritesDone(writes, 2)
	r.now += 10 * time.Second
	r.m.Plan(r.now, 0)
	writes = r.m.TakeWorkerWrites(31, r.now)
	if len(writes) != 1 || !writes[0].Delete || writes[0].Revision != 2 {
		t.Fatalf("writes %v, want the record deleted if it is at revision 2", writes)
	}
	r.m.WorkerWritesFailed(writes, map[fleet.WorkerID]store.Revision{"w1": 3})
	if writes = r.m.TakeWorkerWrites(31, r.now); len(writes) != 0 {
		t.Errorf("writes %v of a worker that has a newer record", writes)
	}
}
