package host

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/fuchsiahill/fuchsiahill/store"
)

// storeBudget is the request rate that all entry hosts together may send to
// the store. It is below the store's limits of several hundred writes and about
// 2,000 reads per second.
var storeBudget = store.Budget{ReadsPerSecond: 1500, WritesPerSecond: 300, Burst: 200}

// minHosts is the smallest number of hosts by which the store budget is
// divided. It bounds the share of a host that knows few others, for example
// just after its start.
const minHosts = 7

// journalShare is the fraction of a host's write budget that its journals may
// use. The rest is reserved for claims, leases and settings.
const journalShare = 0.8

// newJournalWrites returns the initial limiter for journal writes, for a host
// that knows no other hosts yet.
func newJournalWrites() *rate.Limiter {
	share := storeBudget.Share(minHosts)
	return rate.NewLimiter(rate.Limit(journalShare*share.WritesPerSecond), share.Burst)
}

// maintainBudget adjusts this host's share of the store budget as entry hosts
// join and leave, until ctx ends.
func (h *Host) maintainBudget(ctx context.Context) error {
	for {
		changed := h.registry.Changed()
		share := storeBudget.Share(max(len(h.registry.Hosts()), minHosts))
		h.meteredStore.SetBudget(share)
		h.journalWrites.SetLimit(rate.Limit(journalShare * share.WritesPerSecond))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
