package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/peer/peertest"
)

// region returns the registries of count hosts of one region, each of which knows
// the host records of all.
func region(count int) ([]*Registry, *peertest.Network) {
	net := peertest.NewNetwork()
	registries := make([]*Registry, count)
	var hosts []Host
	for i := range count {
		id := fleet.HostID(fmt.Sprintf("entry-%03d", i))
		hosts = append(hosts, Host{ID: id, Incarnation: fleet.Incarnation(i + 1), Region: "sofia", DataCentre: "sofia-1"})
		peers := net.Host(id)
		registries[i] = NewRegistry(Deps{Self: hosts[i], Store: standin.NewStore(), Peers: peers, Registry: peers, Logger: log.NewNopLogger(), PeerSeed: 1})
	}
	for _, r := range registries {
		for _, h := range hosts {
			r.hosts[h.ID] = record{host: h}
			r.summaries.addHost(h)
		}
	}
	return registries, net
}

// busySummary returns the summary of a host with one cell and two services whose
// loads all change every second.
func busySummary(host, second int) Summary {
	cell := fmt.Sprintf("cell/sofia-1/%d", host)
	free := fleet.Resources{MilliCores: int64(100000 + host*1000 + second*10), MemoryMB: int64(400000 + second*100)}
	return Summary{
		Settings: 123456,
		Services: map[fleet.Service]ServiceLoad{
			"reclaim-engine": {Slots: 160, Free: (host + second) % 160, Waiting: second % 7},
			"cutting-lists":  {Slots: 80, Free: (host + 2*second) % 80},
		},
		Cells:   map[string]CellLoad{cell: {DataCentre: "sofia-1", Capacity: fleet.Resources{MilliCores: 320000, MemoryMB: 1280000}, Free: free, LargestFit: fleet.Resources{MilliCores: 16000, MemoryMB: free.MemoryMB / 10}, LargestWorker: fleet.Resources{MilliCores: 16000, MemoryMB: 64000}, Waiting: second % 11, Queued: fleet.Resources{MilliCores: int64(second%11) * 2000, MemoryMB: 4000}, Epoch: 7, Sequence: uint64(1000 + second)}},
		StoreOK: true,
	}
}

// BenchmarkSummaryBytes measures the traffic of one host and the age of the
// summaries that all hosts hold while every load changes every second.
func BenchmarkSummaryBytes(b *testing.B) {
	for _, count := range []int{14, 70, 140} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			registries, net := region(count)
			second := 0
			for i, r := range registries {
				r.now = func() time.Time { return time.Unix(int64(1000+second), 0) }
				r.SetSummarySource(func() Summary { return busySummary(i, second) })
				r.refreshOwnSummary(r.now())
				r.lastPublished = r.lastPublished.Add(time.Duration(-i%15) * time.Second)
			}
			start := 0
			const warmUp, measured = 40, 30
			for second = range warmUp + measured {
				if second == warmUp {
					start = net.Bytes(registries[0].deps.Self.ID)
				}
				for _, r := range registries {
					r.refreshOwnSummary(r.now())
				}
				for _, r := range registries {
					for _, id := range r.pickPeers() {
						r.exchangeWith(b.Context(), id)
					}
				}
			}
			var age, worst, pairs int
			for i, r := range registries {
				for j := range registries {
					summary, ok := r.Summary(registries[j].deps.Self.ID)
					if i == j || !ok {
						continue
					}
					secondsOld := second - (int(summary.Cells[fmt.Sprintf("cell/sofia-1/%d", j)].Free.MilliCores)-100000-1000*j)/10
					age += secondsOld
					worst = max(worst, secondsOld)
					pairs++
				}
			}
			b.ReportMetric(float64(net.Bytes(registries[0].deps.Self.ID)-start)/measured, "bytes/s")
			b.ReportMetric(float64(age)/float64(pairs), "s-old")
			b.ReportMetric(float64(worst), "s-oldest")
			b.ReportMetric(float64(len(registries)*(len(registries)-1)-pairs), "pairs-unknown")
			b.ReportMetric(0, "ns/op")
		})
	}
}
