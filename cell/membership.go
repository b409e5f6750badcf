package cell

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// membership holds the workers and backend servers of one cell from the host
// list.
type membership struct {
	version int64
	cells   int
	loaded  bool
	workers map[fleet.WorkerID]inventory.Worker
	servers map[fleet.WorkerID][]inventory.Server // those not gone
}

// update applies the list if it differs from the last one. number is the cell's
// number in the data centre, which has the given number of cells.
func (m *membership) update(list *inventory.HostList, dc fleet.DataCentre, number, cells int) {
	if m.loaded && list.Version == m.version && cells == m.cells {
		return
	}
	m.loaded = true
	m.version = list.Version
	m.cells = cells
	m.workers = make(map[fleet.WorkerID]inventory.Worker)
	m.servers = make(map[fleet.WorkerID][]inventory.Server)
	for _, w := range list.Workers {
		if w.DataCentre == dc && shard.CellNumber(w.ID, cells) == number {
			m.workers[w.ID] = w
		}
	}
	for _, s := range list.Servers {
		if _, ours := m.workers[s.Worker]; ours && s.State != inventory.StateGone {
			m.servers[s.Worker] = append(m.servers[s.Worker], s)
		}
	}
}

// capacity returns a worker's capacity net of what its backend servers reserve.
func (m *membership) capacity(id fleet.WorkerID) fleet.Resources {
	free := m.workers[id].Capacity
	for _, s := range m.servers[id] {
		free = free.Sub(s.Reserved)
	}
	return free
}

// isGone reports whether the platform lists the worker as gone.
func (m *membership) isGone(id fleet.WorkerID) bool {
	w, listed := m.workers[id]
	return listed && w.State == inventory.StateGone
}

// isCallable reports whether a worker without tasks should be called.
func (m *membership) isCallable(id fleet.WorkerID) bool {
	w, listed := m.workers[id]
	return listed && w.State != inventory.StateGone
}

// hasEnded reports whether the calls of an owner have certainly ended: its host
// runs a later incarnation, the platform lists the host as gone, or the owner is
// an earlier term of this process, which returned before this one began.
func (s *session) hasEnded(o ownerRecord) bool {
	if o.Host == s.owner.Host && o.Incarnation <= s.owner.Incarnation {
		return true
	}
	if s.deps.Members != nil {
		if h, ok := s.deps.Members.Host(o.Host); ok && h.Incarnation > o.Incarnation {
			return true
		}
	}
	for _, h := range s.deps.Inventory.Hosts().EntryHosts {
		if h.ID != o.Host || h.State != inventory.StateGone {
			continue
		}
		// An entry without an incarnation may be older than the process: the
		// list lags by up to MaxLag.
		age := time.Since(time.Unix(0, int64(o.Incarnation)))
		if h.Incarnation >= o.Incarnation || h.Incarnation == 0 && age > inventory.MaxLag {
			return true
		}
	}
	return false
}
