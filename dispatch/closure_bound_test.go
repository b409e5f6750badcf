package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// failingFleet drives a rig whose runs end with each report, in failure if fails says so.
type failingFleet struct {
	*rig
	ids     []fleet.WorkerID
	running map[fleet.WorkerID][]Order
	fails   func(Order) bool
}

func newFailingFleet(t *testing.T, workers int, fails func(Order) bool) *failingFleet {
	f := &failingFleet{running: make(map[fleet.WorkerID][]Order), fails: fails}
	for i := range workers {
		f.ids = append(f.ids, fleet.WorkerID(fmt.Sprintf("w%d", i)))
	}
	f.rig = newRig(t, f.ids...)
	return f
}

// advance delivers the reports of all workers and returns the starts of the plan that follows.
func (f *failingFleet) advance(by time.Duration) []Order {
	f.now += by
	for _, id := range f.ids {
		rep := workload.Report{StartedMS: 1}
		for _, o := range f.running[id] {
			how := workload.OutcomeDone
			if f.fails(o) {
				how = workload.OutcomeFailed
			}
			rep.Ended = append(rep.Ended, f.endOf(o, how))
		}
		f.running[id] = nil
		f.m.RenewalSent(id, f.now)
		f.m.WorkerReported(id, rep, f.now-time.Millisecond, f.now)
	}
	starts := f.planStarts()
	for _, o := range starts {
		f.running[o.Worker] = append(f.running[o.Worker], o)
	}
	return starts
}

// closed counts the workers that are closed.
func (f *failingFleet) closed() int {
	n := 0
	for _, w := range f.m.workerList {
		if f.now < w.closedUntil {
			n++
		}
	}
	return n
}

// Two jobs whose tasks fail through their own fault closed all workers at once, and sound jobs
// found none.
func TestFailingJobsCloseAllWorkers(t *testing.T) {
	for _, workers := range []int{2, 3, 8, 48} {
		t.Run(fmt.Sprintf("%d workers", workers), func(t *testing.T) {
			f := newFailingFleet(t, workers, func(o Order) bool { return o.Task.Job == "a" || o.Task.Job == "b" })
			f.addJob("a", cpuStep(2*workers, 1000))
			f.addJob("b", cpuStep(2*workers, 1000))
			accepted := make(map[fleet.JobID]time.Duration)
			closedMost := 0
			for i := range 60 {
				if i%5 == 0 {
					id := fleet.JobID(fmt.Sprintf("sound %d", i))
					accepted[id] = f.now
					f.addJob(id, cpuStep(1, 1000))
				}
				for _, o := range f.advance(200 * time.Millisecond) {
					if at, ok := accepted[o.Task.Job]; ok && f.now-at >= time.Second {
						t.Errorf("sound job %s waited %v", o.Task.Job, f.now-at)
					}
					delete(accepted, o.Task.Job)
				}
				closedMost = max(closedMost, f.closed())
			}
			if len(accepted) > 0 {
				t.Errorf("%d sound jobs were not started", len(accepted))
			}
			if closedMost > (workers+1)/2 {
				t.Errorf("%d of %d workers were closed at once", closedMost, workers)
			}
		})
	}
}

// Of a fleet, a third of which fails whatever is started, failing workers went on getting work.
func TestFailingThirdOfWorkersStaysOpen(t *testing.T) {
	for _, workers := range []int{3, 9, 48} {
		t.Run(fmt.Sprintf("%d workers", workers), func(t *testing.T) {
			failing := make(map[fleet.WorkerID]bool)
			f := newFailingFleet(t, workers, func(o Order) bool { return failing[o.Worker] })
			for i := range workers / 3 {
				failing[f.ids[3*i]] = true
			}
			starts, closedFor := 0, 0
			for i := range 50 {
				for j := range workers {
					f.addJob(fleet.JobID(fmt.Sprintf("j%d-%d", i, j)), cpuStep(1, 1000))
				}
				for _, o := range f.advance(200 * time.Millisecond) {
					if failing[o.Worker] {
						starts++
					}
				}
				for id := range failing {
					if f.now < f.m.workers[id].closedUntil {
						closedFor++
					}
				}
			}
			if least := 40 * len(failing); closedFor < least {
				t.Errorf("failing workers were closed in %d of %d rounds, and got %d starts", closedFor, 50*len(failing), starts)
			}
			for _, w := range f.m.workerList {
				if !failing[w.ID] && w.closedUntil > 0 {
					t.Errorf("sound worker %s was closed", w.ID)
				}
			}
		})
	}
}

// A worker that failures of one moment did not close, as too many were closed, was charged with
// each of them.
func TestKeptOpenWorkerIsChargedWithEachFailureOfOneMoment(t *testing.T) {
	f := newFailingFleet(t, 3, func(Order) bool { return true })
	for i := range 24 {
		f.addJob(fleet.JobID(fmt.Sprintf("j%d", i)), servingStep("img", 1, 500))
	}
	f.advance(maxServingDelay)
	f.advance(200 * time.Millisecond)
	if f.closed() != 1 {
		t.Fatalf("%d of 3 workers are closed, want 1", f.closed())
	}
	for _, w := range f.m.workerList {
		if w.failureStreak > failuresToClose {
			t.Errorf("worker %s is charged with %d failures", w.ID, w.failureStreak)
		}
	}
}
