package shard_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer/peertest"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

const longestRequest = 20 * time.Second

// cluster is a set of entry hosts with a registry and a manager each, over
// one stand-in store.
type cluster struct {
	t      *testing.T
	store  *standin.Store
	net    *peertest.Network
	list   *list
	shards []shard.ID
	hosts  map[fleet.HostID]*host
	runs   runs
}

// host is one process.
type host struct {
	manager *shard.Manager
	cancel  context.CancelFunc
	done    chan struct{}
}

// list is a platform.View that tests change.
type list struct {
	mu   sync.Mutex
	list platform.HostList
}

func (l *list) Hosts() *platform.HostList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &l.list
}

func (*list) Changed() <-chan struct{} { return nil }

func (l *list) set(hosts ...platform.EntryHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = platform.HostList{EntryHosts: hosts}
}

// runs is a Runner that records who runs what.
type runs struct {
	mu      sync.Mutex
	now     map[shard.ID]map[shard.Owner]bool
	seen    map[shard.ID]map[shard.Owner]bool
	started int
	broken  []string
}

func (r *runs) Run(ctx context.Context, id shard.ID, owner shard.Owner) error {
	r.mu.Lock()
	if r.now[id] == nil {
		r.now[id] = make(map[shard.Owner]bool)
		r.seen[id] = make(map[shard.Owner]bool)
	}
	for other := range r.now[id] {
		if other.Epoch == owner.Epoch {
			r.broken = append(r.broken, fmt.Sprintf("%s runs twice at epoch %d", id, owner.Epoch))
		}
	}
	r.now[id][owner] = true
	r.seen[id][owner] = true
	r.started++
	r.mu.Unlock()
	<-ctx.Done()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.now[id], owner)
	return ctx.Err()
}

func (r *runs) starts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

func newCluster(t *testing.T, shards ...shard.ID) *cluster {
	return &cluster{
		t:      t,
		store:  standin.NewStore(),
		net:    peertest.NewNetwork(),
		list:   new(list),
		shards: shards,
		hosts:  make(map[fleet.HostID]*host),
		runs:   runs{now: make(map[shard.ID]map[shard.Owner]bool), seen: make(map[shard.ID]map[shard.Owner]bool)},
	}
}

// start runs a process of a host.
func (c *cluster) start(id fleet.HostID) *host {
	self := member.Host{ID: id, Incarnation: fleet.Incarnation(time.Now().UnixNano()), Region: "sofia", DataCentre: "sofia-1"}
	peers := c.net.Host(id)
	logger := log.NewNopLogger()
	registry := member.NewRegistry(member.Deps{Self: self, Store: c.store, Caller: peers, Peers: peers, Logger: logger, SeedPeer: 1})
	manager := shard.NewManager(shard.Deps{
		Self:             self,
		Store:            c.store,
		Members:          registry,
		StoreSteadySince: registry.StoreSteadySince,
		Shards:           func() []shard.ID { return c.shards },
		Runners:          map[shard.Kind]shard.Runner{shard.KindQueue: &c.runs, shard.KindCell: &c.runs, shard.KindFront: &c.runs},
		Platform:         c.list,
		LongestRequest:   func() time.Duration { return longestRequest },
		Logger:           logger,
	})
	ctx, cancel := context.WithCancel(c.t.Context())
	h := &host{manager: manager, cancel: cancel, done: make(chan struct{})}
	c.hosts[id] = h
	go func() {
		defer close(h.done)
		var both sync.WaitGroup
		both.Go(func() { registry.Serve(ctx) })
		both.Go(func() { manager.Serve(ctx) })
		both.Wait()
	}()
	return h
}

// stop shuts a process down in order.
func (c *cluster) stop(id fleet.HostID) {
	c.hosts[id].cancel()
	<-c.hosts[id].done
	delete(c.hosts, id)
}

func (c *cluster) stopAll() {
	for id := range c.hosts {
		c.hosts[id].cancel()
	}
	for id := range c.hosts {
		<-c.hosts[id].done
	}
}

func (c *cluster) owners() map[shard.ID]shard.Owner {
	owners := make(map[shard.ID]shard.Owner)
	for _, h := range c.hosts {
		for _, id := range c.shards {
			if o, ok := h.manager.Owner(id); ok {
				owners[id] = o
			}
		}
		break
	}
	return owners
}

// senders returns the hosts that may send for a front.
func (c *cluster) senders(id shard.ID) []fleet.HostID {
	var found []fleet.HostID
	for host, h := range c.hosts {
		if h.manager.MaySend(id) {
			found = append(found, host)
		}
	}
	return found
}

var someShards = []shard.ID{"cell/sofia-1/0", "cell/sofia-1/1", "front/sofia-1/0", "front/sofia-1/1", "queue/a/0", "queue/b/0"}

func TestShardsAreClaimedAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, someShards...)
		for _, id := range []fleet.HostID{"h1", "h2", "h3"} {
			c.start(id)
		}
		time.Sleep(10 * time.Second)
		for _, id := range someShards {
			owner, ok := c.owners()[id]
			if !ok {
				t.Errorf("%s has no owner", id)
			}
			if id.Kind() == shard.KindFront && (len(c.senders(id)) != 1 || c.senders(id)[0] != owner.Host) {
				t.Errorf("senders of %s: %v", id, c.senders(id))
			}
		}
		c.stop("h1")
		time.Sleep(5 * time.Second)
		for id, owner := range c.owners() {
			if owner.Host == "h1" {
				t.Errorf("%s still belongs to h1", id)
			}
			if id.Kind() == shard.KindFront && len(c.senders(id)) != 1 {
				t.Errorf("senders of %s: %v", id, c.senders(id))
			}
		}
		c.stopAll()
		if len(c.runs.broken) > 0 {
			t.Error(c.runs.broken)
		}
	})
}
