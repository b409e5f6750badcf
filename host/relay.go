package host

import (
	"context"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// methodSettings fetches the stored settings of a peer.
	methodSettings = "settings.fetch"
	// relayInterval is the time between looks for a peer with newer settings.
	relayInterval = 500 * time.Millisecond
)

// fetchRequest asks for settings above a revision.
type fetchRequest struct {
	Known store.Revision `json:"known"`
}

// fetchReply holds newer settings, or none.
type fetchReply struct {
	Value    []byte         `json:"value,omitempty"`
	Revision store.Revision `json:"revision"`
}

func registerRelay(r peer.Registry, t *settings.Tracker) {
	peer.Register(r, methodSettings, func(_ context.Context, _ fleet.HostID, req fetchRequest) (fetchReply, error) {
		value, revision := t.Stored()
		if revision <= req.Known {
			return fetchReply{Revision: revision}, nil
		}
		return fetchReply{Value: value, Revision: revision}, nil
	})
}

// relay learns settings from peers whose summary shows a higher revision, so
// that a change is in force everywhere also when this host's own watch is
// cut.
type relay struct{ h *Host }

func newRelay(h *Host) *relay { return &relay{h: h} }

// Serve looks for newer settings until ctx ends.
func (r *relay) Serve(ctx context.Context) error {
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if id, ok := r.ahead(); ok {
				r.fetch(ctx, id)
			}
		}
	}
}

// ahead returns a peer that says it applies a higher revision.
func (r *relay) ahead() (fleet.HostID, bool) {
	known := r.h.tracker.Current().Revision()
	for _, m := range r.h.registry.Hosts() {
		s, ok := r.h.registry.Summary(m.ID)
		if ok && m.ID != r.h.self.ID && s.Settings > known {
			return m.ID, true
		}
	}
	return "", false
}

func (r *relay) fetch(ctx context.Context, id fleet.HostID) {
	req := fetchRequest{Known: r.h.tracker.Current().Revision()}
	var reply fetchReply
	if err := r.h.caller.Call(ctx, id, methodSettings, req, &reply); err != nil {
		r.h.log("event", "settings_fetch_failed", "peer", id, "err", err)
		return
	}
	if reply.Revision <= req.Known {
		return
	}
	if err := r.h.tracker.Offer(reply.Value, reply.Revision); err != nil {
		r.h.log("event", "settings_offer_failed", "peer", id, "err", err)
	}
}
