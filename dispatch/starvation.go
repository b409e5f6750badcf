package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Best-effort tasks are placed where the learned interference leaves every serving task
// within its target. An image whose pressure is too high for some serving task on each worker
// fits nowhere, and as what does not run is not observed, its pressure is never corrected. A
// starved job therefore gets one run at a time on a few workers, at a CPU share that the
// serving tasks there are expected to bear.
//
// Invariant: while services and ordinary batch work use up to maxOverdueUse of the processors
// of the workers that may get work, a starved job has nothing running for maxStarvedIdle and a
// plan at most if one of them has the memory for its task and fewer than maxEqualRuns runs of
// starved jobs.

// starvedAfter is how long tasks of a job may have waited for capacity, in all, before the
// learned interference no longer keeps all of them waiting.
const starvedAfter = 15 * time.Second

const (
	// maxStarvedIdle is how long a starved job may have nothing running for lack of idle
	// processor. A job that can run must do so within 3 s.
	maxStarvedIdle = 1500 * time.Millisecond
	// maxOverdueUse is the use of the processors up to which this holds. It must hold at least for
	// half of a service, of whose workers some may get no work at present.
	maxOverdueUse = 0.6
	// maxEqualRuns is the number of equal runs on a worker up to which all are throttled at
	// once, as each has minBlameShare of the pressure.
	maxEqualRuns = 6
)

// isStarved reports whether a job may start a task regardless of the learned interference.
func (j *job) isStarved() bool { return j.runCount == 0 && j.blockedFor >= starvedAfter }

// isInterrupted reports whether a job that has had runs has none for maxStarvedIdle.
func (j *job) isInterrupted(now time.Duration) bool {
	return j.state == workload.StateRunning && j.runCount == 0 && j.isOverdue(now)
}

// isOverdue reports whether a starved job may start a task regardless of the idle processor.
func (j *job) isOverdue(now time.Duration) bool { return now-j.idleSince >= maxStarvedIdle }

// starvedRoom bounds the workers of a service with runs of starved jobs in one plan.
type starvedRoom struct {
	unopened        int               // workers that may still get their first such run
	opened          []*worker         // those that have any
	unplaced        []fleet.Resources // requests that found no worker
	unplacedOverdue []fleet.Resources // requests of overdue jobs that found none
	admitsOverdue   bool              // the use is at most maxOverdueUse
}

// newStarvedRoom returns the room that the present runs of a service leave. Half of the workers may have
// runs of starved jobs when services and ordinary batch work use half of the processors, and
// hardly any at high load.
func (p *placer) newStarvedRoom(service fleet.Service) *starvedRoom {
	var capacity, used int64
	workers := 0
	room := &starvedRoom{}
	for _, w := range p.eligible {
		if w.Service != service {
			continue
		}
		workers++
		capacity += w.Capacity.MilliCores
		used += w.used.MilliCores
		if w.starvedRuns > 0 {
			room.opened = append(room.opened, w)
		}
	}
	unused := 1 - float64(used)/float64(max(capacity, 1))
	share := min(4*unused*unused*unused, 1)
	room.unopened = max(1, int(share*float64(workers))) - len(room.opened)
	room.admitsOverdue = unused >= 1-maxOverdueUse
	return room
}

// open counts a worker that gets a run of a starved job.
func (r *starvedRoom) open(w *worker) {
	if w.starvedRuns == 0 {
		r.unopened--
		r.opened = append(r.opened, w)
	}
}

// isExhaustedFor reports whether a request fits nowhere, as one of those that found no worker
// in this plan is not larger.
func isExhaustedFor(need fleet.Resources, unplaced []fleet.Resources) bool {
	return slices.ContainsFunc(unplaced, func(u fleet.Resources) bool { return u.Fits(need) })
}

// starvedPlacement is a worker for a task of a starved job.
type starvedPlacement struct {
	worker  *worker
	strain  float64 // on the serving tasks there, see colocatedLoad.strain
	overdue bool    // regardless of the idle processor and of high tail latencies
	tails   tailState
}

// tailState orders workers by what a further run adds to the tail latencies there.
type tailState int

const (
	tailsLow  tailState = iota
	tailsOwn            // high, and not because of best-effort work
	tailsHigh           // for an unknown reason
)

// tailState returns the state of the tail latencies of a worker.
func (p *placer) tailState(w *worker) tailState {
	switch {
	case !p.hasHighTail(w):
		return tailsLow
	case w.tailsAreOwn(p.now):
		return tailsOwn
	default:
		return tailsHigh
	}
}

// isBetterThan reports whether a placement disturbs fewer serving tasks, or disturbs them
// less.
func (s starvedPlacement) isBetterThan(o starvedPlacement) bool {
	if o.worker == nil {
		return true
	}
	if shared := s.worker.starvedRuns > 0; shared != (o.worker.starvedRuns > 0) {
		return shared
	}
	return s.strain < o.strain
}

// cpuShare returns the CPU share, in percent, at which the serving tasks tolerate the task.
func (s starvedPlacement) cpuShare() int {
	if s.overdue {
		return minCPUShare
	}
	return max(int(fullCPUShare/max(s.strain, 1)), minCPUShare)
}

// starvedRoom returns the room for starved jobs of a service.
func (p *placer) starvedRoom(service fleet.Service) *starvedRoom {
	room := p.starvedRooms[service]
	if room == nil {
		room = p.newStarvedRoom(service)
		p.starvedRooms[service] = room
	}
	return room
}

