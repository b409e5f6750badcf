package cell

import (
	"math"
	"reflect"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
)

// load returns the cell's load for load summaries and for replies to queues.
// Its sequence number increases only when another field has changed.
func (s *session) load() member.CellLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.computeLoad(time.Now())
	load.Epoch = s.owner.Epoch
	load.Sequence = s.lastLoad.Sequence
	if !reflect.DeepEqual(load, s.lastLoad) {
		load.Sequence++
		s.lastLoad = load
	}
	return load
}

// computeLoad returns the load at now without epoch and sequence number. A data
// centre that is out of service has nothing free; one that is refilling has
// only the share that may be used at now. The caller holds the mutex.
func (s *session) computeLoad(now time.Time) member.CellLoad {
	waiting := s.machine.inPhase(phaseWaiting)
	load := member.CellLoad{DataCentre: s.dc, Waiting: len(waiting)}
	for _, a := range waiting {
		load.Queued = load.Queued.Add(a.Task.Resources)
	}
	load.UnusedGuarantees = s.unusedGuarantees(now)
	reserved := s.reservedForGuarantees(now, s.shares(now))
	in := s.isInService()
	mostFree := int64(-1)
	workers := s.schedulerWorkers(now)
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
		free := nonNegative(w.Capacity.Sub(w.Used))
		load.Free = load.Free.Add(free)
		if free.MilliCores > mostFree {
			mostFree = free.MilliCores
			load.LargestFit = free
		}
	}
	load.Free = nonNegative(load.Free.Sub(reserved))
	load.LargestFit = minResources(load.LargestFit, load.Free)
	if budget := s.dcState.budget(now, workers); in && budget != nil {
		load.Capacity = scale(load.Capacity, s.dcState.usableShare(now))
		load.Free = minResources(load.Free, nonNegative(*budget))
		load.LargestFit = minResources(load.LargestFit, load.Free)
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

func minResources(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func nonNegative(r fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCores:   max(0, r.MilliCores),
		MemoryMB:     max(0, r.MemoryMB),
		Accelerators: max(0, r.Accelerators),
	}
}
