package sharing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// The calculation: workers with one service each, whose hours differ, and a
// queue of batch work that never ends.
const (
	calcWorkers  = 12
	calcCores    = 12.0 // of a worker, for batch
	calcSeconds  = 7200 // two days at twenty-four times the speed
	calcDay      = 3600
	calcTasks    = 20000
	calcWindow   = 8 // tasks at the head of the queue that are looked at
	calcCheckp   = 60.0
	calcUsageLag = 30
)

// calcCost is the true cost per core at full load of the service.
var calcCost = map[fleet.Service]map[fleet.JobClass]float64{
	"reclaim-engine": {"rate": 0.005, "scan": 0.11, "solve": 0.015, "copy": 0.05},
	"cutting-lists":  {"rate": 0.005, "scan": 0.015, "solve": 0.11, "copy": 0.05},
}

// calcUsage is the share of its cores that a class uses.
var calcUsage = map[fleet.JobClass]float64{"rate": 0.5, "scan": 1, "solve": 0.9, "copy": 1}

// calcClass draws the class of task i. Every so often a wave of tasks comes
// that are hard on every service.
func calcClass(rng *rand.Rand, i int) fleet.JobClass {
	if i%800 < 250 && rng.Float64() < 0.8 {
		return "copy"
	}
	return []fleet.JobClass{"rate", "scan", "solve", "copy"}[rng.IntN(4)]
}

type calcTask struct {
	Task
	need, done, saved float64 // core seconds
}

type calcWorker struct {
	service  fleet.Service
	tasks    []*calcTask
	load     float64
	pressure float64 // as it is
	measured float64 // mean of the last seconds, with noise
	placed   int     // second of the last placement
}

// calcResult is what one way of sharing reached.
type calcResult struct {
	p99        float64 // of pressure, over all workers and seconds
	missed     float64 // share of seconds above the objective
	throughput float64 // cores of work kept
	evictions  int
	lost       float64 // core seconds
}

func (r calcResult) String() string {
	return fmt.Sprintf("p99 %.2f of objective, missed %.2f%%, throughput %.1f cores, %d evictions, %.0f core s lost",
		r.p99, 100*r.missed, r.throughput, r.evictions, r.lost)
}

// calc is one run. Every run has the same seed, so the same work and noise.
type calc struct {
	scenario
	rng     *rand.Rand
	workers []*calcWorker
	queue   []*calcTask
	second  int
	result  calcResult
	sampled []float64
}

// way is a way of sharing.
type way interface {
	// place picks a worker for a task, or none.
	place(c *calc, t *calcTask) *calcWorker
	// act runs after each second.
	act(c *calc)
}

// scenario is what differs between inputs.
type scenario struct {
	floor  float64 // least share of a throttled task
	length int     // of tasks, in seconds, at most
	surges bool    // every quarter of an hour all services are busy for 90 s
}

func runCalc(w way, sc scenario) calcResult {
	c := &calc{scenario: sc, rng: rand.New(rand.NewPCG(1, 2))}
	for i := range calcTasks {
		cores := float64(1 + c.rng.IntN(3))
		c.queue = append(c.queue, &calcTask{
			Task: Task{Ref: inventory.AttemptRef{Task: fleet.TaskID(fmt.Sprint(i)), Attempt: 1}, Class: calcClass(c.rng, i), Cores: cores, Share: 1, Floor: sc.floor},
			need: cores * float64(60+c.rng.IntN(sc.length)),
		})
	}
	for i := range calcWorkers {
		service := fleet.Service("reclaim-engine")
		if i%2 == 1 {
			service = "cutting-lists"
		}
		c.workers = append(c.workers, &calcWorker{service: service})
	}
	for c.second = range calcSeconds {
		c.fill(w)
		c.advance()
		w.act(c)
	}
	slices.Sort(c.sampled)
	c.result.p99 = c.sampled[len(c.sampled)*99/100]
	c.result.throughput /= calcSeconds
	c.result.missed /= float64(len(c.sampled))
	return c.result
}

func (c *calc) now() time.Time { return time.Unix(int64(c.second), 0) }

func (c *calc) fill(w way) {
	for i := 0; i < min(calcWindow, len(c.queue)); {
		t := c.queue[i]
		worker := w.place(c, t)
		if worker == nil {
			i++
			continue
		}
		worker.tasks = append(worker.tasks, t)
		worker.placed = c.second
		c.queue = slices.Delete(c.queue, i, i+1)
	}
}

func (w *calcWorker) free() float64 {
	free := calcCores
	for _, t := range w.tasks {
		free -= t.Cores
	}
	return free
}

// advance lets one second pass.
func (c *calc) advance() {
	hour := 2 * math.Pi * float64(c.second%calcDay) / calcDay
	for _, w := range c.workers {
		phase := 0.0
		if w.service == "cutting-lists" {
			phase = math.Pi
		}
		w.load = min(1, max(0.05, 0.5+0.45*math.Sin(hour+phase)+0.05*c.rng.NormFloat64()))
		if c.surges && c.second%900 < 90 {
			w.load = 1
		}
		w.pressure = 0.25 + 0.3*w.load
		w.tasks = slices.DeleteFunc(w.tasks, func(t *calcTask) bool {
			w.pressure += calcCost[w.service][t.Class] * calcUsage[t.Class] * t.Cores * t.Share * (0.25 + 0.75*w.load)
			t.done += t.Cores * t.Share
			if t.done-t.saved >= calcCheckp*t.Cores {
				t.saved = t.done
			}
			t.SinceCheckpoint = time.Duration((t.done - t.saved) * float64(time.Second))
			if t.done >= t.need {
				c.result.throughput += t.need
			}
			return t.done >= t.need
		})
		noisy := w.pressure * (1 + 0.05*c.rng.NormFloat64())
		w.measured += (noisy - w.measured) / 3
		c.sampled = append(c.sampled, w.pressure)
		if w.pressure > 1 {
			c.result.missed++
		}
	}
}

