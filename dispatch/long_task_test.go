package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// player plays workers that run tasks of given durations, some of them at another speed.
type player struct {
	*rig
	durations func(n workload.TaskName) time.Duration
	speeds    map[fleet.WorkerID]float64
	runs      map[fleet.WorkerID]map[workload.TaskName]*playedRun
	ended     map[fleet.WorkerID][]workload.EndedRun
	stops     map[workload.TaskName]int
	starts    map[workload.TaskName]int
	done      map[workload.TaskName]bool
	closed    map[fleet.WorkerID]time.Duration // how long it was closed as slow
}

type playedRun struct {
	number   int
	progress float64
}

const (
	playedTick = 50 * time.Millisecond
	almostDone = 0.99 // progress of a member of a gang that waits for the others
)

func newPlayer(t *testing.T, workers int, durations func(n workload.TaskName) time.Duration) *player {
	p := &player{
		rig: newRig(t), durations: durations, speeds: make(map[fleet.WorkerID]float64), runs: make(map[fleet.WorkerID]map[workload.TaskName]*playedRun),
		ended: make(map[fleet.WorkerID][]workload.EndedRun), stops: make(map[workload.TaskName]int), starts: make(map[workload.TaskName]int),
		done: make(map[workload.TaskName]bool), closed: make(map[fleet.WorkerID]time.Duration),
	}
	for i := range workers {
		id := fleet.WorkerID(fmt.Sprintf("w%d", i+1))
		p.addWorker(id, testCapacity)
		p.runs[id], p.speeds[id] = make(map[workload.TaskName]*playedRun), 1
	}
	return p
}

// play lets the workers work and report until a time has passed.
func (p *player) play(d time.Duration) {
	for end := p.now + d; p.now < end; {
		began := p.now
		for _, w := range p.m.workerList {
			p.work(w.ID)
		}
		p.m.Plan(p.now, 0)
		for _, o := range p.m.TakeOrders() {
			p.obey(o)
		}
		p.store()
		p.storeRecords()
		for _, w := range p.m.workerList {
			if p.now < w.slowClosureEnd {
				p.closed[w.ID] += playedTick
			}
		}
		p.now = began + playedTick
	}
}

// work lets a worker run its tasks for a tick, and report.
func (p *player) work(id fleet.WorkerID) {
	rep := workload.Report{}
	for n, r := range p.runs[id] {
		r.progress += p.speeds[id] * float64(playedTick) / float64(p.durations(n))
		o := Order{Worker: id, Task: n, Run: r.number}
		if r.progress >= 1 && !p.waitsForGang(n) {
			p.end(o, workload.OutcomeDone)
			continue
		}
		rep.Running = append(rep.Running, workload.ActiveRun{Task: n, Run: r.number, PercentDone: int(percents * min(r.progress, almostDone)), Gauge: 1000})
	}
	rep.Ended = p.ended[id]
	now := p.now
	p.report(id, rep)
	p.now = now
}

// waitsForGang reports whether a task is a member of a gang that is not done as a whole.
func (p *player) waitsForGang(n workload.TaskName) bool {
	if s := p.m.Step(n); s == nil || !s.Gang {
		return false
	}
	for _, runs := range p.runs {
		for o, r := range runs {
			if o.Job == n.Job && o.Step == n.Step && r.progress < 1 {
				return true
			}
		}
	}
	return false
}

func (p *player) end(o Order, how workload.Outcome) {
	delete(p.runs[o.Worker], o.Task)
	p.ended[o.Worker] = append(p.ended[o.Worker], p.endOf(o, how))
	p.done[o.Task] = p.done[o.Task] || how == workload.OutcomeDone
}

func (p *player) obey(o Order) {
	switch o.Kind {
	case OrderStart:
		p.starts[o.Task]++
		p.runs[o.Worker][o.Task] = &playedRun{number: o.Run}
		p.m.StartAnswered(o, Accepted, p.now)
	case OrderStop:
		if p.runs[o.Worker][o.Task] != nil {
			p.stops[o.Task]++
			p.end(o, workload.OutcomeStopped)
		}
		p.m.StopAnswered(o, Accepted, p.now)
	}
}

