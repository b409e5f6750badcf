package sharing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

var start = time.Unix(1000, 0)

func ref(id fleet.TaskID) inventory.AttemptRef { return inventory.AttemptRef{Task: id, Attempt: 1} }

// newTrainedModel returns a model that has estimates for an expensive, a cheap
// and a free class.
func newTrainedModel(now time.Time) *Model {
	m := NewModel()
	r := newRegression(now)
	for class, cost := range map[fleet.JobClass]float64{"dear": 0.1, "cheap": 0.01, "free": 0} {
		r.classIndex[class] = len(r.mean)
		r.addCoefficient(cost, 0.001)
	}
	m.services["s"] = r
	return m
}

// workerAt returns a worker whose only service is at the given pressure.
func workerAt(pressure float64, tasks ...Task) Worker {
	return Worker{ID: "w", Tasks: tasks, Services: []Service{{
		Name: "s", Objective: time.Second, P99: time.Duration(pressure * float64(time.Second)),
	}}}
}

func expensive(id fleet.TaskID, share float64, lost time.Duration) Task {
	return Task{Ref: ref(id), Class: "dear", Cores: 4, Share: share, Floor: 0.25, SinceCheckpoint: lost}
}

func cheap(id fleet.TaskID, share float64) Task {
	return Task{Ref: ref(id), Class: "cheap", Cores: 4, Share: share, Floor: 0.25}
}

