package cell

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/scheduler"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// reclaimWaitShare is the part of the reclaim deadline for which an
	// entitled task waits for capacity that becomes free by itself, which is
	// reserved for it.
	reclaimWaitShare = 0.4
	// checkpointShare is the part of the reclaim deadline that a task may take
	// to write its checkpoint. The rest is left for its end and for the start
	// of the task that replaces it.
	checkpointShare = 0.4
)

// lending is the state of a session for capacity that one organisation's
// guarantee covers and that is lent to others.
type lending struct {
	cached     bool
	revision   store.Revision       // of the settings from which guaranteed was read
	guaranteed []fleet.Organisation // organisations with a guarantee here
	// reclaimingFor is the set of waiting attempts for which capacity is
	// being reclaimed.
	reclaimingFor map[inventory.AttemptRef]bool
	peaks         map[fleet.Organisation]*peakDemand
}

// guaranteed returns the organisations with a guarantee in this data centre.
func (s *session) guaranteed() []fleet.Organisation {
	current := s.deps.Settings.Current()
	l := &s.lending
	if l.cached && l.revision == current.Revision() {
		return l.guaranteed
	}
	l.cached, l.revision, l.guaranteed = true, current.Revision(), nil
	for _, team := range current.Teams() {
		org := team.Organisation
		if len(s.organisationSettings(org).Guarantee) > 0 && !slices.Contains(l.guaranteed, org) {
			l.guaranteed = append(l.guaranteed, org)
		}
	}
	return l.guaranteed
}

// organisationSettings returns the settings of an organisation in this data centre.
func (s *session) organisationSettings(org fleet.Organisation) settings.Resolved {
	return s.classSettings(&attempt{Task: delegation.Task{Organisation: org}})
}

// reclaimDeadline returns how long reclaiming capacity for a task may take.
func reclaimDeadline(values settings.Resolved) time.Duration {
	return time.Duration(values.ReclaimDeadlineMS) * time.Millisecond
}

// reclaimDeadline returns the shortest reclaim deadline of the organisations with
// a guarantee, or 0 if there are none.
func (s *session) reclaimDeadline() time.Duration {
	shortest := time.Duration(0)
	for _, org := range s.guaranteed() {
		if d := reclaimDeadline(s.organisationSettings(org)); shortest == 0 || d < shortest {
			shortest = d
		}
	}
	return shortest
}

// shares returns the usage and the guarantee of each organisation, or nil if
// nothing is guaranteed at now. A data centre that is refilling guarantees
// nothing until its whole capacity may be used.
func (s *session) shares(now time.Time) map[fleet.Organisation]scheduler.Share {
	guaranteed := s.guaranteed()
	if len(guaranteed) == 0 || !s.isInService() || s.dcState.usableShare(now) < 1 {
		return nil
	}
	capacity := s.members.liveCapacity()
	shares := make(map[fleet.Organisation]scheduler.Share)
	for _, org := range guaranteed {
		values := s.organisationSettings(org)
		entitled, protected := values.Guarantee.Range(now, reclaimDeadline(values))
		shares[org] = scheduler.Share{
			Entitled:  scheduler.Percent(capacity, entitled),
			Protected: scheduler.Percent(capacity, protected),
		}
	}
	for _, a := range s.machine.state.Attempts {
		if a.Phase != phasePlaced || s.isStopping(a) {
			continue
		}
		share := shares[a.Task.Organisation]
		share.Used = share.Used.Add(a.Placement.Size)
		shares[a.Task.Organisation] = share
	}
	return shares
}

// liveCapacity returns the capacity of the workers that the platform lists as
// live, whether they answer or not: a worker that does not answer for a short
// time does not change the guarantees.
func (m *membership) liveCapacity() fleet.Resources {
	var sum fleet.Resources
	for id, w := range m.workers {
		if w.State == inventory.StateLive {
			sum = sum.Add(m.capacity(id))
		}
	}
	return sum
}

// isStopping reports whether a placed attempt is being stopped or its
// capacity is being reclaimed.
func (s *session) isStopping(a *attempt) bool {
	r := s.runs[a.Task.AttemptRef]
	return a.Reclaimed || r != nil && r.stopping
}

// unusedGuarantees returns how much more each organisation may get under its
// guarantee. Organisations that may get nothing are left out; the result is nil
// if there are no others.
func (s *session) unusedGuarantees(now time.Time) map[fleet.Organisation]fleet.Resources {
	shares := s.shares(now)
	if shares == nil {
		return nil
	}
	waiting := s.waitingDemand()
	var unused map[fleet.Organisation]fleet.Resources
	for org, share := range shares {
		left := nonNegative(share.Entitled.Sub(share.Used).Sub(waiting[org]))
		if left.MilliCores == 0 || left.MemoryMB == 0 {
			continue
		}
		if unused == nil {
			unused = make(map[fleet.Organisation]fleet.Resources)
		}
		unused[org] = left
	}
	return unused
}

// waitingDemand returns the resources that the waiting attempts of each
// organisation declare.
func (s *session) waitingDemand() map[fleet.Organisation]fleet.Resources {
	waiting := make(map[fleet.Organisation]fleet.Resources)
	for _, a := range s.machine.state.Attempts {
		if a.Phase == phaseWaiting {
			waiting[a.Task.Organisation] = waiting[a.Task.Organisation].Add(a.Task.Resources)
		}
	}
	return waiting
}

