package standin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// Cut is one process's connections to the platform, which can be cut to end
// the process as far as the platform can see.
type Connections struct {
	off    atomic.Bool
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	outage   bool            // the store can't be reached
	toStore  context.Context // of calls to the store, ended by an outage
	endStore context.CancelFunc
}

// NewCut returns connections that work.
func NewConnections() *Connections {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Connections{ctx: ctx, cancel: cancel}
	c.toStore, c.endStore = context.WithCancel(ctx)
	return c
}

// SetStoreDown cuts the connections to the store alone, or lets them work
// again. Calls under way end without an answer.
func (c *Connections) SetStoreDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = down
	c.endStore()
	c.toStore, c.endStore = context.WithCancel(c.ctx)
}

// storeContext returns the context that ends with the connections to the
// store, and whether they work.
func (c *Connections) storeContext() (context.Context, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.toStore, !c.outage
}

// Off cuts the connections for good. Calls under way end without an answer.
func (c *Connections) Close() {
	c.off.Store(true)
	c.cancel()
}

// join returns ctx ended by the end of the connections.
func join(ctx, connections context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(connections, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Store returns a client of the store at base over these connections.
func (c *Connections) Store(base string) store.Store {
	return &cutStore{cut: c, next: store.NewHTTP(base, 0)}
}

// Workers returns a client of workers over these connections.
func (c *Connections) Workers() inventory.WorkerControl {
	return &cutWorkers{cut: c, next: inventory.NewHTTPWorkers(inventory.HTTPWorkersOptions{})}
}

type cutStore struct {
	cut  *Connections
	next store.Store
}

// enter returns the context of one call, or an error if the store is out of
// reach.
func (s *cutStore) enter(ctx context.Context, op string) (context.Context, context.CancelFunc, error) {
	connections, up := s.cut.storeContext()
	if !up || s.cut.off.Load() {
		return nil, nil, eris.Wrap(&store.UnavailableError{Op: op, Cause: errDown}, "cut")
	}
	ctx, done := join(ctx, connections)
	return ctx, done, nil
}

func (s *cutStore) Get(ctx context.Context, key string) (store.Entry, error) {
	ctx, done, err := s.enter(ctx, "read")
	if err != nil {
		return store.Entry{}, err
	}
	defer done()
	return s.next.Get(ctx, key)
}

func (s *cutStore) GetNewer(ctx context.Context, key string, known store.Revision) (store.Entry, bool, error) {
	ctx, done, err := s.enter(ctx, "read")
	if err != nil {
		return store.Entry{}, false, err
	}
	defer done()
	return s.next.GetNewer(ctx, key, known)
}

func (s *cutStore) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	ctx, done, err := s.enter(ctx, "list")
	if err != nil {
		return nil, 0, err
	}
	defer done()
	return s.next.List(ctx, prefix)
}

func (s *cutStore) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	ctx, done, err := s.enter(ctx, "write")
	if err != nil {
		return 0, err
	}
	defer done()
	return s.next.CompareAndSwap(ctx, key, expect, value, lease)
}

func (s *cutStore) Delete(ctx context.Context, key string, expect store.Revision) error {
	ctx, done, err := s.enter(ctx, "delete")
	if err != nil {
		return err
	}
	defer done()
	return s.next.Delete(ctx, key, expect)
}

func (s *cutStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	ctx, done, err := s.enter(ctx, "grant")
	if err != nil {
		return 0, err
	}
	defer done()
	return s.next.Grant(ctx, ttl)
}

func (s *cutStore) Renew(ctx context.Context, lease store.LeaseID) error {
	ctx, done, err := s.enter(ctx, "renew")
	if err != nil {
		return err
	}
	defer done()
	return s.next.Renew(ctx, lease)
}

func (s *cutStore) Revoke(ctx context.Context, lease store.LeaseID) error {
	ctx, done, err := s.enter(ctx, "revoke")
	if err != nil {
		return err
	}
	defer done()
	return s.next.Revoke(ctx, lease)
}

func (s *cutStore) Watch(ctx context.Context, prefix string, after store.Revision) (<-chan store.Event, error) {
	ctx, done, err := s.enter(ctx, "watch")
	if err != nil {
		return nil, err
	}
	events, err := s.next.Watch(ctx, prefix, after)
	if err != nil {
		done()
		return nil, err
	}
	context.AfterFunc(ctx, done)
	return events, nil
}

type cutWorkers struct {
	cut  *Connections
	next inventory.WorkerControl
}

// through makes one call unless the connections are cut.
func through[Req any](ctx context.Context, c *Connections, op string, call func(context.Context, string, Req) (inventory.WorkerReport, error), address string, req Req) (inventory.WorkerReport, error) {
	if c.off.Load() {
		return inventory.WorkerReport{}, eris.Wrap(&inventory.UnknownOutcomeError{Op: op, Cause: errDown}, "cut")
	}
	ctx, done := join(ctx, c.ctx)
	defer done()
	return call(ctx, address, req)
}

func (w *cutWorkers) Start(ctx context.Context, address string, req inventory.StartRequest) (inventory.WorkerReport, error) {
	return through(ctx, w.cut, "start", w.next.Start, address, req)
}

func (w *cutWorkers) Renew(ctx context.Context, address string, req inventory.RenewRequest) (inventory.WorkerReport, error) {
	return through(ctx, w.cut, "renew", w.next.Renew, address, req)
}

func (w *cutWorkers) Stop(ctx context.Context, address string, req inventory.StopRequest) (inventory.WorkerReport, error) {
	return through(ctx, w.cut, "stop", w.next.Stop, address, req)
}

func (w *cutWorkers) Throttle(ctx context.Context, address string, req inventory.ThrottleRequest) (inventory.WorkerReport, error) {
	return through(ctx, w.cut, "throttle", w.next.Throttle, address, req)
}
