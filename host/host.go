// Package host wires the parts of an entry host into a supervisor tree.
package host

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/auth"
	"github.com/fuchsiahill/fuchsiahill/config"
	"github.com/fuchsiahill/fuchsiahill/dedupe"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/gateway"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// Options replace what a Host takes from the platform, for tests and
// embedding. Nil fields mean the HTTP clients of the configured addresses.
type Options struct {
	Store   store.Store
	Hosts   inventory.HostLister
	Workers inventory.WorkerControl
	Logger  log.Logger
	Timing  shard.Timing
	Margins dedupe.Margins // of request IDs
}

// Host is one entry host. Its listeners are open from New on, so that its
// addresses are known before it serves.
type Host struct {
	cfg    *config.Host
	opts   Options
	logger log.Logger
	self   member.Host

	listeners listeners
	peerTLS   *tls.Config // of connections to other hosts; nil for plain TCP
	draining  atomic.Bool
	// peersKnown is set once this host has known the load of another.
	peersKnown atomic.Bool
	abort      chan struct{} // closed by Abort
	abortOnce  sync.Once

	metered *store.Metered
	// journalWrites is the write budget that all journals of this host share.
	journalWrites *rate.Limiter
	tracker       *settings.Tracker
	editor        *settings.Editor
	poller        *inventory.Poller
	peers         *peer.Server
	caller        *peer.Client
	registry      *member.Registry
	manager       *shard.Manager
	gateway       *gateway.Gateway
	batch         *batch

	calls     *expvar.Map // answers of the API by code
	callers   *http.Server
	operators *http.Server
}

// New opens the listeners of cfg and wires the parts. Serve or Close must
// follow. Errors are *ListenError and those of package config and auth.
func New(cfg *config.Host, opts Options) (*Host, error) {
	h := &Host{cfg: cfg, opts: opts, logger: opts.Logger, abort: make(chan struct{}), calls: new(expvar.Map).Init()}
	if h.logger == nil {
		h.logger = log.NewNopLogger()
	}
	h.logger = log.With(h.logger, "host", cfg.ID)
	tokens, err := auth.NewTokens(cfg.Tokens)
	if err != nil {
		return nil, err
	}
	if h.listeners, err = listen(cfg); err != nil {
		return nil, err
	}
	if err := h.listeners.secure(cfg.TLS); err != nil {
		h.listeners.close()
		return nil, err
	}
	h.self = h.identity()
	if err := h.wire(tokens); err != nil {
		h.listeners.close()
		return nil, err
	}
	return h, nil
}

// identity describes this process to the other hosts.
func (h *Host) identity() member.Host {
	return member.Host{
		ID:          h.cfg.ID,
		Incarnation: fleet.Incarnation(time.Now().UnixNano()),
		Region:      h.cfg.Region,
		DataCentre:  h.cfg.DataCentre,
		HTTPAddress: advertised(h.cfg.AdvertiseHTTP, h.listeners.callers),
		PeerAddress: advertised(h.cfg.AdvertisePeer, h.listeners.peers),
	}
}

func advertised(configured string, ln net.Listener) string {
	if configured != "" {
		return configured
	}
	return ln.Addr().String()
}

func (h *Host) wire(tokens *auth.Tokens) error {
	if err := h.wirePlatform(); err != nil {
		return err
	}
	if err := h.wirePeers(); err != nil {
		return err
	}
	h.wireShards()
	h.registry.SetLocal(h.summary)
	h.serveHTTP(tokens)
	return nil
}

func (h *Host) wirePlatform() error {
	backing := h.opts.Store
	if backing == nil {
		backing = store.NewHTTP(h.cfg.StoreURL, 0)
	}
	hosts := h.opts.Hosts
	if hosts == nil {
		hosts = inventory.NewHTTPHostLister(h.cfg.HostListURL)
	}
	h.journalWrites = newJournalWrites()
	h.metered = store.NewMetered(backing, storeBudget.Share(leastHosts))
	h.poller = inventory.NewPoller(hosts, 0, h.logger)
	h.tracker = settings.NewTracker(h.metered, settings.TrackerOptions{Logger: h.logger})
	h.editor = settings.NewEditor(h.metered, time.Now)
	h.editor.OnApplied(func(value []byte, revision store.Revision) {
		if err := h.tracker.Offer(value, revision); err != nil {
			h.log("event", "settings_offer_failed", "err", err)
		}
	})
	return nil
}

