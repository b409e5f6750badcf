package shard_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer/peertest"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

const (
	maxRequestDuration = 20 * time.Second
	sampleInterval     = 250 * time.Millisecond
	takeoverTimeout    = 10 * time.Minute
	clockMargin        = time.Minute
)

var (
	someShards = []shard.ID{"cell/sofia-1/0", "cell/sofia-1/1", "front/sofia-1/0", "front/sofia-1/1", "queue/a/0", "queue/b/0"}
	manyFronts = []shard.ID{"front/sofia-1/0", "front/sofia-1/1", "front/sofia-1/2", "front/sofia-1/3", "front/sofia-1/4", "front/sofia-1/5"}
)

// process is one process of an entry host.
type process struct {
	self     member.Host
	link     *storeLink
	manager  *shard.Manager
	cancel   context.CancelFunc
	done     chan struct{}
	draining bool
	killed   bool // requests that it started may still be in progress
}

// cluster is a set of processes that share one stand-in store. It checks that
// sending and running are exclusive and collects violations.
type cluster struct {
	t       *testing.T
	store   *standin.Store
	net     *peertest.Network
	shards  []shard.ID
	timing  shard.Timing
	running map[fleet.HostID]*process // used only by the goroutine of the test

	mu              sync.Mutex
	all             []*process
	list            inventory.HostList
	runs            map[shard.ID]map[shard.Owner]bool
	starts          int
	lastSend        map[shard.ID]map[*process]time.Time // by processes that may have requests in progress
	requestDuration time.Duration                       // the setting in force
	failingRuns     int                                 // this many of the next runs panic
	violations      []string
}

func newCluster(t *testing.T, shards ...shard.ID) *cluster {
	c := &cluster{
		t:               t,
		store:           standin.NewStore(),
		net:             peertest.NewNetwork(),
		shards:          shards,
		timing:          shard.Timing{FrontTakeoverTimeout: takeoverTimeout, FrontClockMargin: clockMargin},
		running:         make(map[fleet.HostID]*process),
		runs:            make(map[shard.ID]map[shard.Owner]bool),
		lastSend:        make(map[shard.ID]map[*process]time.Time),
		requestDuration: maxRequestDuration,
	}
	return c
}

// Hosts implements inventory.View.
func (c *cluster) Hosts() *inventory.HostList {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.list
	return &list
}

// Changed implements inventory.View.
func (*cluster) Changed() <-chan struct{} { return nil }

// reportGone makes the platform report a process as gone.
func (c *cluster) reportGone(p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list.EntryHosts = append(slices.Clone(c.list.EntryHosts), inventory.EntryHost{ID: p.self.ID, Incarnation: p.self.Incarnation, State: inventory.StateGone})
}

// start starts a new process of a host.
func (c *cluster) start(id fleet.HostID) *process {
	p := &process{
		self: member.Host{ID: id, Incarnation: fleet.Incarnation(time.Now().UnixNano()), Region: "sofia", DataCentre: "sofia-1"},
		link: &storeLink{Store: c.store},
		done: make(chan struct{}),
	}
	peers := c.net.Host(id)
	registry := member.NewRegistry(member.Deps{Self: p.self, Store: p.link, Peers: peers, Registry: peers, Logger: log.NewNopLogger(), PeerSeed: 1})
	registry.SetSummarySource(func() member.Summary {
		c.mu.Lock()
		defer c.mu.Unlock()
		return member.Summary{Draining: p.draining}
	})
	runner := runner{cluster: c, process: p}
	p.manager = shard.NewManager(shard.Deps{
		Self:             p.self,
		Store:            p.link,
		Members:          registry,
		StoreSteadySince: registry.StoreSteadySince,
		Shards:           func() []shard.ID { return c.shards },
		Runners:          map[shard.Kind]shard.Runner{shard.KindQueue: runner, shard.KindCell: runner, shard.KindFront: runner},
		Inventory:        c,
		MaxRequestDuration: func() time.Duration {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.requestDuration
		},
		Draining: func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return p.draining
		},
		Timing: c.timing,
		Logger: log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(c.t.Context())
	p.cancel = cancel
	go func() {
		defer close(p.done)
		var services sync.WaitGroup
		services.Go(func() { _ = registry.Serve(ctx) })
		services.Go(func() { _ = p.manager.Serve(ctx) })
		services.Wait()
	}()
	c.running[id] = p
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, p)
	return p
}

// stop shuts a process down gracefully.
func (c *cluster) stop(id fleet.HostID) {
	p := c.running[id]
	delete(c.running, id)
	p.cancel()
	<-p.done
}

