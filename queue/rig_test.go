package queue

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	testHost = fleet.HostID("h1")
	testTeam = fleet.Team("claims")
	testOrg  = fleet.Organisation("balkantrans")
	// testRetainFor is how long the shards of tests keep ended jobs.
	testRetainFor = 30 * time.Minute

	testShard = shard.ID("queue/claims/0")
)

var (
	small = fleet.Resources{MilliCores: 1000, MemoryMB: 1024}
	big   = fleet.Resources{MilliCores: 16000, MemoryMB: 64000}
)

// network delivers calls between hosts in this process, over JSON as the real
// one does. lose, if set, may drop a call (before) or its reply (after).
type network struct {
	done <-chan struct{} // closed at the end of the test

	mu       sync.Mutex
	handlers map[string]peer.Handler
	lose     func(method string) (before, after bool)
}

type lostError struct{}

func (*lostError) Error() string { return "lost" }

func newNetwork(done <-chan struct{}) *network {
	return &network{done: done, handlers: make(map[string]peer.Handler)}
}

// after runs f later unless the test ends before. It leaves no timer behind
// at the end of the test.
func (n *network) after(d time.Duration, f func()) {
	timer := time.NewTimer(d)
	go func() {
		defer timer.Stop()
		select {
		case <-n.done:
		case <-timer.C:
			f()
		}
	}()
}

func (n *network) Handle(method string, h peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = h
}

func (n *network) Call(ctx context.Context, host fleet.HostID, method string, request, response any) error {
	n.mu.Lock()
	h, lose := n.handlers[method], n.lose
	n.mu.Unlock()
	var before, after bool
	if lose != nil {
		before, after = lose(method)
	}
	unknown := &peer.UnknownError{Host: host, Method: method, Cause: &lostError{}}
	params, err := json.Marshal(request)
	if err != nil {
		return err
	}
	if before {
		n.sendLate(host, method, request)
	}
	if before || h == nil {
		return unknown
	}
	reply, err := h(ctx, testHost, params)
	if after || lost(err) || ctx.Err() != nil {
		return unknown
	}
	if err != nil {
		return remote(err)
	}
	data, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, response)
}

// lateAfter is when a message arrives of which its sender had given up the
// answer, or whose sender was paused and is no longer the owner.
const lateAfter = 30 * time.Second

func (n *network) sendLate(host fleet.HostID, method string, request any) {
	n.after(lateAfter, func() {
		var reply json.RawMessage
		_ = n.Call(context.Background(), host, method, request, &reply)
	})
}

func remote(err error) error {
	var e *peer.RemoteError
	if errors.As(err, &e) {
		return e
	}
	return &peer.RemoteError{Kind: peer.KindInternal, Message: err.Error()}
}

// world is what the platform and the operators say. It implements the views
// and directories that a Server reads.
type world struct {
	mu     sync.Mutex
	dcs    map[fleet.DataCentre]settings.DataCentre
	teams  map[fleet.Team]settings.Team
	values settings.Resolved
	hosts  inventory.HostList
	cells  map[string]member.CellLoad
	stale  bool
}

func newWorld() *world {
	load := member.CellLoad{Capacity: big, Free: big, LargestFit: big}
	return &world{
		dcs: map[fleet.DataCentre]settings.DataCentre{
			"sofia": {Region: "bg", State: settings.DataCentreIn, Cells: 1},
			"ruse":  {Region: "bg", State: settings.DataCentreIn, Cells: 1},
		},
		teams: map[fleet.Team]settings.Team{
			testTeam: {Organisation: testOrg, Quota: big, Shards: 1},
		},
		values: settings.Resolved{Priority: 50, MaxAttempts: 3, Aging: 1},
		hosts: inventory.HostList{Version: 1, Workers: []inventory.Worker{
			{ID: "w1", DataCentre: "sofia", Capacity: big, State: inventory.StateLive},
			{ID: "w2", DataCentre: "ruse", Capacity: big, State: inventory.StateLive},
		}},
		cells: map[string]member.CellLoad{"cell/sofia/0": load, "cell/ruse/0": load},
	}
}

func (w *world) update(change func(*world)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w)
}

// frozen is an immutable settings.Snapshot.
type frozen struct {
	dcs    map[fleet.DataCentre]settings.DataCentre
	teams  map[fleet.Team]settings.Team
	values settings.Resolved
}

