package cell

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/scheduler"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

// isInService reports whether the data centre is in service according to the
// settings that this host has.
func (s *session) isInService() bool {
	return s.deps.Settings.Current().DataCentres()[s.dc].State == settings.DataCentreInService
}

// classSettingsKey identifies the settings of a job class of an organisation.
type classSettingsKey struct {
	organisation fleet.Organisation
	class        fleet.JobClass
}

// classSettings returns the settings of an attempt's job class. Lookups are
// cached until the settings change, since every round of decisions needs them.
func (s *session) classSettings(a *attempt) settings.Resolved {
	current := s.deps.Settings.Current()
	if s.settingsCache == nil || current.Revision() != s.settingsCacheRevision {
		s.settingsCache = make(map[classSettingsKey]settings.Resolved)
		s.settingsCacheRevision = current.Revision()
	}
	key := classSettingsKey{organisation: a.Task.Organisation, class: a.Task.Class}
	values, known := s.settingsCache[key]
	if !known {
		values = current.JobClass(key.organisation, s.dc, key.class)
		s.settingsCache[key] = values
	}
	return values
}

// leaseTTL returns the lease duration for the tasks on a worker: the longest
// that the settings give for any of them, or the organisation-independent one
// if there are none.
func (s *session) leaseTTL(placed []*attempt) time.Duration {
	if len(placed) == 0 {
		return clampLease(s.classSettings(&attempt{}).WorkerLeaseMS)
	}
	longest := time.Duration(0)
	for _, a := range placed {
		longest = max(longest, clampLease(s.classSettings(a).WorkerLeaseMS))
	}
	return longest
}

// schedulerWorkers returns the cell's workers for the scheduler. The size of
// every placed attempt counts as used, since reports of usage lag.
func (s *session) schedulerWorkers(now time.Time) []scheduler.Worker {
	ttl := s.leaseTTL(nil)
	workers := make([]scheduler.Worker, 0, len(s.members.workers))
	index := make(map[fleet.WorkerID]int, len(s.members.workers))
	for id, listed := range s.members.workers {
		w := scheduler.Worker{ID: id, Rack: listed.Rack, Capacity: s.members.capacity(id)}
		w.Live = s.acceptsTasks(id, now, ttl)
		w.Quarantined, w.Probe = s.machine.quarantine(id, now)
		index[id] = len(workers)
		workers = append(workers, w)
	}
	for _, a := range s.machine.state.Attempts {
		i, listed := index[a.Placement.Worker]
		if a.Phase == phasePlaced && listed {
			workers[i].Used = workers[i].Used.Add(a.Placement.Size)
			workers[i].Tasks++
			workers[i].Reserved = workers[i].Reserved || a.Reclaimed
		}
	}
	return workers
}

// acceptsTasks reports whether tasks may be placed on a worker: the platform
// lists it as live, it has answered recently, and it runs no attempt that is
// not in the journal.
func (s *session) acceptsTasks(id fleet.WorkerID, now time.Time, ttl time.Duration) bool {
	w := s.workers[id]
	if w == nil || s.members.workers[id].State != inventory.StateLive {
		return false
	}
	return w.lease.isReachable(now, ttl) && len(w.unknown) == 0
}

// planWaiting plans all waiting attempts.
func (s *session) planWaiting(now time.Time) scheduler.Result {
	waiting := s.machine.inPhase(phaseWaiting)
	snapshot := scheduler.Snapshot{InService: s.isInService(), TasksByRack: make(map[scheduler.JobRack]int)}
	for _, a := range waiting {
		if _, decided := s.pendingEnds[a.Task.AttemptRef]; !decided && !a.Cancelled {
			snapshot.Tasks = append(snapshot.Tasks, s.machine.schedulerTask(a))
		}
	}
	if len(snapshot.Tasks) == 0 {
		return scheduler.Result{}
	}
	snapshot.Workers = s.schedulerWorkers(now)
	s.applyGuarantees(&snapshot, now)
	snapshot.Budget = s.dcState.budget(now, snapshot.Workers)
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

// schedulerTask returns a waiting attempt for the scheduler.
func (m *Machine) schedulerTask(a *attempt) scheduler.Task {
	previous := m.state.Closed[a.Task.Task]
	return scheduler.Task{
		AttemptRef:   a.Task.AttemptRef,
		Organisation: a.Task.Organisation,
		Job:          jobOf(a.Task.Task),
		Class:        a.Task.Class,
		Priority:     a.Task.Priority,
		Declared:     a.Task.Resources,
		Observed:     m.observedSize(a.Task.Class),
		Checkpoint:   a.Task.Checkpoint != "",
		LastWorker:   previous.Worker,
		FailedOn:     previous.FailedOn,
		AcceptOrder:  a.Order,
	}
}

// placeWaiting is a commit step that places the waiting attempts that fit.
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
		s.runs[p.Task] = &run{placedHere: true}
	}
	return r
}
