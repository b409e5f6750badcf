package shard

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
)

func makeHosts(n, dataCentres int) []member.Host {
	hosts := make([]member.Host, n)
	for i := range hosts {
		hosts[i] = member.Host{ID: fleet.HostID(fmt.Sprintf("h%03d", i)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%dataCentres))}
	}
	return hosts
}

func makeShards(queues, dataCentres, cells int) []ID {
	var ids []ID
	for i := range queues {
		ids = append(ids, NewID(KindQueue, fmt.Sprintf("team%d", i), 0))
	}
	for dc := range dataCentres {
		for n := range cells {
			ids = append(ids, NewID(KindCell, fmt.Sprintf("dc%d", dc), n), NewID(KindFront, fmt.Sprintf("dc%d", dc), n))
		}
	}
	return ids
}

func TestAssignProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dataCentres := rapid.IntRange(1, 6).Draw(t, "data centres")
		hosts := makeHosts(rapid.IntRange(1, 30).Draw(t, "hosts"), rapid.IntRange(1, 6).Draw(t, "data centres with hosts"))
		shards := makeShards(rapid.IntRange(0, 45).Draw(t, "queues"), dataCentres, rapid.IntRange(1, 9).Draw(t, "cells"))
		desired := assign(shards, hosts)
		if len(desired) != len(shards) {
			t.Fatalf("%d of %d shards have a wanted owner", len(desired), len(shards))
		}
		checkPlacement(t, shards, hosts, desired)
		shuffled := rapid.Permutation(shards).Draw(t, "order")
		if again := assign(shuffled, rapid.Permutation(hosts).Draw(t, "host order")); !maps.Equal(again, desired) {
			t.Fatal("the result depends on the order")
		}
	})
}

func checkPlacement(t *rapid.T, shards []ID, hosts []member.Host, desired map[ID]fleet.HostID) {
	dataCentre := make(map[fleet.HostID]fleet.DataCentre)
	hostsIn := make(map[fleet.DataCentre]int)
	for _, h := range hosts {
		dataCentre[h.ID] = h.DataCentre
		hostsIn[h.DataCentre]++
	}
	load := make(map[string]int)
	queues := 0
	for _, id := range shards {
		host := desired[id]
		load[fmt.Sprint(id.Kind(), host)]++
		if id.Kind() == KindQueue {
			queues++
			continue
		}
		if hostsIn[dataCentreOf(id)] > 0 && dataCentre[host] != dataCentreOf(id) {
			t.Fatalf("%s is wanted outside its data centre", id)
		}
		if id.Kind() == KindFront && desired[ID("cell"+string(id)[len("front"):])] != host {
			t.Fatalf("%s is not with its cell", id)
		}
	}
	for _, h := range hosts {
		if n := load[fmt.Sprint(KindQueue, h.ID)]; n > loadLimit(queues, len(hosts)) {
			t.Fatalf("%s has %d of %d queues", h.ID, n, queues)
		}
	}
}

// A host that leaves takes along few shards besides its own, and one that
// joins takes few beyond its share.
func TestAssignMovesLittle(t *testing.T) {
	shards := makeShards(45, 3, 9)
	hosts := makeHosts(70, 3)
	before := assign(shards, hosts)
	for leaving := range hosts {
		fewer := slices.Delete(slices.Clone(hosts), leaving, leaving+1)
		own, moved := 0, 0
		for id, host := range assign(shards, fewer) {
			if before[id] == hosts[leaving].ID {
				own++
			}
			if before[id] != host {
				moved++
			}
		}
		if moved > own+8 {
			t.Errorf("%d of %d shards move when %s with %d leaves", moved, len(shards), hosts[leaving].ID, own)
		}
	}
}

func BenchmarkAssign(b *testing.B) {
	for _, size := range []struct{ queues, cells, hosts int }{{4, 1, 7}, {22, 5, 35}, {45, 9, 70}} {
		shards, hosts := makeShards(size.queues, 3, size.cells), makeHosts(size.hosts, 3)
		b.Run(fmt.Sprintf("shards=%d/hosts=%d", len(shards), len(hosts)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				assign(shards, hosts)
			}
		})
	}
}
