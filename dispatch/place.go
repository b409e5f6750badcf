package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// servingUtilisation is the assumed processor use of a serving task, as a share
// of its request. The users' load shapes average 0.42 and vary by a half.
const servingUtilisation = 0.5

// placer chooses workers for the tasks that one plan starts.
type placer struct {
	m        *Machine
	eligible []*worker
	closed   []*worker // that a serving task may try
	// closedForNoAnswer have left a start unanswered; its task may start there again.
	closedForNoAnswer []*worker
	now               time.Duration
	// unplaceable holds the classes of tasks that did not fit, so that similar
	// tasks are not tried again in the same plan.
	unplaceable map[placementClass]bool
	// minUnplaced is, by best-effort image, the smallest request in millicores that
	// found no worker in this plan.
	minUnplaced map[string]int64
	// needsTicket is set while tasks are placed that need a ticket.
	needsTicket bool
	// reservedServices are the services that keep workers free for a gang in
	// this plan.
	reservedServices map[fleet.Service]bool
	// unreserved is the processor in millicores that new work may take, by service,
	// while inherited work is held back; nil otherwise.
	unreserved map[fleet.Service]int64
	// starvedRooms are filled when a starved job looks for a worker.
	starvedRooms map[fleet.Service]*starvedRoom
	single       bool            // at most one task of a job is started
	shares       *capacityShares // nil: no workspaces
	pairings     map[fleet.Service]*pairing
	// latestPairing is the one that was asked for last.
	latestPairing *pairing
	latestImage   string // best-effort image that was asked for last
	latestNumber  int    // its number
}

// takeUnreserved takes processor for the start of count tasks, if that leaves enough for
// the work that is held back.
func (p *placer) takeUnreserved(s *step, service fleet.Service, count int) bool {
	if p.unreserved == nil || s.BestEffort {
		return true
	}
	need := int64(count) * s.Need.MilliCores
	if p.unreserved[service] < need {
		return false
	}
	p.unreserved[service] -= need
	return true
}

// placementClass describes tasks that fit on the same workers.
type placementClass struct {
	need            fleet.Resources
	bestEffortImage string // image of a best-effort task, on which the available capacity depends
	service         fleet.Service
}

func (m *Machine) newPlacer(now time.Duration) *placer {
	p := &placer{
		m: m, now: now, unplaceable: make(map[placementClass]bool), minUnplaced: make(map[string]int64), reservedServices: make(map[fleet.Service]bool),
		starvedRooms: make(map[fleet.Service]*starvedRoom), shares: m.newCapacityShares(now),
	}
	for _, w := range m.workerList {
		switch {
		case m.mayStart(w, now):
			p.eligible = append(p.eligible, w)
		case m.mayTry(w, now):
			p.closed = append(p.closed, w)
		case m.isClosedForNoAnswer(w, now):
			p.closedForNoAnswer = append(p.closedForNoAnswer, w)
		}
	}
	return p
}

// mayStart reports whether new work may be placed on a worker.
func (m *Machine) mayStart(w *worker, now time.Duration) bool {
	return m.isUsable(w, now) && now >= w.closedUntil
}

// mayTry reports whether a closed worker may be tried with a serving task: one that runs of
// batch jobs have closed. Those that fail through their own fault close sound workers, too, and
// a slow worker is better than none. A further failure ends that.
func (m *Machine) mayTry(w *worker, now time.Duration) bool {
	end := w.slowClosureEnd
	if w.failureStreak == failuresToClose {
		end = max(end, w.failureClosureEnd)
	}
	return m.isUsable(w, now) && now < w.closedUntil && w.closedUntil <= end
}

// isClosedForNoAnswer reports whether a worker is closed only because it left a start unanswered.
func (m *Machine) isClosedForNoAnswer(w *worker, now time.Duration) bool {
	return m.isUsable(w, now) && now < w.closedUntil && now >= max(w.refusalClosureEnd, w.failureClosureEnd, w.slowClosureEnd)
}

