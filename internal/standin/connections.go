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

// Connections are one process's connections to the platform. Closing them makes
// the process look dead to the platform.
type Connections struct {
	closed atomic.Bool
	ctx    context.Context
	cancel context.CancelFunc

	mu          sync.Mutex
	storeDown   bool            // the store is unreachable
	storeCtx    context.Context // of calls to the store, cancelled by an outage
	cancelStore context.CancelFunc
}

// NewConnections returns open connections.
func NewConnections() *Connections {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Connections{ctx: ctx, cancel: cancel}
	c.storeCtx, c.cancelStore = context.WithCancel(ctx)
	return c
}

// SetStoreDown interrupts the connections to the store alone, or restores them.
// Calls in flight end without a response.
func (c *Connections) SetStoreDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeDown = down
	c.cancelStore()
	c.storeCtx, c.cancelStore = context.WithCancel(c.ctx)
}

// storeContext returns the context that is cancelled with the connections to the
// store, and whether the store is reachable.
func (c *Connections) storeContext() (context.Context, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeCtx, !c.storeDown
}

// Close closes the connections for good. Calls in flight end without a response.
func (c *Connections) Close() {
	c.closed.Store(true)
	c.cancel()
}

// withCancelOn returns a copy of ctx that is also cancelled when other is done.
func withCancelOn(ctx, other context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(other, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Store returns a client of the store at URL base over these connections.
func (c *Connections) Store(base string) store.Store {
	return &interruptibleStore{connections: c, next: store.NewHTTP(base, 0)}
}

// Workers returns a client of workers over these connections.
func (c *Connections) Workers() inventory.WorkerControl {
	return &interruptibleWorkers{connections: c, next: inventory.NewHTTPWorkers(inventory.HTTPWorkersOptions{})}
}

type interruptibleStore struct {
	connections *Connections
	next        store.Store
}

// enter returns the context of one call, or an error if the store is
// unreachable.
func (s *interruptibleStore) enter(ctx context.Context, op string) (context.Context, context.CancelFunc, error) {
	storeCtx, up := s.connections.storeContext()
	if !up || s.connections.closed.Load() {
		return nil, nil, eris.Wrap(&store.UnavailableError{Op: op, Cause: errDown}, "cut")
	}
	ctx, done := withCancelOn(ctx, storeCtx)
	return ctx, done, nil
}

func (s *interruptibleStore) Get(ctx context.Context, key string) (store.Entry, error) {
	ctx, done, err := s.enter(ctx, "read")
	if err != nil {
		return store.Entry{}, err
	}
	defer done()
	return s.next.Get(ctx, key)
}

func (s *interruptibleStore) GetNewer(ctx context.Context, key string, known store.Revision) (store.Entry, bool, error) {
	ctx, done, err := s.enter(ctx, "read")
	if err != nil {
		return store.Entry{}, false, err
	}
	defer done()
	return s.next.GetNewer(ctx, key, known)
}

func (s *interruptibleStore) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	ctx, done, err := s.enter(ctx, "list")
	if err != nil {
		return nil, 0, err
	}
	defer done()
	return s.next.List(ctx, prefix)
}

func (s *interruptibleStore) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	ctx, done, err := s.enter(ctx, "write")
	if err != nil {
		return 0, err
	}
	defer done()
	return s.next.CompareAndSwap(ctx, key, expect, value, lease)
}

func (s *interruptibleStore) Delete(ctx context.Context, key string, expect store.Revision) error {
	ctx, done, err := s.enter(ctx, "delete")
	if err != nil {
		return err
	}
	defer done()
	return s.next.Delete(ctx, key, expect)
}

func (s *interruptibleStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	ctx, done, err := s.enter(ctx, "grant")
	if err != nil {
		return 0, err
	}
	defer done()
	return s.next.Grant(ctx, ttl)
}

func (s *interruptibleStore) Renew(ctx context.Context, lease store.LeaseID) error {
	ctx, done, err := s.enter(ctx, "renew")
	if err != nil {
		return err
	}
	defer done()
	return s.next.Renew(ctx, lease)
}

func (s *interruptibleStore) Revoke(ctx context.Context, lease store.LeaseID) error {
	ctx, done, err := s.enter(ctx, "revoke")
	if err != nil {
		return err
	}
	defer done()
	return s.next.Revoke(ctx, lease)
}

func (s *interruptibleStore) Watch(ctx context.Context, prefix string, after store.Revision) (<-chan store.Event, error) {
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

type interruptibleWorkers struct {
	connections *Connections
	next        inventory.WorkerControl
}

// callWorker makes one call unless the connections are closed.
func callWorker[Req any](ctx context.Context, c *Connections, op string, call func(context.Context, string, Req) (inventory.WorkerReport, error), address string, req Req) (inventory.WorkerReport, error) {
	if c.closed.Load() {
		return inventory.WorkerReport{}, eris.Wrap(&inventory.UnknownOutcomeError{Op: op, Cause: errDown}, "cut")
	}
	ctx, done := withCancelOn(ctx, c.ctx)
	defer done()
	return call(ctx, address, req)
}

func (w *interruptibleWorkers) Start(ctx context.Context, address string, req inventory.StartRequest) (inventory.WorkerReport, error) {
	return callWorker(ctx, w.connections, "start", w.next.Start, address, req)
}

func (w *interruptibleWorkers) Renew(ctx context.Context, address string, req inventory.RenewRequest) (inventory.WorkerReport, error) {
	return callWorker(ctx, w.connections, "renew", w.next.Renew, address, req)
}

func (w *interruptibleWorkers) Stop(ctx context.Context, address string, req inventory.StopRequest) (inventory.WorkerReport, error) {
	return callWorker(ctx, w.connections, "stop", w.next.Stop, address, req)
}

func (w *interruptibleWorkers) Throttle(ctx context.Context, address string, req inventory.ThrottleRequest) (inventory.WorkerReport, error) {
	return callWorker(ctx, w.connections, "throttle", w.next.Throttle, address, req)
}
