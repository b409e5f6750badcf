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

// makeHosts returns n hosts spread evenly over the data centres.
func makeHosts(n, dataCentres int) []member.Host {
	hosts := make([]member.Host, n)
	for i := range hosts {
		hosts[i] = member.Host{ID: fleet.HostID(fmt.Sprintf("h%03d", i)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%dataCentres))}
	}
	return hosts
}

// makeShards returns one shard per queue, and cells and fronts for each data
// centre.
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

// TestAssignProperties checks that every shard gets an owner, within the rules of
// placement, and that the order of the input does not matter.
func TestAssignProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dataCentres := rapid.IntRange(1, 6).Draw(t, "data centres")
		hosts := makeHosts(rapid.IntRange(1, 30).Draw(t, "hosts"), rapid.IntRange(1, 6).Draw(t, "data centres with hosts"))
		shards := makeShards(rapid.IntRange(0, 45).Draw(t, "queues"), dataCentres, rapid.IntRange(1, 9).Draw(t, "cells"))
		desired := assign(shards, hosts)
		if len(desired) != len(shards) {
			t.Fatalf("%d of %d shards have a desired owner", len(desired), len(shards))
		}
		checkPlacement(t, shards, hosts, desired)
		shuffled := rapid.Permutation(shards).Draw(t, "order")
		if again := assign(shuffled, rapid.Permutation(hosts).Draw(t, "host order")); !maps.Equal(again, desired) {
			t.Fatal("the assignment depends on the order of the input")
		}
	})
}

// checkPlacement checks that cells and fronts are in their data centre if it has
// hosts, that each front is with its cell, and that no host exceeds the load
// limit of queues.
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
			t.Fatalf("%s is assigned outside its data centre", id)
		}
		if id.Kind() == KindFront && desired[ID("cell"+string(id)[len("front"):])] != host {
			t.Fatalf("%s is not assigned to the host of its cell", id)
		}
	}
	for _, h := range hosts {
		if n := load[fmt.Sprint(KindQueue, h.ID)]; n > loadLimit(queues, len(hosts)) {
			t.Fatalf("%s has %d of %d queues", h.ID, n, queues)
		}
	}
}

// TestAssignMovesLittle checks that the departure of a host moves few shards
// besides its own. The same holds for a host that joins, seen the other way
// round.
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
			t.Errorf("%d of %d shards move when %s leaves, which owned %d", moved, len(shards), hosts[leaving].ID, own)
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
