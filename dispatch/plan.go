package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	// lateFactor is how many times its wanted time a job may take and still be
	// worth something. Source: the users' rule on late jobs.
	lateFactor = 3
	// lateValue is what a job is worth that ends late, of what it is in time.
	// Source: the users' sheets.
	lateValue = 0.15
	// startsPerPlan bounds the starts of one plan, so that orders go out while
	// the next is made.
	startsPerPlan = 64
)

// Plan gives out what is due at now: stops, starts in order of need, paces.
// unixMS is the time of day, for occurrences in time.
func (m *Machine) Plan(now time.Duration, unixMS int64) {
	m.expire(now)
	m.sendStops(now)
	m.watchProgress(now)
	m.planUpkeep(now)
	room := m.newRoom(now)
	starts := 0
	line := m.line(now, unixMS)
	for _, j := range line {
		if starts >= startsPerPlan {
			break
		}
		starts += m.startReady(j, room, now, startsPerPlan-starts)
	}
	m.leaveDraining(room, now)
	m.notePassed(line, room, now)
	m.noteRoom(line, room, now)
	m.planned = now
}

// notePassed counts the time for which jobs in line find no room.
func (m *Machine) notePassed(line []*job, room *room, now time.Duration) {
	for i, j := range line {
		if j.HasServingStep() || !j.hasWaiting() {
			continue
		}
		j.passed += now - max(m.planned, j.arrived)
		m.noteOutlook(j, i, room, now)
	}
}

// line returns the jobs with waiting tasks whose turn has come, in the order
// in which they are to be served: by priority, then those that can still be in
// time by lineOrder, with late ones that have begun among them, then the other
// late ones, the least late first, then those that are worth nothing any more.
// It answers loads above room.
func (m *Machine) line(now time.Duration, unixMS int64) []*job {
	var jobs []*job
	adopted := m.allAdopted(now)
	for _, j := range m.jobs {
		if j.state.Final() || j.inherits && !adopted {
			continue
		}
		m.openOccurrences(j, unixMS)
		if !j.hasWaiting() {
			continue
		}
		m.rank(j, now, unixMS)
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.key, b.key), strings.Compare(string(a.ID), string(b.ID)))
	})
	return jobs
}

// openOccurrences creates the occurrences whose time has come.
func (m *Machine) openOccurrences(j *job, unixMS int64) {
	if j.Repeats == 0 {
		j.occurrence(0)
		return
	}
	for len(j.occ) < j.Repeats && unixMS >= j.FirstMS+int64(len(j.occ))*j.IntervalMS {
		j.occurrence(len(j.occ))
	}
}

func (j *job) hasWaiting() bool { return j.waitingTasks() > 0 }

// dueSince is when the time in which a job is wanted began: at its acceptance,
// or when its oldest open occurrence was due.
func (j *job) dueSince(now time.Duration, unixMS int64) time.Duration {
	if j.Repeats == 0 {
		return j.arrived
	}
	k := max(0, slices.IndexFunc(j.occ, func(o *occurrence) bool { return o != nil && o.left > 0 }))
	dueMS := j.FirstMS + int64(k)*j.IntervalMS
	return now - max(0, time.Duration(unixMS-dueMS)*time.Millisecond)
}

// rank sets a job's place in line.
func (m *Machine) rank(j *job, now time.Duration, unixMS int64) {
	q, ok := m.config.Queue(j.Queue)
	if !ok {
		j.priority, j.key = 0, float64(j.arrived)
		return
	}
	j.priority = q.Priority
	if j.HasServingStep() {
		j.key = 0
		return
	}
	whole, rest := m.chains(j)
	wanted, since := m.wanted(j, whole), j.dueSince(now, unixMS)
	slack := since + wanted - now - rest
	switch {
	case slack >= 0:
		j.outlook, j.key = outlookInTime, m.order(m, j, slack)
	case now+rest < since+lateFactor*wanted:
		j.outlook, j.key = outlookLate, lateKey-slack.Seconds()
		if m.finishes && j.begun() {
			j.key = j.partLeft() / lateValue
		}
	default:
		j.outlook, j.key = outlookLost, lostKey
	}
}

// wanted is the time in which a job is wanted to end, of its longest chain of
// work; 0 if its queue is not configured.
func (m *Machine) wanted(j *job, chain time.Duration) time.Duration {
	q, ok := m.config.Queue(j.Queue)
	if !ok {
		return 0
	}
	return time.Duration(q.Stretch*float64(chain)) + q.Objective
}

// restWork is the expected work left of a job, in core-seconds.
func (m *Machine) restWork(j *job) float64 {
	work := 0.0
	for k := range j.Occurrences() {
		for i := range j.Steps {
			s := &j.Steps[i]
			work += float64(s.Count-j.doneOf(k, i)) * float64(s.Need.MilliCores) / 1000 * m.expected(j.Queue, s).Seconds()
		}
	}
	return work
}

// Places in line behind all jobs that can still be in time, above any key that
// a lineOrder gives.
const (
	lateKey = 1e6
	lostKey = 1e9
)