func (f frozen) Revision() store.Revision                              { return 1 }
func (f frozen) DataCentres() map[fleet.DataCentre]settings.DataCentre { return f.dcs }
func (f frozen) Teams() map[fleet.Team]settings.Team                   { return f.teams }
func (f frozen) Service(fleet.Organisation, fleet.DataCentre, fleet.Service) settings.Resolved {
	return f.values
}
func (f frozen) JobClass(fleet.Organisation, fleet.DataCentre, fleet.JobClass) settings.Resolved {
	return f.values
}

func (w *world) Current() settings.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := frozen{
		dcs:    make(map[fleet.DataCentre]settings.DataCentre),
		teams:  make(map[fleet.Team]settings.Team),
		values: w.values,
	}
	for k, v := range w.dcs {
		f.dcs[k] = v
	}
	for k, v := range w.teams {
		f.teams[k] = v
	}
	return f
}

func (w *world) ConfirmedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stale {
		return time.Now().Add(-time.Minute)
	}
	return time.Now()
}

// platformView makes a world a inventory.View.
type platformView struct{ *world }

func (p platformView) Hosts() *inventory.HostList {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.hosts
	return &list
}

func (platformView) Changed() <-chan struct{} { return nil }

func (w *world) Hosts() []member.Host { return []member.Host{{ID: testHost}} }

func (w *world) Host(id fleet.HostID) (member.Host, bool) { return member.Host{ID: id}, true }

func (w *world) Summary(fleet.HostID) (member.Summary, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cells := make(map[string]member.CellLoad)
	for k, v := range w.cells {
		cells[k] = v
	}
	return member.Summary{Cells: cells}, true
}

func (w *world) Owner(shard.ID) (shard.Owner, bool) { return shard.Owner{Host: testHost}, true }

// rig runs a queue shard and cells over one store and network.
type rig struct {
	t      *testing.T
	store  *standin.Store
	net    *network
	world  *world
	cells  *fakeCells
	client *Client
	points *crashPoint

	mu    sync.Mutex
	epoch fleet.Epoch
	end   func() // of the present owner
}

func newRig(t *testing.T) *rig {
	r := &rig{
		t:     t,
		store: standin.NewStore(),
		net:   newNetwork(t.Context().Done()),
		world: newWorld(),
	}
	r.points = &crashPoint{crash: r.crash}
	r.cells = newFakeCells(r.net)
	r.client = NewClient(ClientDeps{Peers: r.net, Shards: r.world, Settings: r.world})
	return r
}

// restartAfter is how long a shard has no owner after a crash.
const restartAfter = 2 * time.Second

// crash stops the owner and starts the next one later.
func (r *rig) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	go r.end()
	r.net.after(restartAfter, r.start)
}

// start runs the shard under the next epoch.
func (r *rig) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch++
	p := &process{Store: r.store, net: r.net, points: r.points}
	server := NewServer(Deps{
		Region:   "bg",
		Store:    p,
		Peers:    p,
		Registry: p,
		Members:  r.world,
		Shards:   r.world,
		Settings: r.world,
		Platform: platformView{r.world},
		Logger:   log.NewNopLogger(),

		RetainFor: testRetainFor,
	})
	ctx, cancel := context.WithCancel(r.t.Context())
	owner := shard.Owner{Host: testHost, Incarnation: 1, Epoch: r.epoch}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Run(ctx, testShard, owner)
	}()
	r.end = func() {
		cancel()
		<-ended
	}
}

// stop ends the present owner in good order.
func (r *rig) stop() {
	r.mu.Lock()
	end := r.end
	r.mu.Unlock()
	end()
}

func (r *rig) submit(id fleet.JobID, tasks int, change ...func(*job.Spec)) (job.Status, error) {
	s := spec(id, tasks)
	for _, c := range change {
		c(&s)
	}
	return r.client.Submit(r.t.Context(), s)
}

func spec(id fleet.JobID, tasks int) job.Spec {
	return job.Spec{ID: id, Organisation: testOrg, Team: testTeam, Class: "check", Tasks: tasks, Resources: small}
}

// mustEnd waits until a job has ended and returns its status.
func (r *rig) mustEnd(id fleet.JobID) job.Status {
	r.t.Helper()
	for range 2000 {
		status, err := r.client.Get(r.t.Context(), testTeam, id)
		if err == nil && status.State.Final() {
			return status
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.t.Fatalf("job %s has not ended", id)
	return job.Status{}
}
