package dispatch

import (
	"cmp"
	"fmt"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/cost"
	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	// startsPerPlan bounds the starts of one plan, so that orders are sent while
	// the next plan is made.
	startsPerPlan = 64
)

// Plan issues the orders that are due at now: stops first, then starts in the
// order of the queue. unixMS is the Unix time in milliseconds, by which the
// occurrences of repeated jobs become due.
func (m *Machine) Plan(now time.Duration, unixMS int64) {
	m.expireLeases(now)
	m.sendStops(now)
	m.stopStalled(now)
	m.reviewProbations(now)
	m.planMaintenance(now)
	p := m.newPlacer(now)
	m.reserveInherited(p)
	m.setRecordRoom()
	m.room = StartRoom{Starts: min(startsPerPlan, m.startRoom.Starts), Bytes: m.startRoom.Bytes}
	jobs := m.waitingJobs(now, unixMS)
	m.orderByShare(jobs)
	for i, j := range jobs {
		if m.room.exhausted() {
			break
		}
		if j.timeliness == timelinessExpired && (i == 0 || jobs[i-1].timeliness != timelinessExpired) {
			m.startOneEach(jobs[i:], p, now)
		}
		m.startOrSkip(j, p, now)
	}
	m.evacuateDraining(p, now)
	m.recordWaits(jobs, p, now)
	m.recordWorkspaceWaits(jobs, p, now)
	m.recordUtilisation(jobs, p, now)
	m.recordTakeover(now)
	m.recordRecords(len(jobs), now)
	m.recordServingWaits(now)
	m.lastPlanAt = now
}

// StartRoom is the room for starts.
type StartRoom struct {
	Starts int
	Bytes  int // see Order.Size; the last start may exceed it
}

func (r StartRoom) exhausted() bool { return r.Starts <= 0 || r.Bytes <= 0 }

// SetStartRoom bounds the starts of the next plan.
func (m *Machine) SetStartRoom(r StartRoom) { m.startRoom = r }

// StartsHeldBack reports whether the last plan had to leave tasks waiting for lack of
// room for starts.
func (m *Machine) StartsHeldBack() bool {
	return m.room.exhausted()
}

// startOrSkip starts waiting tasks of a job. If that panics, the
// job is not planned again by this owner: an unexpected state of one job must not stop
// the work of all others.
func (m *Machine) startOrSkip(j *job, p *placer, now time.Duration) {
	defer func() {
		if cause := recover(); cause != nil {
			j.planFailed = true
			m.emit("job_plan_failed", j.ID, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	j.heldByCap, j.overCap = false, false
	m.startReady(j, p, now)
}

// recordWaits adds the time since the last plan to the blocked time of the jobs
// that still have tasks waiting for capacity.
func (m *Machine) recordWaits(jobs []*job, p *placer, now time.Duration) {
	for i, j := range jobs {
		if j.HasServingStep() || !j.hasWaiting() {
			continue
		}
		if j.heldByCap { // not for lack of capacity
			j.idleSince = now
		} else {
			j.blockedFor += now - max(m.lastPlanAt, j.arrivedAt)
		}
		m.recordTimeliness(j, i, p, now)
	}
}

// waitingJobs returns the jobs that have tasks ready to start, sorted by
// priority and then by rank: jobs that can still end in time, ordered by the
// rankFunc, and among them late jobs that have started; then the other late
// jobs, the least late first. The jobs that no longer have any value come last,
// whatever their priority: delaying them costs nothing.
// The order matters when the load exceeds the capacity.
func (m *Machine) waitingJobs(now time.Duration, unixMS int64) []*job {
	var jobs []*job
	adopted := m.allAdopted(now)
	for _, j := range m.jobs {
		if j.state.Final() || j.planFailed || j.inherited && !adopted {
			continue
		}
		m.createDueOccurrences(j, unixMS)
		if !j.hasWaiting() {
			j.idleSince = now
			continue
		}
		m.setRank(j, now, unixMS)
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.lossClass(), b.lossClass()), cmp.Compare(a.priority, b.priority), cmp.Compare(a.rank, b.rank), strings.Compare(string(a.ID), string(b.ID)))
	})
	return jobs
}

