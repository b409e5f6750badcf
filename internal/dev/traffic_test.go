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

// exchanges are calls of one kind with the bytes of both directions.
type exchanges struct {
	calls, bytes int64
	ends         int64 // hosts that an exchange costs bytes
}

// trafficOf returns what the daemons have exchanged so far by kind: with each
// other, with the store, the host list and the workers.
func trafficOf(b *testing.B, site *standin.Site, daemons []*daemon) map[string]exchanges {
	all := make(map[string]exchanges)
	for kind, c := range site.Traffic.Counts() {
		all[kind] = exchanges{calls: c.Calls, bytes: c.RequestBytes + c.ResponseBytes, ends: 1}
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
			all[method] = exchanges{calls: e.calls + vars.Peers.Calls[method], bytes: e.bytes + bytes, ends: 2}
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

// logTraffic prints a line for each kind: what it costs all hosts together.
func logTraffic(b *testing.B, before, after map[string]exchanges) {
	var table strings.Builder
	fmt.Fprintf(&table, "%s\n%-40s %8s %10s %8s\n", b.Name(), "kind", "calls/s", "bytes/call", "KB/s")
	for _, kind := range slices.Sorted(maps.Keys(after)) {
		calls := after[kind].calls - before[kind].calls
		bytes := after[kind].bytes - before[kind].bytes
		if calls == 0 {
			continue
		}
		perSecond := float64(bytes*after[kind].ends) / measureFor.Seconds() / 1000
		fmt.Fprintf(&table, "%-40s %8.1f %10d %8.2f\n", kind, float64(calls)/measureFor.Seconds(), bytes/calls, perSecond)
	}
	fmt.Println(table.String()) // the log of a benchmark is cut after ten lines
}
