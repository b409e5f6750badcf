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
	// waitShare is the part of the take-back time in which an entitled task
	// waits for room that comes free by itself, and is kept for it.
	waitShare = 0.4
	// checkpointShare is the part that a task may take for its checkpoint.
	// The rest is for its end and the start of what replaces it.
	checkpointShare = 0.4
)

// lending is what a session knows of capacity lent between organisations.
type lending struct {
	read       bool
	revision   store.Revision       // of the settings that were read
	guaranteed []fleet.Organisation // that have a guarantee here
	// served are waiting attempts for which room is being taken back.
	served map[inventory.AttemptRef]bool
	peaks  map[fleet.Organisation]*peak
}

// guaranteed returns the organisations that have a guarantee in this cell.
func (s *session) guaranteed() []fleet.Organisation {
	current := s.deps.Settings.Current()
	l := &s.lending
	if l.read && l.revision == current.Revision() {
		return l.guaranteed
	}
	l.read, l.revision, l.guaranteed = true, current.Revision(), nil
	for _, team := range current.Teams() {
		org := team.Organisation
		if len(s.valuesOf(org).Guarantee) > 0 && !slices.Contains(l.guaranteed, org) {
			l.guaranteed = append(l.guaranteed, org)
		}
	}
	return l.guaranteed
}

// valuesOf returns the settings of an organisation in this data centre.
func (s *session) valuesOf(org fleet.Organisation) settings.Resolved {
	return s.resolved(&attempt{Task: delegation.Task{Organisation: org}})
}

func takeBackTime(values settings.Resolved) time.Duration {
	return time.Duration(values.TakeBackMS) * time.Millisecond
}

// takeBackTime returns the shortest take-back time of those who have a
// guarantee.
func (s *session) takeBackTime() time.Duration {
	shortest := time.Duration(0)
	for _, org := range s.guaranteed() {
		if d := takeBackTime(s.valuesOf(org)); shortest == 0 || d < shortest {
			shortest = d
		}
	}
	return shortest
}

// shares returns what each organisation uses and is guaranteed, or nil if
// nothing is guaranteed at now. A data centre that refills guarantees nothing
// before all of it may be used.
func (s *session) shares(now time.Time) map[fleet.Organisation]scheduler.Share {
	guaranteed := s.guaranteed()
	if len(guaranteed) == 0 || !s.isIn() || s.gate.refill(now) < 1 {
		return nil
	}
	capacity := s.members.liveCapacity()
	shares := make(map[fleet.Organisation]scheduler.Share)
	for _, org := range guaranteed {
		values := s.valuesOf(org)
		least, most := values.Guarantee.Between(now, takeBackTime(values))
		shares[org] = scheduler.Share{
			Entitled:  scheduler.Percent(capacity, least),
			Protected: scheduler.Percent(capacity, most),
		}
	}
	for _, a := range s.machine.state.Attempts {
		if a.Phase != phasePlaced || s.isLeaving(a) {
			continue
		}
		share := shares[a.Task.Organisation]
		share.Used = share.Used.Add(a.Placement.Size)
		shares[a.Task.Organisation] = share
	}
	return shares
}

// liveCapacity returns the capacity of the workers that the platform lists as
// live, whether they answer or not: a short silence changes no guarantee.
func (m *membership) liveCapacity() fleet.Resources {
	var sum fleet.Resources
	for id, w := range m.workers {
		if w.State == inventory.StateLive {
			sum = sum.Add(m.capacity(id))
		}
	}
	return sum
}

// isLeaving reports whether the end of a placed attempt was decided.
func (s *session) isLeaving(a *attempt) bool {
	r := s.runs[a.Task.AttemptRef]
	return a.TakenBack || r != nil && r.stopping
}

// owed returns how much more each organisation may be given by its guarantee,
// without those that may get nothing. It is nil if there is none.
func (s *session) owed(now time.Time) map[fleet.Organisation]fleet.Resources {
	shares := s.shares(now)
	if shares == nil {
		return nil
	}
	waiting := s.waitingOf()
	var owed map[fleet.Organisation]fleet.Resources
	for org, share := range shares {
		left := positive(share.Entitled.Sub(share.Used).Sub(waiting[org]))
		if left.MilliCores == 0 || left.MemoryMB == 0 {
			continue
		}
		if owed == nil {
			owed = make(map[fleet.Organisation]fleet.Resources)
		}
		owed[org] = left
	}
	return owed
}

// waitingOf returns what the waiting attempts of each organisation need.
func (s *session) waitingOf() map[fleet.Organisation]fleet.Resources {
	waiting := make(map[fleet.Organisation]fleet.Resources)
	for _, a := range s.machine.state.Attempts {
		if a.Phase == phaseWaiting {
			waiting[a.Task.Organisation] = waiting[a.Task.Organisation].Add(a.Task.Resources)
		}
	}
	return waiting
}

