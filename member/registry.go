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
	// LeaseTTL is the duration of a host's lease: how long after its last renewal a
	// host still counts as live.
	LeaseTTL = 15 * time.Second
	// renewInterval leaves time for two more attempts before the lease expires.
	renewInterval = LeaseTTL / 3
	retryInterval = time.Second
	// maxSteadyGap is the maximum time between two responses of the store for
	// which the store counts as steady. A host that renews within this time keeps
	// its lease, so a gap of this length makes no lease of a healthy host expire.
	maxSteadyGap = LeaseTTL / 2
)

// Deps are the dependencies of a Registry.
type Deps struct {
	Self     Host
	Store    store.Store
	Peers    peer.Caller
	Registry peer.Registry
	Logger   log.Logger
	PeerSeed uint64 // seed for the choice of peers; 0 for a random seed
}

// Registry maintains this host's record in the store and tracks the other hosts. It
// implements Directory and is safe for concurrent use.
type Registry struct {
	deps   Deps
	logger log.Logger
	rng    *rand.Rand // used only by the exchange loop
	now    func() time.Time

	mu            sync.Mutex
	hosts         map[fleet.HostID]record
	changed       chan struct{} // closed and replaced when hosts changes
	steady        steadiness
	summaries     summaries
	summarySource func() Summary
	// lastPublished is when this host's summary last got a new sequence number.
	lastPublished time.Time
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
		deps:      deps,
		logger:    log.With(deps.Logger, "component", "member"),
		rng:       rand.New(rand.NewPCG(seed, uint64(deps.Self.Incarnation))),
		now:       time.Now,
		hosts:     make(map[fleet.HostID]record),
		changed:   make(chan struct{}),
		summaries: newSummaries(deps.Self.ID),
	}
	peer.Register(deps.Registry, methodExchange, r.handleExchange)
	return r
}

// SetSummarySource sets the function that returns this host's summary. The registry
// sets Host, Incarnation and Sequence itself.
func (r *Registry) SetSummarySource(source func() Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summarySource = source
}

// Serve maintains the record, watches the other hosts and exchanges summaries until
// ctx is done. Then it marks the record as ended and returns the error of ctx. It
// returns a *SupersededError when a later process runs under this host's ID.
func (r *Registry) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.maintainRecord(ctx) })
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

// PeerAddress returns the host:port of a host's JSON-RPC server, and false if the
// host is not known.
func (r *Registry) PeerAddress(id fleet.HostID) (string, bool) {
	h, ok := r.Host(id)
	return h.PeerAddress, ok
}

// Summary implements Directory.
func (r *Registry) Summary(id fleet.HostID) (Summary, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.summaries.get(id)
}

// Changed returns a channel that is closed when the set of hosts changes.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// StoreSteadySince returns since when the store has responded to this host without a
// gap in which leases could have expired, and false if it does not respond now.
func (r *Registry) StoreSteadySince() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.steady.since(time.Now())
}

// notify wakes the goroutines that wait on Changed. The caller holds the mutex.
func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
