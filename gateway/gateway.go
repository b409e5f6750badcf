// Package gateway routes requests of callers to backend servers.
//
// A Gateway is an http.Handler for /svc/{service}/... and the shard.Runner of
// fronts. It sends requests only to backend servers whose front this host owns,
// so that their slots and connections are counted in one place. The headers and
// outcomes are described in docs/REQUESTS.md.
package gateway

import (
	"context"
	"crypto/tls"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/backend"
	"github.com/fuchsiahill/fuchsiahill/dedupe"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

const (
	tickInterval   = 20 * time.Millisecond
	windowInterval = 2 * time.Second // of the latency histograms
	sweepInterval  = 5 * time.Second // of idle connections
)

// Deps are the dependencies of a Gateway. Inventory, Settings and Rights are
// called with locks of the gateway held, so they must not call the gateway.
type Deps struct {
	Self      member.Host
	Inventory inventory.View
	Settings  settings.View
	Rights    shard.SendRights
	Shards    shard.Directory
	Members   member.Directory
	Peers     peer.Caller
	Registry  peer.Registry
	Logger    log.Logger
	// FormerOwner returns the owner immediately before this process of a front
	// that this process now owns. It may be nil.
	FormerOwner func(front shard.ID) (shard.Owner, bool)
	Margins     dedupe.Margins   // dedupe.DefaultMargins if zero
	Dial        backend.DialFunc // backend.DialTCP if nil
	PeerTLS     *tls.Config      // for requests forwarded to peers; Dial without TLS if nil
}

// Gateway routes requests to backend servers. It is safe for concurrent use.
type Gateway struct {
	deps    Deps
	claimer *dedupe.Claimer
	metrics metrics

	version  atomic.Int64 // of the host list applied last, -1 for none
	revision atomic.Int64 // of the settings applied last, -1 for none

	mu           sync.RWMutex
	fronts       map[shard.ID]*front
	services     map[fleet.Service]*service
	cellNumbers  map[fleet.WorkerID]int // number of the worker's cell, which never changes
	peers        map[peerKey]*peerPool
	usableFronts usableFronts // replaced by each refresh, never modified

	inFlight inFlight
}

// New returns a gateway and registers its peer methods. Serve must run for as
// long as the gateway is used.
func New(d Deps) *Gateway {
	g := &Gateway{
		deps: d,
		claimer: dedupe.NewClaimer(dedupe.Deps{
			Self:      d.Self.ID,
			Rights:    d.Rights,
			Directory: d.Shards,
			Caller:    d.Peers,
			Registry:  d.Registry,
			Margins:   d.Margins,
		}),
		fronts:      make(map[shard.ID]*front),
		services:    make(map[fleet.Service]*service),
		cellNumbers: make(map[fleet.WorkerID]int),
		peers:       make(map[peerKey]*peerPool),
	}
	g.version.Store(-1)
	g.revision.Store(-1)
	g.metrics.init(expvar.Func(g.serviceMetrics))
	g.refresh(time.Now())
	return g
}

// Serve does the periodic work of the gateway until ctx ends, and returns nil.
// It applies changes of the host list, the settings and the rights to send,
// refuses requests that have waited too long, and closes idle connections.
func (g *Gateway) Serve(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var rotated, swept time.Time
	for {
		changed := g.deps.Inventory.Changed()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-tick.C:
		}
		now := time.Now()
		g.refreshIfStale(now)
		g.expire(now)
		if now.Sub(rotated) >= windowInterval {
			rotated = now
			g.rotate()
		}
		if now.Sub(swept) >= sweepInterval {
			swept = now
			g.sweep(now)
		}
	}
}

func (g *Gateway) expire(now time.Time) {
	for _, s := range g.allServices() {
		s.expire(now)
	}
}

func (g *Gateway) rotate() {
	for _, s := range g.allServices() {
		s.rotate()
	}
}

func (g *Gateway) allServices() []*service {
	g.mu.RLock()
	defer g.mu.RUnlock()
	all := make([]*service, 0, len(g.services))
	for _, s := range g.services {
		all = append(all, s)
	}
	return all
}

// Summary returns the load of the servers of this host, which is published to
// its peers.
func (g *Gateway) Summary() map[fleet.Service]member.ServiceLoad {
	loads := make(map[fleet.Service]member.ServiceLoad)
	for _, s := range g.allServices() {
		if load := s.load(); load.Slots > 0 {
			loads[s.name] = load
		}
	}
	return loads
}

// Latency describes the recent latency of a service for callers of this host.
type Latency struct {
	P50     time.Duration
	P99     time.Duration
	Samples int64
}

// Latency returns the latency of the complete responses of a service in the last
// few seconds, or the zero value for an unknown service.
func (g *Gateway) Latency(name fleet.Service) Latency {
	s, ok := g.service(name)
	if !ok {
		return Latency{}
	}
	return s.latency()
}

func (g *Gateway) service(name fleet.Service) (*service, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	s, ok := g.services[name]
	return s, ok
}

// Drain refuses new requests as not run and waits until those in progress have
// been answered. If ctx ends first, the error is *DrainError.
func (g *Gateway) Drain(ctx context.Context) error {
	select {
	case <-g.inFlight.drain():
		return nil
	case <-ctx.Done():
		return &DrainError{Cause: ctx.Err()}
	}
}

// inFlight counts requests in progress.
type inFlight struct {
	mu       sync.Mutex
	n        int
	draining bool
	done     chan struct{} // closed once draining and n is 0; created by drain
}

// enter counts a request and returns true, unless the gateway is draining.
func (f *inFlight) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.n++
	return true
}

func (f *inFlight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.draining && f.n == 0 {
		close(f.done)
	}
}

func (f *inFlight) drain() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return f.done
	}
	f.draining = true
	f.done = make(chan struct{})
	if f.n == 0 {
		close(f.done)
	}
	return f.done
}

func randomIndex(n int) int { return rand.IntN(n) }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
