package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// starvationRig is a rig whose workers each have one serving task of image "s", on which
// the best-effort image "f" presses heavily and "g" does not.
type starvationRig struct {
	*rig
	running map[fleet.WorkerID][]Order
	stopped map[fleet.WorkerID][]workload.EndedRun // not reported yet
	tail    int64                                  // reported by the serving tasks, in ms; their target is 100 ms
	tailOf  func(fleet.WorkerID) int64             // replaces tail, if set
	others  int64                                  // reported by the serving tasks of other jobs than "service"
	usesCPU bool                                   // best-effort runs report the processor that their CPU share permits
	paced   []Order
}

func newStarvationRig(t *testing.T, workers int, serving int64) *starvationRig {
	t.Helper()
	r := &starvationRig{rig: newRig(t), running: make(map[fleet.WorkerID][]Order), stopped: make(map[fleet.WorkerID][]workload.EndedRun), tail: 40}
	for i := range workers {
		r.addWorker(fleet.WorkerID(fmt.Sprintf("w%02d", i)), fleet.Resources{MilliCores: 16_000, MemoryMB: 64_000})
	}
	service := servingStep("s", workers, serving)
	service.MaxPerWorker = 1
	r.addJob("service", service)
	r.step(maxServingDelay)
	r.step(time.Second)
	for id := range r.m.workers {
		if len(r.running[id]) != 1 {
			t.Fatalf("%d serving tasks on %s, want 1", len(r.running[id]), id)
		}
	}
	in := r.m.interference
	*in.entry(in.bestEffort.number("f"), in.serving.number("s")) = maxPressure
	*in.entry(in.bestEffort.number("g"), in.serving.number("s")) = minPressure
	return r
}

// step lets time pass, with a report of each worker and a plan, and returns the starts.
func (r *starvationRig) step(d time.Duration) []Order {
	r.now += d
	for _, w := range r.m.workerList {
		var rep workload.Report
		for _, o := range r.running[w.ID] {
			a := runningOf(o)
			if o.Task.Job == "service" {
				a.Gauge = r.tail
				if r.tailOf != nil {
					a.Gauge = r.tailOf(w.ID)
				}
			} else if r.usesCPU {
				a.Gauge = usedMilliCores(w.find(o.Task, o.Run))
			}
			if r.others > 0 && o.Task.Job == "service-b" {
				a.Gauge = r.others
			}
			a.PercentDone = int(r.now / (200 * time.Millisecond) % 100)
			rep.Running = append(rep.Running, a)
		}
		rep.StartedMS, rep.Ended = 1, r.stopped[w.ID]
		delete(r.stopped, w.ID)
		r.m.RenewalSent(w.ID, r.now)
		r.m.WorkerReported(w.ID, rep, r.now-time.Millisecond, r.now)
	}
	r.m.Plan(r.now, 0)
	var starts []Order
	orders := r.m.TakeOrders()
	for _, o := range orders {
		switch o.Kind {
		case OrderStart:
			starts = append(starts, o)
			r.running[o.Worker] = append(r.running[o.Worker], o)
			r.m.StartAnswered(o, Accepted, r.now)
		case OrderThrottle:
			r.paced = append(r.paced, o)
		case OrderStop:
			r.stop(o)
		}
	}
	return starts
}

// usedMilliCores returns the processor that a best-effort run may use at its CPU share.
func usedMilliCores(r *run) int64 {
	if r == nil || !r.task.step.BestEffort {
		return 0
	}
	return r.task.step.Need.MilliCores * int64(max(r.cpuShare, 0)) / fullCPUShare
}

// stop ends a run that is stopped.
func (r *starvationRig) stop(o Order) {
	at := slices.IndexFunc(r.running[o.Worker], func(x Order) bool { return x.Task == o.Task && x.Run == o.Run })
	if at < 0 {
		return
	}
	ended := r.running[o.Worker][at]
	r.running[o.Worker] = slices.Delete(r.running[o.Worker], at, at+1)
	r.stopped[o.Worker] = append(r.stopped[o.Worker], r.endOf(ended, workload.OutcomeStopped))
}

// end ends a run.
func (r *starvationRig) end(o Order) {
	r.running[o.Worker] = slices.DeleteFunc(r.running[o.Worker], func(x Order) bool { return x.Task == o.Task })
	rep := workload.Report{StartedMS: 1, Ended: []workload.EndedRun{r.endOf(o, workload.OutcomeDone)}}
	for _, x := range r.running[o.Worker] {
		rep.Running = append(rep.Running, runningOf(x))
	}
	r.m.WorkerReported(o.Worker, rep, r.now-time.Millisecond, r.now)
}

