package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/fuchsiahill/fuchsiahill/backend"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// server is a backend server of a front that this host runs.
type server struct {
	address string
	front   shard.ID
	pool    *backend.Pool
	info    inventory.Server // guarded by Gateway.mu
	recent  recentLatencies  // guarded by the mu of its service

	usable atomic.Bool                       // live, in a data centre in service, and this host has the right to send to it
	values atomic.Pointer[settings.Resolved] // for the server's data centre
}

// serverKey identifies one process of a backend server. A server that returns
// at another address gets a new pool.
type serverKey struct {
	id      fleet.ServerID
	address string
}

// front is a front that this host runs.
//
// Invariants:
//   - servers holds every server whose pool may have slots in use or open
//     connections;
//   - while active or maySend is false, none of its servers is a candidate.
type front struct {
	id      shard.ID
	active  bool
	maySend bool // whether this host had the right to send at the last refresh
	servers map[serverKey]*server
}

// Run implements shard.Runner for fronts. It lets requests be sent to the
// servers of the front until ctx ends, and returns nil once no slot is in use
// and no connection is open any more.
func (g *Gateway) Run(ctx context.Context, id shard.ID, owner shard.Owner) error {
	f := &front{id: id, active: true, servers: make(map[serverKey]*server)}
	g.mu.Lock()
	g.fronts[id] = f
	g.mu.Unlock()
	g.refresh(time.Now())
	opened := make(chan struct{})
	go func() {
		defer close(opened)
		g.claimer.ConfirmFronts(ctx, g.regionPeers())
		g.claimer.Open(ctx, id, owner, g.formerOwner(id))
	}()
	g.deps.Logger.Log("event", "front_run", "front", id, "epoch", owner.Epoch)

	<-ctx.Done()
	<-opened
	g.claimer.Close(id)
	for _, s := range g.stopFront(f) {
		s.pool.Close()
		<-s.pool.Drained()
	}
	g.mu.Lock()
	delete(g.fronts, id)
	g.mu.Unlock()
	g.claimer.ScheduleExpiry(id)
	g.deps.Logger.Log("event", "front_end", "front", id, "epoch", owner.Epoch)
	return nil
}

// formerOwner returns the owner of the front immediately before this host, or
// the zero value if it is not known.
func (g *Gateway) formerOwner(id shard.ID) shard.Owner {
	if g.deps.FormerOwner == nil {
		return shard.Owner{}
	}
	owner, _ := g.deps.FormerOwner(id)
	return owner
}

// AwaitHandover waits until the new owners of the fronts that this host ran have
// fetched its history of request IDs, or until ctx ends.
func (g *Gateway) AwaitHandover(ctx context.Context) { g.claimer.AwaitHandovers(ctx) }

