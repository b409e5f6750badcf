package queue

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// crashRun is one run of a workload in which the owner crashes.
type crashRun struct {
	points    map[int]bool // see crashPoint
	cells     bool         // the cells' owner restarts at the same times
	lossOneIn int          // one message in so many, and one reply, is lost; 0: none
	seed      uint64       // of the random losses
}

// run runs jobs with tasks that finish, fail and are evicted, refused and
// cancelled while the owner crashes. It checks what the cells received and the
// status that callers get, and returns the number of events.
func (c crashRun) run(t *testing.T) (events int) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.points.points = c.points
		r.points.crash = func() {
			r.crash()
			if c.cells {
				r.cells.restart()
			}
		}
		if c.lossOneIn > 0 {
			r.net.lose = loseOneIn(c.lossOneIn, c.seed)
		}
		r.cells.end = endFirstAttempts()
		r.cells.refuse = refuseFirstAttempt()
		r.cells.runtime = func(task delegation.Task) time.Duration {
			if task.Priority == longPriority {
				return time.Hour
			}
			return time.Second
		}
		r.start()
		r.submitUntilAccepted("j1", 3)
		r.submitUntilAccepted("j2", 2)
		r.submitUntilAccepted("long", 4, withPriority(longPriority))
		time.Sleep(500 * time.Millisecond)
		r.cancelUntilAccepted("long")
		for id, tasks := range map[fleet.JobID]int{"j1": 3, "j2": 2} {
			if s := r.mustEnd(id); s.Finished != tasks || s.State != job.StateFinished {
				t.Errorf("job %s: %+v", id, s)
			}
		}
		if s := r.mustEnd("long"); s.State != job.StateCancelled || s.Cancelled != 4 {
			t.Errorf("cancelled job: %+v", s)
		}
		events = r.points.seen()
		time.Sleep(2 * restartAfter) // for a crash at the last event
		r.stop()
		time.Sleep(5 * lateDelay)
		r.cells.check(t)
		if got, want := fmt.Sprint(r.cells.finishedTasks()), "[j1/0 j1/1 j1/2 j2/0 j2/1]"; got != want {
			t.Errorf("finished %s, want %s", got, want)
		}
	})
	return events
}

// longPriority marks the job whose tasks run until they are cancelled.
const longPriority = 51

func withPriority(p int) func(*job.Spec) {
	return func(s *job.Spec) { s.Priority = &p }
}

// endFirstAttempts returns a function that lets the first attempts of some tasks
// fail or be evicted.
func endFirstAttempts() func(delegation.Task) delegation.Outcome {
	return func(task delegation.Task) delegation.Outcome {
		switch {
		case task.Attempt > 2:
			return delegation.Outcome{Kind: delegation.OutcomeFinished}
		case task.Task == "j1/0" && task.Checkpoint == "":
			return delegation.Outcome{Kind: delegation.OutcomeEvicted, Checkpoint: "c1", CheckpointProgress: 0.5}
		case task.Task == "j2/1" && task.Attempt == 1:
			return delegation.Outcome{Kind: delegation.OutcomeFailed, Error: "exit 1"}
		default:
			return delegation.Outcome{Kind: delegation.OutcomeFinished}
		}
	}
}

// refuseFirstAttempt returns a function that refuses the first attempt of one
// task.
func refuseFirstAttempt() func(shard.ID, delegation.Task) string {
	return func(_ shard.ID, task delegation.Task) string {
		if task.Task == "j1/2" && task.Attempt == 1 {
			return "no_room"
		}
		return ""
	}
}

// loseOneIn returns a function that loses one message in n and one reply in n at
// random.
func loseOneIn(n int, seed uint64) func(string) (bool, bool) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	return func(string) (before, after bool) {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n) == 0, random.IntN(n) == 0
	}
}

// submitUntilAccepted resubmits a job until it is accepted.
func (r *rig) submitUntilAccepted(id fleet.JobID, tasks int, change ...func(*job.Spec)) {
	r.t.Helper()
	for range 200 {
		if _, err := r.submit(id, tasks, change...); err == nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	r.t.Fatalf("job %s was not accepted", id)
}

// cancelUntilAccepted repeats the cancellation of a job until it is accepted.
func (r *rig) cancelUntilAccepted(id fleet.JobID) {
	r.t.Helper()
	for range 200 {
		_, err := r.client.Cancel(r.t.Context(), testTeam, id)
		if err == nil {
			return
		}
		var missing *job.NotFoundError
		if errors.As(err, &missing) {
			r.t.Fatalf("accepted job %s is unknown", id)
		}
		time.Sleep(300 * time.Millisecond)
	}
	r.t.Fatalf("job %s was not cancelled", id)
}

// TestCrashPoints crashes the owner before and after every journal write and
// every message, alone and together with the cells' owner. It guards against
// tasks that are lost, or run twice, after a crash between two steps.
func TestCrashPoints(t *testing.T) {
	events := crashRun{}.run(t)
	for n := 1; n <= events; n++ {
		for _, after := range []bool{false, true} {
			for _, cells := range []bool{false, true} {
				crashRun{points: map[int]bool{n: after}, cells: cells}.run(t)
				if t.Failed() {
					t.Fatalf("crash at event %d of %d, after it took effect: %v, cells too: %v", n, events, after, cells)
				}
			}
		}
	}
}

// TestCrashesWithLostMessages combines several crashes with lost messages and
// replies.
func TestCrashesWithLostMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		run := crashRun{
			points:    rapid.MapOfN(rapid.IntRange(1, 80), rapid.Bool(), 0, 6).Draw(rt, "points"),
			cells:     rapid.Bool().Draw(rt, "cells"),
			lossOneIn: rapid.SampledFrom([]int{0, 3, 5, 7}).Draw(rt, "lose"),
			seed:      rapid.Uint64().Draw(rt, "seed"),
		}
		run.run(t)
		if t.Failed() {
			rt.FailNow()
		}
	})
}