func TestDecide(t *testing.T) {
	throttled := func(id fleet.TaskID, share float64) Action {
		return Action{Kind: Throttle, Worker: "w", Ref: ref(id), Share: share}
	}
	restored := func(id fleet.TaskID, share float64) Action {
		return Action{Kind: Restore, Worker: "w", Ref: ref(id), Share: share}
	}
	evicted := func(id fleet.TaskID) Action { return Action{Kind: Evict, Worker: "w", Ref: ref(id)} }
	fullyThrottled := []Task{expensive("long", 0.25, time.Hour), expensive("short", 0.25, time.Second), {Ref: ref("innocent"), Class: "free", Cores: 1, Share: 0.25, Floor: 0.25}}
	tests := map[string]struct {
		worker Worker
		held   time.Duration // how long the worker has been in this state
		limit  int
		want   []Action
	}{
		"low pressure, unthrottled":   {workerAt(0.6, expensive("a", 1, 0)), time.Minute, 6, nil},
		"no tasks":                    {workerAt(2), time.Minute, 6, nil},
		"between the thresholds":      {workerAt(0.85, expensive("a", 0.5, 0)), time.Minute, 6, nil},
		"below the target, not low":   {workerAt(0.75, expensive("a", 0.5, 0)), time.Minute, 6, nil},
		"high: expensive class first": {workerAt(1, cheap("b", 1), expensive("a", 1, 0)), 0, 6, []Action{throttled("a", 0.5)}},
		"high: never below the floor": {workerAt(1.3, expensive("a", 1, 0), cheap("b", 1)), 0, 6, []Action{throttled("a", 0.25), throttled("b", 0.25)}},
		"throttling before eviction":  {workerAt(1.3, expensive("a", 0.5, 0)), time.Minute, 6, []Action{throttled("a", 0.25)}},
		"missed, not long enough":     {workerAt(1.3, fullyThrottled...), 5 * time.Second, 6, nil},
		"least work lost":             {workerAt(1.3, fullyThrottled...), 6 * time.Second, 6, []Action{evicted("short")}},
		"high, objective still met":   {workerAt(0.95, fullyThrottled...), time.Minute, 6, nil},
		"no evictions allowed":        {workerAt(1.3, fullyThrottled...), time.Minute, 0, nil},
		"no cost, no eviction":        {workerAt(1.3, fullyThrottled[2]), time.Minute, 6, nil},
		"low, not long enough":        {workerAt(0.5, expensive("a", 0.5, 0)), 9 * time.Second, 6, nil},
		"low: one step":               {workerAt(0.3, expensive("a", 0.5, 0), expensive("b", 0.5, 0)), 10 * time.Second, 6, []Action{restored("a", 0.75)}},
		"low: cheap class first":      {workerAt(0.3, expensive("a", 0.5, 0), cheap("b", 0.5)), 10 * time.Second, 6, []Action{restored("b", 0.75)}},
		"low: up to the target":       {workerAt(0.7, expensive("a", 0.25, 0)), 10 * time.Second, 6, []Action{restored("a", 0.5)}},
		"low: last small step":        {workerAt(0.3, expensive("a", 0.97, 0)), 10 * time.Second, 6, []Action{restored("a", 1)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPolicy(newTrainedModel(start))
			h := new(workerHistory)
			_, pressure := highestPressure(test.worker)
			h.recordPressure(start, pressure)
			p.workers["w"] = h
			got := p.Decide(start.Add(test.held), Snapshot{Workers: []Worker{test.worker}, EvictionsPerMinute: test.limit})
			closeTo := cmp.Comparer(func(a, b float64) bool { return math.Abs(a-b) < 1e-6 })
			if diff := cmp.Diff(test.want, got, closeTo); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Under lasting pressure that no action relieves, evictions must stay within
// the limit per minute.
func TestEvictionsAreLimited(t *testing.T) {
	p := NewPolicy(newTrainedModel(start))
	var tasks []Task
	for i := range 60 {
		tasks = append(tasks, expensive(fleet.TaskID(rune('a'+i)), 0.25, time.Duration(i)))
	}
	const limit = 4
	var evictions []time.Duration
	for s := range 300 {
		for _, a := range p.Decide(start.Add(time.Duration(s)*time.Second), Snapshot{Workers: []Worker{workerAt(2, tasks...)}, EvictionsPerMinute: limit}) {
			evictions = append(evictions, time.Duration(s)*time.Second)
			tasks = tasks[1:]
			if a.Kind != Evict {
				t.Fatalf("got action %+v, want an eviction", a)
			}
		}
	}
	for i, when := range evictions {
		if i >= limit && when-evictions[i-limit] < time.Minute {
			t.Errorf("evictions at %v, more than the limit within a minute", evictions)
		}
	}
	if len(evictions) != limit*5 {
		t.Errorf("got %d evictions in 5 minutes, want 20", len(evictions))
	}
}

// The effect of an action shows only in later measurements, so the next action
// must wait for settleTime.
func TestActionsSettle(t *testing.T) {
	p := NewPolicy(newTrainedModel(start))
	s := Snapshot{Workers: []Worker{workerAt(1, expensive("a", 1, 0))}}
	for after, want := range []int{1, 0, 1} {
		if got := p.Decide(start.Add(time.Duration(after)*time.Second), s); len(got) != want {
			t.Errorf("%d actions after %d s, want %d", len(got), after, want)
		}
	}
}

// When pressure depends on the shares, it must settle: tasks must not be
// throttled and restored in alternation.
func TestHysteresis(t *testing.T) {
	p := NewPolicy(newTrainedModel(start))
	task := expensive("a", 1, 0)
	changes := 0
	for s := range 600 {
		pressure := 0.55 + 0.1*task.Cores*task.Share
		for _, a := range p.Decide(start.Add(time.Duration(s)*time.Second), Snapshot{Workers: []Worker{workerAt(pressure, task)}, EvictionsPerMinute: 6}) {
			task.Share = a.Share
			changes++
		}
	}
	if changes > 2 {
		t.Errorf("%d changes, want at most 2; share %.2f", changes, task.Share)
	}
}

func TestModelLearnsCosts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	trueCosts := map[fleet.JobClass]float64{"dear": 0.09, "cheap": 0.01}
	m := NewModel()
	before := m.Cost("s", "dear")
	now := start
	for range 300 {
		now = now.Add(time.Second)
		load := rng.Float64()
		w := workerAt(0)
		pressure := 0.2 + 0.3*load + 0.05*rng.NormFloat64()
		for class, cost := range trueCosts {
			cores := float64(rng.IntN(5))
			m.ObserveUsage(now, class, 4, 2)
			w.Tasks = append(w.Tasks, Task{Class: class, Cores: 2 * cores, Share: 1})
			pressure += cost * cores
		}
		w.Services[0].Load = load
		w.Services[0].P99 = time.Duration(max(pressure, 0.01) * float64(time.Second))
		m.Observe(now, w)
	}
	for class, want := range trueCosts {
		if got := m.Cost("s", class); math.Abs(got.Mean-want) > 0.01 || got.Deviation > before.Deviation/2 {
			t.Errorf("%s: got %+v, want %.3f", class, got, want)
		}
	}
	if got := m.Utilisation("dear"); math.Abs(got-0.5) > 0.01 {
		t.Errorf("got utilisation %.2f, want 0.5", got)
	}
	if got := m.Cost("s", "never seen"); got != before {
		t.Errorf("unknown class: got %+v, want the prior", got)
	}
	learnedDeviation := m.Cost("s", "dear").Deviation
	m.services["s"].drift(now.Add(20 * time.Minute))
	if got := m.Cost("s", "dear").Deviation; got <= 2*learnedDeviation {
		t.Errorf("deviation %.4f after 20 minutes without observations, before %.4f", got, learnedDeviation)
	}
	if calm, busy := m.Pressure(workerAt(0.3), "dear", 4), m.Pressure(workerAt(0.6), "dear", 4); calm >= busy || calm < 0.3+4*0.5*0.08 {
		t.Errorf("expected pressure is %.2f at 0.3 and %.2f at 0.6", calm, busy)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{5, 20, 80} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := NewPolicy(newTrainedModel(start))
			var s Snapshot
			for range workers {
				s.Workers = append(s.Workers, workerAt(0.95, expensive("a", 1, 0), expensive("b", 1, 0), cheap("c", 1), cheap("d", 1)))
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, w := range s.Workers {
					p.model.Observe(start, w)
				}
				p.Decide(start, s)
			}
		})
	}
}
