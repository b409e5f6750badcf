package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/cost"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// timeliness is how a batch job can still end, relative to its target duration.
type timeliness string

// Values of timeliness, the best first.
const (
	timelinessInTime  timeliness = "in time"
	timelinessLate    timeliness = "late" // has only cost.LateValue
	timelinessExpired timeliness = "lost" // has no value any more
)

// recordTimeliness emits an event if the expected timeliness of a job has changed,
// with the obstacles to placing its tasks. It is called after a plan, so that the
// free capacity it counts is what the jobs ahead in the queue have left.
func (m *Machine) recordTimeliness(j *job, position int, p *placer, now time.Duration) {
	if j.timeliness == j.reportedTimeliness {
		return
	}
	before := j.reportedTimeliness
	j.reportedTimeliness = j.timeliness
	if before == "" && j.timeliness == timelinessInTime {
		return
	}
	total, remaining := m.criticalPaths(j)
	keyvals := []any{
		"queue", j.Queue, "outlook", j.timeliness, "before", before, "age", now - j.arrivedAt, "wanted", m.targetDuration(j, total), "rest", remaining,
		"work", j.estimatedWork, "rest_work", m.remainingWork(j), "passed", j.blockedFor, "place", position,
	}
	m.emit("job_outlook", j.ID, append(append(keyvals, j.taskCounts()...), m.placementObstacles(j, p)...)...)
}

// recordJobAdded emits an event for a job that this owner has started to manage,
// with the properties that decide where its tasks can be placed.
func (m *Machine) recordJobAdded(j *job, revision store.Revision) {
	total, remaining := m.criticalPaths(j)
	tasks := 0
	var images []string
	for i := range j.Steps {
		tasks += j.Steps[i].Count
		if image := j.Steps[i].Image; image != "" && !slices.Contains(images, image) {
			images = append(images, image)
		}
	}
	m.emit("job_taken_over", j.ID, "queue", j.Queue, "revision", revision, "inherited", j.inherited, "steps", len(j.Steps), "tasks", tasks,
		"images", strings.Join(images, ","), "work", j.estimatedWork, "chain", total, "rest", remaining, "wanted", m.targetDuration(j, total))
}

// recordJobEnded emits an event for a job that has ended, with its duration and its
// target duration.
func (m *Machine) recordJobEnded(j *job, now time.Duration) {
	total, _ := m.criticalPaths(j)
	target, duration := m.targetDuration(j, total), now-j.arrivedAt
	m.emit("job_ended", j.ID, "state", j.state, "queue", j.Queue, "work", j.estimatedWork, "took", duration, "wanted", target,
		"passed", j.blockedFor, "outlook", j.timeliness, "inherited", j.inherited)
	if j.HasServingStep() || j.Repeats > 0 {
		return // these have no single target duration
	}
	end := &JobEnded{State: j.state, Duration: duration, Large: j.estimatedWork > largeFactor*m.jobSizes[j.Queue].mean}
	switch {
	case j.state != workload.StateCompleted:
	case duration <= target:
		end.Timeliness = string(timelinessInTime)
	case duration <= cost.LateFactor*target:
		end.Timeliness = string(timelinessLate)
	default:
		end.Timeliness = string(timelinessExpired)
	}
	m.events[len(m.events)-1].Ended = end
}

// largeFactor is the multiple of the mean work of a queue above which a job counts
// as large in the metrics: about a tenth of the jobs, given the users'
// distribution of sizes.
const largeFactor = 2

// jobSizeStats holds the mean work of a queue's jobs, in core-seconds.
type jobSizeStats struct {
	mean    float64
	samples int
}

// minSizeWeight is the minimum weight of the newest job in the mean. With it, half
// of the weight is on the last 70 jobs, which is a few seconds of load.
const minSizeWeight = 0.01

func (s *jobSizeStats) add(work float64) {
	s.samples++
	s.mean += max(minSizeWeight, 1/float64(s.samples)) * (work - s.mean)
}

// utilisationInterval is how often the utilisation of the workers is logged while
// work waits.
const utilisationInterval = time.Second

