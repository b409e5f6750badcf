package queue

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

func endOf(s string) delegation.OutcomeKind { return delegation.OutcomeKind(s) }

// withRig runs a test on a running queue shard.
func withRig(t *testing.T, test func(*testing.T, *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.start()
		test(t, r)
		r.cells.check(t)
		r.stop()
		time.Sleep(time.Minute)
	})
}

func (r *rig) require(s job.Status, err error) job.Status {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
	return s
}

func (r *rig) get(id fleet.JobID) job.Status {
	r.t.Helper()
	return r.require(r.client.Get(r.t.Context(), testTeam, id))
}

func TestJobRunsToItsEnd(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		if s := r.require(r.submit("j1", 5)); s.State != job.StateQueued || s.Queued != 5 {
			t.Fatalf("status %+v", s)
		}
		if s := r.mustEnd("j1"); s.Finished != 5 || s.State != job.StateFinished || s.Ended.IsZero() {
			t.Fatalf("status %+v", s)
		}
		if n := len(r.cells.finishedTasks()); n != 5 {
			t.Fatalf("%d tasks ran, want 5", n)
		}
	})
}

func TestResubmission(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		first := r.require(r.submit("j1", 2))
		again := r.require(r.submit("j1", 2))
		if again.Submitted != first.Submitted {
			t.Fatalf("submitted at %v and %v", first.Submitted, again.Submitted)
		}
		changes := map[string]func(*job.Spec){
			"tasks":     func(s *job.Spec) { s.Tasks = 3 },
			"resources": func(s *job.Spec) { s.Resources.MilliCores++ },
			"command":   func(s *job.Spec) { s.Command = "other" },
			"class":     func(s *job.Spec) { s.Class = "other" },
			"priority":  withPriority(50),
			"places":    func(s *job.Spec) { s.DataCentres = []fleet.DataCentre{"ruse"} },
		}
		for name, change := range changes {
			_, err := r.submit("j1", 2, change)
			var conflict *job.ConflictError
			if !errors.As(err, &conflict) {
				t.Errorf("other %s: error %v, want a conflict", name, err)
			}
		}
		r.mustEnd("j1")
		if s := r.require(r.submit("j1", 2)); s.State != job.StateFinished {
			t.Fatalf("status %+v", s)
		}
	})
}

// TestUrgentStart checks that an urgent job reaches a cell without waiting for the
// next periodic release, while other jobs are queued and each store operation
// takes 5 ms.
func TestUrgentStart(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.store.SetFaults(standin.StoreFaults{Delay: 5 * time.Millisecond})
		for i := range 30 {
			r.require(r.submit(fleet.JobID(fmt.Sprintf("batch%d", i)), 1))
		}
		r.cells.update(func(c *fakeCells) {
			c.runtime = func(delegation.Task) time.Duration { return time.Hour }
		})
		for i := range 4 { // at different times within releaseInterval
			time.Sleep(3*time.Second + releaseInterval/4)
			began := time.Now()
			id := fleet.JobID(fmt.Sprintf("urgent%d", i))
			r.require(r.submit(id, 1, withPriority(95)))
			for !r.cells.has(TaskID(id, 0)) {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(began); took > releaseInterval/5 {
				t.Fatalf("reached the cell after %v, want at most %v", took, releaseInterval/5)
			}
		}
	})
}

func (c *fakeCells) has(id fleet.TaskID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.running[id]
	return ok
}

func TestWaitReasons(t *testing.T) {
	allOut := func(env *environment) {
		for name, dc := range env.dcs {
			dc.State = settings.DataCentreOutOfService
			env.dcs[name] = dc
		}
	}
	tests := map[string]struct {
		before, after func(*environment)
		reason        string
	}{
		"data centres out": {allOut, func(env *environment) {
			env.dcs["ruse"] = settings.DataCentre{Region: "bg", State: settings.DataCentreInService, Cells: 1}
		}, waitDataCentresOut},
		"settings not confirmed": {func(env *environment) { env.stale = true }, func(env *environment) { env.stale = false }, waitSettings},
		"no free capacity":       {func(env *environment) { env.cells = nil }, func(env *environment) { env.cells = newEnvironment().cells }, waitCapacity},
		"no quota": {func(env *environment) {
			env.teams[testTeam] = settings.Team{Organisation: testOrg, Shards: 1}
		}, func(env *environment) { env.teams = newEnvironment().teams }, waitOverQuota},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				r.env.update(tt.before)
				r.require(r.submit("j1", 1))
				time.Sleep(time.Minute)
				if s := r.get("j1"); s.State != job.StateQueued || s.Reason != tt.reason {
					t.Fatalf("status %+v, want the reason %q", s, tt.reason)
				}
				r.env.update(tt.after)
				r.mustEnd("j1")
			})
		})
	}
}

