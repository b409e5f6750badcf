package cell

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/scheduler"
)

func isUrgent(priority int) bool { return priority >= job.UrgentPriority }

// preemptForUrgent evicts tasks to make room for urgent ones that fit nowhere.
// Tasks that are being stopped already count as free, so that no second task is
// evicted for the same cause. The eviction needs no journal entry, since its
// outcome is journaled.
func (s *session) preemptForUrgent(now time.Time) {
	snapshot, placed := s.snapshotAfterStops(now, func(a *attempt) bool { return isUrgent(a.Task.Priority) })
	var victims []scheduler.Victim
	for _, a := range placed {
		if !isUrgent(a.Task.Priority) {
			victims = append(victims, newVictim(a, s.runs[a.Task.AttemptRef], now))
		}
	}
	for _, ref := range scheduler.Preempt(snapshot, victims) {
		s.stop(s.machine.find(ref), now, reasonEvicted)
	}
}

// snapshotAfterStops returns a snapshot of the cell as if every task that is
// being stopped had ended, with the waiting tasks that wanted selects, and the
// placed attempts that remain. If wanted selects none, both are empty.
func (s *session) snapshotAfterStops(now time.Time, wanted func(*attempt) bool) (scheduler.Snapshot, []*attempt) {
	snapshot := scheduler.Snapshot{InService: s.isInService(), TasksByRack: make(map[scheduler.JobRack]int)}
	for _, a := range s.machine.state.Attempts {
		if a.Phase == phaseWaiting && !a.Cancelled && wanted(a) {
			snapshot.Tasks = append(snapshot.Tasks, s.machine.schedulerTask(a))
		}
	}
	if len(snapshot.Tasks) == 0 {
		return snapshot, nil
	}
	snapshot.Workers = s.schedulerWorkers(now)
	index := make(map[fleet.WorkerID]int, len(snapshot.Workers))
	for i := range snapshot.Workers {
		index[snapshot.Workers[i].ID] = i
	}
	var remaining []*attempt
	for _, a := range s.machine.inPhase(phasePlaced) {
		i, ours := index[a.Placement.Worker]
		switch {
		case s.runs[a.Task.AttemptRef] == nil || !ours:
		case s.isStopping(a):
			snapshot.Workers[i].Used = snapshot.Workers[i].Used.Sub(a.Placement.Size)
		default:
			remaining = append(remaining, a)
		}
	}
	return snapshot, remaining
}

func newVictim(a *attempt, r *run, now time.Time) scheduler.Victim {
	return scheduler.Victim{
		AttemptRef:   a.Task.AttemptRef,
		Organisation: a.Task.Organisation,
		Worker:       a.Placement.Worker,
		Size:         a.Placement.Size,
		Priority:     a.Task.Priority,
		LostWork:     coreSecondsLost(a, r, now),
	}
}

// preemptForUrgentNow is a commit step that journals nothing: it begins
// evictions as soon as an urgent task is accepted.
func (s *session) preemptForUrgentNow() *record {
	s.preemptForUrgent(time.Now())
	return nil
}
