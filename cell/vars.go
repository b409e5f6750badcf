package cell

import (
	"expvar"

	"github.com/fuchsiahill/fuchsiahill/delegation"
)

// Counters in Server.Vars. The end of an attempt is counted under
// "ended_<end>".
const (
	varAccepted   = "tasks_accepted"
	varRefused    = "tasks_refused"
	varPlaced     = "tasks_placed"
	varEnded      = "ended_"
	varCalls      = "worker_calls"
	varUnanswered = "worker_calls_unanswered"
	varStops      = "stops_decided"
	varReturned   = "outcomes_returned"
	varTakenBack  = "tasks_taken_back"
	varOverruns   = "tasks_overrun"

	varLatencyCalls  = "latency_calls" // to owners of fronts
	varLatencyFailed = "latency_calls_failed"
)

// Vars returns the counters of all cells that this host has owned.
func (s *Server) Vars() *expvar.Map { return s.vars }

// count counts what a durable record decided.
func count(vars *expvar.Map, r *record) {
	add := func(name string, n int) {
		if n > 0 {
			vars.Add(name, int64(n))
		}
	}
	add(varAccepted, len(r.Accept))
	add(varRefused, len(r.Refuse))
	add(varPlaced, len(r.Place))
	add(varReturned, len(r.Acked))
	add(varTakenBack, len(r.TakeBack))
	ends := make(map[delegation.End]int)
	for _, o := range r.End {
		ends[o.End]++
	}
	for end, n := range ends {
		add(varEnded+string(end), n)
	}
}
