package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// inheritedWait is how long inherited tasks may wait from the start of the first owner
	// that can't reach a worker, whatever the number of owners since.
	inheritedWait = 4250 * time.Millisecond // leaseBound(testLimits.LeaseMax)
	// startDelay is how long an owner may take to start a task that need not wait: two
	// rounds of renewals and a plan.
	startDelay = 2 * time.Second
	// minOwnership is long enough for an owner to store what it knows of a worker.
	minOwnership = time.Second
)

// newCalmSimulation returns a simulation without random faults, with a job that was just
// submitted.
func newCalmSimulation(t *rapid.T) *simulation {
	w := newSimulation(t)
	w.calm = true
	w.advanceUntil(w.now + 2*time.Second)
	w.submitJob()
	return w
}

// drawDuration draws a duration in whole milliseconds.
func (w *simulation) drawDuration(shortest, longest time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(shortest.Milliseconds(), longest.Milliseconds()).Draw(w.T, label)) * time.Millisecond
}

// leaveForGood crashes a worker that does not come back.
func (w *simulation) leaveForGood(x *modelWorker) {
	w.trace("%s leaves for good", x.id)
	w.crash(x)
}

// advanceUntil lets the owner and the workers act until a time, and commits after each step.
func (w *simulation) advanceUntil(end time.Duration) {
	for w.now < end {
		w.advance()
		w.commitWrites()
	}
}

// hasRoom reports whether a worker that is up has room for a task.
func (w *simulation) hasRoom(n workload.TaskName) bool {
	for _, x := range w.workers {
		used := w.jobs[n.Job].job.Steps[n.Step].Need
		for o := range x.runs {
			used = used.Add(w.jobs[o.Job].job.Steps[o.Step].Need)
		}
		if x.up && used.Fits(modelCapacity) {
			return true
		}
	}
	return false
}

// checkWaiting fails the test if a task of a first step does not run although it has room.
func (w *simulation) checkWaiting() {
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		for i := range w.jobs[id].job.Steps[0].Count {
			n := workload.TaskName{Job: id, Index: i}
			running := slices.ContainsFunc(slices.Collect(maps.Values(w.workers)), func(x *modelWorker) bool {
				_, ok := x.runs[n]
				return ok && x.up
			})
			if !running && w.hasRoom(n) {
				w.Fatalf("LOST: %s does not run at %v in term %d, with room for it", n, w.now, w.term)
			}
		}
	}
}

// TestTasksWaitAnewForEachOwner checks that tasks that last run again in time after one
// worker has left for good and owners have changed in quick succession.
func TestTasksWaitAnewForEachOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCalmSimulation(t)
		w.advanceUntil(w.now + w.drawDuration(time.Millisecond, 3*time.Second, "before the loss"))
		left := w.anyWorker()
		w.leaveForGood(left)
		entryLapses := w.now + w.drawDuration(time.Millisecond, 3*time.Second, "entry")
		w.advanceUntil(w.now + w.drawDuration(0, time.Second, "owner notices"))
		firstUnable := w.now
		for range rapid.IntRange(1, 4).Draw(t, "owners") {
			w.takeOver()
			end := w.now + w.drawDuration(minOwnership, inheritedWait, "ownership")
			w.advanceUntil(min(end, entryLapses))
			if w.now >= entryLapses {
				w.lapse(left)
			}
			w.advanceUntil(end)
		}
		w.takeOver()
		due := max(w.now, firstUnable+inheritedWait) + startDelay
		w.advanceUntil(min(due, entryLapses))
		w.lapse(left)
		w.advanceUntil(due)
		w.checkWaiting()
	})
}

// handOver shuts the owner down: it stores what its successor has to know, as far as the store
// answers, and is replaced. None of its commits is executed after that.
func (w *simulation) handOver() {
	w.trace("owner of term %d shuts down", w.term)
	w.m.BeginHandover()
	for range 3 {
		w.commitWrites()
	}
	w.lateCommits = nil
	w.takeOver()
}

// TestTaskRunsTwiceAfterHandover checks the Machine against the rules while owners are shut
// down: what the last one has stored of leases must hold for the next.
func TestTaskRunsTwiceAfterHandover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		actions := w.actions(t)
		actions["owner shut down"] = func(*rapid.T) { w.handOver() }
		actions["worker cut and owner shut down"] = func(*rapid.T) {
			x := w.anyWorker()
			x.partitioned = true
			for range rapid.IntRange(0, 3).Draw(t, "steps") {
				w.advance()
			}
			w.handOver()
			w.advance()
			x.partitioned = rapid.Bool().Draw(t, "stays cut")
		}
		t.Repeat(actions)
	})
}

// TestTaskWaitsLongerWithTenOwners checks that the tasks of a lost worker run again once its
// lease has ended, while ten owners follow one another in 20 to 50 s. The wait may not depend
// on when they do.
func TestTaskWaitsLongerWithTenOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCalmSimulation(t)
		w.advanceUntil(w.now + 2*time.Second)
		const owners = 10
		longest := w.drawDuration(startDelay, 5*time.Second, "longest ownership")
		lost := w.now + w.drawDuration(0, 3*longest, "loss")
		lapses := lost + w.drawDuration(0, 4*time.Second, "entry")
		var left *modelWorker
		for range owners {
			w.handOver()
			for end := w.now + w.drawDuration(startDelay, longest, "ownership"); w.now < end; {
				if left == nil && w.now >= lost {
					left = w.anyWorker()
					w.leaveForGood(left)
				}
				if left != nil && w.now >= lapses {
					w.lapse(left)
				}
				w.advance()
				w.commitWrites()
			}
			if w.now >= lost+inheritedWait+startDelay {
				w.checkWaiting()
			}
		}
	})
}
