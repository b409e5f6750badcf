package gateway

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	serverWindows = 3 // of windowInterval each
	serverDigits  = 1 // keeps a server's windows below 12 KB
)

// ServerLoad is how one backend server does, as its front's owner sees it.
type ServerLoad struct {
	P99         time.Duration // of exchanges in the last seconds; 0 if there were none
	Utilisation float64       // share of its slots in use, 0 to 1
}

// ServerLoad returns the load of a server of a service whose front this host
// owns, and false for any other.
func (g *Gateway) ServerLoad(name fleet.Service, id fleet.ServerID) (ServerLoad, bool) {
	s, ok := g.service(name)
	if !ok {
		return ServerLoad{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	srv, owned := s.servers[id]
	target, chosen := s.picker.Get(id)
	if !owned || !chosen {
		return ServerLoad{}, false
	}
	return ServerLoad{P99: srv.recent.p99(), Utilisation: target.Utilisation()}, true
}

// recent holds the latencies of the last seconds. The zero value is empty.
// Its service's mutex guards it.
type recent struct {
	window *hdrhistogram.WindowedHistogram // nil until the first latency
}

func (r *recent) observe(d time.Duration) {
	if r.window == nil {
		r.window = hdrhistogram.NewWindowed(serverWindows, latencyMin, latencyMax, serverDigits)
	}
	v := min(max(d.Microseconds(), latencyMin), latencyMax)
	_ = r.window.Current.RecordValue(v) // in range
}

func (r *recent) rotate() {
	if r.window != nil {
		r.window.Rotate()
	}
}

func (r *recent) p99() time.Duration {
	if r.window == nil {
		return 0
	}
	return time.Duration(r.window.Merge().ValueAtQuantile(99)) * time.Microsecond
}