// createDueOccurrences creates the occurrences that are due. What a former owner has stored may
// lack some of them: a later one can have run while an earlier one waited.
func (m *Machine) createDueOccurrences(j *job, unixMS int64) {
	if j.Repeats == 0 {
		j.occurrence(0)
		return
	}
	j.dueOccurrences = max(j.dueOccurrences, j.countDue(unixMS))
	for open := j.openSteps(); j.opened < j.dueOccurrences && open < maxOpenSteps; j.opened++ {
		if j.occurrence(j.opened).stepsLeft > 0 {
			open += len(j.Steps)
		}
	}
}

// maxOpenSteps bounds the steps of the occurrences of a job that are open at once. Further ones
// that are due wait for one of these to end.
const maxOpenSteps = 4096

// openSteps returns the number of steps of the occurrences that are open.
func (j *job) openSteps() int {
	n := 0
	for _, o := range j.occurrences {
		if o != nil && o.stepsLeft > 0 {
			n += len(j.Steps)
		}
	}
	return n
}

// countDue returns how many occurrences are due.
func (j *job) countDue(unixMS int64) int {
	switch {
	case unixMS < j.FirstMS:
		return 0
	case j.IntervalMS == 0:
		return j.Repeats
	default:
		return int(min(uint64(unixMS-j.FirstMS)/uint64(j.IntervalMS), uint64(j.Repeats-1))) + 1
	}
}

// hasWaiting reports whether any task of a step that is ready is waiting.
func (j *job) hasWaiting() bool { return j.waitingTasks() > 0 }

// targetStart returns when the target duration of a job began: at its acceptance,
// or when its oldest unfinished occurrence was due.
func (j *job) targetStart(now time.Duration, unixMS int64) time.Duration {
	if j.Repeats == 0 {
		return j.arrivedAt
	}
	k := max(0, slices.IndexFunc(j.occurrences, func(o *occurrence) bool { return o != nil && o.stepsLeft > 0 }))
	dueMS := j.FirstMS + int64(j.firstOccurrence+k)*j.IntervalMS
	return now - max(0, time.Duration(unixMS-dueMS)*time.Millisecond)
}

// setRank sets a job's priority, rank and expected timeliness.
func (m *Machine) setRank(j *job, now time.Duration, unixMS int64) {
	q, ok := m.config.Queue(j.Queue)
	if !ok {
		j.priority, j.rank = 0, float64(j.arrivedAt)
		return
	}
	j.priority = q.Priority
	if j.HasServingStep() {
		j.rank = 0
		return
	}
	total, remaining := m.criticalPaths(j)
	c := m.costOf(j)
	c.Target, c.Age, c.Rest = m.targetDuration(j, total), now-j.targetStart(now, unixMS), remaining
	j.slack = c.Slack()
	switch c.Standing() {
	case cost.InTime:
		j.timeliness, j.rank = timelinessInTime, m.rankInTime(m, j, c.Slack())
	case cost.Late:
		j.timeliness, j.rank = timelinessLate, m.rankLate(m, j, c)
	default:
		j.timeliness, j.rank = timelinessExpired, expiredRank
	}
}

// remainingWork returns the expected remaining work of a job, in core-seconds.
func (m *Machine) remainingWork(j *job) float64 {
	work := 0.0
	for k := range j.Occurrences() {
		for i := range j.Steps {
			work += m.remainingStepWork(j, k, i)
		}
	}
	return work
}

// remainingStepWork returns the expected remaining work of a step of an occurrence, in
// core-seconds.
func (m *Machine) remainingStepWork(j *job, occurrence, step int) float64 {
	s := &j.Steps[step]
	return float64(s.Count-j.tasksDone(occurrence, step)) * float64(s.Need.MilliCores) / 1000 * m.expectedRunTime(j.Queue, s).Seconds()
}

// Ranks behind all jobs that can still end in time: above any rank that a
// rankFunc returns.
const (
	lateRank    = 1e6
	expiredRank = 1e9
)

// serviceOf returns the service whose workers run a job. If the queue of the job
// is no longer configured, that is the only service, or none if there are several.
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

