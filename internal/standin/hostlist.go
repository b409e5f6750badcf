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

// HostList is the platform's host list. Changes show after Lag. Safe for
// concurrent use.
type HostList struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	shown   inventory.HostList
	pending inventory.HostList
	changed map[any]int64 // version at which a shown entry last changed
	removed int64         // version at which entries were last removed
}

var _ inventory.HostLister = (*HostList)(nil)

// NewHostList returns an empty list whose changes show after lag.
func NewHostList(lag time.Duration) *HostList {
	return &HostList{lag: lag, changed: make(map[any]int64)}
}

// Update changes the truth; the change shows after the lag.
func (h *HostList) Update(change func(*inventory.HostList)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.pending)
	h.pending.Version++
	next := clone(h.pending)
	if h.lag == 0 {
		h.show(next)
		return
	}
	time.AfterFunc(h.lag, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.show(next)
	})
}

func (h *HostList) show(next inventory.HostList) {
	if next.Version <= h.shown.Version {
		return
	}
	before := make(map[any]bool)
	eachEntry(h.shown, func(entry any) { before[entry] = true })
	eachEntry(next, func(entry any) {
		if !before[entry] {
			h.changed[entry] = next.Version
		}
	})
	if entries(next) < entries(h.shown) {
		h.removed = next.Version
	}
	h.shown = next
}

func entries(l inventory.HostList) int { return len(l.Workers) + len(l.Servers) + len(l.EntryHosts) }

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

// since returns the entries that changed after a version. The mutex is held.
func (h *HostList) since(known int64) inventory.HostList {
	changes := inventory.HostList{Version: h.shown.Version, Since: known}
	eachEntry(h.shown, func(entry any) {
		if h.changed[entry] <= known {
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
	if h.shown.Version <= known {
		return inventory.HostList{}, false, nil
	}
	if known > h.removed {
		return h.since(known), true, nil
	}
	return clone(h.shown), true, nil
}

// ServeHTTP serves GET /v1/hosts?known=V.
func (h *HostList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	list, newer, err := h.Hosts(r.Context(), number(r, "known"))
	switch {
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !newer:
		w.WriteHeader(http.StatusNotModified)
	default:
		writeCompressed(w, r, list)
	}
}