func TestFailingJobReportsItsError(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.cells.end = func(delegation.Task) delegation.Outcome {
			return delegation.Outcome{Kind: delegation.OutcomeFailed, Error: "exit 7"}
		}
		r.require(r.submit("j1", 2))
		s := r.mustEnd("j1")
		if s.State != job.StateFailed || s.Failed != 2 || s.LastError != "exit 7" || s.Reason != "exit 7" {
			t.Fatalf("status %+v", s)
		}
		if n := r.cells.attemptsOf("j1/0"); n != 3 {
			t.Fatalf("%d attempts, want 3", n)
		}
	})
}

func (c *fakeCells) attemptsOf(id fleet.TaskID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attemptCounts[id]
}

// TestEvictedTaskResumes checks that the next attempt gets the checkpoint of an
// evicted one, also when another owner delegates it.
func TestEvictedTaskResumes(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.cells.end = func(task delegation.Task) delegation.Outcome {
			if task.Attempt == 1 {
				return delegation.Outcome{Kind: delegation.OutcomeEvicted, Checkpoint: "c7", CheckpointProgress: 0.7}
			}
			if task.Checkpoint != "c7" || task.CheckpointProgress != 0.7 {
				t.Errorf("attempt %d resumes from checkpoint %q at progress %v", task.Attempt, task.Checkpoint, task.CheckpointProgress)
			}
			return delegation.Outcome{Kind: delegation.OutcomeFinished}
		}
		r.require(r.submit("j1", 1))
		time.Sleep(900 * time.Millisecond)
		r.env.update(func(env *environment) { env.stale = true })
		time.Sleep(5 * time.Second)
		r.stop()
		r.start()
		r.env.update(func(env *environment) { env.stale = false })
		if s := r.mustEnd("j1"); s.Evictions != 1 || s.Finished != 1 {
			t.Fatalf("status %+v", s)
		}
	})
}

// TestCancellationWave cancels a job of 10,000 tasks, then many small jobs
// concurrently, and checks that all of this takes at most 10 store writes.
func TestCancellationWave(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.cells.runtime = func(delegation.Task) time.Duration { return time.Hour }
		r.require(r.submit("large", job.MaxTasks))
		time.Sleep(time.Second)
		const small = 200
		for i := range small {
			r.require(r.submit(fleet.JobID(fmt.Sprintf("s%d", i)), 1))
		}
		_, before := r.store.Calls()
		if s := r.require(r.client.Cancel(t.Context(), testTeam, "large")); s.Cancelled < 9000 {
			t.Fatalf("status %+v", s)
		}
		results := make(chan error, small)
		for i := range small {
			go func() {
				_, err := r.client.Cancel(t.Context(), testTeam, fleet.JobID(fmt.Sprintf("s%d", i)))
				results <- err
			}()
		}
		for range small {
			if err := <-results; err != nil {
				t.Error(err)
			}
		}
		if _, after := r.store.Calls(); after-before > 10 {
			t.Fatalf("%d writes, want at most 10", after-before)
		}
		if s := r.mustEnd("large"); s.State != job.StateCancelled || s.Cancelled != job.MaxTasks {
			t.Fatalf("status %+v", s)
		}
	})
}