// mayStartStarved reports whether a job may start a task regardless of the learned interference.
// One that has started need not wait for long while there is room for overdue jobs.
func (p *placer) mayStartStarved(j *job, service fleet.Service) bool {
	return j.isStarved() || j.isInterrupted(p.now) && p.starvedRoom(service).admitsOverdue
}

// placeStarved returns the best placement for a best-effort task of a starved job, and whether
// there is one.
func (p *placer) placeStarved(t *task, service fleet.Service) (best starvedPlacement, ok bool) {
	room, in, s := p.starvedRoom(service), p.m.interference, t.step
	if isExhaustedFor(s.Need, room.unplaced) {
		return best, false
	}
	candidates := room.opened
	if room.unopened > 0 {
		candidates = p.eligible
	}
	image := in.bestEffort.number(s.Image)
	for _, w := range candidates {
		if w.Service != service || !p.hasRoom(t, w, nil) || p.hasHighTail(w) {
			continue
		}
		candidate := starvedPlacement{worker: w, strain: w.colocated.strain(in, image, s.Need.MilliCores, w.Capacity.MilliCores)}
		if candidate.isBetterThan(best) {
			best = candidate
		}
	}
	if best.worker == nil {
		if !t.isConstrained(p) {
			room.unplaced = append(room.unplaced, s.Need)
		}
		return best, false
	}
	room.open(best.worker)
	return best, true
}

// isBetterOverdueThan reports whether a placement of an overdue job adds less to high tail
// latencies, or is within the room, or shares its worker with fewer runs of starved jobs, or
// disturbs the serving tasks less.
func (s starvedPlacement) isBetterOverdueThan(o starvedPlacement, room *starvedRoom) bool {
	if o.worker == nil {
		return true
	}
	if s.tails != o.tails {
		return s.tails < o.tails
	}
	if within := room.includes(s.worker); within != room.includes(o.worker) {
		return within
	}
	if s.worker.starvedRuns != o.worker.starvedRuns {
		return s.worker.starvedRuns < o.worker.starvedRuns
	}
	return s.strain < o.strain
}

// includes reports whether a worker may get a run of a starved job.
func (r *starvedRoom) includes(w *worker) bool { return r.unopened > 0 || w.starvedRuns > 0 }

// placeOverdue returns the best placement for a task of an overdue job, for which the starved
// room has no worker, and whether there is one.
func (p *placer) placeOverdue(t *task, service fleet.Service) (best starvedPlacement, ok bool) {
	room, in, s := p.starvedRooms[service], p.m.interference, t.step
	if !room.admitsOverdue || isExhaustedFor(s.Need, room.unplacedOverdue) {
		return best, false
	}
	image := in.bestEffort.number(s.Image)
	for _, w := range p.eligible {
		if w.Service != service || w.starvedRuns >= maxEqualRuns || !p.isSuitable(t, w, nil) {
			continue
		}
		strain := w.colocated.strain(in, image, s.Need.MilliCores, w.Capacity.MilliCores)
		candidate := starvedPlacement{worker: w, strain: strain, overdue: true, tails: p.tailState(w)}
		if candidate.isBetterOverdueThan(best, room) {
			best = candidate
		}
	}
	if best.worker == nil {
		if !t.isConstrained(p) {
			room.unplacedOverdue = append(room.unplacedOverdue, s.Need)
		}
		return best, false
	}
	room.open(best.worker)
	return best, true
}

// startStarved starts a task of a starved job and reports whether there is a worker for it.
func (m *Machine) startStarved(t *task, service fleet.Service, p *placer, now time.Duration) bool {
	chosen, ok := p.placeStarved(t, service)
	if !ok && t.job.isOverdue(now) {
		chosen, ok = p.placeOverdue(t, service)
	}
	if !ok {
		return false
	}
	t = m.recordOf(t)
	j, w, percent := t.job, chosen.worker, chosen.cpuShare()
	m.emit("job_starved", j.ID, "task", t.name, "worker", w.ID, "idle", now-j.idleSince, "passed", j.blockedFor, "image", t.step.Image,
		"strain", chosen.strain, "percent", percent, "overdue", chosen.overdue)
	m.start(t, w, m.nextRun(t), now)
	r := t.runs[len(t.runs)-1]
	r.starved, r.initialCPUShare = true, percent
	w.starvedRuns++
	return true
}

// setInitialCPUShare limits the CPU share of a run of a starved job that has started.
func (m *Machine) setInitialCPUShare(r *run) {
	if r.initialCPUShare > 0 && r.state == runRunning {
		m.setCPUShare(r, r.initialCPUShare, "reason", "starved job")
	}
	r.initialCPUShare = 0
}

// startOneEach starts one task, or gang, of each job that has none running, among the jobs
// without any value left with which jobs begins, the longest idle first. These are ordered by
// priority and ID alone, and those at the end would otherwise wait until all others are done.
func (m *Machine) startOneEach(jobs []*job, p *placer, now time.Duration) {
	var idle []*job
	for _, j := range jobs {
		if j.timeliness != timelinessExpired {
			break
		}
		if j.runCount == 0 {
			idle = append(idle, j)
		}
	}
	slices.SortStableFunc(idle, func(a, b *job) int { return cmp.Compare(a.idleSince, b.idleSince) })
	p.single = true
	defer func() { p.single = false }()
	for _, j := range idle {
		if m.room.exhausted() {
			return
		}
		m.startOrSkip(j, p, now)
	}
}
