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
	testJobs  = 5 // that the tasks of a test belong to
)

// fakeSettings is a settings.View and Snapshot.
type fakeSettings struct {
	mu     sync.Mutex
	out    bool
	frozen time.Time // confirmation stands still here, if not zero
	values settings.Resolved
	// guarantees are those of the organisations that have one.
	guarantees map[fleet.Organisation]settings.Guarantees
	staleness  bool // Current goes on showing the data centre as in
}

func (f *fakeSettings) Current() settings.Snapshot { return f }
func (f *fakeSettings) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.frozen.IsZero() {
		return f.frozen
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
	state := settings.DataCentreIn
	if f.out && !f.staleness {
		state = settings.DataCentreOut
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

// staticView is a inventory.View over the stand-in host list without a lag.
type staticView struct{ list *standin.HostList }

func (v staticView) Hosts() *inventory.HostList {
	list, _, _ := v.list.Hosts(context.Background(), -1)
	return &list
}
func (v staticView) Changed() <-chan struct{} { return nil }

type handlers map[string]peer.Handler

func (h handlers) Handle(method string, handler peer.Handler) { h[method] = handler }

// bench is a cell with stand-ins around it.
type bench struct {
	t        *testing.T
	log      *sharedLog
	open     OpenFunc // instead of log, if not nil
	settings *fakeSettings
	hosts    *standin.HostList
	records  *standin.Records
	workers  []*standin.Worker
	control  inventory.WorkerControl
	hook     func(call int, after bool) // before and after each call to a worker
	calls    int
	queue    *fakeQueue
	runTimes map[fleet.JobClass]time.Duration // instead of the run time of all tasks
	latency  LatencySource
	shares   []float64 // asked for by throttle calls
	epoch    fleet.Epoch
	logger   log.Logger
}

func newBench(t *testing.T, workers int, runTime time.Duration) *bench {
	b := &bench{
		t:       t,
		log:     &sharedLog{delay: 20 * time.Millisecond},
		hosts:   standin.NewHostList(0),
		records: standin.NewRecords(),
		queue:   newFakeQueue(),
		logger:  log.NewNopLogger(),
		settings: &fakeSettings{values: settings.Resolved{
			WorkerLeaseMS: 6000, GraceMS: 10_000, ThrottleFloor: 0.1, EvictionsMinute: 2, ObjectiveMS: 100,
		}},
	}
	b.runTimes = make(map[fleet.JobClass]time.Duration)
	for i := range workers {
		info := inventory.Worker{
			ID:         fleet.WorkerID(fmt.Sprintf("w%02d", i)),
			DataCentre: testDC,
			Rack:       fleet.Rack(fmt.Sprintf("r%d", i%3)),
			Address:    fmt.Sprintf("10.0.0.%d:1", i),
			Capacity:   fleet.Resources{MilliCores: 4000, MemoryMB: 4000},
			State:      inventory.StateLive,
		}
		run := func(req inventory.StartRequest) time.Duration { return cmp.Or(b.runTimes[req.Class], runTime) }
		b.workers = append(b.workers, standin.NewWorker(info, fleet.Resources{}, run, b.records))
	}
	b.control = standin.NewWorkers(b.workers...)
	b.listWorkers()
	return b
}

func (b *bench) setHook(hook func(call int, after bool)) {
	b.queue.mu.Lock()
	defer b.queue.mu.Unlock()
	b.hook = hook
}

func (b *bench) listWorkers() {
	b.hosts.Update(func(l *inventory.HostList) {
		l.Workers = nil
		for _, w := range b.workers {
			l.Workers = append(l.Workers, w.Info())
		}
	})
}

// start begins the term of a new owner on host.
func (b *bench) start(host fleet.HostID) *owner {
	b.epoch++
	h := make(handlers)
	ctx, cancel := context.WithCancel(context.Background())
	o := &owner{b: b, handlers: h, cancel: cancel, done: make(chan struct{})}
	o.server = NewServer(Deps{
		Open: o.open, Workers: o, Hosts: staticView{b.hosts}, Settings: b.settings,
		Directory: b.queue, Peers: b.queue, Registry: h, Latencies: b.latency, Logger: b.logger,
	})
	claim := shard.Owner{Host: host, Incarnation: 1, Epoch: b.epoch}
	go func() {
		defer close(o.done)
		o.err = o.server.Run(ctx, testCell, claim)
	}()
	return o
}

// check fails the test if a promise was broken.
func (b *bench) check() {
	b.t.Helper()
	if v := b.records.Violations(); !v.Empty() {
		b.t.Errorf("violations: %+v", v)
	}
	b.queue.mu.Lock()
	defer b.queue.mu.Unlock()
	for _, p := range b.queue.problems {
		b.t.Error(p)
	}
}

var small = fleet.Resources{MilliCores: 1000, MemoryMB: 500}
