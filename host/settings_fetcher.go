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
	// methodFetchSettings is the RPC method that returns a peer's stored settings.
	methodFetchSettings = "settings.fetch"
	// fetchInterval is the time between checks for a peer with newer settings.
	fetchInterval = 500 * time.Millisecond
)

// fetchRequest asks for settings with a higher revision than Known.
type fetchRequest struct {
	Known store.Revision `json:"known"`
}

// fetchReply holds the newer settings; Value is empty if there are none.
type fetchReply struct {
	Value    []byte         `json:"value,omitempty"`
	Revision store.Revision `json:"revision"`
}

func registerSettingsFetch(r peer.Registry, t *settings.Tracker) {
	peer.Register(r, methodFetchSettings, func(_ context.Context, _ fleet.HostID, req fetchRequest) (fetchReply, error) {
		value, revision := t.Stored()
		if revision <= req.Known {
			return fetchReply{Revision: revision}, nil
		}
		return fetchReply{Value: value, Revision: revision}, nil
	})
}

// settingsFetcher fetches settings from peers whose summary shows a higher
// revision, so that a change takes effect on this host even while its own watch
// of the store is disconnected.
type settingsFetcher struct{ h *Host }

func newSettingsFetcher(h *Host) *settingsFetcher { return &settingsFetcher{h: h} }

// Serve checks for newer settings every fetchInterval until ctx ends.
func (r *settingsFetcher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(fetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if id, ok := r.peerWithNewerSettings(); ok {
				r.fetch(ctx, id)
			}
		}
	}
}

// peerWithNewerSettings returns a peer whose summary shows a higher settings
// revision than this host's.
func (r *settingsFetcher) peerWithNewerSettings() (fleet.HostID, bool) {
	known := r.h.tracker.Current().Revision()
	for _, m := range r.h.registry.Hosts() {
		s, ok := r.h.registry.Summary(m.ID)
		if ok && m.ID != r.h.self.ID && s.Settings > known {
			return m.ID, true
		}
	}
	return "", false
}

func (r *settingsFetcher) fetch(ctx context.Context, id fleet.HostID) {
	req := fetchRequest{Known: r.h.tracker.Current().Revision()}
	var reply fetchReply
	if err := r.h.peerClient.Call(ctx, id, methodFetchSettings, req, &reply); err != nil {
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