func TestStoreOutage(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.require(r.submit("before", 1))
		r.mustEnd("before")
		r.store.SetFaults(standin.StoreFaults{Down: true})
		_, err := r.submit("during", 1)
		var unknown *job.UnknownOutcomeError
		if !errors.As(err, &unknown) {
			t.Fatalf("error %v, want *job.UnknownOutcomeError", err)
		}
		began := time.Now()
		if s := r.get("before"); s.State != job.StateFinished || time.Since(began) > time.Second {
			t.Fatalf("after %v: status %+v", time.Since(began), s)
		}
		if s, err := r.client.Get(t.Context(), testTeam, "during"); err == nil {
			t.Fatalf("status of a job that is not durable: %+v", s)
		}
		_, err = r.submit("later", 1)
		var unavailable *job.UnavailableError
		if !errors.As(err, &unavailable) {
			t.Fatalf("error %v, want *job.UnavailableError", err)
		}
		if r.cells.has("during/0") {
			t.Fatal("a task was delegated before its job was durable")
		}
		r.store.SetFaults(standin.StoreFaults{})
		r.require(r.submit("during", 1))
		r.mustEnd("during")
		_, err = r.client.Get(t.Context(), testTeam, "later")
		var missing *job.NotFoundError
		if !errors.As(err, &missing) {
			t.Fatalf("error %v, want *job.NotFoundError for the rejected job", err)
		}
	})
}

func TestListingPages(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		for i := range 7 {
			r.require(r.submit(fleet.JobID(fmt.Sprintf("j%d", i)), 1))
		}
		var ids []fleet.JobID
		q := job.ListQuery{Team: testTeam, Limit: 3}
		for pages := 1; ; pages++ {
			page, err := r.client.List(t.Context(), q)
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range page.Jobs {
				ids = append(ids, s.Spec.ID)
			}
			if page.Next == "" {
				if pages != 3 {
					t.Fatalf("%d pages, want 3", pages)
				}
				break
			}
			q.After = page.Next
		}
		if got := fmt.Sprint(ids); got != "[j0 j1 j2 j3 j4 j5 j6]" {
			t.Fatalf("listed %s", got)
		}
	})
}

func TestEndedJobsExpire(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.require(r.submit("j1", 1))
		r.mustEnd("j1")
		time.Sleep(testRetainFor - 5*time.Minute)
		r.get("j1")
		time.Sleep(10 * time.Minute)
		_, err := r.client.Get(t.Context(), testTeam, "j1")
		var missing *job.NotFoundError
		if !errors.As(err, &missing) {
			t.Fatalf("error %v, want *job.NotFoundError for the expired job", err)
		}
	})
}

func TestRunningIsReported(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.cells.runtime = func(delegation.Task) time.Duration { return time.Minute }
		r.require(r.submit("j1", 2))
		time.Sleep(time.Second)
		req := delegation.Started{Queue: testShard}
		req.Tasks = append(req.Tasks, attemptRef("j1", 0, 1), attemptRef("j1", 0, 1), attemptRef("j1", 1, 9), attemptRef("j9", 0, 1))
		if err := r.net.Call(t.Context(), testHost, delegation.MethodStarted, req, &delegation.StartedReply{}); err != nil {
			t.Fatal(err)
		}
		if s := r.get("j1"); s.State != job.StateRunning || s.Running != 1 || s.Delegated != 1 {
			t.Fatalf("status %+v", s)
		}
		r.mustEnd("j1")
	})
}

// callFunc is a peer.Caller that calls a function.
type callFunc func() error

func (f callFunc) Call(context.Context, fleet.HostID, string, any, any) error { return f() }

func TestClientErrors(t *testing.T) {
	notOwner := &peer.RemoteError{Kind: peer.KindNotOwner}
	tests := map[string]struct {
		errs  []error // results of the calls
		want  error
		calls int
	}{
		"no owner, twice":    {[]error{notOwner, notOwner}, &job.UnavailableError{}, 2},
		"no owner, then one": {[]error{notOwner, &peer.UnknownOutcomeError{Cause: &lostError{}}}, &job.UnknownOutcomeError{}, 2},
		"unreachable":        {[]error{&peer.UnreachableError{Cause: &lostError{}}, notOwner}, &job.UnavailableError{}, 2},
		"no answer":          {[]error{&peer.UnknownOutcomeError{Cause: &lostError{}}}, &job.UnknownOutcomeError{}, 1},
		"failure":            {[]error{&peer.RemoteError{Kind: peer.KindInternal}}, &job.UnknownOutcomeError{}, 1},
		"unavailable":        {[]error{&peer.RemoteError{Kind: peer.KindUnavailable}}, &job.UnavailableError{}, 1},
		"empty reply":        {[]error{nil}, &job.UnknownOutcomeError{}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				client := NewClient(ClientDeps{
					Peers:    callFunc(func() error { calls++; return tt.errs[calls-1] }),
					Shards:   newEnvironment(),
					Settings: newEnvironment(),
				})
				_, err := client.Submit(t.Context(), spec("j", 1))
				if got := fmt.Sprintf("%T", cause(err)); got != fmt.Sprintf("%T", tt.want) {
					t.Fatalf("error %v, want a %T", err, tt.want)
				}
				if calls != tt.calls {
					t.Fatalf("%d calls, want %d", calls, tt.calls)
				}
			})
		})
	}
}