// A task that takes longer than its siblings was stopped each time as if its worker were slow, and
// never ended.
func TestLongTaskIsStoppedEachTime(t *testing.T) {
	const siblings = time.Second
	first := func(long time.Duration) func(n workload.TaskName) time.Duration {
		return func(n workload.TaskName) time.Duration {
			if n.Index == 0 {
				return long
			}
			return siblings
		}
	}
	step := func(count int, change func(s *workload.Step)) workload.Step {
		s := cpuStep(count, 1000)
		change(&s)
		return s
	}
	tests := map[string]struct {
		workers   int
		steps     []workload.Step // one job each
		long      time.Duration
		mostStops int // of a task
	}{
		"15 s beside 1 s":             {4, []workload.Step{cpuStep(6, 1000)}, 15 * time.Second, 1},
		"label of one worker":         {4, []workload.Step{step(4, func(s *workload.Step) { s.Label = "b" })}, 15 * time.Second, 0},
		"many short siblings":         {4, []workload.Step{cpuStep(60, 1000)}, 15 * time.Second, 1},
		"two tasks":                   {4, []workload.Step{cpuStep(2, 1000)}, 15 * time.Second, 1},
		"three tasks":                 {4, []workload.Step{cpuStep(3, 1000)}, 15 * time.Second, 1},
		"checkpoints":                 {4, []workload.Step{step(6, func(s *workload.Step) { s.Checkpoints = true })}, 15 * time.Second, 1},
		"gang":                        {4, []workload.Step{step(4, func(s *workload.Step) { s.Gang = true })}, 15 * time.Second, 0},
		"long tasks of several jobs":  {4, []workload.Step{cpuStep(4, 1000), cpuStep(4, 1000), cpuStep(4, 1000)}, 15 * time.Second, 1},
		"a minute":                    {4, []workload.Step{cpuStep(6, 1000)}, time.Minute, 1},
		"minutes, estimated":          {4, []workload.Step{step(6, func(s *workload.Step) { s.EstimateMS = 200_000 })}, 200 * time.Second, 1},
		"minutes, estimated at 1 s":   {4, []workload.Step{cpuStep(6, 1000)}, 200 * time.Second, 3},
		"minutes, label of one":       {4, []workload.Step{step(6, func(s *workload.Step) { s.Label = "b" })}, 200 * time.Second, 2},
		"minutes, without siblings":   {4, []workload.Step{cpuStep(1, 1000)}, 200 * time.Second, 2},
		"minutes, on a single worker": {1, []workload.Step{cpuStep(4, 1000)}, 200 * time.Second, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlayer(t, tt.workers, first(tt.long))
			p.m.workers["w1"].Labels = []string{"b"}
			for i, s := range tt.steps {
				p.addJob(fleet.JobID(fmt.Sprintf("j%d", i)), s)
			}
			const slack = 15 * time.Second // for the runs that are stopped
			p.play(tt.long + slack)
			for i := range tt.steps {
				n := workload.TaskName{Job: fleet.JobID(fmt.Sprintf("j%d", i))}
				if !p.done[n] || p.stops[n] > tt.mostStops {
					t.Errorf("%s done: %v after %v, %d starts, %d stops, want %d at most", n, p.done[n], tt.long+slack, p.starts[n], p.stops[n], tt.mostStops)
				}
			}
			for _, w := range p.m.workerList {
				if p.closed[w.ID] > slowClosure {
					t.Errorf("%s is sound and was closed as slow for %v", w.ID, p.closed[w.ID])
				}
			}
		})
	}
}

// A slow worker is told from long tasks: by runs of several steps, or by a task that is faster
// elsewhere.
func TestSlowWorkerIsTakenForLongTasks(t *testing.T) {
	const (
		slowdown = 6
		duration = 3 * time.Second
		noticed  = 4 * time.Second
	)
	tests := map[string][]workload.Step{
		"runs of several jobs":        {cpuStep(4, 1000), cpuStep(4, 1000), cpuStep(4, 1000)},
		"one job, a run on each":      {cpuStep(4, 1000)},
		"one job, several runs there": {cpuStep(8, 1000)},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlayer(t, 4, func(workload.TaskName) time.Duration { return duration })
			p.speeds["w4"] = 1.0 / slowdown
			for i, s := range steps {
				p.addJob(fleet.JobID(fmt.Sprintf("j%d", i)), s)
			}
			p.play(noticed)
			if p.closed["w4"] == 0 {
				t.Errorf("the slow worker was not closed within %v", noticed)
			}
			for _, id := range []fleet.WorkerID{"w1", "w2", "w3"} {
				if p.closed[id] > 0 {
					t.Errorf("%s is sound and was closed for %v", id, p.closed[id])
				}
			}
			p.play(3 * duration)
			for i, s := range steps {
				for x := range s.Count {
					n := workload.TaskName{Job: fleet.JobID(fmt.Sprintf("j%d", i)), Index: x}
					if !p.done[n] || p.stops[n] > 1 {
						t.Errorf("%s done: %v, %d stops", n, p.done[n], p.stops[n])
					}
				}
			}
		})
	}
}
