package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
)

// plan holds the desired owner of each shard and when it last changed.
type plan struct {
	shards       []ID
	hosts        []member.Host
	desired      map[ID]fleet.HostID
	desiredSince map[ID]time.Time
	// draining is true if this host must not own shards.
	draining bool
}

func newPlan() plan {
	return plan{desired: make(map[ID]fleet.HostID), desiredSince: make(map[ID]time.Time)}
}

// update recomputes the plan if shards or hosts have changed. A shard that is
// no longer listed has no desired owner.
func (p *plan) update(now time.Time, shards []ID, hosts []member.Host) {
	if slices.Equal(p.shards, shards) && slices.Equal(p.hosts, hosts) {
		return
	}
	next := assign(shards, hosts)
	for id, host := range next {
		if old, ok := p.desired[id]; !ok || old != host {
			p.desiredSince[id] = now
		}
	}
	for id := range p.desired {
		if _, ok := next[id]; !ok {
			p.desiredSince[id] = now
		}
	}
	maps.DeleteFunc(p.desiredSince, func(id ID, _ time.Time) bool {
		_, wasDesired := p.desired[id]
		_, isDesired := next[id]
		return !wasDesired && !isDesired
	})
	p.shards = slices.Clone(shards)
	p.hosts = slices.Clone(hosts)
	p.desired = next
}

// notDesiredSince returns since when the desired owner has been a particular
// host other than self, or none. It is zero if self is the desired owner.
func (p *plan) notDesiredSince(id ID, self fleet.HostID) time.Time {
	if p.desired[id] == self {
		return time.Time{}
	}
	return p.desiredSince[id]
}