func TestJobsSpreadOverShards(t *testing.T) {
	const shards, jobs = 4, 1000
	found := make(map[shard.ID]int)
	for i := range jobs {
		found[HomeShard(testTeam, fleet.JobID(fmt.Sprintf("j%d", i)), shards)]++
	}
	for n := range shards {
		if got := found[shard.NewID(shard.KindQueue, string(testTeam), n)]; got < jobs/shards/2 {
			t.Fatalf("shard %d is the home of %d jobs of %d", n, got, jobs)
		}
	}
}

// TestCommitsAreShared submits jobs of one task at a constant rate and checks the
// number of store writes per task from submission to its end.
func TestCommitsAreShared(t *testing.T) {
	tests := map[string]struct {
		perSecond  int
		maxPerTask float64
	}{
		"one shard of many at the target size": {perSecond: 6, maxPerTask: 0.75},
		"a large team":                         {perSecond: 40, maxPerTask: 0.12},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				r.store.SetFaults(standin.StoreFaults{Delay: 3 * time.Millisecond})
				r.env.update(func(env *environment) {
					env.teams[testTeam] = settings.Team{Organisation: testOrg, Quota: unlimited, Shards: 1}
					env.cells["cell/sofia/0"] = member.CellLoad{Capacity: unlimited, Free: unlimited, LargestFit: unlimited}
				})
				const seconds = 60
				_, before := r.store.Calls()
				for i := range tt.perSecond * seconds {
					go func() { _, _ = r.submit(fleet.JobID(fmt.Sprintf("j%05d", i)), 1) }()
					time.Sleep(time.Second / time.Duration(tt.perSecond))
				}
				time.Sleep(10 * time.Second)
				_, after := r.store.Calls()
				tasks := len(r.cells.finishedTasks())
				if tasks < tt.perSecond*seconds {
					t.Fatalf("%d tasks finished of %d", tasks, tt.perSecond*seconds)
				}
				perTask := float64(after-before) / float64(tasks)
				t.Logf("%.3f writes per task, %.2f per second", perTask, float64(after-before)/seconds)
				if perTask > tt.maxPerTask {
					t.Fatalf("%.3f writes per task, want at most %.2f", perTask, tt.maxPerTask)
				}
			})
		})
	}
}

// TestReturnReleasesNextTask checks that a queued task goes to a cell that is full
// by every summary once the cell returns a task with a load that shows free
// capacity, in the commit of the return.
func TestReturnReleasesNextTask(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.cells.runtime = func(delegation.Task) time.Duration { return time.Hour }
		r.require(r.submit("j1", 1))
		time.Sleep(time.Minute)
		cell := r.cells.cellOf(TaskID("j1", 0))
		r.env.update(func(env *environment) {
			env.cells = map[string]member.CellLoad{string(cell): {Epoch: 1, Sequence: 1, Capacity: big}}
		})
		r.require(r.submit("j2", 1))
		time.Sleep(time.Minute)
		if s := r.get("j2"); s.Reason != waitCapacity {
			t.Fatalf("status %+v, want the reason %q", s, waitCapacity)
		}
		_, before := r.store.Calls()
		req := delegation.Return{
			Queue: testShard, Cell: cell,
			Outcomes: []delegation.Outcome{{AttemptRef: attemptRef("j1", 0, 1), Kind: delegation.OutcomeFinished}},
			Load:     member.CellLoad{Epoch: 1, Sequence: 2, Capacity: big, Free: small, LargestFit: small},
		}
		if err := r.net.Call(t.Context(), testHost, delegation.MethodReturn, req, &delegation.ReturnReply{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(releaseInterval / 5)
		if !r.cells.has(TaskID("j2", 0)) {
			t.Error("the next task has not reached the cell")
		}
		if _, after := r.store.Calls(); after-before != 1 {
			t.Errorf("%d writes, want 1 for the return and the next task", after-before)
		}
	})
}

func (c *fakeCells) cellOf(id fleet.TaskID) shard.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts[c.running[id]].cell
}
