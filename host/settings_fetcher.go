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
func (f *settingsFetcher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(fetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if id, ok := f.peerWithNewerSettings(); ok {
				f.fetch(ctx, id)
			}
		}
	}
}

// peerWithNewerSettings returns a peer whose summary shows a higher settings
// revision than this host's.
func (f *settingsFetcher) peerWithNewerSettings() (fleet.HostID, bool) {
	known := f.h.tracker.Current().Revision()
	for _, m := range f.h.registry.Hosts() {
		s, ok := f.h.registry.Summary(m.ID)
		if ok && m.ID != f.h.self.ID && s.Settings > known {
			return m.ID, true
		}
	}
	return "", false
}

func (f *settingsFetcher) fetch(ctx context.Context, id fleet.HostID) {
	req := fetchRequest{Known: f.h.tracker.Current().Revision()}
	var reply fetchReply
	if err := f.h.peerClient.Call(ctx, id, methodFetchSettings, req, &reply); err != nil {
		f.h.log("event", "settings_fetch_failed", "peer", id, "err", err)
		return
	}
	if reply.Revision <= req.Known {
		return
	}
	if err := f.h.tracker.Offer(reply.Value, reply.Revision); err != nil {
		f.h.log("event", "settings_offer_failed", "peer", id, "err", err)
	}
}
