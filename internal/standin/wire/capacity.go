package wire

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// CapacityGrace is how long a capacity still counts after it has shrunk: the
// platform's contact_ms of 3 s and one heartbeat of 1.5 s.
const CapacityGrace = 4500 * time.Millisecond

// formerCapacity is a capacity that a worker had until replacedAt.
type formerCapacity struct {
	capacity   fleet.Resources
	replacedAt time.Time
}

// SetCapacity changes the worker's capacity and, unless the worker is down, its
// entry. Runs that no longer fit go on.
func (w *Worker) SetCapacity(capacity fleet.Resources) error {
	w.mu.Lock()
	w.setCapacity(capacity, time.Now())
	up := w.up
	w.mu.Unlock()
	if !up {
		return nil // the restart writes the entry
	}
	return w.register()
}

// setCapacity changes the worker's capacity. The caller holds w.mu.
func (w *Worker) setCapacity(capacity fleet.Resources, now time.Time) {
	w.formerCapacities = append(w.formerCapacities, formerCapacity{w.capacity, now})
	w.capacity = capacity
}

// allowedCapacity returns the most that starts may use: in each dimension the
// largest of the capacity and those that were replaced within CapacityGrace. The
// caller holds w.mu.
func (w *Worker) allowedCapacity(now time.Time) fleet.Resources {
	w.formerCapacities = slices.DeleteFunc(w.formerCapacities, func(f formerCapacity) bool {
		return now.Sub(f.replacedAt) > CapacityGrace
	})
	allowed := w.capacity
	for _, f := range w.formerCapacities {
		allowed.MilliCores = max(allowed.MilliCores, f.capacity.MilliCores)
		allowed.MemoryMB = max(allowed.MemoryMB, f.capacity.MemoryMB)
		allowed.Accelerators = max(allowed.Accelerators, f.capacity.Accelerators)
	}
	return allowed
}
