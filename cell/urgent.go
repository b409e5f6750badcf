package cell

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/scheduler"
)

func isUrgent(priority int) bool { return priority >= job.UrgentPriority }

// makeRoom evicts tasks for urgent ones that fit nowhere. What is being
// stopped already counts as free, so that no task is evicted twice for the
// same cause. An eviction needs no journal entry: its outcome is journaled.
func (s *session) makeRoom(now time.Time) {
	snapshot, placed := s.afterStops(now, func(a *attempt) bool { return isUrgent(a.Task.Priority) })
	var victims []scheduler.Victim
	for _, a := range placed {
		if !isUrgent(a.Task.Priority) {
			victims = append(victims, asVictim(a, s.runs[a.Task.AttemptRef], now))
		}
	}
	for _, ref := range scheduler.Preempt(snapshot, victims) {
		s.stop(s.machine.find(ref), now, reasonEvicted)
	}
}

// afterStops returns the cell as it is when all that is being stopped has
// ended, with the waiting tasks that are wanted, and the placed attempts that
// are left. Without such tasks it returns nothing.
func (s *session) afterStops(now time.Time, wanted func(*attempt) bool) (scheduler.Snapshot, []*attempt) {
	snapshot := scheduler.Snapshot{Open: s.isIn(), TasksByRack: make(map[scheduler.JobRack]int)}
	for _, a := range s.machine.state.Attempts {
		if a.Phase == phaseWaiting && !a.Cancelled && wanted(a) {
			snapshot.Tasks = append(snapshot.Tasks, s.machine.schedulableTask(a))
		}
	}
	if len(snapshot.Tasks) == 0 {
		return snapshot, nil
	}
	snapshot.Workers = s.schedulable(now)
	index := make(map[fleet.WorkerID]int, len(snapshot.Workers))
	for i := range snapshot.Workers {
		index[snapshot.Workers[i].ID] = i
	}
	var left []*attempt
	for _, a := range s.machine.inPhase(phasePlaced) {
		i, ours := index[a.Placement.Worker]
		switch {
		case s.runs[a.Task.AttemptRef] == nil || !ours:
		case s.isLeaving(a):
			snapshot.Workers[i].Used = snapshot.Workers[i].Used.Sub(a.Placement.Size)
		default:
			left = append(left, a)
		}
	}
	return snapshot, left
}

func asVictim(a *attempt, r *run, now time.Time) scheduler.Victim {
	return scheduler.Victim{
		AttemptRef:   a.Task.AttemptRef,
		Organisation: a.Task.Organisation,
		Worker:       a.Placement.Worker,
		Size:         a.Placement.Size,
		Priority:     a.Task.Priority,
		LostWork:     coreSecondsLost(a, r, now),
	}
}

// makeRoomNow is a commit step that journals nothing: it begins evictions as
// soon as an urgent task is accepted.
func (s *session) makeRoomNow() *record {
	s.makeRoom(time.Now())
	return nil
}
