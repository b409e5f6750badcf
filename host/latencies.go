package host

import (
	"github.com/fuchsiahill/fuchsiahill/cell"
	"github.com/fuchsiahill/fuchsiahill/gateway"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// latencies implements cell.LatencySource with the measurements of this host's
// gateway.
type latencies struct{ gateway *gateway.Gateway }

// Latency implements cell.LatencySource.
func (l latencies) Latency(server inventory.Server) (cell.Latency, bool) {
	load, ok := l.gateway.ServerLoad(server.Service, server.ID)
	return cell.Latency{P99: load.P99, Load: load.Utilisation}, ok
}
