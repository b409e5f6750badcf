package host

import (
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/cell"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/sharing"
)

// costOfOneCore scales a model's cost to the range of placement, in which 1
// means that the service's objective is lost.
const costOfOneCore = 1.0

// milliCoresPerCore converts sizes.
const milliCoresPerCore = 1000

// sharer implements cell.Sharing with one model for all cells of this host
// and one policy for each cell. It is safe for concurrent use.
type sharer struct {
	h *Host

	mu       sync.Mutex
	model    *sharing.Model
	policies map[fleet.WorkerID]*sharing.Policy // of the worker's cell
}

func newSharer(h *Host) *sharer {
	return &sharer{
		h:        h,
		model:    sharing.NewModel(),
		policies: make(map[fleet.WorkerID]*sharing.Policy),
	}
}

// Cost implements scheduler.CostModel.
func (s *sharer) Cost(class fleet.JobClass, service fleet.Service) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(1, costOfOneCore*s.model.Cost(service, class).Cautious())
}

// Decide implements cell.Sharing.
func (s *sharer) Decide(now time.Time, workers []cell.SharedWorker) []cell.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.h.tracker.Current()
	snapshot := sharing.Snapshot{}
	for _, w := range workers {
		seen := s.worker(current, w)
		s.model.Observe(now, seen)
		s.observeUsage(now, w)
		snapshot.Workers = append(snapshot.Workers, seen)
		for _, server := range w.Servers {
			values := current.Service(server.Organisation, server.DataCentre, server.Service)
			snapshot.EvictionsPerMinute = max(snapshot.EvictionsPerMinute, values.EvictionsMinute)
		}
	}
	return actions(s.policyOf(workers).Decide(now, snapshot))
}

// policyOf returns the policy that decided about any of the workers before,
// or a new one.
func (s *sharer) policyOf(workers []cell.SharedWorker) *sharing.Policy {
	var policy *sharing.Policy
	for _, w := range workers {
		if p, ok := s.policies[w.ID]; ok {
			policy = p
			break
		}
	}
	if policy == nil {
		policy = sharing.NewPolicy(s.model)
	}
	for _, w := range workers {
		s.policies[w.ID] = policy
	}
	return policy
}

func (s *sharer) worker(current settings.Snapshot, w cell.SharedWorker) sharing.Worker {
	seen := sharing.Worker{ID: w.ID}
	for _, server := range w.Servers {
		load, ok := s.h.gateway.ServerLoad(server.Service, server.ID)
		if !ok {
			continue
		}
		values := current.Service(server.Organisation, server.DataCentre, server.Service)
		seen.Services = append(seen.Services, sharing.Service{
			Name:      server.Service,
			Objective: time.Duration(values.ObjectiveMS) * time.Millisecond,
			P99:       load.P99,
			Load:      load.Busy,
		})
	}
	for _, t := range w.Tasks {
		seen.Tasks = append(seen.Tasks, task(current, w, t))
	}
	return seen
}

func task(current settings.Snapshot, w cell.SharedWorker, t cell.SharedTask) sharing.Task {
	cores := float64(t.Size.MilliCores) / milliCoresPerCore
	lost := max(0, t.Progress-t.CheckpointProgress)
	values := current.JobClass("", dataCentreOf(w.Servers), t.Class)
	return sharing.Task{
		Ref:   t.AttemptRef,
		Class: t.Class,
		Cores: cores,
		Share: t.Share,
		Floor: values.ThrottleFloor,
		// Progress is a share of a run whose length is unknown, so that tasks
		// of one size are compared by the share that would be lost.
		SinceCheckpoint: time.Duration(lost * cores * float64(time.Hour)),
	}
}

func dataCentreOf(servers []platform.Server) fleet.DataCentre {
	if len(servers) == 0 {
		return ""
	}
	return servers[0].DataCentre
}

// observeUsage learns from the usage that a worker reported. Only tasks that
// were not throttled tell what a class uses.
func (s *sharer) observeUsage(now time.Time, w cell.SharedWorker) {
	for _, t := range w.Tasks {
		if t.Share == 1 && t.Used.MilliCores > 0 && t.Size.MilliCores > 0 {
			given := float64(t.Size.MilliCores) / milliCoresPerCore
			s.model.ObserveUsage(now, t.Class, given, float64(t.Used.MilliCores)/milliCoresPerCore)
		}
	}
}

func actions(decided []sharing.Action) []cell.Action {
	var list []cell.Action
	for _, a := range decided {
		action := cell.Action{AttemptRef: a.Ref, Kind: cell.ActionThrottle, Share: a.Share}
		if a.Kind == sharing.Evict {
			action.Kind = cell.ActionEvict
		}
		list = append(list, action)
	}
	return list
}
