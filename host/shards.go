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

// regionShards returns the shards of this host's region, or none while the
// settings are unknown.
func (h *Host) regionShards() []shard.ID {
	if !h.tracker.Ready() {
		return nil
	}
	return shardsInRegion(h.tracker.Current(), h.cfg.Region)
}

// shardsInRegion returns the shards that a settings snapshot defines in a region,
// ordered by ID. An empty region means all regions.
func shardsInRegion(s settings.Snapshot, region fleet.Region) []shard.ID {
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

// maxRequestDuration returns the longest request timeout of any backend server
// under the settings in force, or 0 while the settings or the servers are
// unknown.
func (h *Host) maxRequestDuration() time.Duration {
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

// summary returns the summary of this host that its peers receive.
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
