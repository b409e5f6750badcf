package gateway

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	serverWindows = 3 // of windowInterval each
	serverDigits  = 1 // significant; keeps the histograms of a server below 12 KB
)

// ServerLoad is the load of a backend server as measured by the owner of its
// front.
type ServerLoad struct {
	P99         time.Duration // of successful exchanges in the last few seconds; 0 if there were none
	Utilisation float64       // fraction of its slots in use, 0 to 1
}

// ServerLoad returns the load of a server of the service. It returns false if
// this host does not send requests to the server.
func (g *Gateway) ServerLoad(name fleet.Service, id fleet.ServerID) (ServerLoad, bool) {
	s, ok := g.service(name)
	if !ok {
		return ServerLoad{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	srv, owned := s.servers[id]
	target, isCandidate := s.picker.Get(id)
	if !owned || !isCandidate {
		return ServerLoad{}, false
	}
	return ServerLoad{P99: srv.recent.p99(), Utilisation: target.Utilisation()}, true
}

// recentLatencies holds the latencies of one server in the last few seconds. The
// zero value is empty. It is guarded by the mu of its service.
type recentLatencies struct {
	window *hdrhistogram.WindowedHistogram // nil until the first latency
}

func (r *recentLatencies) record(d time.Duration) {
	if r.window == nil {
		r.window = hdrhistogram.NewWindowed(serverWindows, latencyMin, latencyMax, serverDigits)
	}
	v := min(max(d.Microseconds(), latencyMin), latencyMax)
	_ = r.window.Current.RecordValue(v) // in range
}

func (r *recentLatencies) rotate() {
	if r.window != nil {
		r.window.Rotate()
	}
}

func (r *recentLatencies) p99() time.Duration {
	if r.window == nil {
		return 0
	}
	return time.Duration(r.window.Merge().ValueAtQuantile(99)) * time.Microsecond
}
