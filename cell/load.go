package cell

import (
	"math"
	"reflect"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
)

// load returns what the cell tells of itself in load summaries and to queues.
// Its sequence rises only when something else in it has changed.
func (s *session) load() member.CellLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.measure(time.Now())
	now.Epoch = s.owner.Epoch
	now.Sequence = s.told.Sequence
	if !reflect.DeepEqual(now, s.told) {
		now.Sequence++
		s.told = now
	}
	return now
}

// measure returns the load at now without its order. A data centre that is
// out has nothing free, one that fills up again has only what may be used by
// then. The mutex is held.
func (s *session) measure(now time.Time) member.CellLoad {
	waiting := s.machine.inPhase(phaseWaiting)
	load := member.CellLoad{DataCentre: s.dc, Waiting: len(waiting)}
	for _, a := range waiting {
		load.Queued = load.Queued.Add(a.Task.Resources)
	}
	load.Owed = s.owed(now)
	held := s.held(now, s.shares(now))
	in := s.isIn()
	emptiest := int64(-1)
	workers := s.schedulable(now)
	for _, w := range workers {
		load.Capacity = load.Capacity.Add(w.Capacity)
		if !in || !w.Live || w.Quarantined {
			continue
		}
		if w.Capacity.MilliCores > load.LargestWorker.MilliCores {
			load.LargestWorker = w.Capacity
		}
		if w.Reserved {
			continue
		}
		free := positive(w.Capacity.Sub(w.Used))
		load.Free = load.Free.Add(free)
		if free.MilliCores > emptiest {
			emptiest = free.MilliCores
			load.LargestFit = free
		}
	}
	load.Free = positive(load.Free.Sub(held))
	load.LargestFit = least(load.LargestFit, load.Free)
	if budget := s.gate.budget(now, workers); in && budget != nil {
		load.Capacity = scale(load.Capacity, s.gate.refill(now))
		load.Free = least(load.Free, positive(*budget))
		load.LargestFit = least(load.LargestFit, load.Free)
	}
	return load
}

func scale(r fleet.Resources, share float64) fleet.Resources {
	return fleet.Resources{
		MilliCores:   int64(share * float64(r.MilliCores)),
		MemoryMB:     int64(share * float64(r.MemoryMB)),
		Accelerators: int64(math.Ceil(share * float64(r.Accelerators))),
	}
}

func least(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func positive(r fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCores:   max(0, r.MilliCores),
		MemoryMB:     max(0, r.MemoryMB),
		Accelerators: max(0, r.Accelerators),
	}
}
