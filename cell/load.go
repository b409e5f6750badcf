package cell

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
)

// load returns what the cell tells of itself in load summaries. A data centre
// that is out has nothing free.
func (s *session) load() member.CellLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := member.CellLoad{DataCentre: s.dc, Waiting: s.machine.waiting()}
	in := s.isIn()
	emptiest := int64(-1)
	for _, w := range s.schedulable(time.Now()) {
		load.Capacity = load.Capacity.Add(w.Capacity)
		if !in || !w.Live || w.Quarantined {
			continue
		}
		free := positive(w.Capacity.Sub(w.Used))
		load.Free = load.Free.Add(free)
		if free.MilliCores > emptiest {
			emptiest = free.MilliCores
			load.LargestFit = free
		}
	}
	return load
}

func positive(r fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCores:   max(0, r.MilliCores),
		MemoryMB:     max(0, r.MemoryMB),
		Accelerators: max(0, r.Accelerators),
	}
}
