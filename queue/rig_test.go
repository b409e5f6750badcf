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
	// testRetainFor is Deps.RetainFor of the shards under test.
	testRetainFor = 30 * time.Minute

	testShard = shard.ID("queue/claims/0")
)

var (
	small = fleet.Resources{MilliCores: 1000, MemoryMB: 1024}
	big   = fleet.Resources{MilliCores: 16000, MemoryMB: 64000}
)

// network delivers calls within this process, encoded as JSON as between hosts.
// lose, if set, may drop a call (before) or its reply (after).
type network struct {
	done <-chan struct{} // closed at the end of the test

	mu       sync.Mutex
	handlers map[string]peer.Handler
	lose     func(method string) (before, after bool)
}

// lostError reports a lost message or reply.
type lostError struct{}

func (*lostError) Error() string { return "lost" }

func newNetwork(done <-chan struct{}) *network {
	return &network{done: done, handlers: make(map[string]peer.Handler)}
}

// after runs f after d unless the test ends before. No timer outlives the test.
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
	unknown := &peer.UnknownOutcomeError{Host: host, Method: method, Cause: &lostError{}}
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
	if after || isLost(err) || ctx.Err() != nil {
		return unknown
	}
	if err != nil {
		return remoteError(err)
	}
	data, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, response)
}

// lateDelay is the delay of a message whose sender has timed out, or was paused
// and is no longer the owner.
const lateDelay = 30 * time.Second

// sendLate delivers a message after lateDelay and ignores its reply.
func (n *network) sendLate(host fleet.HostID, method string, request any) {
	n.after(lateDelay, func() {
		var reply json.RawMessage
		_ = n.Call(context.Background(), host, method, request, &reply)
	})
}

func remoteError(err error) error {
	var e *peer.RemoteError
	if errors.As(err, &e) {
		return e
	}
	return &peer.RemoteError{Kind: peer.KindInternal, Message: err.Error()}
}

// environment holds the settings, hosts and cell loads of a test. It implements
// the views and directories that a Server reads.
type environment struct {
	mu     sync.Mutex
	dcs    map[fleet.DataCentre]settings.DataCentre
	teams  map[fleet.Team]settings.Team
	values settings.Resolved
	hosts  inventory.HostList
	cells  map[string]member.CellLoad
	stale  bool // the settings are not confirmed to be current
}

func newEnvironment() *environment {
	load := member.CellLoad{Capacity: big, Free: big, LargestFit: big}
	return &environment{
		dcs: map[fleet.DataCentre]settings.DataCentre{
			"sofia": {Region: "bg", State: settings.DataCentreInService, Cells: 1},
			"ruse":  {Region: "bg", State: settings.DataCentreInService, Cells: 1},
		},
		teams: map[fleet.Team]settings.Team{
			testTeam: {Organisation: testOrg, Quota: big, Shards: 1},
		},
		values: settings.Resolved{Priority: 50, MaxAttempts: 3, AgingPerMinute: 1},
		hosts: inventory.HostList{Version: 1, Workers: []inventory.Worker{
			{ID: "w1", DataCentre: "sofia", Capacity: big, State: inventory.StateLive},
			{ID: "w2", DataCentre: "ruse", Capacity: big, State: inventory.StateLive},
		}},
		cells: map[string]member.CellLoad{"cell/sofia/0": load, "cell/ruse/0": load},
	}
}

func (env *environment) update(change func(*environment)) {
	env.mu.Lock()
	defer env.mu.Unlock()
	change(env)
}

// settingsSnapshot is an immutable settings.Snapshot.
type settingsSnapshot struct {
	dcs    map[fleet.DataCentre]settings.DataCentre
	teams  map[fleet.Team]settings.Team
	values settings.Resolved
}

func (s settingsSnapshot) Revision() store.Revision                              { return 1 }
func (s settingsSnapshot) DataCentres() map[fleet.DataCentre]settings.DataCentre { return s.dcs }
func (s settingsSnapshot) Teams() map[fleet.Team]settings.Team                   { return s.teams }
func (s settingsSnapshot) Service(fleet.Organisation, fleet.DataCentre, fleet.Service) settings.Resolved {
	return s.values
}
func (s settingsSnapshot) JobClass(fleet.Organisation, fleet.DataCentre, fleet.JobClass) settings.Resolved {
	return s.values
}

func (env *environment) Current() settings.Snapshot {
	env.mu.Lock()
	defer env.mu.Unlock()
	s := settingsSnapshot{
		dcs:    make(map[fleet.DataCentre]settings.DataCentre),
		teams:  make(map[fleet.Team]settings.Team),
		values: env.values,
	}
	for k, v := range env.dcs {
		s.dcs[k] = v
	}
	for k, v := range env.teams {
		s.teams[k] = v
	}
	return s
}

func (env *environment) ConfirmedAt() time.Time {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.stale {
		return time.Now().Add(-time.Minute)
	}
	return time.Now()
}

// platformView makes an environment an inventory.View.
type platformView struct{ *environment }

func (p platformView) Hosts() *inventory.HostList {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.hosts
	return &list
}

func (platformView) Changed() <-chan struct{} { return nil }

func (env *environment) Hosts() []member.Host { return []member.Host{{ID: testHost}} }

func (env *environment) Host(id fleet.HostID) (member.Host, bool) { return member.Host{ID: id}, true }

func (env *environment) Summary(fleet.HostID) (member.Summary, bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	cells := make(map[string]member.CellLoad)
	for k, v := range env.cells {
		cells[k] = v
	}
	return member.Summary{Cells: cells}, true
}

func (env *environment) Owner(shard.ID) (shard.Owner, bool) { return shard.Owner{Host: testHost}, true }

// rig runs a queue shard and fake cells on one store and network.
type rig struct {
	t      *testing.T
	store  *standin.Store
	net    *network
	env    *environment
	cells  *fakeCells
	client *Client
	points *crashPoint

	mu    sync.Mutex
	epoch fleet.Epoch
	end   func() // ends the current owner
}

func newRig(t *testing.T) *rig {
	r := &rig{
		t:     t,
		store: standin.NewStore(),
		net:   newNetwork(t.Context().Done()),
		env:   newEnvironment(),
	}
	r.points = &crashPoint{crash: r.crash}
	r.cells = newFakeCells(r.net)
	r.client = NewClient(ClientDeps{Peers: r.net, Shards: r.env, Settings: r.env})
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
	p := &ownerProcess{Store: r.store, net: r.net, points: r.points}
	server := NewServer(Deps{
		Region:    "bg",
		Store:     p,
		Peers:     p,
		Registry:  p,
		Members:   r.env,
		Shards:    r.env,
		Settings:  r.env,
		Inventory: platformView{r.env},
		Logger:    log.NewNopLogger(),

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

// stop shuts down the current owner.
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
