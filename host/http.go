package host

import (
	"expvar"
	"net/http"
	"runtime/metrics"

	"github.com/gorilla/mux"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/auth"
	"github.com/fuchsiahill/fuchsiahill/gateway"
)

// callersRouter routes the requests of callers, job callers and the load
// balancer.
func callersRouter(tokens *auth.Tokens, requests, jobs http.Handler) http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.PathPrefix(gateway.PathPrefix).Handler(tokens.Middleware(api.WriteError)(requests))
	for _, path := range []string{"/v1/jobs", "/v1/teams/", "/livez", "/readyz"} {
		r.PathPrefix(path).Handler(jobs)
	}
	return r
}

// operatorsRouter routes the operators' API and the metrics.
func operatorsRouter(tokens *auth.Tokens, vars *expvar.Map, handler http.Handler) http.Handler {
	r := mux.NewRouter()
	r.Handle("/debug/vars", api.RequireReadAccess(tokens)(serveVars(vars))).Methods(http.MethodGet)
	r.PathPrefix("/").Handler(handler)
	return r
}

func serveVars(vars *expvar.Map) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Write([]byte(vars.String()))
	})
}

// vars returns the metrics of all components. They belong to the host rather
// than to the process, so that several hosts can run in one process.
func (h *Host) vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("clients", h.clients.vars())
	vars.Set("clients_shed", h.clients.shed)
	vars.Set("store_calls", h.meteredStore.Counts())
	vars.Set("peer_calls", h.peerClient.Vars())
	vars.Set("settings", h.tracker.Vars())
	vars.Set("api", h.apiCalls)
	vars.Set("requests", h.gateway.Vars())
	vars.Set("shards", expvar.Func(func() any { return h.manager.List() }))
	vars.Set("runtime", expvar.Func(runtimeMetrics))
	return vars
}

func runtimeMetrics() any {
	samples := []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/total:bytes"},
		{Name: "/sched/goroutines:goroutines"},
		{Name: "/gc/cycles/total:gc-cycles"},
	}
	metrics.Read(samples)
	values := make(map[string]uint64, len(samples))
	for _, s := range samples {
		values[s.Name] = s.Value.Uint64()
	}
	return values
}

// shardLister lists the shards that the settings in force define.
type shardLister struct{ h *Host }

// Shards implements api.ShardLister.
func (l shardLister) Shards() []api.Shard {
	var list []api.Shard
	for _, id := range shardsInRegion(l.h.tracker.Current(), "") {
		s := api.Shard{ID: id}
		if owner, ok := l.h.manager.Owner(id); ok {
			s.Owner = &owner
		}
		list = append(list, s)
	}
	return list
}