// startReady starts waiting tasks of a job while there is room for starts, which only
// a gang may exceed, as it starts as a whole.
func (m *Machine) startReady(j *job, p *placer, now time.Duration) {
	q, ok := m.config.Queue(j.Queue)
	service := m.serviceOf(j)
	for _, o := range j.occurrences {
		if o == nil || o.stepsLeft == 0 {
			continue
		}
		for _, s := range o.steps {
			if s.waitingCount == 0 || !o.ready(s) {
				continue
			}
			if ok && q.Advice != nil {
				m.requestAdvice(j, s, service, p, now)
			}
			p.needsTicket = ok && q.Advice != nil
			if s.Gang {
				if s.waitingCount == s.Count && !p.withinCap(j, s, s.Count) {
					continue
				}
				if !m.startGang(s, service, p, now) && j.timeliness != timelinessExpired {
					p.reserve(s, service)
				}
				continue
			}
			m.startTasks(s, service, p, now)
			if m.room.exhausted() || p.single && j.runCount > 0 {
				return
			}
		}
	}
}

// startTasks starts waiting tasks of a step while there is room for starts.
func (m *Machine) startTasks(s *step, service fleet.Service, p *placer, now time.Duration) {
	if s.Serving && !m.mayPlaceServing(now) {
		return
	}
	unstarted := &m.unstarted
	for i := s.tasks.first; i < s.Count; i++ {
		if m.room.exhausted() || p.single && s.job.runCount > 0 {
			break
		}
		t := s.peek(i, unstarted)
		if t == unstarted && m.recordRoom <= 0 {
			break
		}
		if t == nil || len(t.runs) > 0 || t.hasUnstoredCrash() || m.mayRunElsewhere(t, now) {
			continue
		}
		if !p.withinCap(t.job, s, 1) {
			break
		}
		w := p.place(t, service, nil)
		if w == nil && s.Serving {
			w = p.placeOnClosed(t, service)
		}
		if w == nil && s.BestEffort && p.mayStartStarved(t.job, service) && m.startStarved(t, service, p, now) {
			continue
		}
		if w == nil {
			if t.avoidance.isActive(now) || t.isSuspect() || len(t.unanswered) > 0 {
				continue // another task of the step may fit
			}
			break
		}
		if !p.takeUnreserved(s, service, 1) {
			break
		}
		t = m.recordOf(t)
		m.start(t, w, m.nextRun(t), now)
	}
}

// startGang starts all members of a gang, or none, and reports whether it has.
func (m *Machine) startGang(s *step, service fleet.Service, p *placer, now time.Duration) bool {
	if s.waitingCount < s.Count-s.doneCount || s.doneCount > 0 || m.recordRoom <= 0 {
		return false
	}
	unstarted := s.newTask(0)
	number, checkpoint := m.nextRun(&unstarted), ""
	for t := range s.tasks.recorded() {
		if t.hasUnstoredCrash() || m.mayRunElsewhere(t, now) {
			return false
		}
		number, checkpoint = max(number, m.nextRun(t)), max(checkpoint, t.checkpoint)
	}
	var chosen []*worker
	if s.SameRack {
		chosen = p.placeInOneRack(s, service)
	}
	if chosen == nil {
		chosen = p.placeAll(s, service)
	}
	if chosen == nil || !p.takeUnreserved(s, service, s.Count) {
		return false
	}
	m.recordRoom -= s.countUnstarted()
	for i := range s.Count {
		t := s.record(i)
		t.checkpoint = checkpoint
		m.start(t, chosen[i], number, now)
	}
	return true
}

// nextRun returns the number of a task's next run, which is above those of all
// runs that this or a former owner may have started.
func (m *Machine) nextRun(t *task) int {
	last := t.lastRun
	if t.step.Gang {
		last = max(last, t.step.lastGangRun)
	}
	return max(last+1, (m.term-1)*runsPerTerm+1)
}

// start creates a run of a task on a worker and issues the start order.
func (m *Machine) start(t *task, w *worker, number int, now time.Duration) {
	waited := now - t.waitingSince
	ticketText, _ := t.step.ticketFor(w.ID, now)
	m.interference.recordTry(t.step.Step, &w.colocated, now)
	m.attach(t, w, number, now).startInFlight = true
	o := Order{
		Kind: OrderStart, Worker: w.ID, Task: t.name, Run: number, Payload: t.job.Payload, Checkpoint: t.checkpoint, Ticket: ticketText,
		ReplacesUnanswered: len(t.unanswered) > 0,
	}
	m.orders = append(m.orders, o)
	m.room.Starts--
	m.room.Bytes -= o.Size()
	m.emit("run_started", t.job.ID, "task", t.name, "run", number, "worker", w.ID, "waited", waited, "report_age", now-w.reportedAt)
}
