package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/cost"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Backlogs predict for admission control when a new job will be served. The load that they
// answer is a burst: within a second it fills the workers, and no run of it has ended yet.
//
// Queues compete for the same room if their jobs run on the same service and are of the same
// kind of work. Among them the work of queues with higher priority goes first, also what
// arrives of it later, and the work of queues with equal priority goes by rank.

// roomKind is what jobs compete for.
type roomKind struct {
	service    fleet.Service
	bestEffort bool
}

// backlogGroup is the jobs of one kind of work that go by rank among each other.
type backlogGroup struct {
	roomKind
	priority int
}

// QueueBacklog is the work that new jobs of a queue wait for.
type QueueBacklog struct {
	// Throughput is the core-seconds per second that queues with higher priority leave.
	Throughput   float64
	RunTimeRatio float64 // run time relative to the submitters' estimates
	MeanWork     float64 // core-seconds of the mean job
	Backlog      []RankBacklog
}

// RankBacklog is what goes before a new job of a rank.
type RankBacklog struct {
	Rank        float64
	Work        float64 // waiting, in core-seconds
	ArrivalRate float64 // of such work, in core-seconds per second
}

const (
	// maxReportedRanks bounds the number of ranks reported for one queue.
	maxReportedRanks = 8
	// minLeftShare is the least share of the throughput that queues with higher priority
	// are expected to leave: a burst of them ends.
	minLeftShare = 0.1
)

// backlogState is the work of one group.
type backlogState struct {
	backlogGroup
	waiting []jobBacklog
	recent  []jobBacklog // arrived within demandWindow, with the ranks that they had before they started
	queues  []string     // with unfinished jobs, sorted
}

// jobBacklog is the waiting work of a job.
type jobBacklog struct {
	rank, work float64
	yieldsAt   time.Duration // the delay by which it is late and goes behind others; 0: it never does
}

// isBestEffort reports whether a job has steps that run beside services.
func isBestEffort(j *workload.Job) bool {
	return slices.ContainsFunc(j.Steps, func(s workload.Step) bool { return s.BestEffort })
}

// backlogGroup returns the group of a job.
func (m *Machine) backlogGroup(j *job) backlogGroup {
	g := backlogGroup{roomKind: roomKind{m.serviceOf(j), isBestEffort(&j.Job)}}
	if q, ok := m.config.Queue(j.Queue); ok {
		g.priority = q.Priority
	}
	return g
}

// Backlogs returns what the ordinary and the best-effort jobs of a queue wait for, for each
// queue of a group with waiting work. An owner that does not know yet what runs returns none:
// it takes running tasks for waiting ones.
func (m *Machine) Backlogs(now time.Duration) (ordinary, bestEffort map[string]QueueBacklog) {
	ordinary, bestEffort = make(map[string]QueueBacklog), make(map[string]QueueBacklog)
	if !m.allAdopted(now) {
		return ordinary, bestEffort
	}
	groups, running := m.backlogGroups(now)
	for _, g := range groups {
		if len(g.waiting) == 0 {
			continue
		}
		backlogs := ordinary
		if g.bestEffort {
			backlogs = bestEffort
		}
		throughput := m.throughputLeft(g, running[g.roomKind], groups, now)
		points := cumulate(waitingBefore(g, groups), throughput, slices.Clone(g.waiting), slices.Clone(g.recent))
		for _, queue := range g.queues {
			if q, ok := m.queues[queue]; ok {
				backlogs[queue] = QueueBacklog{Throughput: throughput, RunTimeRatio: q.ratio, MeanWork: m.jobSizes[queue].mean, Backlog: points}
			}
		}
	}
	return ordinary, bestEffort
}

// backlogGroups returns the groups of the unfinished jobs that still have value, and the
// processor that is in use for each kind of work, in cores. Sums of floats depend on the order,
// so that the order is always the same.
func (m *Machine) backlogGroups(now time.Duration) (groups []*backlogState, running map[roomKind]float64) {
	byGroup, running := make(map[backlogGroup]*backlogState), make(map[roomKind]float64)
	for _, j := range m.backlogJobs(now) {
		g := m.backlogGroup(j)
		state := byGroup[g]
		if state == nil {
			state = &backlogState{backlogGroup: g}
			byGroup[g] = state
			groups = append(groups, state)
		}
		if now-j.arrivedAt <= demandWindow && !j.heldByCap {
			c := cost.Job{Work: j.estimatedWork, MeanWork: m.jobSizes[j.Queue].mean, Remaining: j.estimatedWork}
			state.recent = append(state.recent, jobBacklog{rank: rankOfUnstarted(&j.Job, c), work: j.estimatedWork * j.dueShare()})
		}
		if j.state.Final() {
			continue
		}
		running[g.roomKind] += j.runningCores()
		if j.timeliness == timelinessExpired {
			continue // it goes behind all others
		}
		if i, found := slices.BinarySearch(state.queues, j.Queue); !found {
			state.queues = slices.Insert(state.queues, i, j.Queue)
		}
		if !j.hasWaiting() || j.heldByCap {
			continue // room of others doesn't help it
		}
		left := jobBacklog{rank: j.rank, work: m.waitingWork(j)}
		if j.timeliness == timelinessInTime && !j.started() {
			left.yieldsAt = j.slack
		}
		state.waiting = append(state.waiting, left)
	}
	return groups, running
}

