package gateway

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// usableFronts holds, for each service, the fronts of the region that have
// usable servers of it.
type usableFronts map[fleet.Service]map[shard.ID]bool

func (s usableFronts) add(service fleet.Service, front shard.ID) {
	if s[service] == nil {
		s[service] = make(map[shard.ID]bool)
	}
	s[service][front] = true
}

// isUsable reports whether a server is in this host's region and may receive
// requests according to the platform and the settings.
func (g *Gateway) isUsable(info *inventory.Server, centres map[fleet.DataCentre]settings.DataCentre) bool {
	centre, ok := centres[info.DataCentre]
	return ok && centre.Region == g.deps.Self.Region && centre.State == settings.DataCentreInService && info.State == inventory.StateLive
}

// claimedPeer returns a host that owns a front with servers of the service
// which its summary does not include yet: claims are visible at once, while
// summaries in a large fleet are seconds old. A host whose summary reports
// slots, even if none are free, is skipped, because its summary is up to date.
func (g *Gateway) claimedPeer(name fleet.Service, now time.Time) (member.Host, bool) {
	g.mu.RLock()
	fronts := g.usableFronts[name]
	g.mu.RUnlock()
	for front := range fronts { // in random order
		owner, ok := g.deps.Shards.Owner(front)
		if !ok || owner.Host == g.deps.Self.ID {
			continue
		}
		host, ok := g.deps.Members.Host(owner.Host)
		if !ok || host.Incarnation != owner.Incarnation || g.isBackedOff(host, now) {
			continue
		}
		summary, known := g.deps.Members.Summary(host.ID)
		if known && summary.Incarnation == host.Incarnation && (summary.Draining || summary.Services[name].Slots > 0) {
			continue
		}
		return host, true
	}
	return member.Host{}, false
}
