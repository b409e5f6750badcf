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
	snapshot := scheduler.Snapshot{Open: s.isIn(), Spread: make(map[scheduler.RackLoad]int)}
	for _, a := range s.machine.state.Attempts {
		if a.Phase == phaseWaiting && isUrgent(a.Task.Priority) && !a.Cancelled {
			snapshot.Tasks = append(snapshot.Tasks, s.schedulableTask(a))
		}
	}
	if len(snapshot.Tasks) == 0 {
		return
	}
	snapshot.Workers = s.schedulable(now)
	index := make(map[fleet.WorkerID]int, len(snapshot.Workers))
	for i := range snapshot.Workers {
		index[snapshot.Workers[i].ID] = i
	}
	var victims []scheduler.Victim
	for _, a := range s.machine.inPhase(phasePlaced) {
		r := s.runs[a.Task.AttemptRef]
		i, ours := index[a.Placement.Worker]
		switch {
		case r == nil || !ours:
		case r.stopping:
			snapshot.Workers[i].Used = snapshot.Workers[i].Used.Sub(a.Placement.Size)
		case !isUrgent(a.Task.Priority):
			victims = append(victims, s.asVictim(a, r, now))
		}
	}
	for _, ref := range scheduler.Preempt(snapshot, victims) {
		s.stop(s.machine.find(ref), now, reasonEvicted)
	}
}

func (s *session) asVictim(a *attempt, r *run, now time.Time) scheduler.Victim {
	lost := 0.0
	if !r.seen.IsZero() {
		lost = s.sharingTask(a, r, now).SinceCheckpoint.Seconds()
	}
	return scheduler.Victim{
		AttemptRef: a.Task.AttemptRef,
		Worker:     a.Placement.Worker,
		Size:       a.Placement.Size,
		Priority:   a.Task.Priority,
		Lost:       lost,
	}
}

// makeRoomNow is a commit step that journals nothing: it begins evictions as
// soon as an urgent task is accepted.
func (s *session) makeRoomNow() *record {
	s.makeRoom(time.Now())
	return nil
}