// firstStarts steps until tasks of a job start, and returns them and the time that took.
func (r *starvationRig) firstStarts(id fleet.JobID, limit time.Duration) ([]Order, time.Duration) {
	for began := r.now; r.now-began < limit; {
		starts := slices.DeleteFunc(r.step(200*time.Millisecond), func(o Order) bool { return o.Task.Job != id })
		if len(starts) > 0 {
			return starts, r.now - began
		}
	}
	return nil, limit
}

// A best-effort job whose image pressed on a service of each worker was never started, though
// most of the processors were idle: what does not run is not observed, so that its learned
// pressure was never corrected.
func TestImageShutOutByInterferenceIsNeverStarted(t *testing.T) {
	r := newStarvationRig(t, 8, 4000)
	r.addJob("f", bestEffortStep("f", 4, 2000))
	starts, took := r.firstStarts("f", time.Minute)
	if len(starts) != 1 || took > starvedAfter+time.Second {
		t.Fatalf("%d starts after %v, want one after %v", len(starts), took, starvedAfter)
	}
	r.step(200 * time.Millisecond)
	if len(r.paced) == 0 || r.paced[0].Percent >= fullCPUShare {
		t.Errorf("orders %v, want a limit of its CPU share", r.paced)
	}
	// Its tasks follow each other without another wait.
	r.end(starts[0])
	if next, took := r.firstStarts("f", time.Minute); len(next) == 0 || took > time.Second {
		t.Errorf("the next task started after %v", took)
	}
	// Tail latencies stay low beside it, which corrects the pressure: the others start too.
	for range 100 {
		r.step(200 * time.Millisecond)
	}
	if n := r.m.jobs["f"].runCount; n != 3 {
		t.Errorf("%d of 3 tasks run, with a pressure of %.1f", n, r.m.interference.pressureBetween("f", "s"))
	}
}

// Runs of starved jobs must neither disturb the services of all workers nor keep off the
// work that these tolerate.
func TestStarvedJobsTakeAllWorkers(t *testing.T) {
	const workers, jobs = 8, 30
	for name, tt := range map[string]struct {
		serving int64 // millicores of the serving task of each worker, of 16,000
		most    int   // workers with runs of starved jobs
	}{
		"a quarter is used":  {4000, 4},
		"three quarters are": {12_000, 1},
		"hardly anything is": {500, 7},
	} {
		t.Run(name, func(t *testing.T) {
			r := newStarvationRig(t, workers, tt.serving)
			for i := range jobs {
				r.addJob(fleet.JobID(fmt.Sprintf("f%02d", i)), bestEffortStep("f", 4, 500))
			}
			r.step(starvedAfter / 2)
			for range 10 {
				r.step(starvedAfter / 10)
			}
			taken := 0
			for _, w := range r.m.workerList {
				if w.starvedRuns > 0 {
					taken++
				}
			}
			if taken == 0 || taken > tt.most {
				t.Errorf("%d workers have runs of starved jobs, want 1 to %d", taken, tt.most)
			}
			r.addJob("g", bestEffortStep("g", 4, 500))
			if starts, _ := r.firstStarts("g", time.Second); len(starts) != 4 {
				t.Errorf("%d of 4 tasks that the services tolerate start", len(starts))
			}
		})
	}
}

// A run of a starved job that is slowed down must stay, or the job would wait again.
func TestStarvedRunIsEvicted(t *testing.T) {
	r := newStarvationRig(t, 2, 4000)
	s := bestEffortStep("f", 1, 2000)
	s.Checkpoints = true
	r.addJob("f", s)
	if starts, _ := r.firstStarts("f", time.Minute); len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	r.tail = 300
	for range 20 {
		r.step(200 * time.Millisecond)
	}
	run := r.m.jobs["f"].occurrences[0].steps[0].record(0).runs
	if len(run) != 1 || run[0].state != runRunning || run[0].cpuShare != 0 {
		t.Errorf("runs %v, want one at a CPU share of 0", run)
	}
}

// Jobs past three times their target waited for all others like them with a lower ID.
func TestExpiredJobWaitsForAllOfLowerID(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(40, 1000))
	r.addJob("b", cpuStep(1, 1000))
	r.now += time.Minute
	r.report("w1", workload.Report{})
	working := r.planStarts()
	for ended := 0; ; ended++ {
		if slices.ContainsFunc(working, func(o Order) bool { return o.Task.Job == "b" }) {
			return
		}
		if ended > 4 {
			t.Fatalf("job b waits after %d tasks of job a have ended", ended)
		}
		rep := workload.Report{Ended: []workload.EndedRun{r.endOf(working[0], workload.OutcomeDone)}}
		working = working[1:]
		for _, o := range working {
			rep.Running = append(rep.Running, runningOf(o))
		}
		r.report("w1", rep)
		working = append(working, r.planStarts()...)
	}
}

