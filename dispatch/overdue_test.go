package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// longestIdle is the time within which a task that can run must run.
const longestIdle = 3 * time.Second

// pressHard lets the best-effort work raise the tail latencies in proportion to the processor
// that it gets.
func (r *starvationRig) pressHard() {
	r.usesCPU = true
	r.tailOf = func(id fleet.WorkerID) int64 {
		used := int64(0)
		for _, run := range r.m.workers[id].runs {
			used += usedMilliCores(run)
		}
		return r.tail + int64(100*maxPressure*float64(used)/float64(r.m.workers[id].Capacity.MilliCores))
	}
}

// idleJobs returns the jobs that have been starved and idle for longer than a time.
func (r *starvationRig) idleJobs(limit time.Duration) (idle []fleet.JobID) {
	for _, j := range r.m.jobs {
		if j.isStarved() && j.blockedFor >= starvedAfter+limit && r.now-j.idleSince > limit {
			idle = append(idle, j.ID)
		}
	}
	return idle
}

// Starved jobs beyond the runs that fit beside each other had nothing running for as long as
// these lasted, though services used less than half of the processors.
func TestStarvedJobsIdleBesideHaltedRuns(t *testing.T) {
	const workers = 8
	for name, tt := range map[string]struct {
		jobs    int
		serving int64 // millicores of the serving task of each worker, of 16,000
		need    int64 // millicores of each best-effort task
		spared  bool  // some workers have none of their runs
	}{
		"nearly half is used, small tasks": {jobs: 30, serving: 7500, need: 2000},
		"nearly half is used, large tasks": {jobs: 20, serving: 7500, need: 6000, spared: true},
		"a quarter is used, large tasks":   {jobs: 30, serving: 4000, need: 10_000},
	} {
		t.Run(name, func(t *testing.T) {
			r := newStarvationRig(t, workers, tt.serving)
			r.pressHard()
			for i := range tt.jobs {
				r.addJob(fleet.JobID(fmt.Sprintf("f%02d", i)), bestEffortStep("f", 4, tt.need))
			}
			for began := r.now; r.now-began < time.Minute; {
				r.step(200 * time.Millisecond)
				if idle := r.idleJobs(longestIdle); len(idle) > 0 {
					t.Fatalf("%d of %d jobs have been idle for %v after %v: %v", len(idle), tt.jobs, longestIdle, r.now-began, idle)
				}
			}
			if !tt.spared {
				return
			}
			// The services tolerate other work on the workers that these runs leave.
			r.addJob("g", bestEffortStep("g", 4, 500))
			if starts, _ := r.firstStarts("g", time.Second); len(starts) != 4 {
				t.Errorf("%d of 4 tasks that the services tolerate start", len(starts))
			}
		})
	}
}

// Beside services that use most of the processors no job may start without idle processor.
func TestOverdueJobPressesOnBusyServices(t *testing.T) {
	const workers, jobs = 8, 30
	r := newStarvationRig(t, workers, 12_000)
	r.pressHard()
	for i := range jobs {
		r.addJob(fleet.JobID(fmt.Sprintf("f%02d", i)), bestEffortStep("f", 4, 2000))
	}
	r.run(time.Minute)
	taken, runs := 0, 0
	for _, w := range r.m.workerList {
		if w.starvedRuns > 0 {
			taken++
			runs += w.starvedRuns
		}
	}
	if taken != 1 || runs > 5 {
		t.Errorf("%d workers have %d runs of starved jobs, want 1 with 5 at most", taken, runs)
	}
}

