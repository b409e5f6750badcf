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

// controlLoop decides at intervals what needs neither a report nor an offer:
// which workers there are, which leases have lapsed and what is to be stopped.
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
	s.updateGate(current.Revision(), dc.State, now)
	s.members.update(s.deps.Hosts.Hosts(), s.dc, s.number, dc.Cells)
	s.updateWorkers(ctx, now)
	s.updateOthers(now)
	placed := s.machine.inPhase(phasePlaced)
	s.judgeUnreported(placed, now)
	s.stopCancelled(placed, now)
	s.evacuate(placed, now)
	s.stopTakenBack(placed, now)
	s.reportOverruns(placed, now)
	s.relieve(placed, now)
	s.makeRoom(now)
	s.share(ctx, placed, now)
}

// updateGate follows the data centre's state. A change is journaled, so that
// the next owner counts from it. Settings older than those in which a
// predecessor saw the present state change nothing.
func (s *session) updateGate(revision store.Revision, state settings.DataCentreState, now time.Time) {
	if revision < s.machine.state.Gate.Revision || !s.gate.update(state, now) {
		return
	}
	s.logger.Log("event", "data_centre", "state", state)
	if s.gate.since.IsZero() {
		return
	}
	s.gateSeen = &gateRecord{Out: !s.gate.in, SinceMS: now.UnixMilli(), Revision: revision}
}

// updateWorkers starts an agent for every worker of the cell that has none,
// and for every other worker that still has attempts of it.
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

// updateOthers learns when a predecessor whose end was not known has ended:
// the host list lags.
func (s *session) updateOthers(now time.Time) {
	if !now.Before(s.others) {
		return
	}
	until := othersUntil(now, s.machine.state.Previous, s.hasEnded)
	if !until.Before(s.others) {
		return
	}
	s.others = until
	for _, w := range s.workers {
		w.lease.predecessorsEnd(until)
	}
}

// worker returns the knowledge of a worker, new if there is none.
func (s *session) worker(id fleet.WorkerID, now time.Time) *worker {
	w := s.workers[id]
	if w == nil {
		w = newWorker(id, now, s.others)
		for _, a := range s.machine.inPhase(phaseEnded) {
			if a.Placement.Worker == id {
				w.forget[a.Task.AttemptRef] = true
			}
		}
		s.workers[id] = w
	}
	return w
}

// judgeUnreported ends attempts on workers that are gone or silent for so
// long that nothing can run there any more.
func (s *session) judgeUnreported(placed []*attempt, now time.Time) {
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil {
			continue
		}
		if s.members.isGone(a.Placement.Worker) && (!r.own || r.sent) && precedesList(a, now) {
			s.decide(lost(a, r, reasonWorkerGone))
			continue
		}
		w := s.worker(a.Placement.Worker, now)
		if o, ended := judgeSilent(a, r, &w.lease, now); ended {
			s.decide(o)
		}
	}
}

// precedesList reports whether an attempt was started before anything that the
// host list shows now. A worker that is listed as gone may have restarted and
// taken a later attempt.
func precedesList(a *attempt, now time.Time) bool {
	started := time.UnixMilli(a.Placement.StartByMS)
	return now.Sub(started) > inventory.MaxLag
}

// stopCancelled marks cancelled attempts for a stop. One that was never sent
// needs none.
func (s *session) stopCancelled(placed []*attempt, now time.Time) {
	for _, a := range placed {
		if a.Cancelled {
			s.stop(a, now, reasonCancelled)
		}
	}
}

// stop decides to end an attempt, with a checkpoint if there is time.
func (s *session) stop(a *attempt, now time.Time, reason string) {
	r := s.runs[a.Task.AttemptRef]
	if r == nil || r.stopping {
		return
	}
	s.vars.Add(varStops, 1)
	r.stopping = true
	r.stopBy = now.Add(s.grace(a))
	if r.own && !r.sent {
		s.decide(notRun(a, r, reason))
		return
	}
	s.wakeWorker(a.Placement.Worker)
}

// grace returns how long a task may take for its checkpoint.
func (s *session) grace(a *attempt) time.Duration {
	return time.Duration(s.resolved(a).GraceMS) * time.Millisecond
}

// evacuate stops the tasks of a data centre that is out, spread evenly over
// the grace, so that checkpoints and the cells that take the tasks are not
// hit by all of them at once. Those that will have ended by themselves by then
// are left alone.
func (s *session) evacuate(placed []*attempt, now time.Time) {
	if s.gate.in {
		return
	}
	var left []*attempt
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || r.stopping {
			continue
		}
		if r.own && !r.sent {
			s.stop(a, now, reasonOut) // nothing to save
			continue
		}
		left = append(left, a)
	}
	grace := s.longestGrace(placed)
	end := s.gate.lastEviction(grace)
	left = slices.DeleteFunc(left, func(a *attempt) bool {
		remaining, known := s.remaining(a, s.runs[a.Task.AttemptRef], now)
		return known && now.Add(remaining).Before(end)
	})
	due := s.gate.evictionsDue(now, end, len(left))
	s.reportOverdue(placed, now.Add(-grace))
	for _, a := range left[:due] {
		s.stop(a, now, reasonOut)
	}
}

// reportOverdue logs once that tasks are left when the grace is over.
func (s *session) reportOverdue(placed []*attempt, graceBegan time.Time) {
	if len(placed) == 0 || s.gate.overdue || graceBegan.Before(s.gate.since) {
		return
	}
	s.gate.overdue = true
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

// relieve evicts tasks from workers whose backend servers have come to
// reserve more than was left.
func (s *session) relieve(placed []*attempt, now time.Time) {
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
