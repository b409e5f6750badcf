package cell

import (
	"context"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/sharing"
)

// shareInterval is the time between two decisions on throttling.
const shareInterval = time.Second

const milliCoresPerCore = 1000

// LatencySource reports the measured latency of backend servers. It is safe for
// concurrent use.
type LatencySource interface {
	// Latency returns this host's recent measurement of a backend server, or
	// false if another host sends requests to it.
	Latency(server inventory.Server) (Latency, bool)
}

// Latency is a measurement of a backend server.
type Latency struct {
	P99         time.Duration // of requests in the last seconds
	Utilisation float64       // share of its slots in use, 0 to 1
}

// controlSharing updates the interference model with the latencies of the
// services in the cell, and throttles, evicts and unthrottles tasks as the
// policy decides.
func (s *session) controlSharing(ctx context.Context, placed []*attempt, now time.Time) {
	if s.deps.Latencies == nil || now.Sub(s.lastSharingAt) < shareInterval {
		return
	}
	s.lastSharingAt = now
	s.requestFrontLatencies(ctx, now)
	s.observeUsage(placed, now)
	snapshot := s.sharingSnapshot(placed, now)
	s.lastSharing = make(map[fleet.WorkerID]sharing.Worker, len(snapshot.Workers))
	for _, w := range snapshot.Workers {
		s.model.Observe(now, w)
		s.lastSharing[w.ID] = w
	}
	for _, action := range s.policy.Decide(now, snapshot) {
		s.applyAction(action, now)
	}
}

func (s *session) applyAction(action sharing.Action, now time.Time) {
	a, r := s.machine.find(action.Ref), s.runs[action.Ref]
	if a == nil || r == nil || a.Phase != phasePlaced {
		return
	}
	s.logger.Log("event", "sharing", "action", action.Kind, "worker", action.Worker,
		"task", action.Ref.Task, "attempt", action.Ref.Attempt, "share", action.Share)
	if action.Kind == sharing.Evict {
		s.stop(a, now, reasonEvicted)
		return
	}
	r.targetShare = action.Share
	s.wakeAgent(a.Placement.Worker)
}

// observeUsage updates the model with the usage that running tasks last
// reported. Reported usage lags behind throttling, so only unthrottled tasks
// show how much of its cores their class uses.
func (s *session) observeUsage(placed []*attempt, now time.Time) {
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || r.status.Used.MilliCores == 0 || r.status.Share != 1 {
			continue
		}
		s.model.ObserveUsage(now, a.Task.Class, cores(a.Placement.Size), cores(r.status.Used))
	}
}

func (s *session) sharingSnapshot(placed []*attempt, now time.Time) sharing.Snapshot {
	var snapshot sharing.Snapshot
	tasks := make(map[fleet.WorkerID][]sharing.Task)
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || r.firstSeenAt.IsZero() || r.stopping {
			continue
		}
		id := a.Placement.Worker
		tasks[id] = append(tasks[id], s.sharingTask(a, r, now))
		snapshot.EvictionsPerMinute = max(snapshot.EvictionsPerMinute, s.classSettings(a).EvictionsPerMinute)
	}
	for id := range s.members.workers {
		w := sharing.Worker{ID: id, Services: s.sharingServices(id, now), Tasks: tasks[id]}
		snapshot.Workers = append(snapshot.Workers, w)
	}
	return snapshot
}

func (s *session) sharingTask(a *attempt, r *run, now time.Time) sharing.Task {
	allocated := cores(a.Placement.Size)
	return sharing.Task{
		Ref:             a.Task.AttemptRef,
		Class:           a.Task.Class,
		Cores:           allocated,
		Share:           r.status.Share,
		Floor:           s.classSettings(a).ThrottleFloor,
		SinceCheckpoint: time.Duration(allocated * r.status.Share * float64(now.Sub(r.checkpointAt))),
	}
}

func (s *session) sharingServices(id fleet.WorkerID, now time.Time) []sharing.Service {
	var services []sharing.Service
	for _, server := range s.members.servers[id] {
		measured, ok := s.latency(server, now)
		if !ok {
			continue
		}
		values := s.deps.Settings.Current().Service(server.Organisation, s.dc, server.Service)
		services = append(services, sharing.Service{
			Name:      server.Service,
			Objective: time.Duration(values.ObjectiveMS) * time.Millisecond,
			P99:       measured.P99,
			Load:      measured.Utilisation,
		})
	}
	return services
}

func cores(r fleet.Resources) float64 { return float64(r.MilliCores) / milliCoresPerCore }

// learnedCost adapts the session's interference model to scheduler.CostModel.
type learnedCost struct{ s *session }

// Pressure implements scheduler.CostModel.
func (c learnedCost) Pressure(id fleet.WorkerID, class fleet.JobClass, milliCores int64) float64 {
	return c.s.model.Pressure(c.s.lastSharing[id], class, float64(milliCores)/milliCoresPerCore)
}
