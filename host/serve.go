package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/fuchsiahill/fuchsiahill/member"
)

// handOverTimeout bounds how long a host that has released its fronts stays
// for their new owners.
const handOverTimeout = 3 * time.Second

// Serve runs the host until ctx ends, then shuts it down gracefully within
// the configured bound: no new work, answers for every request in progress,
// shards released, and only then the parts that this needs. It returns a
// *member.SupersededError if a later process runs under this host's ID.
func (h *Host) Serve(ctx context.Context) error {
	defer h.listeners.close()
	baseCtx, stopBase := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBase()
	workCtx, stopWork := context.WithCancel(baseCtx)
	defer stopWork()
	base := h.supervise("base", h.baseServices()).ServeBackground(baseCtx)
	work := h.supervise("work", h.workServices()).ServeBackground(workCtx)
	h.log("event", "started", "http", h.self.HTTPAddress, "peers", h.self.PeerAddress, "operators", h.OperatorsAddress())

	baseEnded := make(chan struct{})
	var baseErr error
	go func() {
		defer close(baseEnded)
		baseErr = <-base
	}()
	select {
	case <-ctx.Done():
		h.drain()
	case <-baseEnded:
	case <-h.abort:
		_ = h.callers.Close() // the host ends anyway
		stopBase()
	}
	// Shards are released while store, peers and membership still work.
	stopWork()
	workErr := <-work
	if ctx.Err() != nil {
		h.awaitHandOver(baseEnded)
	}
	stopBase()
	<-baseEnded
	h.log("event", "stopped", "work", workErr, "base", baseErr)
	var superseded *member.SupersededError
	if errors.As(baseErr, &superseded) {
		return superseded
	}
	return nil
}

// Abort makes Serve return at once, without a drain. What the host holds in
// the store stays there as after a crash if the store is out of reach.
func (h *Host) Abort() { h.abortOnce.Do(func() { close(h.abort) }) }

// drain takes no new requests and waits for those in progress.
func (h *Host) drain() {
	h.draining.Store(true)
	h.log("event", "draining", "bound_ms", h.cfg.DrainTimeout().Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.DrainTimeout())
	defer cancel()
	// Peers that know claim this host's shards as soon as they are released.
	var announced sync.WaitGroup
	announced.Go(func() { h.registry.Announce(ctx) })
	defer announced.Wait()
	if err := h.gateway.Drain(ctx); err != nil {
		h.log("event", "drain_incomplete", "err", err)
	}
	if err := h.callers.Shutdown(ctx); err != nil {
		h.log("event", "shutdown_incomplete", "err", err)
	}
}

// awaitHandOver gives the new owners of this host's fronts time to collect
// its memory of request IDs.
func (h *Host) awaitHandOver(baseEnded <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-baseEnded:
		case <-h.abort:
		case <-ctx.Done():
		}
	}()
	h.gateway.AwaitHandover(ctx)
}

// baseServices keep the host in touch with store, platform and peers.
func (h *Host) baseServices() []suture.Service {
	return []suture.Service{
		named("host list", h.poller.Serve),
		named("settings", h.tracker.Serve),
		named("settings relay", newRelay(h).Serve),
		named("store budget", h.shareBudget),
		named("members", func(ctx context.Context) error { return superseded(h.registry.Serve(ctx)) }),
		named("peers", func(ctx context.Context) error { return h.peers.ServeListener(ctx, h.listeners.peers) }),
		named("operators", func(ctx context.Context) error { return serveListener(ctx, h.operators, h.listeners.operators) }),
	}
}

// workServices do the host's work.
func (h *Host) workServices() []suture.Service {
	return []suture.Service{
		named("shards", h.manager.Serve),
		named("gateway", h.gateway.Serve),
		named("callers", func(ctx context.Context) error { return serveListener(ctx, h.callers, h.listeners.callers) }),
	}
}

// superseded ends the whole host when a later process runs under its ID.
func superseded(err error) error {
	var s *member.SupersededError
	if errors.As(err, &s) {
		return errors.Join(s, suture.ErrTerminateSupervisorTree)
	}
	return err
}

func (h *Host) supervise(name string, services []suture.Service) *suture.Supervisor {
	s := suture.New(name, suture.Spec{
		EventHook: func(ev suture.Event) { h.log("event", "supervisor", "what", ev.String()) },
		Timeout:   h.cfg.DrainTimeout(),
	})
	for _, service := range services {
		s.Add(service)
	}
	return s
}

// serveListener serves until ctx ends.
func serveListener(ctx context.Context, server *http.Server, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
		return suture.ErrDoNotRestart
	}
	return err
}

// service is a suture service with a name for the log.
type service struct {
	name  string
	serve func(context.Context) error
}

func named(name string, serve func(context.Context) error) suture.Service {
	return &service{name: name, serve: serve}
}

// Serve implements suture.Service.
func (s *service) Serve(ctx context.Context) error { return s.serve(ctx) }

// String names the service in events.
func (s *service) String() string { return s.name }
