package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// HostList is a stand-in for the platform's host list. Readers see changes after
// a configured lag. It is safe for concurrent use.
type HostList struct {
	mu        sync.Mutex
	lag       time.Duration
	down      bool
	published inventory.HostList
	pending   inventory.HostList
	changedAt map[any]int64 // version at which a published entry last changed
	removedAt int64         // version at which an entry was last removed
}

var _ inventory.HostLister = (*HostList)(nil)

// NewHostList returns an empty list whose changes are published after lag.
func NewHostList(lag time.Duration) *HostList {
	return &HostList{lag: lag, changedAt: make(map[any]int64)}
}

// Update changes the list; readers see the change after the lag.
func (h *HostList) Update(change func(*inventory.HostList)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.pending)
	h.pending.Version++
	next := clone(h.pending)
	if h.lag == 0 {
		h.publish(next)
		return
	}
	time.AfterFunc(h.lag, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.publish(next)
	})
}

func (h *HostList) publish(next inventory.HostList) {
	if next.Version <= h.published.Version {
		return
	}
	before := make(map[any]bool)
	eachEntry(h.published, func(entry any) { before[entry] = true })
	eachEntry(next, func(entry any) {
		if !before[entry] {
			h.changedAt[entry] = next.Version
		}
	})
	if entryCount(next) < entryCount(h.published) {
		h.removedAt = next.Version
	}
	h.published = next
}

func entryCount(l inventory.HostList) int { return len(l.Workers) + len(l.Servers) + len(l.EntryHosts) }

// eachEntry visits the entries of a list. They are comparable values.
func eachEntry(l inventory.HostList, visit func(entry any)) {
	for _, w := range l.Workers {
		visit(w)
	}
	for _, s := range l.Servers {
		visit(s)
	}
	for _, e := range l.EntryHosts {
		visit(e)
	}
}

// since returns the entries that changed after version known. The caller holds
// h.mu.
func (h *HostList) since(known int64) inventory.HostList {
	changes := inventory.HostList{Version: h.published.Version, Since: known}
	eachEntry(h.published, func(entry any) {
		if h.changedAt[entry] <= known {
			return
		}
		switch e := entry.(type) {
		case inventory.Worker:
			changes.Workers = append(changes.Workers, e)
		case inventory.Server:
			changes.Servers = append(changes.Servers, e)
		case inventory.EntryHost:
			changes.EntryHosts = append(changes.EntryHosts, e)
		}
	})
	return changes
}

func clone(l inventory.HostList) inventory.HostList {
	l.Workers = slices.Clone(l.Workers)
	l.Servers = slices.Clone(l.Servers)
	l.EntryHosts = slices.Clone(l.EntryHosts)
	return l
}

// SetDown starts or ends an outage.
func (h *HostList) SetDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

// Hosts implements inventory.HostLister.
func (h *HostList) Hosts(_ context.Context, known int64) (inventory.HostList, bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return inventory.HostList{}, false, eris.Wrap(errDown, "host list")
	}
	if h.published.Version <= known {
		return inventory.HostList{}, false, nil
	}
	if known > h.removedAt {
		return h.since(known), true, nil
	}
	return clone(h.published), true, nil
}

// ServeHTTP serves GET /v1/hosts?known=V.
func (h *HostList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	list, newer, err := h.Hosts(r.Context(), queryInt(r, "known"))
	switch {
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !newer:
		w.WriteHeader(http.StatusNotModified)
	default:
		writeCompressed(w, r, list)
	}
}
