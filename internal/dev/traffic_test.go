package dev

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
)

// trafficCount counts calls of one kind and their bytes in both directions.
type trafficCount struct {
	calls, bytes int64
	endpoints    int64 // hosts at the ends of a call, each of which pays for its bytes
}

// readTraffic returns the daemons' traffic so far by kind: with each other, with
// the store, the host list and the workers.
func readTraffic(b *testing.B, site *standin.Site, daemons []*daemon) map[string]trafficCount {
	all := make(map[string]trafficCount)
	for kind, c := range site.Traffic.Counts() {
		all[kind] = trafficCount{calls: c.Calls, bytes: c.RequestBytes + c.ResponseBytes, endpoints: 1}
	}
	for _, d := range daemons {
		var vars struct {
			Peers struct {
				Bytes map[string]int64 `json:"bytes"`
				Calls map[string]int64 `json:"calls"`
			} `json:"peer_calls"`
		}
		readVars(b, d, &vars)
		for method, bytes := range vars.Peers.Bytes {
			e := all[method]
			all[method] = trafficCount{calls: e.calls + vars.Peers.Calls[method], bytes: e.bytes + bytes, endpoints: 2}
		}
	}
	return all
}

func readVars(b *testing.B, d *daemon, vars any) {
	resp, err := http.Get("http://" + d.operators + "/debug/vars")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(vars); err != nil {
		b.Fatal(err)
	}
}

// logTraffic prints a line for each kind with its rates over all hosts.
func logTraffic(b *testing.B, before, after map[string]trafficCount) {
	var table strings.Builder
	fmt.Fprintf(&table, "%s\n%-40s %8s %10s %8s\n", b.Name(), "kind", "calls/s", "bytes/call", "KB/s")
	for _, kind := range slices.Sorted(maps.Keys(after)) {
		calls := after[kind].calls - before[kind].calls
		bytes := after[kind].bytes - before[kind].bytes
		if calls == 0 {
			continue
		}
		perSecond := float64(bytes*after[kind].endpoints) / measureTime.Seconds() / 1000
		fmt.Fprintf(&table, "%-40s %8.1f %10d %8.2f\n", kind, float64(calls)/measureTime.Seconds(), bytes/calls, perSecond)
	}
	fmt.Println(table.String()) // b.Log would truncate the table to ten lines
}