// chains returns the expected longest chain of work of a job, and of what is
// left of it.
func (m *Machine) chains(j *job) (whole, rest time.Duration) {
	var o *occurrence
	for _, c := range j.occ {
		if c != nil && c.left > 0 {
			o = c
		}
	}
	wholes := make([]time.Duration, len(j.Steps))
	rests := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		s := &j.Steps[i]
		for _, before := range s.After {
			wholes[i] = max(wholes[i], wholes[before])
			rests[i] = max(rests[i], rests[before])
		}
		d := m.expected(j.Queue, s)
		wholes[i] += d
		if o == nil || o.steps[i].done < s.Count {
			rests[i] += d
		}
		whole, rest = max(whole, wholes[i]), max(rest, rests[i])
	}
	return whole, rest
}

// serviceOf names the service whose workers run a job. A job whose queue is not
// configured any more goes to the only service there is.
func (m *Machine) serviceOf(j *job) fleet.Service {
	if q, ok := m.config.Queue(j.Queue); ok {
		return q.Service
	}
	if len(m.config.Services) == 1 {
		for name := range m.config.Services {
			return name
		}
	}
	return ""
}

// startReady starts waiting tasks of a job and returns how many.
func (m *Machine) startReady(j *job, room *room, now time.Duration, most int) int {
	q, ok := m.config.Queue(j.Queue)
	service := m.serviceOf(j)
	started := 0
	for _, o := range j.occ {
		if o == nil || o.left == 0 {
			continue
		}
		for _, s := range o.steps {
			if s.waiting == 0 || !o.ready(s) {
				continue
			}
			if ok && q.Advice != nil {
				m.ask(j, s, service, room, now)
			}
			room.advised = ok && q.Advice != nil
			if s.Gang {
				n := m.startGang(s, service, room, now)
				if n == 0 && j.outlook != outlookLost {
					room.reserve(s, service)
				}
				started += n
				continue
			}
			started += m.startTasks(s, service, room, now, most-started)
			if started >= most {
				return started
			}
		}
	}
	return started
}

func (m *Machine) startTasks(s *step, service fleet.Service, room *room, now time.Duration, most int) int {
	if s.Serving && !m.settled(now) {
		return 0
	}
	started := 0
	for _, t := range s.tasks {
		if started >= most {
			break
		}
		if t.done || len(t.runs) > 0 || m.mayRunElsewhere(t, now) {
			continue
		}
		w := room.place(t, service, nil)
		if w == nil {
			if t.avoid != "" {
				continue // another task of the step may fit
			}
			break
		}
		m.start(t, w, m.nextRun(t), now)
		started++
	}
	return started
}

// startGang starts all members of a gang, or none.
func (m *Machine) startGang(s *step, service fleet.Service, room *room, now time.Duration) int {
	if s.waiting < s.Count-s.done || s.done > 0 {
		return 0
	}
	if slices.ContainsFunc(s.tasks, func(t *task) bool { return m.mayRunElsewhere(t, now) }) {
		return 0
	}
	number := 0
	for _, t := range s.tasks {
		number = max(number, m.nextRun(t))
	}
	var chosen []*worker
	if s.SameRack {
		chosen = room.placeInOneRack(s, service)
	}
	if chosen == nil {
		chosen = room.placeAll(s, service)
	}
	if chosen == nil {
		return 0
	}
	checkpoint := ""
	for _, t := range s.tasks {
		checkpoint = max(checkpoint, t.checkpoint)
	}
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		m.start(t, chosen[i], number, now)
	}
	return s.Count
}

// nextRun numbers a task's next run above all runs that this or a former
// owner may have started.
func (m *Machine) nextRun(t *task) int {
	last := t.lastRun
	if t.step.Gang {
		last = max(last, t.step.gangRun)
	}
	return max(last+1, (m.term-1)*runsPerTerm+1)
}

func (m *Machine) start(t *task, w *worker, number int, now time.Duration) {
	waited := now - t.waitsFrom
	ticketText, _ := t.step.ticketFor(w.ID, now)
	m.attach(t, w, number, now)
	m.orders = append(m.orders, Order{
		Kind: OrderStart, Worker: w.ID, Task: t.name, Run: number, Payload: t.job.Payload, Checkpoint: t.checkpoint, Ticket: ticketText,
	})
	m.event("run_started", t.job.ID, "task", t.name, "run", number, "worker", w.ID, "waited", waited, "report_age", now-w.reported)
}

const (
	// stalledAfter is how long a batch run may show no progress. Source: a
	// run of 5 s gains a percent each 50 ms; a fivefold slow one each 250 ms.
	stalledAfter = 1500 * time.Millisecond
)

// watchProgress stops batch runs that stand still, so that they run elsewhere.
// It answers workers whose tasks hang while their reports go on.
func (m *Machine) watchProgress(now time.Duration) {
	for _, w := range m.list {
		if now-w.reported > stalledAfter/2 {
			continue
		}
		for _, r := range w.runs {
			if r.task.step.Serving || r.state != runRunning || r.pace != fullPace || r.percentAt == 0 {
				continue
			}
			if now-max(r.percentAt, r.confirmed) < stalledAfter {
				continue
			}
			m.event("run_stalled", r.task.job.ID, "task", r.task.name, "run", r.number, "worker", w.ID, "percent", r.percent, "still", now-r.percentAt)
			r.task.avoid = w.ID
			m.strike(w, r.task.job.ID, now)
			m.stop(r, "no progress")
		}
	}
}
