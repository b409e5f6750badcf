package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// outlook is how a batch job can still end.
type timeliness string

// Outlooks, the best first.
const (
	timelinessInTime  timeliness = "in time"
	timelinessLate    timeliness = "late" // worth less
	timelinessExpired timeliness = "lost" // worth nothing
)

// noteOutlook tells of a job whose outlook has changed, with what it lacks. It
// is called after a plan, so that what is counted as free is what the jobs
// ahead have left.
func (m *Machine) recordTimeliness(j *job, place int, room *placer, now time.Duration) {
	if j.timeliness == j.reportedTimeliness {
		return
	}
	before := j.reportedTimeliness
	j.reportedTimeliness = j.timeliness
	if before == "" && j.timeliness == timelinessInTime {
		return
	}
	whole, rest := m.criticalPaths(j)
	keyvals := []any{
		"queue", j.Queue, "outlook", j.timeliness, "before", before, "age", now - j.arrivedAt, "wanted", m.targetDuration(j, whole), "rest", rest,
		"work", j.estimatedWork, "rest_work", m.remainingWork(j), "passed", j.blockedFor, "place", place,
	}
	m.emit("job_outlook", j.ID, append(append(keyvals, j.taskCounts()...), m.placementObstacles(j, room)...)...)
}

// noteJob tells of a job that has been taken over, with what decides where it
// can go.
func (m *Machine) recordJobAdded(j *job, revision store.Revision) {
	whole, rest := m.criticalPaths(j)
	tasks := 0
	var images []string
	for i := range j.Steps {
		tasks += j.Steps[i].Count
		if image := j.Steps[i].Image; image != "" && !slices.Contains(images, image) {
			images = append(images, image)
		}
	}
	m.emit("job_taken_over", j.ID, "queue", j.Queue, "revision", revision, "inherited", j.inherited, "steps", len(j.Steps), "tasks", tasks,
		"images", strings.Join(images, ","), "work", j.estimatedWork, "chain", whole, "rest", rest, "wanted", m.targetDuration(j, whole))
}

// noteEnd tells of a job that has ended, with what it took of the time in which
// it was wanted.
func (m *Machine) recordJobEnded(j *job, now time.Duration) {
	whole, _ := m.criticalPaths(j)
	wanted, took := m.targetDuration(j, whole), now-j.arrivedAt
	m.emit("job_ended", j.ID, "state", j.state, "queue", j.Queue, "work", j.estimatedWork, "took", took, "wanted", wanted,
		"passed", j.blockedFor, "outlook", j.timeliness, "inherited", j.inherited)
	if j.Serves() || j.Repeats > 0 {
		return // there is no one time in which they are wanted
	}
	end := &JobEnded{State: j.state, Duration: took, Large: j.estimatedWork > largeFactor*m.jobSizes[j.Queue].mean}
	switch {
	case j.state != workload.StateCompleted:
	case took <= wanted:
		end.Timeliness = string(timelinessInTime)
	case took <= lateFactor*wanted:
		end.Timeliness = string(timelinessLate)
	default:
		end.Timeliness = string(timelinessExpired)
	}
	m.events[len(m.events)-1].Ended = end
}

// largeFactor tells large jobs from others in the metrics. Source: about a
// tenth of jobs with the users' spread of sizes.
const largeFactor = 2

// sizeStats is the mean work of a queue's jobs, in core-seconds.
type jobSizeStats struct {
	mean    float64
	samples int
}

// sizeWeight is the least weight of the newest job in the mean. Source: half of
// the weight lies on the last seventy jobs, some seconds of load.
const minSizeWeight = 0.01

func (s *jobSizeStats) add(work float64) {
	s.samples++
	s.mean += max(minSizeWeight, 1/float64(s.samples)) * (work - s.mean)
}

// roomInterval is how often the use of the workers is told while work waits.
const utilisationInterval = time.Second

// noteRoom tells how much of the workers is in use while work waits.
func (m *Machine) recordUtilisation(line []*job, room *placer, now time.Duration) {
	waiting, tasks := 0, 0
	for _, j := range line {
		if n := j.waitingTasks(); n > 0 {
			waiting++
			tasks += n
		}
	}
	if waiting == 0 || now-m.utilisationReportedAt < utilisationInterval {
		return
	}
	m.utilisationReportedAt = now
	var capacity, used, serving, filling, free int64
	for _, w := range room.eligible {
		capacity += w.Capacity.MilliCores
		used += w.used.MilliCores
		serving += w.serving
		filling += w.filling
		free += max(idleMilliCores(w), 0)
	}
	m.emit("room", "", "jobs_waiting", waiting, "tasks_waiting", tasks, "workers", len(m.workerList), "open", len(room.eligible),
		"capacity_millicores", capacity, "used", used, "serving", serving, "filling", filling, "free_to_fill", free)
}

// waitingTasks counts the waiting tasks of the steps whose turn has come.
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

// tally counts the tasks of the steps whose turn has come.
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
			for _, t := range s.tasks {
				for _, r := range t.runs {
					if r.pace < fullPace {
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

// lacking counts the workers by what keeps the first waiting task of a job off
// them.
func (m *Machine) placementObstacles(j *job, room *placer) []any {
	t := j.firstWaiting()
	if t == nil {
		return nil
	}
	var closed, memory, processor, pressure, open int
	service := m.serviceOf(j)
	for _, w := range m.workerList {
		if w.Service != service {
			continue
		}
		free := w.used
		free.MilliCores = 0
		need := fleet.Resources{MemoryMB: t.step.Need.MemoryMB, Accelerators: t.step.Need.Accelerators}
		switch {
		case !m.mayStart(w, room.now):
			closed++
		case !free.Add(need).Fits(w.Capacity):
			memory++
		case t.step.Filling && idleMilliCores(w) < t.step.Need.MilliCores, !t.step.Filling && w.used.MilliCores+t.step.Need.MilliCores > w.Capacity.MilliCores:
			processor++
		case !room.fits(t, w, nil):
			pressure++
		default:
			open++
		}
	}
	return []any{
		"image", t.step.Image, "task_millicores", t.step.Need.MilliCores, "task_memory_mb", t.step.Need.MemoryMB,
		"closed", closed, "no_memory", memory, "no_processor", processor, "would_press", pressure, "open", open,
	}
}

func (j *job) firstWaiting() *task {
	for _, o := range j.occurrences {
		if o == nil || o.stepsLeft == 0 {
			continue
		}
		for _, s := range o.steps {
			if s.waitingCount == 0 || !o.ready(s) {
				continue
			}
			for _, t := range s.tasks {
				if !t.done && len(t.runs) == 0 {
					return t
				}
			}
		}
	}
	return nil
}
