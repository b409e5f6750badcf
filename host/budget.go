package host

import (
	"context"

	"github.com/fuchsiahill/fuchsiahill/store"
)

// storeBudget is what all entry hosts together may ask of the store: below
// its allowance of several hundred writes and about 2,000 reads a second.
var storeBudget = store.Budget{ReadsPerSecond: 1500, WritesPerSecond: 300, Burst: 200}

// leastHosts bounds the share of one host while it knows few others, as at
// its start.
const leastHosts = 7

// shareBudget gives this host its share of the store's budget as entry hosts
// come and go, until ctx ends.
func (h *Host) shareBudget(ctx context.Context) error {
	for {
		changed := h.registry.Changed()
		h.metered.SetBudget(storeBudget.Share(max(len(h.registry.Hosts()), leastHosts)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
