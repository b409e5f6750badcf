package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// A gang that is slower across racks goes to the one rack that holds it whole,
// though a worker elsewhere is idler.
func TestGangInOneRack(t *testing.T) {
	r := newRig(t)
	for id, rack := range map[fleet.WorkerID]fleet.Rack{"w1": "r-1", "w2": "r-2", "w3": "r-2"} {
		capacity := fleet.Resources{MilliCores: 4000, MemoryMB: 8000}
		if rack == "r-1" {
			capacity.MilliCores = 5500
		}
		r.worker(id, capacity)
		r.m.workers[id].Rack = rack
	}
	gang := cpuStep(2, 3000)
	gang.Gang, gang.SameRack = true, true
	r.job("a", gang)
	starts := r.starts()
	if len(starts) != 2 || starts[0].Worker == "w1" || starts[1].Worker == "w1" {
		t.Fatalf("starts %v, want both in rack r-2", starts)
	}
}

func TestGangStartsWhole(t *testing.T) {
	r := newRig(t, "w1")
	gang := cpuStep(3, 2000)
	gang.Gang = true
	r.job("a", gang)
	if starts := r.starts(); len(starts) != 0 {
		t.Fatalf("started %v of a gang that does not fit", starts)
	}
	r.worker("w2", fleet.Resources{MilliCores: 4000, MemoryMB: 8000})
	starts := r.starts()
	if len(starts) != 3 || starts[0].Run != starts[2].Run {
		t.Fatalf("started %v, want three of one run", starts)
	}
}

// Small tasks end by turns, so that there is never room for a whole gang at
// once: room is kept free for it.
func TestGangIsPassed(t *testing.T) {
	r := newRig(t, "w1")
	r.job("first", cpuStep(1, 1900))
	r.job("second", cpuStep(1, 1900))
	working := r.starts()
	if len(working) != 2 {
		t.Fatalf("started %d tasks, want 2", len(working))
	}
	gang := cpuStep(2, 2000)
	gang.Gang = true
	const id = "0000000000000002" // is drawn, so that others stand behind it
	r.job(id, gang)
	for round := range 20 {
		r.job(fleet.JobID(fmt.Sprintf("small-%02d", round)), cpuStep(1, 1900))
		r.now += 300 * time.Millisecond
		var rep workload.Report
		if len(working) > 0 {
			rep.Ended = append(rep.Ended, r.ended(working[0], workload.OutcomeDone))
			working = working[1:]
		}
		for _, o := range working {
			rep.Running = append(rep.Running, running(o))
		}
		r.report("w1", rep)
		for _, o := range r.starts() {
			if o.Task.Job == id {
				return
			}
			working = append(working, o)
		}
	}
	t.Error("the gang was not started in 6 s while 20 smaller jobs were")
}

// That a whole gang does not fit says nothing of a single task of the same need.
func TestGangThatDoesNotFitShutsOutOthers(t *testing.T) {
	r := newRig(t, "w1")
	gang := cpuStep(3, 2000)
	gang.Gang = true
	r.job("0000000000000002", gang) // is drawn, so that the other stands behind it
	r.job("single", cpuStep(1, 2000))
	if starts := r.starts(); len(starts) != 1 || starts[0].Task.Job != "single" {
		t.Errorf("started %v, want the single task", starts)
	}
}