// dueShare returns the share of a job's occurrences that are due.
func (j *job) dueShare() float64 {
	if j.Repeats == 0 {
		return 1
	}
	return float64(j.dueOccurrences) / float64(j.Repeats)
}

// backlogJobs returns the batch jobs that are unfinished or have arrived within demandWindow,
// sorted by ID.
func (m *Machine) backlogJobs(now time.Duration) []*job {
	var jobs []*job
	for _, j := range m.jobs {
		if (!j.state.Final() || now-j.arrivedAt <= demandWindow) && !j.HasServingStep() {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}

// waitingWork returns the expected work of the tasks of a job that are ready and not started.
// Room opens as running tasks end, so what is running delays nothing that waits.
func (m *Machine) waitingWork(j *job) float64 {
	if !j.isPlanned() {
		return m.remainingWork(j) // not planned yet
	}
	work := 0.0
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, s := range o.steps {
			if o.ready(s) {
				work += float64(s.waitingCount) * float64(s.Need.MilliCores) / 1000 * m.expectedRunTime(j.Queue, s.Step).Seconds()
			}
		}
	}
	return work
}

// runningCores returns the processor that a job's runs may use, in cores.
func (j *job) runningCores() float64 {
	cores := 0.0
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, s := range o.steps {
			for t := range s.tasks.recorded() {
				for _, r := range t.runs {
					cores += float64(s.Need.MilliCores) / 1000 * float64(max(r.cpuShare, 0)) / fullCPUShare
				}
			}
		}
	}
	return cores
}

// freeCores returns the idle processor that ordinary work of a service may take, in cores.
func (m *Machine) freeCores(service fleet.Service, now time.Duration) float64 {
	free := int64(0)
	for _, w := range m.workerList {
		if w.Service == service && m.mayStart(w, now) {
			free += max(w.Capacity.MilliCores-w.used.MilliCores, 0)
		}
	}
	return float64(free) / 1000
}

// throughputLeft returns the core-seconds per second that queues with higher priority leave to
// a group. What runs shows a burst at once, and what has ended lately bridges the moments in
// which little runs, as after a takeover.
func (m *Machine) throughputLeft(g *backlogState, running float64, groups []*backlogState, now time.Duration) float64 {
	ended, before := 0.0, 0.0
	counted := make(map[string]bool)
	for _, o := range groups {
		if o.roomKind != g.roomKind {
			continue
		}
		for _, queue := range o.queues {
			if q, ok := m.queues[queue]; ok && !counted[queue] {
				counted[queue] = true
				q.decayThroughput(now)
				ended += q.throughput
			}
		}
		if o.priority < g.priority && len(o.queues) > 0 {
			before += totalWork(o.recent) / demandWindow.Seconds()
		}
	}
	if !g.bestEffort {
		running += m.freeCores(g.service, now)
	}
	all := max(running, ended)
	return max(all-before, minLeftShare*all)
}

// waitingBefore returns the waiting work of the groups that go before a group.
func waitingBefore(g *backlogState, groups []*backlogState) float64 {
	work := 0.0
	for _, o := range groups {
		if o.roomKind == g.roomKind && o.priority < g.priority {
			work += totalWork(o.waiting)
		}
	}
	return work
}

func totalWork(jobs []jobBacklog) float64 {
	work := 0.0
	for _, j := range jobs {
		work += j.work
	}
	return work
}

// cumulate returns what goes before new jobs of up to maxReportedRanks of the ranks of the
// waiting jobs, on top of the work before them all.
func cumulate(before, throughput float64, waiting, recent []jobBacklog) []RankBacklog {
	byRank := func(a, b jobBacklog) int { return cmp.Compare(a.rank, b.rank) }
	slices.SortFunc(waiting, byRank)
	slices.SortFunc(recent, byRank)
	var points []RankBacklog
	if before > 0 {
		points = append(points, RankBacklog{Rank: firstRank, Work: before})
	}
	sum, arrived := before, 0.0
	for i, j := range waiting {
		if j.yieldsAt == 0 || sum <= j.yieldsAt.Seconds()*throughput {
			sum += j.work
		}
		for len(recent) > 0 && recent[0].rank < j.rank {
			arrived += recent[0].work
			recent = recent[1:]
		}
		if (i+1)*maxReportedRanks/len(waiting) > i*maxReportedRanks/len(waiting) {
			points = append(points, RankBacklog{Rank: j.rank, Work: sum, ArrivalRate: arrived / demandWindow.Seconds()})
		}
	}
	return points
}

// firstRank is below the ranks of all jobs.
const firstRank = -1
