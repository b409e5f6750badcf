package member

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// LeaseTTL is the lease of a host record: how long after its last renewal
	// a host still counts as live.
	LeaseTTL = 15 * time.Second
	// renewInterval leaves time for two more attempts before the lease ends.
	renewInterval = LeaseTTL / 3
	retryInterval = time.Second
	// steadyGap is the longest time between two answers of the store that
	// still counts as steady. A host that renews within it keeps its lease,
	// so no healthy host has lapsed for want of a store.
	steadyGap = LeaseTTL / 2
)

// Deps are what a Registry needs.
type Deps struct {
	Self     Host
	Store    store.Store
	Caller   peer.Caller
	Peers    peer.Registry
	Logger   log.Logger
	PeerSeed uint64 // of the choice of peers; 0 for a random one
}

// Registry keeps this host's record in the store and knows the other hosts.
// It is a Directory, and safe for concurrent use.
type Registry struct {
	deps   Deps
	logger log.Logger
	rng    *rand.Rand // used by the exchange loop only
	now    func() time.Time

	mu      sync.Mutex
	hosts   map[fleet.HostID]record
	changed chan struct{} // closed and replaced when hosts change
	steady  steadiness
	summary summaries
	local   func() Summary
	// published is when the own summary was last numbered.
	published time.Time
}

// record is a host record as last seen in the store.
type record struct {
	host     Host
	revision store.Revision
}

var _ Directory = (*Registry)(nil)

// NewRegistry returns a registry and registers its peer handlers.
func NewRegistry(deps Deps) *Registry {
	seed := deps.PeerSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	r := &Registry{
		deps:    deps,
		logger:  log.With(deps.Logger, "component", "member"),
		rng:     rand.New(rand.NewPCG(seed, uint64(deps.Self.Incarnation))),
		now:     time.Now,
		hosts:   make(map[fleet.HostID]record),
		changed: make(chan struct{}),
		summary: newSummaries(deps.Self.ID),
	}
	peer.Register(deps.Peers, methodExchange, r.handleExchange)
	return r
}

// SetSummarySource sets the source of this host's summary. Host, Incarnation and
// Sequence are filled in by the registry.
func (r *Registry) SetSummarySource(source func() Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.local = source
}

// Serve keeps the record, watches the other hosts and exchanges summaries
// until ctx ends; then it records its end. It returns a *SupersededError
// when a later process runs under this host's ID.
func (r *Registry) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.keepRecord(ctx) })
	group.Go(func() error { return r.watchHosts(ctx) })
	group.Go(func() error { return r.exchangeSummaries(ctx) })
	return group.Wait()
}

// Hosts implements Directory.
func (r *Registry) Hosts() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := make([]Host, 0, len(r.hosts))
	for _, rec := range r.hosts {
		hosts = append(hosts, rec.host)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}

// Host implements Directory.
func (r *Registry) Host(id fleet.HostID) (Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.hosts[id]
	return rec.host, ok
}

// PeerAddress returns the address of a host's JSON-RPC server.
func (r *Registry) PeerAddress(id fleet.HostID) (string, bool) {
	h, ok := r.Host(id)
	return h.PeerAddress, ok
}

// Summary implements Directory.
func (r *Registry) Summary(id fleet.HostID) (Summary, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.summary.get(id)
}

// Changed returns a channel that is closed when the set of hosts changes.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// StoreSteadySince returns since when the store has answered this host
// without a gap in which leases could lapse, and false if it does not answer.
func (r *Registry) StoreSteadySince() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.steady.since(time.Now())
}

// notify wakes those who wait on Changed. The mutex is held.
func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
