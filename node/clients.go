package node

import (
	"github.com/fuchsiahill/fuchsiahill/admission"
	"github.com/fuchsiahill/fuchsiahill/internal/oplog"
	"github.com/fuchsiahill/fuchsiahill/netguard"
	"github.com/fuchsiahill/fuchsiahill/owner"
	"github.com/fuchsiahill/fuchsiahill/platform"
)

// adminLimits bound the connections to the addresses for readiness and metrics, which
// the platform and a few scrapers call about once a second. Bodies are not read.
var adminLimits = admission.Limits{
	Bytes: 1 << 20, Connections: 64, ConnectionsPerAddress: 64, HeaderBytes: 16 << 10, BodyRate: 1, BodyGrace: headerTimeout, AnswerStall: idleTimeout,
}

// peerDescriptorShare is the share of the descriptors for connections of other hosts.
const peerDescriptorShare = 0.125

// maxPeerConnections returns how many connections of other hosts are kept; 0: the
// default.
func maxPeerConnections(s *platform.Settings) int {
	if usable := s.UsableDescriptors(); usable > 0 {
		return max(2, int(peerDescriptorShare*float64(usable)))
	}
	return 0
}

// clientGuard bounds what callers take of the host, and counts and logs whom it
// gives up.
type clientGuard struct {
	guard   *netguard.Guard
	admin   *netguard.Guard
	metrics *owner.Metrics
}

func newClientGuard(limits admission.Limits, logger *oplog.Logger, metrics *owner.Metrics) *clientGuard {
	reporter := netguard.NewReporter(
		func(name string) { metrics.Count(name, 1) },
		func(keyvals ...any) { logger.Event("client_shed", keyvals...) },
	)
	return &clientGuard{
		guard: netguard.New(limits, reporter.Entrance("clients")), admin: netguard.New(adminLimits, reporter.Entrance("admin")), metrics: metrics,
	}
}

// publish sets the gauges.
func (c *clientGuard) publish() {
	u := c.guard.Usage()
	c.metrics.Set("clients_connections", u.Connections)
	c.metrics.Set("clients_bytes", int(u.Bytes))
	c.metrics.Set("admin_connections", c.admin.Usage().Connections)
}
