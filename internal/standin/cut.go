package standin

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// Cut is one process's connections to the platform, which can be cut to end
// the process as far as the platform can see.
type Cut struct {
	off    atomic.Bool
	ctx    context.Context
	cancel context.CancelFunc
}

// NewCut returns connections that work.
func NewCut() *Cut {
	ctx, cancel := context.WithCancel(context.Background())
	return &Cut{ctx: ctx, cancel: cancel}
}

// Off cuts the connections for good. Calls under way end without an answer.
func (c *Cut) Off() {
	c.off.Store(true)
	c.cancel()
}

// join returns ctx ended by the cut.
func (c *Cut) join(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Store returns a client of the store at base over these connections.
func (c *Cut) Store(base string) store.Store {
	return &cutStore{cut: c, next: store.NewHTTP(base, 0)}
}

// Workers returns a client of workers over these connections.
func (c *Cut) Workers() platform.WorkerControl {
	return &cutWorkers{cut: c, next: platform.NewHTTPWorkers(platform.HTTPWorkersOptions{})}
}

type cutStore struct {
	cut  *Cut
	next store.Store
}

func (s *cutStore) gone(op string) error {
	if s.cut.off.Load() {
		return eris.Wrap(&store.UnavailableError{Op: op, Cause: errDown}, "cut")
	}
	return nil
}

func (s *cutStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.gone("read"); err != nil {
		return store.Entry{}, err
	}
	ctx, done := s.cut.join(ctx)
	defer done()
	return s.next.Get(ctx, key)
}

func (s *cutStore) GetNewer(ctx context.Context, key string, known store.Revision) (store.Entry, bool, error) {
	if err := s.gone("read"); err != nil {
		return store.Entry{}, false, err
	}
	ctx, done := s.cut.join(ctx)
	defer done()
	return s.next.GetNewer(ctx, key, known)
}

func (s *cutStore) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	if err := s.gone("list"); err != nil {
		return nil, 0, err
	}
	ctx, done := s.cut.join(ctx)
	defer done()
	return s.next.List(ctx, prefix)
}

func (s *cutStore) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if err := s.gone("write"); err != nil {
		return 0, err
	}
	ctx, done := s.cut.join(ctx)
	defer done()
	return s.next.CompareAndSwap(ctx, key, expect, value, lease)
}

func (s *cutStore) Delete(ctx context.Context, key string, expect store.Revision) error {
	if err := s.gone("delete"); err != nil {
		return err
	}
	ctx, done := s.cut.join(ctx)
	defer done()
	return s.next.Delete(ctx, key, expect)
}

func (s *cutStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.gone("grant"); err != nil {
		return 0, err
	}
	ctx, done := s.cut.join(ctx)
	defer done()
	return s.next.Grant(ctx, ttl)
}

func (s *cutStore) Renew(ctx context.Context, lease store.LeaseID) error {
	if err := s.gone("renew"); err != nil {
		return err
	}
	ctx, done := s.cut.join(ctx)
	defer done()
	return s.next.Renew(ctx, lease)
}

func (s *cutStore) Revoke(ctx context.Context, lease store.LeaseID) error {
	if err := s.gone("revoke"); err != nil {
		return err
	}
	ctx, done := s.cut.join(ctx)
	defer done()
	return s.next.Revoke(ctx, lease)
}

func (s *cutStore) Watch(ctx context.Context, prefix string, after store.Revision) (<-chan store.Event, error) {
	if err := s.gone("watch"); err != nil {
		return nil, err
	}
	ctx, done := s.cut.join(ctx)
	events, err := s.next.Watch(ctx, prefix, after)
	if err != nil {
		done()
		return nil, err
	}
	context.AfterFunc(ctx, done)
	return events, nil
}

type cutWorkers struct {
	cut  *Cut
	next platform.WorkerControl
}

// through makes one call unless the connections are cut.
func through[Req any](ctx context.Context, c *Cut, op string, call func(context.Context, string, Req) (platform.WorkerReport, error), address string, req Req) (platform.WorkerReport, error) {
	if c.off.Load() {
		return platform.WorkerReport{}, eris.Wrap(&platform.WorkerUnknownError{Op: op, Cause: errDown}, "cut")
	}
	ctx, done := c.join(ctx)
	defer done()
	return call(ctx, address, req)
}

func (w *cutWorkers) Start(ctx context.Context, address string, req platform.StartRequest) (platform.WorkerReport, error) {
	return through(ctx, w.cut, "start", w.next.Start, address, req)
}

func (w *cutWorkers) Renew(ctx context.Context, address string, req platform.RenewRequest) (platform.WorkerReport, error) {
	return through(ctx, w.cut, "renew", w.next.Renew, address, req)
}

func (w *cutWorkers) Stop(ctx context.Context, address string, req platform.StopRequest) (platform.WorkerReport, error) {
	return through(ctx, w.cut, "stop", w.next.Stop, address, req)
}

func (w *cutWorkers) Throttle(ctx context.Context, address string, req platform.ThrottleRequest) (platform.WorkerReport, error) {
	return through(ctx, w.cut, "throttle", w.next.Throttle, address, req)
}
