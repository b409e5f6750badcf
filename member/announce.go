package member

import (
	"context"
	"sync"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Announce sends this host's summary to all other hosts of the region immediately
// and waits for their responses, at most 1 s for each. It is meant for changes that
// must not wait for the next rounds of exchanges, such as a shutdown.
func (r *Registry) Announce(ctx context.Context) {
	r.refreshOwnSummary(r.now())
	var calls sync.WaitGroup
	for _, id := range r.regionPeers() {
		calls.Go(func() { r.exchangeWith(ctx, id) })
	}
	calls.Wait()
}

// regionPeers returns the other hosts of the region.
func (r *Registry) regionPeers() []fleet.HostID {
	var ids []fleet.HostID
	for _, h := range r.Hosts() {
		if h.ID != r.deps.Self.ID && h.Region == r.deps.Self.Region {
			ids = append(ids, h.ID)
		}
	}
	return ids
}
