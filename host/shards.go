package host

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// shards returns the shards of this host's region, or none while the
// settings are not known.
func (h *Host) shards() []shard.ID {
	if !h.tracker.Ready() {
		return nil
	}
	return shardsOf(h.tracker.Current(), h.cfg.Region)
}

// shardsOf returns the shards that a snapshot asks for in a region, or in all
// regions if it is "", ordered by ID.
func shardsOf(s settings.Snapshot, region fleet.Region) []shard.ID {
	var ids []shard.ID
	for name, dc := range s.DataCentres() {
		if region != "" && dc.Region != region {
			continue
		}
		for n := range dc.Cells {
			ids = append(ids, shard.NewID(shard.KindCell, string(name), n), shard.NewID(shard.KindFront, string(name), n))
		}
	}
	for name, team := range s.Teams() {
		if region != "" && team.Region != region {
			continue
		}
		for n := range team.Shards {
			ids = append(ids, shard.NewID(shard.KindQueue, string(name), n))
		}
	}
	slices.SortFunc(ids, func(a, b shard.ID) int { return cmp.Compare(a, b) })
	return ids
}

// longestRequest returns the longest time that a request to any backend
// server may take under the settings in force, 0 while they or the servers are not
// known.
func (h *Host) longestRequest() time.Duration {
	if !h.tracker.Ready() {
		return 0
	}
	current := h.tracker.Current()
	var longest int64
	for _, s := range h.poller.Hosts().Servers {
		values := current.Service(s.Organisation, s.DataCentre, s.Service)
		longest = max(longest, values.RequestTimeoutMS)
	}
	return time.Duration(longest) * time.Millisecond
}

// summary tells peers about this host.
func (h *Host) summary() member.Summary {
	_, storeOK := h.registry.StoreSteadySince()
	return member.Summary{
		Settings: h.tracker.Current().Revision(),
		Services: h.gateway.Summary(),
		Cells:    h.batch.cells.Loads(),
		StoreOK:  storeOK,
		Draining: h.draining.Load(),
	}
}
