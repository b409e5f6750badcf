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

// handoverTimeout bounds how long a host that has released its fronts keeps
// running so that the new owners can read its request IDs.
const handoverTimeout = 3 * time.Second

// Serve runs the host until ctx ends, then shuts it down gracefully: it accepts
// no new work, waits up to the drain timeout for requests in progress, releases
// the shards and then stops the services that the release depends on. It returns
// a *member.SupersededError if a later process runs under this host's ID.
func (h *Host) Serve(ctx context.Context) error {
	defer h.listeners.close()
	baseCtx, stopBase := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBase()
	workCtx, stopWork := context.WithCancel(baseCtx)
	defer stopWork()
	base := h.newSupervisor("base", h.baseServices()).ServeBackground(baseCtx)
	work := h.newSupervisor("work", h.workServices()).ServeBackground(workCtx)
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
		_ = h.callersServer.Close() // the host stops anyway
		stopBase()
	}
	// Release the shards while the store, peers and membership still work.
	stopWork()
	workErr := <-work
	if ctx.Err() != nil {
		h.awaitHandover(baseEnded)
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

// Abort makes Serve return without draining. If the store is unreachable, the
// records that the host holds there remain, as after a crash.
func (h *Host) Abort() { h.abortOnce.Do(func() { close(h.abort) }) }

// drain rejects new requests and waits for those in progress, at most for the
// drain timeout.
func (h *Host) drain() {
	h.draining.Store(true)
	h.log("event", "draining", "bound_ms", h.cfg.DrainTimeout().Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.DrainTimeout())
	defer cancel()
	// Peers that know of the shutdown claim this host's shards as soon as they
	// are released.
	var announced sync.WaitGroup
	announced.Go(func() { h.registry.Announce(ctx) })
	defer announced.Wait()
	if err := h.gateway.Drain(ctx); err != nil {
		h.log("event", "drain_incomplete", "err", err)
	}
	if err := h.callersServer.Shutdown(ctx); err != nil {
		h.log("event", "shutdown_incomplete", "err", err)
	}
}

// awaitHandover waits until the new owners of this host's fronts have fetched
// its history of request IDs, at most for handoverTimeout.
func (h *Host) awaitHandover(baseEnded <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
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

// baseServices returns the services that connect the host to the store, the
// platform, its peers and its operators.
func (h *Host) baseServices() []suture.Service {
	return []suture.Service{
		newService("host list", h.poller.Serve),
		newService("settings", h.tracker.Serve),
		newService("settings fetcher", newSettingsFetcher(h).Serve),
		newService("store budget", h.maintainBudget),
		newService("members", func(ctx context.Context) error { return superseded(h.registry.Serve(ctx)) }),
		newService("peers", func(ctx context.Context) error { return h.peerServer.ServeListener(ctx, h.listeners.peers) }),
		newService("operators", func(ctx context.Context) error { return serveListener(ctx, h.operatorsServer, h.listeners.operators) }),
	}
}

// workServices returns the services that run shards and serve requests.
func (h *Host) workServices() []suture.Service {
	return []suture.Service{
		newService("shards", h.manager.Serve),
		newService("gateway", h.gateway.Serve),
		newService("callers", func(ctx context.Context) error { return serveListener(ctx, h.callersServer, h.listeners.callers) }),
	}
}

// superseded turns a *member.SupersededError into an error that stops the whole
// supervisor tree.
func superseded(err error) error {
	var s *member.SupersededError
	if errors.As(err, &s) {
		return errors.Join(s, suture.ErrTerminateSupervisorTree)
	}
	return err
}

func (h *Host) newSupervisor(name string, services []suture.Service) *suture.Supervisor {
	s := suture.New(name, suture.Spec{
		EventHook: func(ev suture.Event) { h.log("event", "supervisor", "what", ev.String()) },
		Timeout:   h.cfg.DrainTimeout(),
	})
	for _, service := range services {
		s.Add(service)
	}
	return s
}

// serveListener serves HTTP on ln until ctx ends.
func serveListener(ctx context.Context, server *http.Server, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
		return suture.ErrDoNotRestart
	}
	return err
}

// service is a suture.Service with a name for log events.
type service struct {
	name  string
	serve func(context.Context) error
}

func newService(name string, serve func(context.Context) error) suture.Service {
	return &service{name: name, serve: serve}
}

// Serve implements suture.Service.
func (s *service) Serve(ctx context.Context) error { return s.serve(ctx) }

// String returns the name of the service, which suture puts into its events.
func (s *service) String() string { return s.name }