// A starved job of one service must not use up the room of another one.
func TestStarvedJobsOfOneServiceShutOutThoseOfAnother(t *testing.T) {
	const other = fleet.Service("service-2")
	r := newStarvationRig(t, 2, 4000)
	config := *r.m.config
	config.Queues = append(slices.Clone(config.Queues), workload.Queue{Name: "queue-2", Service: other, MaxAttempts: 3, Stretch: 2, Objective: time.Second})
	config.Services = map[fleet.Service]workload.Service{testService: {Name: testService}, other: {Name: other}}
	r.m.SetConfig(&config)
	steps := []workload.Step{bestEffortStep("f", 1, 1000)}
	r.m.AddJob(&workload.Job{ID: "a", Queue: "queue-2", Steps: steps}, workload.StateQueued, 1, workload.Progress{}, r.now, false) // no worker has its service
	r.addJob("f", bestEffortStep("f", 1, 2000))
	if starts, took := r.firstStarts("f", time.Minute); len(starts) != 1 {
		t.Errorf("not started after %v", took)
	}
}

// A job in time that becomes due has not waited since the end of its last run.
func TestJobInTimeIsStarvedWhenItBecomesDue(t *testing.T) {
	r := newStarvationRig(t, 2, 4000)
	due := int64(time.Minute / time.Millisecond)
	r.m.AddJob(&workload.Job{ID: "f", Queue: testQueue, Repeats: 1, FirstMS: due, IntervalMS: 1000, Steps: []workload.Step{bestEffortStep("f", 1, 2000)}},
		workload.StateQueued, 1, workload.Progress{}, r.now, false)
	for range 20 {
		r.step(time.Second)
	}
	r.m.Plan(r.now, due)
	for _, o := range r.m.TakeOrders() {
		if o.Kind == OrderStart && o.Task.Job == "f" {
			t.Errorf("%s starts at once", o.Task)
		}
	}
}

// A job that had waited for long waited as long again after each task that found a worker.
func TestStarvedJobWaitsAnewAfterEachTask(t *testing.T) {
	r := newStarvationRig(t, 2, 4000)
	second := bestEffortStep("f", 1, 2000)
	second.After = []int{0}
	r.addJob("f", bestEffortStep("f", 1, 2000), second)
	if starts, _ := r.firstStarts("f", 2*starvedAfter/3); len(starts) > 0 {
		t.Fatalf("started %v", starts)
	}
	pressure := r.m.interference.entry(0, 0)
	*pressure = minPressure
	starts := r.step(200 * time.Millisecond)
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	*pressure = maxPressure
	r.end(starts[0])
	if _, took := r.firstStarts("f", time.Minute); took > starvedAfter/3+time.Second {
		t.Errorf("its next task starts after another %v", took)
	}
}

// A job that found no room was starved only after it had waited for starvedAfter under one
// owner, so that it never ran while owners changed more often.
func TestStarvedJobWaitsAnewForEachOwner(t *testing.T) {
	const age = starvedAfter + time.Second
	tests := map[string]struct {
		age  time.Duration
		set  func(*workload.Job)
		at   workload.State
		want bool
	}{
		"has never run":             {age, func(*workload.Job) {}, workload.StateQueued, true},
		"is younger":                {starvedAfter - time.Second, func(*workload.Job) {}, workload.StateQueued, false},
		"has run":                   {age, func(*workload.Job) {}, workload.StateRunning, false},
		"a cap may have held it":    {age, func(j *workload.Job) { j.Workspace = "team" }, workload.StateQueued, false},
		"may not have been due yet": {age, func(j *workload.Job) { j.Repeats = 2 }, workload.StateQueued, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const now = time.Minute
			m := New(testLimits, 9, now)
			j := workload.Job{ID: "j", Queue: testQueue, Steps: []workload.Step{cpuStep(1, 1000)}}
			test.set(&j)
			m.AddJob(&j, test.at, 1, workload.Progress{}, now-test.age, true)
			if got := m.jobs["j"].isStarved(); got != test.want {
				t.Errorf("starved: %v, %v after it was accepted; want %v", got, test.age, test.want)
			}
		})
	}
}