// evict puts a task back into the queue, from its last checkpoint.
func (c *calc) evict(w *calcWorker, ref inventory.AttemptRef) {
	i := slices.IndexFunc(w.tasks, func(t *calcTask) bool { return t.Ref == ref })
	t := w.tasks[i]
	w.tasks = slices.Delete(w.tasks, i, i+1)
	c.result.evictions++
	c.result.lost += t.done - t.saved
	t.done = t.saved
	t.Share = 1
	c.queue = append(c.queue, t)
}

func firstFit(c *calc, t *calcTask, limit float64) *calcWorker {
	for _, w := range c.workers {
		if w.free()-(calcCores-limit) >= t.Cores {
			return w
		}
	}
	return nil
}

// static gives batch a fixed number of cores on each worker.
type static struct{ cores float64 }

func (s static) place(c *calc, t *calcTask) *calcWorker { return firstFit(c, t, s.cores) }
func (static) act(*calc)                                {}

// priority lets services go first on the processors, which throttles batch by
// their load and knows nothing of what else is shared.
type priority struct{}

func (priority) place(c *calc, t *calcTask) *calcWorker { return firstFit(c, t, calcCores) }
func (priority) act(c *calc) {
	for _, w := range c.workers {
		for _, t := range w.tasks {
			t.Share = 1 - 0.5*w.load
		}
	}
}

// reactive evicts the newest task of a worker that misses its objective and
// places no more there for a while.
type reactive struct{ acted map[*calcWorker]int }

func (r reactive) place(c *calc, t *calcTask) *calcWorker {
	for _, w := range c.workers {
		if w.free() >= t.Cores && w.measured < lowPressure && c.second-w.placed >= 5 && c.second-r.acted[w] >= 30 {
			return w
		}
	}
	return nil
}

func (r reactive) act(c *calc) {
	for _, w := range c.workers {
		if w.measured >= highPressure && len(w.tasks) > 0 && c.second-r.acted[w] >= 2 {
			c.evict(w, w.tasks[len(w.tasks)-1].Ref)
			r.acted[w] = c.second
		}
	}
}

// learned is this package.
type learned struct {
	model  *Model
	policy *Policy
}

func newLearned() *learned {
	model := NewModel()
	return &learned{model: model, policy: NewPolicy(model)}
}

func snapshot(i int, w *calcWorker) Worker {
	s := Worker{ID: fleet.WorkerID(fmt.Sprint(i)), Services: []Service{{
		Name: w.service, Objective: time.Second, P99: time.Duration(w.measured * float64(time.Second)), Load: w.load,
	}}}
	for _, t := range w.tasks {
		s.Tasks = append(s.Tasks, t.Task)
	}
	return s
}

func (l *learned) place(c *calc, t *calcTask) *calcWorker {
	var best *calcWorker
	lowest := targetPressure
	for i, w := range c.workers {
		if w.free() < t.Cores || c.second-w.placed < 5 {
			continue
		}
		if p := l.model.Pressure(snapshot(i, w), t.Class, t.Cores); p < lowest {
			best, lowest = w, p
		}
	}
	return best
}

func (l *learned) act(c *calc) {
	var s Snapshot
	s.EvictionsPerMinute = 6
	for i, w := range c.workers {
		worker := snapshot(i, w)
		l.model.Observe(c.now(), worker)
		s.Workers = append(s.Workers, worker)
		if c.second%calcUsageLag == 0 {
			for _, t := range w.tasks {
				l.model.ObserveUsage(c.now(), t.Class, t.Cores*t.Share, t.Cores*t.Share*calcUsage[t.Class])
			}
		}
	}
	for _, a := range l.policy.Decide(c.now(), s) {
		for i, w := range c.workers {
			if a.Worker != s.Workers[i].ID {
				continue
			}
			if a.Kind == Evict {
				c.evict(w, a.Ref)
				continue
			}
			for _, t := range w.tasks {
				if t.Ref == a.Ref {
					t.Share = a.Share
				}
			}
		}
	}
}

// TestLearnedAgainstOtherWays compares the ways of sharing on the same input,
// on days whose load is foreseeable and on days with surges, when tasks are
// long and can hardly be throttled.
func TestLearnedAgainstOtherWays(t *testing.T) {
	tests := map[string]scenario{
		"steady days": {floor: 0.2, length: 300},
		"surges":      {floor: 0.8, length: 1200, surges: true},
	}
	for name, sc := range tests {
		t.Run(name, func(t *testing.T) { compareWays(t, sc) })
	}
}

func compareWays(t *testing.T, sc scenario) {
	own := runCalc(newLearned(), sc)
	t.Logf("learned:  %s", own)
	var best calcResult
	for cores := 3.0; cores <= 7; cores++ {
		r := runCalc(static{cores}, sc)
		if r.p99 <= 1 {
			best = r
		}
		t.Logf("static %2.0f: %s", cores, r)
	}
	t.Logf("priority: %s", runCalc(priority{}, sc))
	reaction := runCalc(reactive{acted: make(map[*calcWorker]int)}, sc)
	t.Logf("reactive: %s", reaction)
	if own.p99 > 1 || own.throughput < 1.25*best.throughput {
		t.Errorf("throughput %.1f, best static partition that meets the objective %.1f", own.throughput, best.throughput)
	}
	if 2*own.evictions > reaction.evictions {
		t.Errorf("%d evictions, reactive %d", own.evictions, reaction.evictions)
	}
}
