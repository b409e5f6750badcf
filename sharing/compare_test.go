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

// Parameters of the simulation. Each worker runs one service, the services have
// their daily peaks at different times, and the queue of batch tasks never runs
// empty.
const (
	simWorkers            = 12
	simCores              = 12.0 // per worker, for batch
	simSeconds            = 7200 // two days of simDay
	simDay                = 3600 // seconds per day, which passes at 24 times the real speed
	simTasks              = 20000
	simQueueWindow        = 8    // tasks at the head of the queue that are considered for placement
	simCheckpointInterval = 60.0 // seconds at full speed between checkpoints of a task
	simUsageInterval      = 30   // seconds between usage reports
)

// simCost is the true cost per core of a class at full load of the service.
var simCost = map[fleet.Service]map[fleet.JobClass]float64{
	"reclaim-engine": {"rate": 0.005, "scan": 0.11, "solve": 0.015, "copy": 0.05},
	"cutting-lists":  {"rate": 0.005, "scan": 0.015, "solve": 0.11, "copy": 0.05},
}

// simUtilisation is the true share of its cores that a class uses.
var simUtilisation = map[fleet.JobClass]float64{"rate": 0.5, "scan": 1, "solve": 0.9, "copy": 1}

// drawClass draws the class of task i. Out of every 800 tasks, the first 250
// are mostly of a class with a high cost to every service.
func drawClass(rng *rand.Rand, i int) fleet.JobClass {
	if i%800 < 250 && rng.Float64() < 0.8 {
		return "copy"
	}
	return []fleet.JobClass{"rate", "scan", "solve", "copy"}[rng.IntN(4)]
}

type simTask struct {
	Task
	work, done, checkpointed float64 // core seconds
}

type simWorker struct {
	service          fleet.Service
	tasks            []*simTask
	load             float64
	pressure         float64 // true pressure
	measuredPressure float64 // mean of the last seconds, with noise
	lastPlacement    int     // in seconds since the start
}

// simResult is the result of one strategy.
type simResult struct {
	p99         float64 // 99th percentile of pressure over all workers and seconds
	missedShare float64 // share of worker seconds with the objective missed
	throughput  float64 // completed work in core seconds per second
	evictions   int
	lostWork    float64 // by evictions, in core seconds
}

func (r simResult) String() string {
	return fmt.Sprintf("p99 %.2f of objective, missed %.2f%%, throughput %.1f cores, %d evictions, %.0f core s lost",
		r.p99, 100*r.missedShare, r.throughput, r.evictions, r.lostWork)
}

// simulation is one run. All runs use the same seed, so they have the same
// tasks and noise.
type simulation struct {
	scenario
	rng       *rand.Rand
	workers   []*simWorker
	queue     []*simTask
	second    int
	result    simResult
	pressures []float64
}

// strategy is a way of sharing workers between services and batch tasks.
type strategy interface {
	// place returns a worker for a task, or nil.
	place(c *simulation, t *simTask) *simWorker
	// adjust is called after each simulated second.
	adjust(c *simulation)
}

// scenario holds the inputs that differ between test cases.
type scenario struct {
	floor  float64 // minimum share of a throttled task
	length int     // random part of a task's duration in seconds, added to 60 s
	surges bool    // every 15 minutes all services are at full load for 90 s
}

func simulate(w strategy, sc scenario) simResult {
	c := &simulation{scenario: sc, rng: rand.New(rand.NewPCG(1, 2))}
	for i := range simTasks {
		cores := float64(1 + c.rng.IntN(3))
		c.queue = append(c.queue, &simTask{
			Task: Task{Ref: inventory.AttemptRef{Task: fleet.TaskID(fmt.Sprint(i)), Attempt: 1}, Class: drawClass(c.rng, i), Cores: cores, Share: 1, Floor: sc.floor},
			work: cores * float64(60+c.rng.IntN(sc.length)),
		})
	}
	for i := range simWorkers {
		service := fleet.Service("reclaim-engine")
		if i%2 == 1 {
			service = "cutting-lists"
		}
		c.workers = append(c.workers, &simWorker{service: service})
	}
	for c.second = range simSeconds {
		c.fill(w)
		c.advance()
		w.adjust(c)
	}
	slices.Sort(c.pressures)
	c.result.p99 = c.pressures[len(c.pressures)*99/100]
	c.result.throughput /= simSeconds
	c.result.missedShare /= float64(len(c.pressures))
	return c.result
}

