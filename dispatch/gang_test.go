package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// A gang that is slower across racks is placed in the one rack that can hold all of
// it, although a worker in another rack is idler.
func TestGangInOneRack(t *testing.T) {
	r := newRig(t)
	for id, rack := range map[fleet.WorkerID]fleet.Rack{"w1": "r-1", "w2": "r-2", "w3": "r-2"} {
		capacity := fleet.Resources{MilliCores: 4000, MemoryMB: 8000}
		if rack == "r-1" {
			capacity.MilliCores = 5500
		}
		r.addWorker(id, capacity)
		r.m.workers[id].Rack = rack
	}
	gang := cpuStep(2, 3000)
	gang.Gang, gang.SameRack = true, true
	r.addJob("a", gang)
	starts := r.planStarts()
	if len(starts) != 2 || starts[0].Worker == "w1" || starts[1].Worker == "w1" {
		t.Fatalf("starts %v, want both in rack r-2", starts)
	}
}

func TestGangStartsWhole(t *testing.T) {
	r := newRig(t, "w1")
	gang := cpuStep(3, 2000)
	gang.Gang = true
	r.addJob("a", gang)
	if starts := r.planStarts(); len(starts) != 0 {
		t.Fatalf("started %v of a gang that does not fit", starts)
	}
	r.addWorker("w2", fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
	starts := r.planStarts()
	if len(starts) != 3 || starts[0].Run != starts[2].Run {
		t.Fatalf("started %v, want three tasks with the same run number", starts)
	}
}

// While small tasks end one at a time and others take their place, there is never
// enough capacity for a whole gang: capacity must be reserved for it.
func TestGangIsOvertaken(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("first", cpuStep(1, 1900))
	r.addJob("second", cpuStep(1, 1900))
	working := r.planStarts()
	if len(working) != 2 {
		t.Fatalf("started %d tasks, want 2", len(working))
	}
	gang := cpuStep(2, 2000)
	gang.Gang = true
	const id = "0000000000000002" // wins the lottery, so that the other jobs rank behind it
	r.addJob(id, gang)
	for round := range 20 {
		r.addJob(fleet.JobID(fmt.Sprintf("small-%02d", round)), cpuStep(1, 1900))
		r.now += 300 * time.Millisecond
		var rep workload.Report
		if len(working) > 0 {
			rep.Ended = append(rep.Ended, r.endOf(working[0], workload.OutcomeDone))
			working = working[1:]
		}
		for _, o := range working {
			rep.Running = append(rep.Running, runningOf(o))
		}
		r.report("w1", rep)
		for _, o := range r.planStarts() {
			if o.Task.Job == id {
				return
			}
			working = append(working, o)
		}
	}
	t.Error("the gang was not started in 6 s while 20 smaller jobs were")
}

// A gang that does not fit must not prevent the placement of a single task with the
// same resource request.
func TestGangThatDoesNotFitBlocksOthers(t *testing.T) {
	r := newRig(t, "w1")
	gang := cpuStep(3, 2000)
	gang.Gang = true
	r.addJob("0000000000000002", gang) // wins the lottery, so that the other job ranks behind it
	r.addJob("single", cpuStep(1, 2000))
	if starts := r.planStarts(); len(starts) != 1 || starts[0].Task.Job != "single" {
		t.Errorf("started %v, want the single task", starts)
	}
}