// isGuaranteed reports whether a new task is covered by what is left of its
// organisation's guarantee.
func (s *session) isGuaranteed(t *delegation.Task) bool {
	left, guaranteed := s.unusedGuarantees(time.Now())[t.Organisation]
	return guaranteed && t.Resources.Fits(left)
}

// applyGuarantees marks the tasks in the snapshot that guarantees cover, and
// limits the others to the capacity that may be lent.
func (s *session) applyGuarantees(snapshot *scheduler.Snapshot, now time.Time) {
	shares := s.shares(now)
	if shares == nil {
		return
	}
	scheduler.Entitle(snapshot.Tasks, snapshot.Workers, shares)
	var free fleet.Resources
	for _, w := range snapshot.Workers {
		if w.Live && !w.Quarantined {
			free = free.Add(nonNegative(w.Capacity.Sub(w.Used)))
		}
	}
	lendable := free.Sub(s.reservedForGuarantees(now, shares))
	snapshot.Lendable = &lendable
}

// reclaimLent is a commit step that journals which tasks on lent capacity are to
// be stopped for guaranteed ones. They are journaled before any of them is
// stopped, so that a new owner continues with the same tasks.
func (s *session) reclaimLent() *record {
	now := time.Now()
	s.lending.reclaimingFor = nil
	shares := s.shares(now)
	if shares == nil || s.hasUnansweredWorkers(now) {
		return nil
	}
	snapshot, placed := s.snapshotAfterStops(now, func(*attempt) bool { return true })
	if len(snapshot.Tasks) == 0 {
		return nil
	}
	scheduler.Entitle(snapshot.Tasks, snapshot.Workers, shares)
	var victims []scheduler.Victim
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if isUrgent(a.Task.Priority) || !r.placedHere && r.firstSeenAt.IsZero() {
			continue
		}
		victims = append(victims, newVictim(a, r, now))
	}
	return s.reclaimDue(scheduler.Reclaim(snapshot, shares, victims), now)
}

// reclaimDue returns the record that reclaims capacity for the tasks that have
// waited long enough, or nil if there are none.
func (s *session) reclaimDue(reclamations []scheduler.Reclamation, now time.Time) *record {
	s.lending.reclaimingFor = make(map[inventory.AttemptRef]bool, len(reclamations))
	r := &record{}
	for _, reclamation := range reclamations {
		s.lending.reclaimingFor[reclamation.Task] = true
		a := s.machine.find(reclamation.Task)
		limit := reclaimWaitShare * float64(reclaimDeadline(s.organisationSettings(a.Task.Organisation)))
		if float64(now.Sub(time.UnixMilli(a.AcceptedMS))) >= limit {
			r.Reclaim = append(r.Reclaim, reclamation.Evict...)
		}
	}
	if len(r.Reclaim) == 0 {
		return nil
	}
	return r
}

// hasUnansweredWorkers reports whether a new owner is still waiting for the
// first answer of a live worker. Capacity that its predecessor reclaimed
// there would be missed in the plan.
func (s *session) hasUnansweredWorkers(now time.Time) bool {
	if now.Sub(s.openedAt) >= waitLimit {
		return false
	}
	ttl := s.leaseTTL(nil)
	for id, w := range s.members.workers {
		if w.State == inventory.StateLive && !s.acceptsTasks(id, now, ttl) {
			return true
		}
	}
	return false
}

// coreSecondsLost returns the work done since the last checkpoint, in core
// seconds: the work since the attempt was placed, less the share of its progress
// that was checkpointed. It is derived from the placement and the last status
// only, so that a new owner gets the same result. Without reported progress all
// work counts as lost.
func coreSecondsLost(a *attempt, r *run, now time.Time) float64 {
	placedAt := time.UnixMilli(a.Placement.StartByMS).Add(-placeWindow)
	work := cores(a.Placement.Size) * max(0, now.Sub(placedAt).Seconds())
	progress := r.status.Progress - a.Task.CheckpointProgress
	if progress <= 0 {
		return work
	}
	checkpointed := r.status.CheckpointProgress - a.Task.CheckpointProgress
	return work * (1 - min(1, max(0, checkpointed)/progress))
}

// stopReclaimed stops the tasks that are journaled as reclaimed. Their checkpoints
// may take no longer than checkpointShare of the reclaim deadline.
func (s *session) stopReclaimed(placed []*attempt, now time.Time) {
	latest := now.Add(time.Duration(checkpointShare * float64(s.reclaimDeadline())))
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || !r.reclaimed || r.stopping || !r.placedHere && r.firstSeenAt.IsZero() {
			continue
		}
		s.logger.Log("event", "taken_back", "worker", a.Placement.Worker, "task", a.Task.Task,
			"attempt", a.Task.Attempt, "organisation", a.Task.Organisation)
		s.stop(a, now, reasonReclaimed)
		if r.stopBy.After(latest) {
			r.stopBy = latest
		}
	}
}

// waitLimit returns how long an accepted attempt waits for a worker. An attempt
// for which capacity is being reclaimed waits until it is free.
func (s *session) waitLimit(a *attempt) time.Duration {
	if s.lending.reclaimingFor[a.Task.AttemptRef] {
		return max(waitLimit, reclaimDeadline(s.organisationSettings(a.Task.Organisation)))
	}
	return waitLimit
}