func (c *simulation) now() time.Time { return time.Unix(int64(c.second), 0) }

func (c *simulation) fill(w strategy) {
	for i := 0; i < min(simQueueWindow, len(c.queue)); {
		t := c.queue[i]
		worker := w.place(c, t)
		if worker == nil {
			i++
			continue
		}
		worker.tasks = append(worker.tasks, t)
		worker.lastPlacement = c.second
		c.queue = slices.Delete(c.queue, i, i+1)
	}
}

func (w *simWorker) free() float64 {
	free := simCores
	for _, t := range w.tasks {
		free -= t.Cores
	}
	return free
}

// advance simulates one second.
func (c *simulation) advance() {
	dayAngle := 2 * math.Pi * float64(c.second%simDay) / simDay
	for _, w := range c.workers {
		phase := 0.0
		if w.service == "cutting-lists" {
			phase = math.Pi
		}
		w.load = min(1, max(0.05, 0.5+0.45*math.Sin(dayAngle+phase)+0.05*c.rng.NormFloat64()))
		if c.surges && c.second%900 < 90 {
			w.load = 1
		}
		w.pressure = 0.25 + 0.3*w.load
		w.tasks = slices.DeleteFunc(w.tasks, func(t *simTask) bool {
			w.pressure += simCost[w.service][t.Class] * simUtilisation[t.Class] * t.Cores * t.Share * (0.25 + 0.75*w.load)
			t.done += t.Cores * t.Share
			if t.done-t.checkpointed >= simCheckpointInterval*t.Cores {
				t.checkpointed = t.done
			}
			t.SinceCheckpoint = time.Duration((t.done - t.checkpointed) * float64(time.Second))
			if t.done >= t.work {
				c.result.throughput += t.work
			}
			return t.done >= t.work
		})
		noisyPressure := w.pressure * (1 + 0.05*c.rng.NormFloat64())
		w.measuredPressure += (noisyPressure - w.measuredPressure) / 3
		c.pressures = append(c.pressures, w.pressure)
		if w.pressure > 1 {
			c.result.missedShare++
		}
	}
}

// evict returns a task to the queue, to resume from its last checkpoint.
func (c *simulation) evict(w *simWorker, ref inventory.AttemptRef) {
	i := slices.IndexFunc(w.tasks, func(t *simTask) bool { return t.Ref == ref })
	t := w.tasks[i]
	w.tasks = slices.Delete(w.tasks, i, i+1)
	c.result.evictions++
	c.result.lostWork += t.done - t.checkpointed
	t.done = t.checkpointed
	t.Share = 1
	c.queue = append(c.queue, t)
}

func firstFit(c *simulation, t *simTask, limit float64) *simWorker {
	for _, w := range c.workers {
		if w.free()-(simCores-limit) >= t.Cores {
			return w
		}
	}
	return nil
}

// static reserves a fixed number of cores for batch tasks on each worker.
type static struct{ cores float64 }

func (s static) place(c *simulation, t *simTask) *simWorker { return firstFit(c, t, s.cores) }
func (static) adjust(*simulation)                           {}

// priority gives services priority on the processors. This throttles batch
// tasks by the load of the services, but ignores all other shared resources.
type priority struct{}

func (priority) place(c *simulation, t *simTask) *simWorker { return firstFit(c, t, simCores) }
func (priority) adjust(c *simulation) {
	for _, w := range c.workers {
		for _, t := range w.tasks {
			t.Share = 1 - 0.5*w.load
		}
	}
}