// regionPeers returns the IDs of the other hosts of the region in random order.
func (g *Gateway) regionPeers() []fleet.HostID {
	var peers []fleet.HostID
	for _, h := range g.deps.Members.Hosts() {
		if h.ID != g.deps.Self.ID && h.Region == g.deps.Self.Region {
			peers = append(peers, h.ID)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// stopFront stops sending new requests to the servers of a front, and returns
// the servers.
func (g *Gateway) stopFront(f *front) []*server {
	g.mu.Lock()
	f.active = false
	servers := make([]*server, 0, len(f.servers))
	for _, s := range f.servers {
		s.usable.Store(false)
		servers = append(servers, s)
	}
	g.mu.Unlock()
	g.refresh(time.Now())
	return servers
}

// maySend reports whether a request may be sent to s. It is called right before
// the first byte of the request is written.
func (g *Gateway) maySend(s *server) bool {
	if g.viewsChanged() {
		g.refresh(time.Now())
	}
	if !s.usable.Load() {
		return false
	}
	allowed := g.deps.Rights.MaySend(s.front)
	if !allowed {
		g.refresh(time.Now()) // the servers of the front are no longer candidates
	}
	return allowed
}

// refreshIfStale refreshes the gateway if anything that refresh applies has
// changed.
func (g *Gateway) refreshIfStale(now time.Time) {
	if g.viewsChanged() || g.rightsChanged() {
		g.refresh(now)
	}
}

// viewsChanged reports whether the host list or the settings have changed
// since the last refresh.
func (g *Gateway) viewsChanged() bool {
	return g.deps.Inventory.Hosts().Version != g.version.Load() ||
		int64(g.deps.Settings.Current().Revision()) != g.revision.Load()
}

// rightsChanged reports whether this host has gained or lost the right to send
// for a front since the last refresh.
func (g *Gateway) rightsChanged() bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for id, f := range g.fronts {
		if f.active && f.maySend != g.deps.Rights.MaySend(id) {
			return true
		}
	}
	return false
}

// refresh applies the host list, the settings and the rights to send to the
// fronts and services. After it has returned, no new slot of an unusable server
// is acquired.
func (g *Gateway) refresh(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.deps.Inventory.Hosts()
	snapshot := g.deps.Settings.Current()
	centres := snapshot.DataCentres()
	g.claimer.SetFronts(now, g.regionFronts(centres))

	for id, f := range g.fronts {
		f.maySend = f.active && g.deps.Rights.MaySend(id)
	}
	candidates := make(map[fleet.Service]map[fleet.ServerID]*server)
	values := make(map[fleet.Service]settings.Resolved)
	listed := make(map[*server]bool)
	fronts := make(usableFronts)
	for i := range list.Servers {
		info := &list.Servers[i]
		if g.isUsable(info, centres) {
			fronts.add(info.Service, g.frontOf(info, centres[info.DataCentre].Cells))
		}
		g.ensureService(now, info, snapshot, values)
		s := g.ownServer(info, centres)
		if s == nil {
			continue
		}
		listed[s] = true
		resolved := snapshot.Service(info.Organisation, info.DataCentre, info.Service)
		s.values.Store(&resolved)
		usable := g.fronts[s.front].maySend && info.State == inventory.StateLive &&
			centres[info.DataCentre].State == settings.DataCentreInService
		s.usable.Store(usable)
		if !usable {
			continue
		}
		if candidates[info.Service] == nil {
			candidates[info.Service] = make(map[fleet.ServerID]*server)
		}
		candidates[info.Service][info.ID] = s
	}
	g.usableFronts = fronts
	g.disableUnlisted(listed)
	for name, svc := range g.services {
		v, ok := values[name]
		if !ok {
			v = svc.settings() // no server of the service is listed any more
		}
		svc.update(now, v, candidates[name], g.deps.Self.DataCentre)
	}
	g.version.Store(list.Version)
	g.revision.Store(int64(snapshot.Revision()))
}

// ensureService adds the service of a listed server to values and to the
// services of the gateway, unless it is already there.
func (g *Gateway) ensureService(now time.Time, info *inventory.Server, snapshot settings.Snapshot, values map[fleet.Service]settings.Resolved) {
	if _, ok := values[info.Service]; ok {
		return
	}
	values[info.Service] = snapshot.Service(info.Organisation, g.deps.Self.DataCentre, info.Service)
	if g.services[info.Service] == nil {
		g.services[info.Service] = newService(info.Service, now)
	}
}

// ownServer returns the server that info describes, with current limits, or nil
// if this host does not run its front.
func (g *Gateway) ownServer(info *inventory.Server, centres map[fleet.DataCentre]settings.DataCentre) *server {
	centre, ok := centres[info.DataCentre]
	if !ok || info.State == inventory.StateGone {
		return nil
	}
	f := g.fronts[g.frontOf(info, centre.Cells)]
	if f == nil || !f.active {
		return nil
	}
	limits := backend.Limits{Slots: info.Slots, Connections: max(info.Connections/2, 1)}
	key := serverKey{info.ID, info.Address}
	s, ok := f.servers[key]
	if !ok {
		s = &server{address: info.Address, front: f.id, pool: backend.NewPool(info.Address, limits, g.deps.Dial)}
		f.servers[key] = s
	}
	s.info = *info
	s.pool.SetLimits(limits)
	return s
}

// frontOf returns the front of a server in a data centre with this number of
// cells.
func (g *Gateway) frontOf(info *inventory.Server, cells int) shard.ID {
	n, ok := g.cellNumbers[info.Worker]
	if !ok {
		n = shard.CellNumber(info.Worker, cells)
		g.cellNumbers[info.Worker] = n
	}
	return shard.NewID(shard.KindFront, string(info.DataCentre), n)
}

// disableUnlisted makes servers unusable that are no longer in the host list.
func (g *Gateway) disableUnlisted(listed map[*server]bool) {
	for _, f := range g.fronts {
		for _, s := range f.servers {
			if !listed[s] {
				s.usable.Store(false)
			}
		}
	}
}

// regionFronts returns all fronts of the region.
func (g *Gateway) regionFronts(centres map[fleet.DataCentre]settings.DataCentre) []shard.ID {
	var fronts []shard.ID
	for name, centre := range centres {
		if centre.Region != g.deps.Self.Region {
			continue
		}
		for n := range centre.Cells {
			fronts = append(fronts, shard.NewID(shard.KindFront, string(name), n))
		}
	}
	return fronts
}

// sweep closes connections that have been idle for backend.MaxIdle or whose
// server is unusable, and removes unusable servers without any connection.
func (g *Gateway) sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range g.fronts {
		for key, s := range f.servers {
			if s.usable.Load() {
				s.pool.CloseIdle(now.Add(-backend.MaxIdle))
				continue
			}
			s.pool.CloseIdle(now)
			if u := s.pool.Usage(); f.active && u.Slots == 0 && u.Connections == 0 {
				delete(f.servers, key)
			}
		}
	}
	g.sweepPeers(now)
}
