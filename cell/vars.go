package cell

import (
	"expvar"

	"github.com/fuchsiahill/fuchsiahill/delegation"
)

// Names of the counters in Server.Vars. The ends of attempts are counted by kind
// as "ended_<end>".
const (
	varTasksAccepted         = "tasks_accepted"
	varTasksRefused          = "tasks_refused"
	varTasksPlaced           = "tasks_placed"
	varEndedPrefix           = "ended_"
	varWorkerCalls           = "worker_calls"
	varWorkerCallsUnanswered = "worker_calls_unanswered"
	varStopsDecided          = "stops_decided"
	varOutcomesReturned      = "outcomes_returned"
	varTasksReclaimed        = "tasks_taken_back"
	varTasksOverrun          = "tasks_overrun"

	varLatencyCalls       = "latency_calls" // calls to the owners of fronts
	varLatencyCallsFailed = "latency_calls_failed"
)

// Vars returns the counters of all cells that this host has owned.
func (s *Server) Vars() *expvar.Map { return s.vars }

// count updates the counters by the decisions in a durable record.
func count(vars *expvar.Map, r *record) {
	add := func(name string, n int) {
		if n > 0 {
			vars.Add(name, int64(n))
		}
	}
	add(varTasksAccepted, len(r.Accept))
	add(varTasksRefused, len(r.Refuse))
	add(varTasksPlaced, len(r.Place))
	add(varOutcomesReturned, len(r.Acked))
	add(varTasksReclaimed, len(r.Reclaim))
	ends := make(map[delegation.OutcomeKind]int)
	for _, o := range r.End {
		ends[o.Kind]++
	}
	for end, n := range ends {
		add(varEndedPrefix+string(end), n)
	}
}