// reactive evicts the newest task of a worker whose measured pressure is high,
// and places no task there for the next 30 s.
type reactive struct{ lastEviction map[*simWorker]int }

func (r reactive) place(c *simulation, t *simTask) *simWorker {
	for _, w := range c.workers {
		if w.free() >= t.Cores && w.measuredPressure < lowPressure && c.second-w.lastPlacement >= 5 && c.second-r.lastEviction[w] >= 30 {
			return w
		}
	}
	return nil
}

func (r reactive) adjust(c *simulation) {
	for _, w := range c.workers {
		if w.measuredPressure >= highPressure && len(w.tasks) > 0 && c.second-r.lastEviction[w] >= 2 {
			c.evict(w, w.tasks[len(w.tasks)-1].Ref)
			r.lastEviction[w] = c.second
		}
	}
}

// learned is the Model and Policy of this package.
type learned struct {
	model  *Model
	policy *Policy
}

func newLearned() *learned {
	model := NewModel()
	return &learned{model: model, policy: NewPolicy(model)}
}

func workerSnapshot(i int, w *simWorker) Worker {
	s := Worker{ID: fleet.WorkerID(fmt.Sprint(i)), Services: []Service{{
		Name: w.service, Objective: time.Second, P99: time.Duration(w.measuredPressure * float64(time.Second)), Load: w.load,
	}}}
	for _, t := range w.tasks {
		s.Tasks = append(s.Tasks, t.Task)
	}
	return s
}

func (l *learned) place(c *simulation, t *simTask) *simWorker {
	var best *simWorker
	lowest := targetPressure
	for i, w := range c.workers {
		if w.free() < t.Cores || c.second-w.lastPlacement < 5 {
			continue
		}
		if p := l.model.Pressure(workerSnapshot(i, w), t.Class, t.Cores); p < lowest {
			best, lowest = w, p
		}
	}
	return best
}

func (l *learned) adjust(c *simulation) {
	var s Snapshot
	s.EvictionsPerMinute = 6
	for i, w := range c.workers {
		worker := workerSnapshot(i, w)
		l.model.Observe(c.now(), worker)
		s.Workers = append(s.Workers, worker)
		if c.second%simUsageInterval == 0 {
			for _, t := range w.tasks {
				l.model.ObserveUsage(c.now(), t.Class, t.Cores*t.Share, t.Cores*t.Share*simUtilisation[t.Class])
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

// TestLearnedAgainstOtherStrategies compares the strategies on the same input:
// on days with predictable load, and on days with load surges and long tasks
// that can hardly be throttled.
func TestLearnedAgainstOtherStrategies(t *testing.T) {
	tests := map[string]scenario{
		"steady days": {floor: 0.2, length: 300},
		"surges":      {floor: 0.8, length: 1200, surges: true},
	}
	for name, sc := range tests {
		t.Run(name, func(t *testing.T) { compareStrategies(t, sc) })
	}
}

func compareStrategies(t *testing.T, sc scenario) {
	learnedResult := simulate(newLearned(), sc)
	t.Logf("learned:  %s", learnedResult)
	var bestStatic simResult
	for cores := 3.0; cores <= 7; cores++ {
		r := simulate(static{cores}, sc)
		if r.p99 <= 1 {
			bestStatic = r
		}
		t.Logf("static %2.0f: %s", cores, r)
	}
	t.Logf("priority: %s", simulate(priority{}, sc))
	reactiveResult := simulate(reactive{lastEviction: make(map[*simWorker]int)}, sc)
	t.Logf("reactive: %s", reactiveResult)
	if learnedResult.p99 > 1 || learnedResult.throughput < 1.25*bestStatic.throughput {
		t.Errorf("throughput is %.1f cores, that of the best static partition that meets the objective %.1f", learnedResult.throughput, bestStatic.throughput)
	}
	if 2*learnedResult.evictions > reactiveResult.evictions {
		t.Errorf("%d evictions, want at most half of the %d of the reactive strategy", learnedResult.evictions, reactiveResult.evictions)
	}
}
