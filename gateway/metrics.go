package gateway

import (
	"expvar"

	"github.com/fuchsiahill/fuchsiahill/backend"
	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// metrics are the counters of a gateway since its start.
type metrics struct {
	all       expvar.Map
	answered  expvar.Int
	notRun    expvar.Int
	unknown   expvar.Int
	retries   expvar.Int
	forwarded expvar.Int
	aborted   expvar.Int // responses truncated while streaming
	claims    expvar.Int
}

func (m *metrics) init(services expvar.Var) {
	m.all.Init()
	m.all.Set("answered", &m.answered)
	m.all.Set("not_run", &m.notRun)
	m.all.Set("unknown", &m.unknown)
	m.all.Set("retries", &m.retries)
	m.all.Set("forwarded", &m.forwarded)
	m.all.Set("aborted", &m.aborted)
	m.all.Set("claims", &m.claims)
	m.all.Set("services", services)
}

func (m *metrics) count(o backend.Outcome) {
	switch o {
	case backend.Answered:
		m.answered.Add(1)
	case backend.NotRun:
		m.notRun.Add(1)
	default:
		m.unknown.Add(1)
	}
}

// serviceMetrics are the published metrics of one service.
type serviceMetrics struct {
	Slots   int   `json:"slots"`
	Free    int   `json:"free"`
	Waiting int   `json:"waiting"`
	Ejected int   `json:"ejected"`
	P50US   int64 `json:"p50_us"`
	P99US   int64 `json:"p99_us"`
	Samples int64 `json:"samples"`
}

func (g *Gateway) serviceMetrics() any {
	all := make(map[fleet.Service]serviceMetrics)
	for _, s := range g.allServices() {
		load, l := s.load(), s.latency()
		all[s.name] = serviceMetrics{
			Slots:   load.Slots,
			Free:    load.Free,
			Waiting: load.Waiting,
			Ejected: s.ejectedCount(),
			P50US:   l.P50.Microseconds(),
			P99US:   l.P99.Microseconds(),
			Samples: l.Samples,
		}
	}
	return all
}

// Vars returns the metrics of the gateway for publication with expvar.
func (g *Gateway) Vars() expvar.Var { return &g.metrics.all }