func (h *Host) wirePeers() error {
	serverTLS, err := h.cfg.TLS.PeerServer()
	if err != nil {
		return err
	}
	clientTLS, err := h.cfg.TLS.PeerClient()
	if err != nil {
		return err
	}
	h.peerTLS = clientTLS
	h.peers = peer.NewServer(h.self.ID, peer.ServerOptions{TLS: serverTLS}, h.logger)
	h.caller = peer.NewClient(h.self.ID, h.peerAddress, peer.ClientOptions{TLS: clientTLS, Logger: h.logger})
	h.registry = member.NewRegistry(member.Deps{
		Self:   h.self,
		Store:  h.metered,
		Caller: h.caller,
		Peers:  h.peers,
		Logger: h.logger,
	})
	registerRelay(h.peers, h.tracker)
	return nil
}

// peerAddress finds a peer. This host's own address does not depend on its
// record in the store.
func (h *Host) peerAddress(id fleet.HostID) (string, bool) {
	if id == h.self.ID {
		return h.self.PeerAddress, true
	}
	return h.registry.PeerAddress(id)
}

func (h *Host) wireShards() {
	// The runners need the manager's rights and directory, so they are filled
	// in once it exists and before it serves.
	runners := make(map[shard.Kind]shard.Runner)
	h.manager = shard.NewManager(shard.Deps{
		Self:               h.self,
		Store:              h.metered,
		Members:            h.registry,
		StoreSteadySince:   h.registry.StoreSteadySince,
		Shards:             h.shards,
		Runners:            runners,
		Platform:           h.poller,
		Draining:           h.draining.Load,
		MaxRequestDuration: h.longestRequest,
		Timing:             h.opts.Timing,
		Logger:             h.logger,
	})
	h.gateway = gateway.New(gateway.Deps{
		Self:        h.self,
		Platform:    h.poller,
		Settings:    h.tracker,
		Rights:      h.manager,
		Shards:      h.manager,
		FormerOwner: h.manager.PreviousOwner,
		Members:     h.registry,
		Caller:      h.caller,
		Registry:    h.peers,
		PeerTLS:     h.peerTLS,
		Margins:     h.opts.Margins,
		Logger:      h.logger,
	})
	h.batch = h.wireBatch()
	runners[shard.KindFront] = h.gateway
	runners[shard.KindCell] = h.batch.cells
	runners[shard.KindQueue] = h.batch.queues
}

// HTTPAddress is where callers and job callers reach this host, host:port.
func (h *Host) HTTPAddress() string { return h.self.HTTPAddress }

// OperatorsAddress is where operators reach this host, host:port.
func (h *Host) OperatorsAddress() string { return h.listeners.operators.Addr().String() }

// Self describes this process as other hosts see it.
func (h *Host) Self() member.Host { return h.self }

// SettingsRevision is the revision of the settings in force on this host, 0
// before the first.
func (h *Host) SettingsRevision() store.Revision { return h.tracker.Current().Revision() }

// Close releases the listeners of a host that does not serve.
func (h *Host) Close() { h.listeners.close() }

func (h *Host) log(keyvals ...any) {
	_ = h.logger.Log(keyvals...) // a log that can't be written can't be reported either
}

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string {
	return "host: can't listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// listeners are the open sockets of a host.
type listeners struct {
	callers, peers, operators net.Listener
}

func listen(cfg *config.Host) (listeners, error) {
	var l listeners
	for _, want := range []struct {
		address string
		into    *net.Listener
	}{
		{cfg.HTTPAddress, &l.callers},
		{cfg.PeerAddress, &l.peers},
		{cfg.OperatorsAddress, &l.operators},
	} {
		ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", want.address)
		if err != nil {
			l.close()
			return listeners{}, eris.Wrap(&ListenError{Address: want.address, Cause: err}, string(cfg.ID))
		}
		*want.into = ln
	}
	return l, nil
}

// secure puts TLS on the listeners for callers and operators. The one for
// peers does so by itself.
func (l *listeners) secure(t config.TLS) error {
	c, err := t.Server()
	if c == nil || err != nil {
		return err
	}
	l.callers = tls.NewListener(l.callers, c)
	l.operators = tls.NewListener(l.operators, c)
	return nil
}

func (l listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.peers, l.operators} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

func (h *Host) serveHTTP(tokens *auth.Tokens) {
	handler := api.NewHandler(api.Deps{
		Self:    h.self.ID,
		Jobs:    h.batch.jobs,
		Editor:  h.editor,
		View:    h.tracker,
		Members: h.registry,
		Shards:  shardLister{h},
		Health:  health{h},
		Tokens:  tokens,
		Calls:   h.calls,
		Logger:  h.logger,
	})
	h.callers = api.NewServer(callersRouter(tokens, h.gateway, handler))
	h.operators = api.NewServer(operatorsRouter(tokens, h.vars(), handler))
}
