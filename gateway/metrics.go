package gateway

import (
	"expvar"

	"github.com/fuchsiahill/fuchsiahill/backend"
)

// metrics counts what happened since the start.
type metrics struct {
	all       expvar.Map
	answered  expvar.Int
	notRun    expvar.Int
	unknown   expvar.Int
	retries   expvar.Int
	forwarded expvar.Int
	aborted   expvar.Int // answers cut while streaming
	claims    expvar.Int
}

func (m *metrics) init() {
	m.all.Init()
	m.all.Set("answered", &m.answered)
	m.all.Set("not_run", &m.notRun)
	m.all.Set("unknown", &m.unknown)
	m.all.Set("retries", &m.retries)
	m.all.Set("forwarded", &m.forwarded)
	m.all.Set("aborted", &m.aborted)
	m.all.Set("claims", &m.claims)
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

// Metrics returns the gateway's counters, for publishing with expvar.
func (g *Gateway) Metrics() expvar.Var { return &g.metrics.all }