// isUsable reports whether a worker is there for new work, unless it is closed.
func (m *Machine) isUsable(w *worker, now time.Duration) bool {
	return w.listed && w.adopted && w.leased && w.record.isStored() && w.entryIsCurrent() && w.unknownRuns == 0 && !w.evacuating && !w.record.possible.Closed && w.record.possible.UnreachedSince == 0 && !w.replaced && !w.Draining && !m.dataCentresOut[w.DataCentre] && now-w.reportedAt < maxReportAge
}

// entryIsCurrent reports whether the worker's entry describes the incarnation that
// reports: the capacity and labels of the next one may differ.
func (w *worker) entryIsCurrent() bool {
	return w.StartedMS == w.incarnationStartMS || w.StartedMS == 0 || w.incarnationStartMS == 0
}

// maxReportAge is the age of the last report from which a worker gets no new
// work. A renewal is answered at least every second.
const maxReportAge = 1800 * time.Millisecond

// place returns the best worker for a task, or nil if it fits on none. taken
// counts, by worker, the tasks of the same step that are chosen but not started.
func (p *placer) place(t *task, service fleet.Service, taken map[fleet.WorkerID]int) *worker {
	s := t.step
	class := placementClass{need: s.Need, service: service}
	if s.BestEffort {
		class.bestEffortImage = s.Image
	}
	unconstrained := !t.isConstrained(p)
	if unconstrained && p.unplaceable[class] {
		return nil
	}
	if least, ok := p.minUnplaced[s.Image]; ok && s.BestEffort && s.Need.MilliCores >= least {
		return nil
	}
	candidates := p.eligible
	if len(t.unanswered) > 0 {
		candidates = slices.Concat(p.eligible, p.closedForNoAnswer)
	}
	var best *worker
	var bestScore int64
	for _, w := range candidates {
		if w.Service != service || !p.fits(t, w, taken) {
			continue
		}
		score := p.score(t, w)
		if t.avoidance.worker == w.ID {
			score -= avoidancePenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil && unconstrained {
		p.unplaceable[class] = true
	}
	if best == nil && s.BestEffort && unconstrained {
		p.minUnplaced[s.Image] = s.Need.MilliCores
	}
	return best
}

// placeOnClosed returns the best closed worker that a serving task which fits on no other may
// try, one task at a time until each has survived its start.
func (p *placer) placeOnClosed(t *task, service fleet.Service) *worker {
	var best *worker
	var bestScore int64
	for _, w := range p.closed {
		if w.Service != service || w.hasFreshRun() || !p.fits(t, w, nil) {
			continue
		}
		if score := p.score(t, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if best != nil {
		p.m.emit("closed_worker_tried", t.job.ID, "task", t.name, "worker", best.ID, "strikes", best.failureStreak, "closed_for", best.closedUntil-p.now)
	}
	return best
}

// isConstrained reports whether a task may fit on other workers than tasks of its class.
func (t *task) isConstrained(p *placer) bool {
	return len(t.unanswered) > 0 || t.isSuspect() || t.step.MaxPerWorker > 0 || t.step.Label != "" || t.avoidance.isActive(p.now) || p.needsTicket
}

// placeAll returns a worker for each task of a step, or nil if they do not all
// fit. What does not fit next to the first tasks may fit without them, so failed
// placements are not recorded in p.
func (p *placer) placeAll(s *step, service fleet.Service) []*worker {
	taken := make(map[fleet.WorkerID]int)
	trial := &placer{m: p.m, eligible: p.eligible, closedForNoAnswer: p.closedForNoAnswer, now: p.now, unplaceable: make(map[placementClass]bool), minUnplaced: make(map[string]int64), needsTicket: p.needsTicket}
	place := func(t *task) *worker {
		w := trial.place(t, service, taken)
		if w != nil {
			w.addUsage(s.Step, 1)
			taken[w.ID]++
		}
		return w
	}
	// First those that may start on one worker only.
	bound := make(map[int]*worker)
	fits := true
	for t := range s.tasks.recorded() {
		if len(t.unanswered) == 0 || t.done {
			continue
		}
		w := place(t)
		if fits = w != nil; !fits {
			break
		}
		bound[t.name.Index] = w
	}
	var chosen []*worker
	for i := 0; fits && i < s.Count; i++ {
		w, ok := bound[i]
		delete(bound, i)
		if t := s.peek(i, &p.m.unstarted); !ok && t != nil {
			w = place(t)
		}
		if fits = w != nil; fits {
			chosen = append(chosen, w)
		}
	}
	for _, w := range chosen {
		w.addUsage(s.Step, -1)
	}
	for _, w := range bound {
		w.addUsage(s.Step, -1)
	}
	if !fits {
		return nil
	}
	return chosen
}

// placeInOneRack returns workers of a single rack for all tasks of a step, or
// nil if no rack holds them all.
func (p *placer) placeInOneRack(s *step, service fleet.Service) []*worker {
	tried := make(map[fleet.Rack]bool)
	for _, w := range p.eligible {
		if tried[w.Rack] || w.Service != service {
			continue
		}
		tried[w.Rack] = true
		inRack := &placer{m: p.m, now: p.now, unplaceable: make(map[placementClass]bool), minUnplaced: make(map[string]int64), needsTicket: p.needsTicket}
		for _, o := range p.eligible {
			if o.Rack == w.Rack {
				inRack.eligible = append(inRack.eligible, o)
			}
		}
		for _, o := range p.closedForNoAnswer {
			if o.Rack == w.Rack {
				inRack.closedForNoAnswer = append(inRack.closedForNoAnswer, o)
			}
		}
		if chosen := inRack.placeAll(s, service); chosen != nil {
			return chosen
		}
	}
	return nil
}

// fits reports whether a worker has the capacity and the properties that a task
// needs, and its serving tasks tolerate the task.
func (p *placer) fits(t *task, w *worker, taken map[fleet.WorkerID]int) bool {
	s := t.step
	if !p.hasRoom(t, w, taken) {
		return false
	}
	return !s.BestEffort || !p.hasHighTail(w) && p.tolerates(w, p.imageNumber(s.Image), s.Need.MilliCores)
}

// hasHighTail reports whether the tail latency of a serving task was high so recently that
// the worker gets no best-effort work.
func (p *placer) hasHighTail(w *worker) bool {
	return w.highTailAt > 0 && p.now-w.highTailAt < highTailPause
}

// hasRoom reports whether a worker has the capacity and the properties that a task needs.
// Workers do not enforce their own capacity.
func (p *placer) hasRoom(t *task, w *worker, taken map[fleet.WorkerID]int) bool {
	if t.step.BestEffort && idleMilliCores(w) < t.step.Need.MilliCores {
		return false
	}
	return p.isSuitable(t, w, taken)
}

// isSuitable is hasRoom regardless of the processor that best-effort work leaves idle.
func (p *placer) isSuitable(t *task, w *worker, taken map[fleet.WorkerID]int) bool {
	s := t.step
	need := s.Need
	if s.BestEffort {
		if need.MilliCores > w.Capacity.MilliCores {
			return false
		}
		need.MilliCores = 0
	}
	if len(t.unanswered) > 0 && !p.m.mayReplaceUnanswered(t, w) {
		return false
	}
	if !w.used.Add(w.boundNeed(t)).Add(need).Fits(w.Capacity) || t.avoidance.excludes(w.ID, p.now) || w.probations > 0 {
		return false
	}
	if t.isSuspect() && p.now-t.waitingSince < suspectPatience && w.hasFreshRun() {
		return false
	}
	if s.Label != "" && !slices.Contains(w.Labels, s.Label) {
		return false
	}
	if _, ok := s.ticketFor(w.ID, p.now); p.needsTicket && !ok {
		return false
	}
	return s.MaxPerWorker == 0 || s.runsOnWorker[w.ID]+taken[w.ID] < s.MaxPerWorker
}

// idleMilliCores returns the processor that further best-effort tasks can count on.
func idleMilliCores(w *worker) int64 {
	return w.Capacity.MilliCores - (w.used.MilliCores - w.serving) - int64(servingUtilisation*float64(w.serving)) - w.bestEffort
}

const (
	// maxPlacementPressure is the highest pressure that the placement of an image whose
	// room is scarce may lead to. It is below 1 because pressures are estimates, which
	// half of the runs exceed.
	maxPlacementPressure = 0.55
	// localityBonus outweighs any difference in idle processor between workers,
	// because a task that is away from its data takes longer by the platform's
	// FarFactor.
	localityBonus = 1 << 40
)

// score returns the preference for a worker, higher is better: first the rack of
// the task's data, then the placement that leaves the most capacity for later
// work.
func (p *placer) score(t *task, w *worker) int64 {
	if t.isSuspect() {
		return -int64(len(w.runs))
	}
	var score int64
	switch {
	case t.step.Serving:
		score = p.servingScore(t.step.Step, w)
	case t.step.BestEffort:
		score = p.bestEffortScore(t.step.Step, w)
	default:
		score = idleMilliCores(w)
	}
	if t.step.DataRack != "" && w.Rack == t.step.DataRack {
		score += localityBonus
	}
	return score
}

// servingScore prefers workers that serve only the same image, then workers
// without serving tasks, then those that serve other images, and each of these before
// the workers that are left to batch work. Serving tasks
// may request most of the capacity, and each best-effort image interferes with some
// serving images only: the fewer images a worker serves, the more best-effort work it
// can take.
func (p *placer) servingScore(s *workload.Step, w *worker) int64 {
	in := p.m.interference
	same, others := w.colocated.servingTasks(in.serving.number(s.Image))
	const step = localityBonus / 8
	score := -idleMilliCores(w) // among equal workers the fullest
	switch {
	case others == 0 && same > 0:
		score += 4 * step
	case others == 0:
		score += 3 * step
	case same > 0:
		score += 2 * step
	}
	if w.colocated.pressureOn(in, in.serving.number(s.Image), w.Capacity.MilliCores) > maxPlacementPressure {
		score -= step / 2
	}
	if w.avoidsServing {
		score -= 5 * step
	}
	return score
}

// batchWorkerShare is the share of the workers that get serving tasks only if these
// fit on no other. Batch images that interfere with all services need workers without
// any, and a serving task can't be moved off a worker again.
const batchWorkerShare = 1.0 / 10

// avoidsServing reports whether a worker is among those that get serving tasks last. It
// depends on the ID alone, so that all owners agree.
func avoidsServing(id fleet.WorkerID) bool { return hashFraction([]byte(id)) < batchWorkerShare }

// mayPlaceServing reports whether enough workers have reported to this owner for
// it to distribute serving tasks among all of them. Many serving tasks may start
// at once after a takeover, and the first workers to report would get them all.
func (m *Machine) mayPlaceServing(now time.Duration) bool {
	return now-m.startedAt >= maxServingDelay || now-m.startedAt >= minServingDelay && m.allReported()
}

const (
	// minServingDelay and maxServingDelay bound the time for which a new owner
	// delays its first serving tasks. Workers that start together report within
	// 0.3 s, and a serving task must be back within 3 s.
	minServingDelay = 300 * time.Millisecond
	maxServingDelay = time.Second
)

// bestEffortScore prefers the workers with the most idle processor and the least strain on
// services, but reserves workers without serving tasks for the images known to interfere with
// serving, and the places of scarce images for these.
func (p *placer) bestEffortScore(s *workload.Step, w *worker) int64 {
	score := idleMilliCores(w)
	in := p.m.interference
	image := p.imageNumber(s.Image)
	if !w.colocated.hasServing() {
		if in.interferes(image) {
			score += w.Capacity.MilliCores
		} else {
			score -= w.Capacity.MilliCores
		}
	}
	if p.isWanted(p.pairing(w.Service), w, image) {
		score -= 2 * w.Capacity.MilliCores
	}
	strain := w.colocated.strain(in, image, s.Need.MilliCores, w.Capacity.MilliCores)
	return score - int64(strain*float64(w.Capacity.MilliCores))
}