// isOwed reports whether a task is covered by its organisation's guarantee.
func (s *session) isOwed(t *delegation.Task) bool {
	left, guaranteed := s.owed(time.Now())[t.Organisation]
	return guaranteed && t.Resources.Fits(left)
}

// entitle marks the tasks of a plan that guarantees cover, and bounds the
// others by what may be lent.
func (s *session) entitle(snapshot *scheduler.Snapshot, now time.Time) {
	shares := s.shares(now)
	if shares == nil {
		return
	}
	scheduler.Entitle(snapshot.Tasks, snapshot.Workers, shares)
	var free fleet.Resources
	for _, w := range snapshot.Workers {
		if w.Live && !w.Quarantined {
			free = free.Add(positive(w.Capacity.Sub(w.Used)))
		}
	}
	lendable := free.Sub(s.held(now, shares))
	snapshot.Lendable = &lendable
}

// takeBackLent is a commit step: it journals which tasks on lent capacity are
// to be stopped for guaranteed ones, before any of them is, so that a new
// owner goes on with the same tasks.
func (s *session) takeBackLent() *record {
	now := time.Now()
	s.lending.served = nil
	shares := s.shares(now)
	if shares == nil || s.awaitsWorkers(now) {
		return nil
	}
	snapshot, placed := s.afterStops(now, func(*attempt) bool { return true })
	if len(snapshot.Tasks) == 0 {
		return nil
	}
	scheduler.Entitle(snapshot.Tasks, snapshot.Workers, shares)
	var victims []scheduler.Victim
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if isUrgent(a.Task.Priority) || !r.own && r.seen.IsZero() {
			continue
		}
		victims = append(victims, asVictim(a, r, now))
	}
	return s.takeBackDue(scheduler.Reclaim(snapshot, shares, victims), now)
}

// takeBackDue evicts for the tasks that have waited long enough.
func (s *session) takeBackDue(rooms []scheduler.Reclamation, now time.Time) *record {
	s.lending.served = make(map[inventory.AttemptRef]bool, len(rooms))
	r := &record{}
	for _, room := range rooms {
		s.lending.served[room.Task] = true
		a := s.machine.find(room.Task)
		limit := waitShare * float64(takeBackTime(s.valuesOf(a.Task.Organisation)))
		if float64(now.Sub(time.UnixMilli(a.AcceptedMS))) >= limit {
			r.TakeBack = append(r.TakeBack, room.Evict...)
		}
	}
	if len(r.TakeBack) == 0 {
		return nil
	}
	return r
}

// awaitsWorkers reports whether a new owner has still to hear from a worker:
// room that its predecessor took back there would look like none.
func (s *session) awaitsWorkers(now time.Time) bool {
	if now.Sub(s.openedAt) >= waitLimit {
		return false
	}
	ttl := s.leaseTTL(nil)
	for id, w := range s.members.workers {
		if w.State == inventory.StateLive && !s.takesWork(id, now, ttl) {
			return true
		}
	}
	return false
}

// coreSecondsLost returns the work since the last checkpoint: of the time since
// the attempt was placed, the part that its progress since then stands for. It
// depends on no owner's memory. Progress that is not reported counts as lost.
func coreSecondsLost(a *attempt, r *run, now time.Time) float64 {
	placedAt := time.UnixMilli(a.Placement.StartByMS).Add(-placeWindow)
	work := cores(a.Placement.Size) * max(0, now.Sub(placedAt).Seconds())
	made := r.status.Progress - a.Task.CheckpointProgress
	if made <= 0 {
		return work
	}
	saved := r.status.CheckpointProgress - a.Task.CheckpointProgress
	return work * (1 - min(1, max(0, saved)/made))
}

// stopTakenBack stops the tasks that are journaled as taken back. The
// checkpoint must not take longer than its part of the take-back time.
func (s *session) stopTakenBack(placed []*attempt, now time.Time) {
	latest := now.Add(time.Duration(checkpointShare * float64(s.takeBackTime())))
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || !r.takenBack || r.stopping || !r.own && r.seen.IsZero() {
			continue
		}
		s.logger.Log("event", "taken_back", "worker", a.Placement.Worker, "task", a.Task.Task,
			"attempt", a.Task.Attempt, "organisation", a.Task.Organisation)
		s.stop(a, now, reasonTakenBack)
		if r.stopBy.After(latest) {
			r.stopBy = latest
		}
	}
}

// waitLimit returns how long an accepted attempt waits for a worker. One for
// which room is being taken back waits for that room.
func (s *session) waitLimit(a *attempt) time.Duration {
	if s.lending.served[a.Task.AttemptRef] {
		return max(waitLimit, takeBackTime(s.valuesOf(a.Task.Organisation)))
	}
	return waitLimit
}