// kill ends a process without a release of its shards or its lease.
func (c *cluster) kill(id fleet.HostID) *process {
	p := c.running[id]
	delete(c.running, id)
	c.mu.Lock()
	p.killed = true
	c.mu.Unlock()
	p.link.set(func(l *storeLink) { l.down = true })
	p.cancel()
	<-p.done
	return p
}

// stopAll stops all processes and reports the violations as errors.
func (c *cluster) stopAll() {
	for _, id := range slices.Collect(maps.Keys(c.running)) {
		c.stop(id)
	}
	for _, violation := range c.violations {
		c.t.Error(violation)
	}
}

// runFor lets time pass and checks for violations.
func (c *cluster) runFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(sampleInterval) {
		c.sample()
	}
}

// claimsInStore returns the claims in the store, or nil if it is down.
func (c *cluster) claimsInStore() map[shard.ID]shard.Claim {
	entries, _, err := c.store.List(c.t.Context(), "claims/")
	if err != nil {
		return nil
	}
	claims := make(map[shard.ID]shard.Claim)
	for _, e := range entries {
		var claim shard.Claim
		if err := json.Unmarshal(e.Value, &claim); err != nil {
			c.t.Error(err)
		}
		claims[shard.ID(strings.TrimPrefix(e.Key, "claims/"))] = claim
	}
	return claims
}

// sendersByFront returns a process that may send for each front.
func (c *cluster) sendersByFront() map[shard.ID]*process {
	found := make(map[shard.ID]*process)
	for _, id := range c.shards {
		for _, p := range c.running {
			if p.manager.MaySend(id) {
				found[id] = p
			}
		}
	}
	return found
}

// sample records which processes may send. It is a violation if another process
// may have requests in progress for the same front, or if the claim in the store
// is not the sender's.
func (c *cluster) sample() {
	before := c.sendersByFront()
	claims := c.claimsInStore()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, id := range c.shards {
		for _, p := range c.all {
			if p.killed || !p.manager.MaySend(id) {
				continue
			}
			// A process that may send both before and after the claims were
			// read has not released the front in between.
			if claim := claims[id]; claims != nil && before[id] == p && (claim.Released || claim.Host != p.self.ID || claim.Incarnation != p.self.Incarnation) {
				c.addViolation("%s: host %s may send but the claim is %+v", id, p.self.ID, claim)
			}
			for other, last := range c.lastSend[id] {
				if other != p && now.Sub(last) < maxRequestDuration {
					c.addViolation("%s: host %s may send only %s after host %s", id, p.self.ID, now.Sub(last), other.self.ID)
				}
			}
			if c.lastSend[id] == nil {
				c.lastSend[id] = make(map[*process]time.Time)
			}
			c.lastSend[id][p] = now
		}
	}
}

// addViolation records a violation. The caller holds the mutex.
func (c *cluster) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// senders returns the hosts that may send for a front.
func (c *cluster) senders(id shard.ID) []fleet.HostID {
	var found []fleet.HostID
	for host, p := range c.running {
		if p.manager.MaySend(id) {
			found = append(found, host)
		}
	}
	return found
}

// owners returns the owner of each shard with the highest epoch known to any
// running process.
func (c *cluster) owners() map[shard.ID]shard.Owner {
	owners := make(map[shard.ID]shard.Owner)
	for _, id := range c.shards {
		for _, p := range c.running {
			if o, ok := p.manager.Owner(id); ok && o.Epoch >= owners[id].Epoch {
				owners[id] = o
			}
		}
	}
	return owners
}

// ownedBy returns the shards that a host owns.
func (c *cluster) ownedBy(host fleet.HostID) []shard.ID {
	var ids []shard.ID
	for id, o := range c.owners() {
		if o.Host == host {
			ids = append(ids, id)
		}
	}
	return ids
}

// startCount returns how many runs of shards have started.
func (c *cluster) startCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// runner is a shard.Runner that records which process runs which shard.
type runner struct {
	cluster *cluster
	process *process
}

// Run implements shard.Runner. It returns 500 ms after ctx has ended.
func (r runner) Run(ctx context.Context, id shard.ID, owner shard.Owner) error {
	c := r.cluster
	c.mu.Lock()
	if c.runs[id] == nil {
		c.runs[id] = make(map[shard.Owner]bool)
	}
	for other := range c.runs[id] {
		if other.Epoch == owner.Epoch {
			c.addViolation("%s is run twice at epoch %d", id, owner.Epoch)
		}
	}
	c.runs[id][owner] = true
	c.starts++
	fail := c.failingRuns > 0
	if fail {
		c.failingRuns--
		delete(c.runs[id], owner)
	}
	c.mu.Unlock()
	if fail {
		panic("runner failed")
	}
	<-ctx.Done()
	time.Sleep(500 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.runs[id], owner)
	if !r.process.killed {
		delete(c.lastSend[id], r.process)
	}
	return ctx.Err()
}
