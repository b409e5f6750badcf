package shard

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
)

// loadFactorNum / loadFactorDen limits the shards of one group that a host may
// get, relative to the mean.
const (
	loadFactorNum = 5
	loadFactorDen = 4
)

// assign returns the desired owner of each shard, by rendezvous hashing with
// bounded loads. Cells and fronts go to hosts of their own data centre if there
// are any. A cell and the front of the same number get the same owner. The
// result does not depend on the order of shards and hosts.
func assign(shards []ID, hosts []member.Host) map[ID]fleet.HostID {
	desired := make(map[ID]fleet.HostID, len(shards))
	if len(hosts) == 0 {
		return desired
	}
	groups := make(map[groupKey][]ID)
	local := make(map[fleet.DataCentre][]fleet.HostID)
	var all []fleet.HostID
	for _, h := range hosts {
		all = append(all, h.ID)
		local[h.DataCentre] = append(local[h.DataCentre], h.ID)
	}
	for _, id := range shards {
		key := groupKey{kind: id.Kind(), dataCentre: dataCentreOf(id)}
		if len(local[key.dataCentre]) == 0 {
			key.dataCentre = ""
		}
		groups[key] = append(groups[key], id)
	}
	for key, ids := range groups {
		candidates := all
		if key.dataCentre != "" {
			candidates = local[key.dataCentre]
		}
		distribute(ids, candidates, desired)
	}
	return desired
}

// groupKey identifies shards of one kind that are distributed over the same
// hosts.
type groupKey struct {
	kind       Kind
	dataCentre fleet.DataCentre // "" for all hosts
}

// dataCentreOf returns the data centre that a shard belongs to, "" for none.
func dataCentreOf(id ID) fleet.DataCentre {
	if id.Kind() == KindQueue {
		return ""
	}
	parts := strings.Split(string(id), "/")
	if len(parts) != 3 {
		return ""
	}
	return fleet.DataCentre(parts[1])
}

// distribute assigns each shard, in order of ID, to the host with the highest
// score among those below the load limit.
func distribute(ids []ID, hosts []fleet.HostID, desired map[ID]fleet.HostID) {
	slices.Sort(ids)
	limit := loadLimit(len(ids), len(hosts))
	load := make(map[fleet.HostID]int, len(hosts))
	for _, id := range ids {
		host := bestHost(id, hosts, func(h fleet.HostID) bool { return load[h] < limit })
		load[host]++
		desired[id] = host
	}
}

// loadLimit returns the maximum number of shards per host. Since it is at least
// the mean, every shard finds a host.
func loadLimit(shards, hosts int) int {
	num := shards * loadFactorNum
	den := hosts * loadFactorDen
	return (num + den - 1) / den
}

func bestHost(id ID, hosts []fleet.HostID, hasCapacity func(fleet.HostID) bool) fleet.HostID {
	key := hashKey(id)
	var chosen fleet.HostID
	var highest uint64
	for _, h := range hosts {
		if !hasCapacity(h) {
			continue
		}
		score := score(key, h)
		if order := cmp.Compare(score, highest); chosen == "" || order > 0 || order == 0 && h < chosen {
			chosen, highest = h, score
		}
	}
	return chosen
}

// hashKey returns the part of an ID that is hashed to choose the owner. It is
// the same for a cell and its front.
func hashKey(id ID) string {
	if id.Kind() == KindQueue {
		return string(id)
	}
	_, scope, _ := strings.Cut(string(id), "/")
	return scope
}

func score(key string, host fleet.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}
