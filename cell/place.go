package cell

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/scheduler"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

// isIn reports whether operators let work into the data centre, as far as
// this host knows.
func (s *session) isIn() bool {
	return s.deps.Settings.Current().DataCentres()[s.dc].State == settings.DataCentreIn
}

// resolvedKey names a leaf of the settings.
type resolvedKey struct {
	organisation fleet.Organisation
	class        fleet.JobClass
}

// resolved returns the settings of an attempt's job class. Lookups are kept
// until the settings change, since every round of decisions asks for them.
func (s *session) resolved(a *attempt) settings.Resolved {
	current := s.deps.Settings.Current()
	if s.values == nil || current.Revision() != s.valuesAt {
		s.values = make(map[resolvedKey]settings.Resolved)
		s.valuesAt = current.Revision()
	}
	key := resolvedKey{organisation: a.Task.Organisation, class: a.Task.Class}
	values, known := s.values[key]
	if !known {
		values = current.JobClass(key.organisation, s.dc, key.class)
		s.values[key] = values
	}
	return values
}

// leaseTTL returns the lease of tasks on a worker: the longest that the
// settings give for any of them.
func (s *session) leaseTTL(placed []*attempt) time.Duration {
	if len(placed) == 0 {
		return clampLease(s.resolved(&attempt{}).WorkerLeaseMS)
	}
	longest := time.Duration(0)
	for _, a := range placed {
		longest = max(longest, clampLease(s.resolved(a).WorkerLeaseMS))
	}
	return longest
}

// schedulable returns the cell's workers as the scheduler sees them. What is
// placed counts as used, whatever the lagging reports say.
func (s *session) schedulable(now time.Time) []scheduler.Worker {
	ttl := s.leaseTTL(nil)
	workers := make([]scheduler.Worker, 0, len(s.members.workers))
	index := make(map[fleet.WorkerID]int, len(s.members.workers))
	for id, listed := range s.members.workers {
		w := scheduler.Worker{ID: id, Rack: listed.Rack, Capacity: s.members.capacity(id)}
		w.Live = s.takesWork(id, now, ttl)
		w.Quarantined, w.Probe = s.machine.quarantine(id, now)
		index[id] = len(workers)
		workers = append(workers, w)
	}
	for _, a := range s.machine.state.Attempts {
		i, ours := index[a.Placement.Worker]
		if a.Phase == phasePlaced && ours {
			workers[i].Used = workers[i].Used.Add(a.Placement.Size)
			workers[i].Tasks++
			workers[i].Reserved = workers[i].Reserved || a.TakenBack
		}
	}
	return workers
}

// takesWork reports whether tasks may be placed on a worker: the platform
// lists it as live, it has answered lately, and it runs nothing that the
// journal does not know.
func (s *session) takesWork(id fleet.WorkerID, now time.Time, ttl time.Duration) bool {
	w := s.workers[id]
	if w == nil || s.members.workers[id].State != inventory.StateLive {
		return false
	}
	return w.lease.isReachable(now, ttl) && len(w.foreign) == 0
}

// planWaiting plans all waiting attempts.
func (s *session) planWaiting(now time.Time) scheduler.Result {
	waiting := s.machine.inPhase(phaseWaiting)
	snapshot := scheduler.Snapshot{Open: s.isIn(), TasksByRack: make(map[scheduler.JobRack]int)}
	for _, a := range waiting {
		if _, decided := s.ends[a.Task.AttemptRef]; !decided && !a.Cancelled {
			snapshot.Tasks = append(snapshot.Tasks, s.machine.schedulableTask(a))
		}
	}
	if len(snapshot.Tasks) == 0 {
		return scheduler.Result{}
	}
	snapshot.Workers = s.schedulable(now)
	s.entitle(&snapshot, now)
	snapshot.Budget = s.gate.budget(now, snapshot.Workers)
	if s.deps.Latencies != nil {
		snapshot.Cost = learnedCost{s}
	}
	for _, a := range s.machine.state.Attempts {
		if a.Phase == phasePlaced {
			rack := s.members.workers[a.Placement.Worker].Rack
			snapshot.TasksByRack[scheduler.JobRack{Job: jobOf(a.Task.Task), Rack: rack}]++
		}
	}
	return scheduler.Plan(snapshot)
}

// schedulableTask returns a waiting attempt as the scheduler sees it.
func (m *Machine) schedulableTask(a *attempt) scheduler.Task {
	before := m.state.Closed[a.Task.Task]
	return scheduler.Task{
		AttemptRef:   a.Task.AttemptRef,
		Organisation: a.Task.Organisation,
		Job:          jobOf(a.Task.Task),
		Class:        a.Task.Class,
		Priority:     a.Task.Priority,
		Declared:     a.Task.Resources,
		Observed:     m.observedSize(a.Task.Class),
		Checkpoint:   a.Task.Checkpoint != "",
		LastWorker:   before.Worker,
		FailedOn:     before.FailedOn,
		AcceptOrder:  a.Order,
	}
}

// placeWaiting is a commit step: it places what fits.
func (s *session) placeWaiting() *record {
	now := time.Now()
	plan := s.planWaiting(now)
	if len(plan.Placements) == 0 {
		return nil
	}
	r := &record{}
	startBy := now.Add(placeWindow).UnixMilli()
	for _, p := range plan.Placements {
		r.Place = append(r.Place, placement{
			AttemptRef: p.Task,
			Worker:     p.Worker,
			Size:       p.Size,
			StartByMS:  startBy,
		})
		s.runs[p.Task] = &run{own: true}
	}
	return r
}
