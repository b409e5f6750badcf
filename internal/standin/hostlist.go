package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/platform"
)

// HostList is the platform's host list. Changes show after Lag. Safe for
// concurrent use.
type HostList struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	shown   platform.HostList
	pending platform.HostList
}

var _ platform.HostLister = (*HostList)(nil)

// NewHostList returns an empty list whose changes show after lag.
func NewHostList(lag time.Duration) *HostList {
	return &HostList{lag: lag}
}

// Update changes the truth; the change shows after the lag.
func (h *HostList) Update(change func(*platform.HostList)) {
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

func (h *HostList) show(next platform.HostList) {
	if next.Version > h.shown.Version {
		h.shown = next
	}
}

func clone(l platform.HostList) platform.HostList {
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

// Hosts implements platform.HostLister.
func (h *HostList) Hosts(_ context.Context, known int64) (platform.HostList, bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return platform.HostList{}, false, eris.Wrap(errDown, "host list")
	}
	if h.shown.Version <= known {
		return platform.HostList{}, false, nil
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
		w.Header().Set("Content-Type", "application/json")
		data, err := json.Marshal(list)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Write(data)
	}
}
