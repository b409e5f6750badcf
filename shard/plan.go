package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
)

// plan is the wanted owner of each shard and since when it has been the same.
type plan struct {
	shards []ID
	hosts  []member.Host
	wanted map[ID]fleet.HostID
	since  map[ID]time.Time
	// draining says that this host should own nothing.
	draining bool
}

func newPlan() plan {
	return plan{wanted: make(map[ID]fleet.HostID), since: make(map[ID]time.Time)}
}

// update computes the plan anew if shards or hosts have changed. A shard that
// is no longer in the list is wanted by nobody.
func (p *plan) update(now time.Time, shards []ID, hosts []member.Host) {
	if slices.Equal(p.shards, shards) && slices.Equal(p.hosts, hosts) {
		return
	}
	next := assign(shards, hosts)
	for id, host := range next {
		if old, ok := p.wanted[id]; !ok || old != host {
			p.since[id] = now
		}
	}
	for id := range p.wanted {
		if _, ok := next[id]; !ok {
			p.since[id] = now
		}
	}
	maps.DeleteFunc(p.since, func(id ID, _ time.Time) bool {
		_, was := p.wanted[id]
		_, is := next[id]
		return !was && !is
	})
	p.shards = slices.Clone(shards)
	p.hosts = slices.Clone(hosts)
	p.wanted = next
}

// awaySince returns since when another host than self has been the wanted
// owner, or nobody; zero if it is self.
func (p *plan) awaySince(id ID, self fleet.HostID) time.Time {
	if p.wanted[id] == self {
		return time.Time{}
	}
	return p.since[id]
}