// Runs of overdue jobs must not keep tail latencies above their targets for the 4 s that
// count as harm.
func TestOverdueRunsHarmServices(t *testing.T) {
	const workers = 8
	const harmfulTime = 4 * time.Second
	for name, tt := range map[string]struct {
		jobs int
		need int64
	}{
		"small tasks":      {30, 2000},
		"large tasks":      {30, 6000},
		"many small tasks": {60, 2000},
		"many large tasks": {60, 6000},
	} {
		t.Run(name, func(t *testing.T) {
			r := newStarvationRig(t, workers, 7500)
			r.pressHard()
			for i := range tt.jobs {
				r.addJob(fleet.JobID(fmt.Sprintf("f%02d", i)), bestEffortStep("f", 4, tt.need))
			}
			const target = 100
			highSince, longest := make(map[fleet.WorkerID]time.Duration), time.Duration(0)
			for began := r.now; r.now-began < time.Minute; {
				r.step(200 * time.Millisecond)
				for _, w := range r.m.workerList {
					if r.tailOf(w.ID) <= target {
						highSince[w.ID] = r.now
					}
					longest = max(longest, r.now-highSince[w.ID])
				}
			}
			if longest >= harmfulTime {
				t.Errorf("a tail latency is above its target for %v", longest)
			}
		})
	}
}

// A starved job was never started while the tail latencies were high on all workers, which was
// not the doing of the paused runs there.
func TestStarvedJobIdlesWhileTailsAreHigh(t *testing.T) {
	const workers = 8
	for name, slow := range map[string]int{"all workers are slow": workers, "most of them are, the others have no memory": workers - 2} {
		t.Run(name, func(t *testing.T) {
			r := newStarvationRig(t, workers, 4000)
			r.addJob("g", bestEffortStep("g", 2*workers, 1000))
			r.run(2 * time.Second)
			isSlow := func(id fleet.WorkerID) bool { return id < fleet.WorkerID(fmt.Sprintf("w%02d", slow)) }
			for _, w := range r.m.workerList {
				if !isSlow(w.ID) {
					w.used.MemoryMB = w.Capacity.MemoryMB
				}
			}
			r.tailOf = func(id fleet.WorkerID) int64 {
				if isSlow(id) {
					return 250
				}
				return r.tail
			}
			r.run(5 * time.Second)
			r.addJob("f", bestEffortStep("f", 1, 2000))
			starts, took := r.firstStarts("f", time.Minute)
			if len(starts) != 1 || took > starvedAfter+longestIdle {
				t.Fatalf("%d starts after %v, want one after %v", len(starts), took, starvedAfter)
			}
			// It must not add to the tail latency.
			r.run(2 * throttleInterval)
			if run := r.m.workers[starts[0].Worker].find(starts[0].Task, starts[0].Run); run == nil || run.cpuShare >= minCPUShare {
				t.Errorf("run %+v, want one that is paused", run)
			}
		})
	}
}

// An overdue job must not press on serving tasks that recover while others are high by themselves.
func TestOverdueJobPressesOnTailsThatRecover(t *testing.T) {
	const workers = 4
	r := newStarvationRig(t, workers, 4000)
	r.addJob("f", bestEffortStep("f", 1, 2000))
	r.run(starvedAfter / 2)
	own := r.m.workerList[workers-1]
	for _, w := range r.m.workerList {
		w.highTailAt = r.now
		if w == own {
			w.trialOf(r.m.interference.serving.number("s")).ownAt = r.now
		}
	}
	p := r.m.newPlacer(r.now)
	waiting := r.m.jobs["f"].occurrence(0).steps[0].record(0)
	if _, ok := p.placeStarved(waiting, testService); ok {
		t.Error("a starved job gets a worker with a high tail latency before it is overdue")
	}
	if chosen, ok := p.placeOverdue(waiting, testService); !ok || chosen.worker != own {
		t.Errorf("placed on %v, want %s", chosen.worker, own.ID)
	}
}

// A job whose next step presses on the services of each worker had nothing running for as long as
// one that has never run, though services used a quarter of the processors.
func TestNextStepIdlesLikeNewJob(t *testing.T) {
	r := newStarvationRig(t, 8, 4000)
	r.pressHard()
	second := bestEffortStep("f", 40, 2000)
	second.After = []int{0}
	r.addJob("f", bestEffortStep("g", 1, 2000), second)
	starts, _ := r.firstStarts("f", time.Second)
	if len(starts) != 1 {
		t.Fatalf("%d starts of the first step, want 1", len(starts))
	}
	r.run(10 * time.Second)
	r.end(starts[0])
	if starts, took := r.firstStarts("f", time.Minute); len(starts) == 0 || took > longestIdle {
		t.Errorf("%d starts of its next step after %v, want one within %v", len(starts), took, longestIdle)
	}
}
