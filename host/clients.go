package host

import (
	"expvar"
	"math"
	"net/http"
	"syscall"

	"github.com/fuchsiahill/fuchsiahill/admission"
	"github.com/fuchsiahill/fuchsiahill/netguard"
)

const (
	// operatorConnections bounds the connections of operators, which are few and may wait long.
	operatorConnections = 128
	// operatorShare is the share of the operators in the memory for the bodies of callers.
	operatorShare = 0.25
)

// clientGuards bound what callers and operators take of the host, and count and log whom they
// give up.
type clientGuards struct {
	callers, operators *netguard.Guard
	shed               *expvar.Map // connections that were given up, by entrance and reason
}

func (h *Host) newClientGuards(limits admission.Limits) *clientGuards {
	g := &clientGuards{shed: new(expvar.Map).Init()}
	reporter := netguard.NewReporter(
		func(name string) { g.shed.Add(name, 1) },
		func(keyvals ...any) { h.log(append([]any{"event", "client_shed"}, keyvals...)...) },
	)
	operators := limits
	operators.Connections = min(operatorConnections, limits.Connections)
	operators.ConnectionsPerAddress = operators.Connections
	operators.Bytes = int64(operatorShare * float64(limits.Bytes))
	g.callers = netguard.New(limits, reporter.Entrance("callers"))
	g.operators = netguard.New(operators, reporter.Entrance("operators"))
	return g
}

// protect bounds the servers, whose listeners must be those that the guards listen on.
func (g *clientGuards) protect(callers, operators *http.Server) {
	g.callers.Protect(callers)
	g.operators.Protect(operators)
}

// vars returns the metrics of the guards.
func (g *clientGuards) vars() expvar.Func {
	return func() any {
		callers, operators := g.callers.Usage(), g.operators.Usage()
		return map[string]int64{
			"callers_connections": int64(callers.Connections), "callers_bytes": callers.Bytes,
			"operators_connections": int64(operators.Connections), "operators_bytes": operators.Bytes,
		}
	}
}

// descriptorLimit returns how many descriptors the process may open; 0: unknown.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
