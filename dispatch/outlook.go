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
type outlook string

// Outlooks, the best first.
const (
	outlookInTime outlook = "in time"
	outlookLate   outlook = "late" // worth less
	outlookLost   outlook = "lost" // worth nothing
)

// noteOutlook tells of a job whose outlook has changed, with what it lacks. It
// is called after a plan, so that what is counted as free is what the jobs
// ahead have left.
func (m *Machine) noteOutlook(j *job, place int, room *room, now time.Duration) {
	if j.outlook == j.toldOutlook {
		return
	}
	before := j.toldOutlook
	j.toldOutlook = j.outlook
	if before == "" && j.outlook == outlookInTime {
		return
	}
	whole, rest := m.chains(j)
	keyvals := []any{
		"queue", j.Queue, "outlook", j.outlook, "before", before, "age", now - j.arrived, "wanted", m.wanted(j, whole), "rest", rest,
		"work", j.work, "rest_work", m.restWork(j), "passed", j.passed, "place", place,
	}
	m.event("job_outlook", j.ID, append(append(keyvals, j.tally()...), m.lacking(j, room)...)...)
}

// noteJob tells of a job that has been taken over, with what decides where it
// can go.
func (m *Machine) noteJob(j *job, revision store.Revision) {
	whole, rest := m.chains(j)
	tasks := 0
	var images []string
	for i := range j.Steps {
		tasks += j.Steps[i].Count
		if image := j.Steps[i].Image; image != "" && !slices.Contains(images, image) {
			images = append(images, image)
		}
	}
	m.event("job_taken_over", j.ID, "queue", j.Queue, "revision", revision, "inherited", j.inherits, "steps", len(j.Steps), "tasks", tasks,
		"images", strings.Join(images, ","), "work", j.work, "chain", whole, "rest", rest, "wanted", m.wanted(j, whole))
}

// noteEnd tells of a job that has ended, with what it took of the time in which
// it was wanted.
func (m *Machine) noteEnd(j *job, now time.Duration) {
	whole, _ := m.chains(j)
	wanted, took := m.wanted(j, whole), now-j.arrived
	m.event("job_ended", j.ID, "state", j.state, "queue", j.Queue, "work", j.work, "took", took, "wanted", wanted,
		"passed", j.passed, "outlook", j.outlook, "inherited", j.inherits)
	if j.HasServingStep() || j.Repeats > 0 {
		return // there is no one time in which they are wanted
	}
	end := &JobEnded{State: j.state, Duration: took, Large: j.work > largeFactor*m.sizes[j.Queue].mean}
	switch {
	case j.state != workload.StateCompleted:
	case took <= wanted:
		end.Timeliness = string(outlookInTime)
	case took <= lateFactor*wanted:
		end.Timeliness = string(outlookLate)
	default:
		end.Timeliness = string(outlookLost)
	}
	m.events[len(m.events)-1].Ended = end
}

// largeFactor tells large jobs from others in the metrics. Source: about a
// tenth of jobs with the users' spread of sizes.
const largeFactor = 2

// sizeStats is the mean work of a queue's jobs, in core-seconds.
type sizeStats struct {
	mean float64
	seen int
}

// sizeWeight is the least weight of the newest job in the mean. Source: half of
// the weight lies on the last seventy jobs, some seconds of load.
const sizeWeight = 0.01

func (s *sizeStats) take(work float64) {
	s.seen++
	s.mean += max(sizeWeight, 1/float64(s.seen)) * (work - s.mean)
}

// roomInterval is how often the use of the workers is told while work waits.
const roomInterval = time.Second

// noteRoom tells how much of the workers is in use while work waits.
func (m *Machine) noteRoom(line []*job, room *room, now time.Duration) {
	waiting, tasks := 0, 0
	for _, j := range line {
		if n := j.waitingTasks(); n > 0 {
			waiting++
			tasks += n
		}
	}
	if waiting == 0 || now-m.roomTold < roomInterval {
		return
	}
	m.roomTold = now
	var capacity, used, serving, filling, free int64
	for _, w := range room.open {
		capacity += w.Capacity.MilliCores
		used += w.used.MilliCores
		serving += w.serving
		filling += w.filling
		free += max(idle(w), 0)
	}
	m.event("room", "", "jobs_waiting", waiting, "tasks_waiting", tasks, "workers", len(m.list), "open", len(room.open),
		"capacity_millicores", capacity, "used", used, "serving", serving, "filling", filling, "free_to_fill", free)
}

// waitingTasks counts the waiting tasks of the steps whose turn has come.
func (j *job) waitingTasks() int {
	n := 0
	for _, o := range j.occ {
		if o == nil || o.left == 0 {
			continue
		}
		for _, s := range o.steps {
			if s.waiting > 0 && o.ready(s) {
				n += s.waiting
			}
		}
	}
	return n
}

// tally counts the tasks of the steps whose turn has come.
func (j *job) tally() []any {
	var working, held int
	for _, o := range j.occ {
		if o == nil || o.left == 0 {
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
func (m *Machine) lacking(j *job, room *room) []any {
	t := j.firstWaiting()
	if t == nil {
		return nil
	}
	var closed, memory, processor, pressure, open int
	service := m.serviceOf(j)
	for _, w := range m.list {
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
		case t.step.BestEffort && idle(w) < t.step.Need.MilliCores, !t.step.BestEffort && w.used.MilliCores+t.step.Need.MilliCores > w.Capacity.MilliCores:
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
	for _, o := range j.occ {
		if o == nil || o.left == 0 {
			continue
		}
		for _, s := range o.steps {
			if s.waiting == 0 || !o.ready(s) {
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
