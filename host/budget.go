package host

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/fuchsiahill/fuchsiahill/store"
)

// storeBudget is what all entry hosts together may ask of the store: below
// its allowance of several hundred writes and about 2,000 reads a second.
var storeBudget = store.Budget{ReadsPerSecond: 1500, WritesPerSecond: 300, Burst: 200}

// leastHosts bounds the share of one host while it knows few others, as at
// its start.
const leastHosts = 7

// journalShare is the part of a host's writes that its journals may take. The
// rest is for claims, leases and settings.
const journalShare = 0.8

// newJournalWrites returns the limit of journal writes of a host that knows
// no others yet.
func newJournalWrites() *rate.Limiter {
	share := storeBudget.Share(leastHosts)
	return rate.NewLimiter(rate.Limit(journalShare*share.WritesPerSecond), share.Burst)
}

// shareBudget gives this host its share of the store's budget as entry hosts
// come and go, until ctx ends.
func (h *Host) shareBudget(ctx context.Context) error {
	for {
		changed := h.registry.Changed()
		share := storeBudget.Share(max(len(h.registry.Hosts()), leastHosts))
		h.metered.SetBudget(share)
		h.journalWrites.SetLimit(rate.Limit(journalShare * share.WritesPerSecond))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
