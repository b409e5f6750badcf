package host

import (
	"github.com/fuchsiahill/fuchsiahill/cell"
	"github.com/fuchsiahill/fuchsiahill/gateway"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// latencies implements cell.Latencies with what this host's gateway measures.
type latencies struct{ gateway *gateway.Gateway }

// Latency implements cell.Latencies.
func (l latencies) Latency(server inventory.Server) (cell.Latency, bool) {
	load, ok := l.gateway.ServerLoad(server.Service, server.ID)
	return cell.Latency{P99: load.P99, Load: load.Busy}, ok
}
