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

// server is a backend server of a front that this host owns.
type server struct {
	address string
	front   shard.ID
	pool    *backend.Pool
	info    inventory.Server // guarded by the gateway's mutex
	recent  recent           // guarded by its service's mutex

	usable atomic.Bool                       // live, data centre in, right to send
	values atomic.Pointer[settings.Resolved] // for the server's data centre
}

// serverKey names one process of a backend server. A server that comes back
// under another address gets another pool.
type serverKey struct {
	id      fleet.ServerID
	address string
}

// front is a front that this host runs.
//
// Invariant: servers holds every server whose pool may have slots taken or
// connections open; while active or sending is false its servers are in no
// choice.
type front struct {
	id      shard.ID
	active  bool
	sending bool // the right to send, as of the last refresh
	servers map[serverKey]*server
}

// Run implements shard.Runner for fronts: it sends requests to the front's
// servers until ctx ends, and returns when no slot is taken and no connection
// is open any more.
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
		g.claimer.Open(ctx, id, owner, g.former(id))
	}()
	g.deps.Logger.Log("event", "front_run", "front", id, "epoch", owner.Epoch)

	<-ctx.Done()
	<-opened
	g.claimer.Close(id)
	for _, s := range g.stop(f) {
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

// former returns the owner right before this host, zero if it is not known.
func (g *Gateway) former(id shard.ID) shard.Owner {
	if g.deps.FormerOwner == nil {
		return shard.Owner{}
	}
	owner, _ := g.deps.FormerOwner(id)
	return owner
}

// AwaitHandover waits until the new owners of this host's fronts have
// collected its memory of request IDs, or until ctx ends.
func (g *Gateway) AwaitHandover(ctx context.Context) { g.claimer.AwaitHandovers(ctx) }

// regionPeers returns the other hosts of the region in random order.
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

// stop ends new sends of a front and returns its servers.
func (g *Gateway) stop(f *front) []*server {
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

// maySend is asked right before the first byte of a request is written.
func (g *Gateway) maySend(s *server) bool {
	if g.viewsChanged() {
		g.refresh(time.Now())
	}
	if !s.usable.Load() {
		return false
	}
	allowed := g.deps.Rights.MaySend(s.front)
	if !allowed {
		g.refresh(time.Now()) // takes the front's servers out of the choice
	}
	return allowed
}

func (g *Gateway) refreshIfStale(now time.Time) {
	if g.viewsChanged() || g.rightsChanged() {
		g.refresh(now)
	}
}

// viewsChanged reports whether the host list or the settings have changed
// since the last refresh.
func (g *Gateway) viewsChanged() bool {
	return g.deps.Platform.Hosts().Version != g.version.Load() ||
		int64(g.deps.Settings.Current().Revision()) != g.revision.Load()
}

// rightsChanged reports whether a front has got or lost the right to send
// since the last refresh.
func (g *Gateway) rightsChanged() bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for id, f := range g.fronts {
		if f.active && f.sending != g.deps.Rights.MaySend(id) {
			return true
		}
	}
	return false
}

// refresh applies the host list and settings to fronts and services. Once it
// returns, no slot of a server out of use is taken any more.
func (g *Gateway) refresh(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.deps.Platform.Hosts()
	snapshot := g.deps.Settings.Current()
	centres := snapshot.DataCentres()
	g.claimer.SetFronts(now, g.regionFronts(centres))

	for id, f := range g.fronts {
		f.sending = f.active && g.deps.Rights.MaySend(id)
	}
	choice := make(map[fleet.Service]map[fleet.ServerID]*server)
	values := make(map[fleet.Service]settings.Resolved)
	seen := make(map[*server]bool)
	fronts := make(serving)
	for i := range list.Servers {
		info := &list.Servers[i]
		if g.isUsable(info, centres) {
			fronts.add(info.Service, g.frontOf(info, centres[info.DataCentre].Cells))
		}
		g.ensureService(now, info, snapshot, values)
		s := g.own(info, centres)
		if s == nil {
			continue
		}
		seen[s] = true
		resolved := snapshot.Service(info.Organisation, info.DataCentre, info.Service)
		s.values.Store(&resolved)
		usable := g.fronts[s.front].sending && info.State == inventory.StateLive &&
			centres[info.DataCentre].State == settings.DataCentreInService
		s.usable.Store(usable)
		if !usable {
			continue
		}
		if choice[info.Service] == nil {
			choice[info.Service] = make(map[fleet.ServerID]*server)
		}
		choice[info.Service][info.ID] = s
	}
	g.serving = fronts
	g.dropUnlisted(seen)
	for name, svc := range g.services {
		v, ok := values[name]
		if !ok {
			v = svc.settings() // no server is listed any more
		}
		svc.update(now, v, choice[name], g.deps.Self.DataCentre)
	}
	g.version.Store(list.Version)
	g.revision.Store(int64(snapshot.Revision()))
}

func (g *Gateway) ensureService(now time.Time, info *inventory.Server, snapshot settings.Snapshot, values map[fleet.Service]settings.Resolved) {
	if _, ok := values[info.Service]; ok {
		return
	}
	values[info.Service] = snapshot.Service(info.Organisation, g.deps.Self.DataCentre, info.Service)
	if g.services[info.Service] == nil {
		g.services[info.Service] = newService(info.Service, now)
	}
}

// own returns the record of a server whose front this host runs, or nil.
func (g *Gateway) own(info *inventory.Server, centres map[fleet.DataCentre]settings.DataCentre) *server {
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

func (g *Gateway) frontOf(info *inventory.Server, cells int) shard.ID {
	n, ok := g.numbers[info.Worker]
	if !ok {
		n = shard.CellNumber(info.Worker, cells)
		g.numbers[info.Worker] = n
	}
	return shard.NewID(shard.KindFront, string(info.DataCentre), n)
}

// dropUnlisted takes servers out of use that the list no longer shows.
func (g *Gateway) dropUnlisted(seen map[*server]bool) {
	for _, f := range g.fronts {
		for _, s := range f.servers {
			if !seen[s] {
				s.usable.Store(false)
			}
		}
	}
}

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

// sweep closes connections that were not used for long, or whose server is
// out of use.
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
