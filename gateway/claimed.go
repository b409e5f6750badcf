package gateway

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// serving is the fronts of the region that have usable servers of a service.
type serving map[fleet.Service]map[shard.ID]bool

func (s serving) add(service fleet.Service, front shard.ID) {
	if s[service] == nil {
		s[service] = make(map[shard.ID]bool)
	}
	s[service][front] = true
}

// isUsable reports whether the platform and the settings let a server of this
// host's region take requests.
func (g *Gateway) isUsable(info *inventory.Server, centres map[fleet.DataCentre]settings.DataCentre) bool {
	centre, ok := centres[info.DataCentre]
	return ok && centre.Region == g.deps.Self.Region && centre.State == settings.DataCentreInService && info.State == inventory.StateLive
}

// claimedPeer returns a host that has claimed servers of the service of which
// its summary does not tell yet: claims are heard of at once, summaries of a
// large fleet are seconds old. A host whose summary tells of slots, though
// none are free, is taken at its word.
func (g *Gateway) claimedPeer(name fleet.Service, now time.Time) (member.Host, bool) {
	g.mu.RLock()
	fronts := g.serving[name]
	g.mu.RUnlock()
	for front := range fronts { // in random order
		owner, ok := g.deps.Shards.Owner(front)
		if !ok || owner.Host == g.deps.Self.ID {
			continue
		}
		host, ok := g.deps.Members.Host(owner.Host)
		if !ok || host.Incarnation != owner.Incarnation || g.rests(host, now) {
			continue
		}
		sum, known := g.deps.Members.Summary(host.ID)
		if known && sum.Incarnation == host.Incarnation && (sum.Draining || sum.Services[name].Slots > 0) {
			continue
		}
		return host, true
	}
	return member.Host{}, false
}
