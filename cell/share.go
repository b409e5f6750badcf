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

// LatencySource reports the measured latency of backend servers. It is safe for concurrent use.
type LatencySource interface {
	// Latency returns what this host measured of a backend server lately, or
	// false if another host sends to it.
	Latency(server inventory.Server) (Latency, bool)
}

// Latency is what was measured of a backend server.
type Latency struct {
	P99  time.Duration // of requests in the last seconds
	Load float64       // share of its slots in use, 0 to 1
}

// share learns from the latencies of the services in the cell, and throttles,
// evicts and gives back as the policy decides.
func (s *session) share(ctx context.Context, placed []*attempt, now time.Time) {
	if s.deps.Latencies == nil || now.Sub(s.sharedAt) < shareInterval {
		return
	}
	s.sharedAt = now
	s.askFront(ctx, now)
	s.learnUsage(placed, now)
	snapshot := s.sharingSnapshot(placed, now)
	s.shared = make(map[fleet.WorkerID]sharing.Worker, len(snapshot.Workers))
	for _, w := range snapshot.Workers {
		s.model.Observe(now, w)
		s.shared[w.ID] = w
	}
	for _, action := range s.policy.Decide(now, snapshot) {
		s.act(action, now)
	}
}

func (s *session) act(action sharing.Action, now time.Time) {
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
	r.wantShare = action.Share
	s.wakeWorker(a.Placement.Worker)
}

// learnUsage takes the use that running tasks last reported. Use lags, so only
// tasks without a throttle tell what their class makes of its cores.
func (s *session) learnUsage(placed []*attempt, now time.Time) {
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
		if r == nil || r.seen.IsZero() || r.stopping {
			continue
		}
		id := a.Placement.Worker
		tasks[id] = append(tasks[id], s.sharingTask(a, r, now))
		snapshot.EvictionsPerMinute = max(snapshot.EvictionsPerMinute, s.resolved(a).EvictionsMinute)
	}
	for id := range s.members.workers {
		w := sharing.Worker{ID: id, Services: s.sharingServices(id, now), Tasks: tasks[id]}
		snapshot.Workers = append(snapshot.Workers, w)
	}
	return snapshot
}

func (s *session) sharingTask(a *attempt, r *run, now time.Time) sharing.Task {
	given := cores(a.Placement.Size)
	return sharing.Task{
		Ref:             a.Task.AttemptRef,
		Class:           a.Task.Class,
		Cores:           given,
		Share:           r.status.Share,
		Floor:           s.resolved(a).ThrottleFloor,
		SinceCheckpoint: time.Duration(given * r.status.Share * float64(now.Sub(r.checkpointAt))),
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
			Load:      measured.Load,
		})
	}
	return services
}

func cores(r fleet.Resources) float64 { return float64(r.MilliCores) / milliCoresPerCore }

// learnedCost is the session's model as the scheduler asks for it.
type learnedCost struct{ s *session }

// Pressure implements scheduler.CostModel.
func (c learnedCost) Pressure(id fleet.WorkerID, class fleet.JobClass, milliCores int64) float64 {
	return c.s.model.Pressure(c.s.shared[id], class, float64(milliCores)/milliCoresPerCore)
}
