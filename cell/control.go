package cell

import (
	"context"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// controlLoop periodically makes the decisions that depend on neither a report
// nor an offer: which workers exist, which leases have expired and which tasks
// to stop.
func (s *session) controlLoop(ctx context.Context) error {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		s.control(ctx, time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (s *session) control(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.deps.Settings.Current()
	dc := current.DataCentres()[s.dc]
	s.updateDCState(current.Revision(), dc.State, now)
	s.members.update(s.deps.Inventory.Hosts(), s.dc, s.number, dc.Cells)
	s.updateWorkers(ctx, now)
	s.updatePredecessors(now)
	placed := s.machine.inPhase(phasePlaced)
	s.endUnreported(placed, now)
	s.stopCancelled(placed, now)
	s.evacuate(placed, now)
	s.stopReclaimed(placed, now)
	s.logOverruns(placed, now)
	s.evictOverCapacity(placed, now)
	s.preemptForUrgent(now)
	s.controlSharing(ctx, placed, now)
}

// updateDCState applies the data centre's state from the settings. A change is
// journaled, so that the next owner measures the grace and the refill from it.
// Settings older than those in which a predecessor saw the current state are
// ignored.
func (s *session) updateDCState(revision store.Revision, state settings.DataCentreState, now time.Time) {
	if revision < s.machine.state.DCState.Revision || !s.dcState.update(state, now) {
		return
	}
	s.logger.Log("event", "data_centre", "state", state)
	if s.dcState.since.IsZero() {
		return
	}
	s.pendingDCState = &dcStateRecord{Out: !s.dcState.in, SinceMS: now.UnixMilli(), Revision: revision}
}

// updateWorkers starts an agent for every worker of the cell that has none and
// updates the addresses of the workers.
func (s *session) updateWorkers(ctx context.Context, now time.Time) {
	for id, listed := range s.members.workers {
		w := s.worker(id, now)
		if !w.hasAgent {
			w.hasAgent = true
			s.calls.Go(func() { s.agent(ctx, w) })
		}
		w.address = listed.Address
	}
}

// updatePredecessors lowers predecessorsStopAt when a predecessor turns out to
// have ended. The host list, which shows this, lags behind.
func (s *session) updatePredecessors(now time.Time) {
	if !now.Before(s.predecessorsStopAt) {
		return
	}
	stopAt := latestPredecessorStop(now, s.machine.state.Previous, s.hasEnded)
	if !stopAt.Before(s.predecessorsStopAt) {
		return
	}
	s.predecessorsStopAt = stopAt
	for _, w := range s.workers {
		w.lease.limitInherited(stopAt)
	}
}

// worker returns the session's state of a worker and creates it if needed.
func (s *session) worker(id fleet.WorkerID, now time.Time) *worker {
	w := s.workers[id]
	if w == nil {
		w = newWorker(id, now, s.predecessorsStopAt)
		for _, a := range s.machine.inPhase(phaseEnded) {
			if a.Placement.Worker == id {
				w.forget[a.Task.AttemptRef] = true
			}
		}
		s.workers[id] = w
	}
	return w
}

// endUnreported ends the attempts on workers that are gone, or that have not
// answered for so long that nothing can run there any more.
func (s *session) endUnreported(placed []*attempt, now time.Time) {
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil {
			continue
		}
		if s.members.isGone(a.Placement.Worker) && (!r.placedHere || r.startSent) && predatesHostList(a, now) {
			s.decideEnd(lostOutcome(a, r, reasonWorkerGone))
			continue
		}
		w := s.worker(a.Placement.Worker, now)
		if o, ended := unansweredOutcome(a, r, &w.lease, now); ended {
			s.decideEnd(o)
		}
	}
}

// predatesHostList reports whether an attempt was started before any state that
// the host list can show now. A worker that is listed as gone may have
// restarted since and run a later attempt.
func predatesHostList(a *attempt, now time.Time) bool {
	started := time.UnixMilli(a.Placement.StartByMS)
	return now.Sub(started) > inventory.MaxLag
}

// stopCancelled stops the cancelled attempts.
func (s *session) stopCancelled(placed []*attempt, now time.Time) {
	for _, a := range placed {
		if a.Cancelled {
			s.stop(a, now, reasonCancelled)
		}
	}
}

// stop begins to end an attempt. The worker is asked for a checkpoint until the
// grace is over. An attempt whose start was never sent ends at once.
func (s *session) stop(a *attempt, now time.Time, reason string) {
	r := s.runs[a.Task.AttemptRef]
	if r == nil || r.stopping {
		return
	}
	s.vars.Add(varStopsDecided, 1)
	r.stopping = true
	r.stopBy = now.Add(s.grace(a))
	if r.placedHere && !r.startSent {
		s.decideEnd(notRunOutcome(a, r, reason))
		return
	}
	s.wakeAgent(a.Placement.Worker)
}

// grace returns how long a task may take to write its checkpoint.
func (s *session) grace(a *attempt) time.Duration {
	return time.Duration(s.classSettings(a).TerminationGraceMS) * time.Millisecond
}

// evacuate stops the tasks of a data centre that is out of service. The stops
// are spread evenly over the grace, so that checkpoint storage and the cells
// that take over the tasks do not get all of them at once. Tasks that are
// expected to end by themselves within that time are left alone.
func (s *session) evacuate(placed []*attempt, now time.Time) {
	if s.dcState.in {
		return
	}
	var candidates []*attempt
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || r.stopping {
			continue
		}
		if r.placedHere && !r.startSent {
			s.stop(a, now, reasonDataCentreOut) // it never ran: there is no checkpoint to write
			continue
		}
		candidates = append(candidates, a)
	}
	grace := s.longestGrace(placed)
	end := s.dcState.lastEvictionAt(grace)
	candidates = slices.DeleteFunc(candidates, func(a *attempt) bool {
		remaining, known := s.remainingRunTime(a, s.runs[a.Task.AttemptRef], now)
		return known && now.Add(remaining).Before(end)
	})
	due := s.dcState.evictionsDue(now, end, len(candidates))
	s.logOverdueEvacuation(placed, now.Add(-grace))
	for _, a := range candidates[:due] {
		s.stop(a, now, reasonDataCentreOut)
	}
}

// logOverdueEvacuation logs the tasks that are left when the grace is over,
// once per evacuation.
func (s *session) logOverdueEvacuation(placed []*attempt, graceBegan time.Time) {
	if len(placed) == 0 || s.dcState.overdueLogged || graceBegan.Before(s.dcState.since) {
		return
	}
	s.dcState.overdueLogged = true
	for _, a := range placed {
		s.logger.Log("event", "evacuation_overdue", "worker", a.Placement.Worker, "task", a.Task.Task, "attempt", a.Task.Attempt)
	}
}

func (s *session) longestGrace(placed []*attempt) time.Duration {
	longest := time.Duration(0)
	for _, a := range placed {
		longest = max(longest, s.grace(a))
	}
	return longest
}

// evictOverCapacity evicts tasks from workers whose backend servers now reserve
// more than the tasks leave free.
func (s *session) evictOverCapacity(placed []*attempt, now time.Time) {
	used := make(map[fleet.WorkerID]fleet.Resources)
	for _, a := range placed {
		used[a.Placement.Worker] = used[a.Placement.Worker].Add(a.Placement.Size)
	}
	for _, a := range placed {
		id := a.Placement.Worker
		if _, listed := s.members.workers[id]; !listed || used[id].Fits(s.members.capacity(id)) {
			continue
		}
		used[id] = used[id].Sub(a.Placement.Size)
		s.stop(a, now, reasonNoCapacity)
	}
}
