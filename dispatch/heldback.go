package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// heldJob is an accepted job that the owner does not hold for want of memory. It stays in the
// store and is added once there is room, the oldest first.
type heldJob struct {
	bytes      int64 // see JobBytes
	acceptedMS int64
	inherited  bool
	wanted     bool // needed at once, whether there is room or not
}

// HasRoomFor reports whether the owner may hold a further job that takes an amount of memory.
func (m *Machine) HasRoomFor(bytes int64) bool {
	return m.limits.JobBytes <= 0 || m.heldBytes+bytes <= m.limits.JobBytes
}

// HeldBytes returns the memory that the jobs take, see JobBytes.
func (m *Machine) HeldBytes() int64 { return m.heldBytes }

// HoldBack records an accepted job that is not added yet, of which no run is known.
func (m *Machine) HoldBack(id fleet.JobID, bytes, acceptedMS int64, inherited bool) {
	m.heldBack[id] = &heldJob{bytes: bytes, acceptedMS: acceptedMS, inherited: inherited}
	m.emit("job_held_back", id, "bytes", bytes, "held", m.heldBytes, "limit", m.limits.JobBytes, "held_back", len(m.heldBack))
}

// DropHeldBack forgets a job that is held back. It reports whether it was, and whether a former
// owner had accepted it.
func (m *Machine) DropHeldBack(id fleet.JobID) (held, inherited bool) {
	h, ok := m.heldBack[id]
	delete(m.heldBack, id)
	return ok, ok && h.inherited
}

// CountHeldBack returns the number of jobs that are held back.
func (m *Machine) CountHeldBack() int { return len(m.heldBack) }

// want makes a job that is held back due at once, and reports whether it is held back. A former
// owner may have started it without storing that: what a worker says of it can't be processed
// without the job.
func (m *Machine) want(id fleet.JobID) bool {
	h, ok := m.heldBack[id]
	if ok {
		h.wanted = true
	}
	return ok
}

// NextHeldBack returns the job that is to be added next, if one is due: those that are needed at
// once, then the oldest if there is room for it. Smaller ones behind it wait as well, so that it
// is not put off for ever.
func (m *Machine) NextHeldBack() (fleet.JobID, bool) {
	if len(m.heldBack) == 0 {
		return "", false
	}
	next := slices.MinFunc(slices.Collect(maps.Keys(m.heldBack)), func(a, b fleet.JobID) int {
		x, y := m.heldBack[a], m.heldBack[b]
		if x.wanted != y.wanted {
			if x.wanted {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(x.acceptedMS, y.acceptedMS), cmp.Compare(a, b))
	})
	h := m.heldBack[next]
	return next, h.wanted || m.HasRoomFor(h.bytes) || len(m.jobs) == 0
}
