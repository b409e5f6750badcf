package node

import (
	"context"
	"runtime/metrics"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/wait"
)

const (
	// memoryInterval is how often the memory that is left for callers is determined.
	memoryInterval = 250 * time.Millisecond
	// liveShare is the share of the collector's limit that what is live may take. The collector
	// needs the rest.
	liveShare = 0.85
)

// liveMetrics are the parts of the memory that the collector can't free.
var liveMetrics = []string{
	"/gc/heap/live:bytes", "/memory/classes/heap/stacks:bytes", "/memory/classes/metadata/mcache/inuse:bytes",
	"/memory/classes/metadata/mspan/inuse:bytes", "/memory/classes/metadata/other:bytes", "/memory/classes/other:bytes",
}

// memoryService leaves callers the memory that the rest of the process does not hold, as an owner of
// many workers and jobs holds more than other hosts.
type memoryService struct{ n *Node }

// Serve implements suture.Service.
func (s *memoryService) Serve(ctx context.Context) error {
	samples := make([]metrics.Sample, len(liveMetrics))
	for i, name := range liveMetrics {
		samples[i].Name = name
	}
	for wait.For(ctx, memoryInterval) == nil {
		metrics.Read(samples)
		live := int64(0)
		for _, x := range samples {
			if x.Value.Kind() == metrics.KindUint64 {
				live += int64(x.Value.Uint64()) //nolint:gosec // far below the limit of int64
			}
		}
		s.n.leaveMemory(live)
	}
	return ctx.Err()
}

// leaveMemory bounds callers to what the rest of the process leaves of the live memory.
func (n *Node) leaveMemory(live int64) {
	guard := n.clients.guard
	others := max(0, live-guard.Memory())
	guard.SetRoom(int64(liveShare*float64(collectorLimit(n.settings.MemoryBytes))) - others)
	n.metrics.Set("memory_live_bytes", int(live))
	n.metrics.Set("memory_others_bytes", int(others))
}
