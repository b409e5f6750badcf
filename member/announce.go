package member

import (
	"context"
	"sync"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Announce sends this host's summary to every other host of the region at
// once and waits for their answers, each for a second at most. It is meant
// for what must not wait for the next rounds of calls, such as a shutdown.
func (r *Registry) Announce(ctx context.Context) {
	r.refreshLocal(r.now())
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