// recordUtilisation emits the utilisation of the workers while work waits.
func (m *Machine) recordUtilisation(jobs []*job, p *placer, now time.Duration) {
	waiting, tasks := 0, 0
	for _, j := range jobs {
		if n := j.waitingTasks(); n > 0 {
			waiting++
			tasks += n
		}
	}
	if waiting == 0 || now-m.utilisationReportedAt < utilisationInterval {
		return
	}
	m.utilisationReportedAt = now
	var capacity, used, serving, bestEffort, free int64
	for _, w := range p.eligible {
		capacity += w.Capacity.MilliCores
		used += w.used.MilliCores
		serving += w.serving
		bestEffort += w.bestEffort
		free += max(idleMilliCores(w), 0)
	}
	m.emit("room", "", "jobs_waiting", waiting, "tasks_waiting", tasks, "workers", len(m.workerList), "open", len(p.eligible),
		"capacity_millicores", capacity, "used", used, "serving", serving, "filling", bestEffort, "free_to_fill", free,
		"serving_room", m.ServingRoom(now).MilliCores, "ordinary_demand", m.demand.ordinary.perSecond(now), "best_effort_demand", m.demand.bestEffort.perSecond(now))
}

// waitingTasks counts the waiting tasks of the steps that are ready.
func (j *job) waitingTasks() int {
	n := 0
	for _, o := range j.occurrences {
		if o == nil || o.stepsLeft == 0 {
			continue
		}
		for _, s := range o.steps {
			if s.waitingCount > 0 && o.ready(s) {
				n += s.waitingCount
			}
		}
	}
	return n
}

// taskCounts returns the numbers of waiting tasks, of runs at full CPU share and of
// throttled runs in the steps that are ready, as log keys and values.
func (j *job) taskCounts() []any {
	var working, held int
	for _, o := range j.occurrences {
		if o == nil || o.stepsLeft == 0 {
			continue
		}
		for _, s := range o.steps {
			if !o.ready(s) {
				continue
			}
			for t := range s.tasks.recorded() {
				for _, r := range t.runs {
					if r.cpuShare < fullCPUShare {
						held++
					} else {
						working++
					}
				}
			}
		}
	}
	return []any{"waiting", j.waitingTasks(), "working", working, "held", held}
}

// placementObstacles counts the workers by what prevents the first waiting task of
// a job from being placed on them, as log keys and values.
func (m *Machine) placementObstacles(j *job, p *placer) []any {
	t := j.firstWaiting()
	if t == nil {
		return nil
	}
	var closed, avoided, memory, processor, pressure, open int
	service := m.serviceOf(j)
	for _, w := range m.workerList {
		if w.Service != service {
			continue
		}
		used := w.used
		used.MilliCores = 0
		need := fleet.Resources{MemoryMB: t.step.Need.MemoryMB, Accelerators: t.step.Need.Accelerators}
		switch {
		case !m.mayStart(w, p.now):
			closed++
		case t.avoidance.excludes(w.ID, p.now):
			avoided++
		case !used.Add(need).Fits(w.Capacity):
			memory++
		case t.step.BestEffort && idleMilliCores(w) < t.step.Need.MilliCores, !t.step.BestEffort && w.used.MilliCores+t.step.Need.MilliCores > w.Capacity.MilliCores:
			processor++
		case !p.fits(t, w, nil):
			pressure++
		default:
			open++
		}
	}
	return []any{
		"image", t.step.Image, "task_millicores", t.step.Need.MilliCores, "task_memory_mb", t.step.Need.MemoryMB,
		"closed", closed, "avoided", avoided, "no_memory", memory, "no_processor", processor, "would_press", pressure, "open", open,
	}
}

// firstWaiting returns the first task that is ready and has no run, or nil.
func (j *job) firstWaiting() *task {
	for _, o := range j.occurrences {
		if o == nil || o.stepsLeft == 0 {
			continue
		}
		for _, s := range o.steps {
			if s.waitingCount == 0 || !o.ready(s) {
				continue
			}
			for i := s.tasks.first; i < s.Count; i++ {
				if t := s.peek(i, &task{}); t != nil && len(t.runs) == 0 {
					return t
				}
			}
		}
	}
	return nil
}
