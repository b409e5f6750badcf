package cell

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	testCell  = shard.ID("cell/sofia-1/0")
	testQueue = shard.ID("queue/refunds/0")
	testDC    = fleet.DataCentre("sofia-1")
	testJobs  = 5 // number of jobs of a test's tasks
)

// fakeSettings is a settings.View and Snapshot.
type fakeSettings struct {
	mu       sync.Mutex
	out      bool
	frozenAt time.Time // if not zero, ConfirmedAt always returns this time
	values   settings.Resolved
	// guarantees holds the guarantees of the organisations that have any.
	guarantees map[fleet.Organisation]settings.Guarantees
	stale      bool // Current still shows the data centre as in service
}

func (f *fakeSettings) Current() settings.Snapshot { return f }
func (f *fakeSettings) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.frozenAt.IsZero() {
		return f.frozenAt
	}
	return time.Now()
}
func (f *fakeSettings) Revision() store.Revision { return 1 }
func (f *fakeSettings) Teams() map[fleet.Team]settings.Team {
	teams := make(map[fleet.Team]settings.Team)
	for org := range f.guarantees {
		teams[fleet.Team(org)] = settings.Team{Organisation: org}
	}
	return teams
}
func (f *fakeSettings) DataCentres() map[fleet.DataCentre]settings.DataCentre {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := settings.DataCentreInService
	if f.out && !f.stale {
		state = settings.DataCentreOutOfService
	}
	return map[fleet.DataCentre]settings.DataCentre{testDC: {State: state, Cells: 1}}
}
func (f *fakeSettings) Service(fleet.Organisation, fleet.DataCentre, fleet.Service) settings.Resolved {
	return f.values
}
func (f *fakeSettings) JobClass(org fleet.Organisation, _ fleet.DataCentre, _ fleet.JobClass) settings.Resolved {
	values := f.values
	values.Guarantee = f.guarantees[org]
	return values
}
func (f *fakeSettings) set(change func(*fakeSettings)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// staticView is an inventory.View of the stand-in host list without lag.
type staticView struct{ list *standin.HostList }

func (v staticView) Hosts() *inventory.HostList {
	list, _, _ := v.list.Hosts(context.Background(), -1)
	return &list
}
func (v staticView) Changed() <-chan struct{} { return nil }

type handlers map[string]peer.Handler

func (h handlers) Handle(method string, handler peer.Handler) { h[method] = handler }

// harness runs a cell against stand-ins for the store, workers, host list and
// queue.
type harness struct {
	t        *testing.T
	log      *sharedLog
	open     OpenFunc // if not nil, used instead of log
	settings *fakeSettings
	hosts    *standin.HostList
	records  *standin.Records
	workers  []*standin.Worker
	control  inventory.WorkerControl
	hook     func(call int, after bool) // runs before and after each call to a worker
	calls    int
	queue    *fakeQueue
	runTimes map[fleet.JobClass]time.Duration // override the run time of all tasks
	latency  LatencySource
	shares   []float64 // requested by throttle calls
	epoch    fleet.Epoch
	logger   log.Logger
}

func newHarness(t *testing.T, workers int, runTime time.Duration) *harness {
	h := &harness{
		t:       t,
		log:     &sharedLog{delay: 20 * time.Millisecond},
		hosts:   standin.NewHostList(0),
		records: standin.NewRecords(),
		queue:   newFakeQueue(),
		logger:  log.NewNopLogger(),
		settings: &fakeSettings{values: settings.Resolved{
			WorkerLeaseMS: 6000, TerminationGraceMS: 10_000, ThrottleFloor: 0.1, EvictionsPerMinute: 2, ObjectiveMS: 100,
		}},
	}
	h.runTimes = make(map[fleet.JobClass]time.Duration)
	for i := range workers {
		info := inventory.Worker{
			ID:         fleet.WorkerID(fmt.Sprintf("w%02d", i)),
			DataCentre: testDC,
			Rack:       fleet.Rack(fmt.Sprintf("r%d", i%3)),
			Address:    fmt.Sprintf("10.0.0.%d:1", i),
			Capacity:   fleet.Resources{MilliCores: 4000, MemoryMB: 4000},
			State:      inventory.StateLive,
		}
		run := func(req inventory.StartRequest) time.Duration { return cmp.Or(h.runTimes[req.Class], runTime) }
		h.workers = append(h.workers, standin.NewWorker(info, fleet.Resources{}, run, h.records))
	}
	h.control = standin.NewWorkers(h.workers...)
	h.listWorkers()
	return h
}

func (h *harness) setHook(hook func(call int, after bool)) {
	h.queue.mu.Lock()
	defer h.queue.mu.Unlock()
	h.hook = hook
}

func (h *harness) listWorkers() {
	h.hosts.Update(func(l *inventory.HostList) {
		l.Workers = nil
		for _, w := range h.workers {
			l.Workers = append(l.Workers, w.Info())
		}
	})
}

// start starts the term of a new owner on host.
func (h *harness) start(host fleet.HostID) *owner {
	h.epoch++
	registry := make(handlers)
	ctx, cancel := context.WithCancel(context.Background())
	o := &owner{harness: h, handlers: registry, cancel: cancel, done: make(chan struct{})}
	o.server = NewServer(Deps{
		Open: o.open, Workers: o, Inventory: staticView{h.hosts}, Settings: h.settings,
		Shards: h.queue, Peers: h.queue, Registry: registry, Latencies: h.latency, Logger: h.logger,
	})
	claim := shard.Owner{Host: host, Incarnation: 1, Epoch: h.epoch}
	go func() {
		defer close(o.done)
		o.err = o.server.Run(ctx, testCell, claim)
	}()
	return o
}

// check fails the test if the stand-ins recorded a violation of an invariant.
func (h *harness) check() {
	h.t.Helper()
	if v := h.records.Violations(); !v.Empty() {
		h.t.Errorf("violations: %+v", v)
	}
	h.queue.mu.Lock()
	defer h.queue.mu.Unlock()
	for _, p := range h.queue.problems {
		h.t.Error(p)
	}
}

var small = fleet.Resources{MilliCores: 1000, MemoryMB: 500}
