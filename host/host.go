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

// Options override dependencies of a Host, for tests and embedding. A nil
// Store, Hosts or Workers means an HTTP client, for Store and Hosts of the
// configured address. A nil Logger discards all events.
type Options struct {
	Store   store.Store
	Hosts   inventory.HostLister
	Workers inventory.WorkerControl
	Logger  log.Logger
	Timing  shard.Timing
	Margins dedupe.Margins // for the deduplication of request IDs
}

// Host is one entry host. New opens its listeners, so that its addresses are
// known before Serve.
type Host struct {
	cfg    *config.Host
	opts   Options
	logger log.Logger
	self   member.Host

	listeners listeners
	peerTLS   *tls.Config // for connections to other hosts; nil for plain TCP
	draining  atomic.Bool
	// peerLoadKnown is set once canForward has returned true.
	peerLoadKnown atomic.Bool
	abort         chan struct{} // closed by Abort
	abortOnce     sync.Once

	meteredStore *store.Metered
	// journalWrites is the write budget that all journals of this host share.
	journalWrites *rate.Limiter
	tracker       *settings.Tracker
	editor        *settings.Editor
	poller        *inventory.Poller
	peerServer    *peer.Server
	peerClient    *peer.Client
	registry      *member.Registry
	manager       *shard.Manager
	gateway       *gateway.Gateway
	batch         *batch

	apiCalls        *expvar.Map // API responses by code
	callersServer   *http.Server
	operatorsServer *http.Server
	clients         *clientGuards
}

// New opens the listeners of cfg and connects the components of the host. The
// caller must call Serve or Close. Errors are *ListenError and those of packages
// config and auth.
func New(cfg *config.Host, opts Options) (*Host, error) {
	h := &Host{cfg: cfg, opts: opts, logger: opts.Logger, abort: make(chan struct{}), apiCalls: new(expvar.Map).Init()}
	if h.logger == nil {
		h.logger = log.NewNopLogger()
	}
	h.logger = log.With(h.logger, "host", cfg.ID)
	tokens, err := auth.NewTokens(cfg.Tokens)
	if err != nil {
		return nil, err
	}
	limits, err := cfg.ClientLimits(descriptorLimit())
	if err != nil {
		return nil, err
	}
	h.clients = h.newClientGuards(limits)
	if h.listeners, err = listen(cfg); err != nil {
		return nil, err
	}
	h.listeners.callers = h.clients.callers.Listen(h.listeners.callers)
	h.listeners.operators = h.clients.operators.Listen(h.listeners.operators)
	if err := h.listeners.enableTLS(cfg.TLS); err != nil {
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

// identity returns the record by which other hosts know this process.
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
	h.registry.SetSummarySource(h.summary)
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
	h.meteredStore = store.NewMetered(backing, storeBudget.Share(minHosts))
	h.poller = inventory.NewPoller(hosts, 0, h.logger)
	h.tracker = settings.NewTracker(h.meteredStore, settings.TrackerOptions{Logger: h.logger})
	h.editor = settings.NewEditor(h.meteredStore, time.Now)
	h.editor.OnApplied(func(value []byte, revision store.Revision) {
		if err := h.tracker.Offer(value, revision); err != nil {
			h.log("event", "settings_offer_failed", "err", err)
		}
	})
	return nil
}

func (h *Host) wirePeers() error {
	serverTLS, err := h.cfg.TLS.PeerServerConfig()
	if err != nil {
		return err
	}
	clientTLS, err := h.cfg.TLS.PeerClientConfig()
	if err != nil {
		return err
	}
	h.peerTLS = clientTLS
	h.peerServer = peer.NewServer(h.self.ID, peer.ServerOptions{TLS: serverTLS}, h.logger)
	h.peerClient = peer.NewClient(h.self.ID, h.peerAddress, peer.ClientOptions{TLS: clientTLS, Logger: h.logger})
	h.registry = member.NewRegistry(member.Deps{
		Self:     h.self,
		Store:    h.meteredStore,
		Peers:    h.peerClient,
		Registry: h.peerServer,
		Logger:   h.logger,
	})
	registerSettingsFetch(h.peerServer, h.tracker)
	return nil
}

// peerAddress returns the peer address of a host. This host's own address is
// known even without its record in the store.
func (h *Host) peerAddress(id fleet.HostID) (string, bool) {
	if id == h.self.ID {
		return h.self.PeerAddress, true
	}
	return h.registry.PeerAddress(id)
}

func (h *Host) wireShards() {
	// The runners depend on the manager's rights and directory, so the map is
	// filled after the manager is created and before it serves.
	runners := make(map[shard.Kind]shard.Runner)
	h.manager = shard.NewManager(shard.Deps{
		Self:               h.self,
		Store:              h.meteredStore,
		Members:            h.registry,
		StoreSteadySince:   h.registry.StoreSteadySince,
		Shards:             h.regionShards,
		Runners:            runners,
		Inventory:          h.poller,
		Draining:           h.draining.Load,
		MaxRequestDuration: h.maxRequestDuration,
		Timing:             h.opts.Timing,
		Logger:             h.logger,
	})
	h.gateway = gateway.New(gateway.Deps{
		Self:        h.self,
		Inventory:   h.poller,
		Settings:    h.tracker,
		Rights:      h.manager,
		Shards:      h.manager,
		FormerOwner: h.manager.PreviousOwner,
		Members:     h.registry,
		Peers:       h.peerClient,
		Registry:    h.peerServer,
		PeerTLS:     h.peerTLS,
		Margins:     h.opts.Margins,
		Logger:      h.logger,
	})
	h.batch = h.wireBatch()
	runners[shard.KindFront] = h.gateway
	runners[shard.KindCell] = h.batch.cells
	runners[shard.KindQueue] = h.batch.queues
}

// HTTPAddress returns the host:port at which callers and job callers reach this
// host.
func (h *Host) HTTPAddress() string { return h.self.HTTPAddress }

// OperatorsAddress returns the host:port at which operators reach this host.
func (h *Host) OperatorsAddress() string { return h.listeners.operators.Addr().String() }

// Self returns the record by which other hosts know this process.
func (h *Host) Self() member.Host { return h.self }

// SettingsRevision returns the revision of the settings in force on this host,
// or 0 if there are none yet.
func (h *Host) SettingsRevision() store.Revision { return h.tracker.Current().Revision() }

// Close closes the listeners of a host on which Serve was not called.
func (h *Host) Close() { h.listeners.close() }

func (h *Host) log(keyvals ...any) {
	_ = h.logger.Log(keyvals...) // a failure to log can't be reported
}

// ListenError reports that the host can't listen on an address.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string {
	return "host: can't listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// listeners holds the listening sockets of a host.
type listeners struct {
	callers, peers, operators net.Listener
}

func listen(cfg *config.Host) (listeners, error) {
	var l listeners
	for _, spec := range []struct {
		address string
		target  *net.Listener
	}{
		{cfg.HTTPAddress, &l.callers},
		{cfg.PeerAddress, &l.peers},
		{cfg.OperatorsAddress, &l.operators},
	} {
		ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", spec.address)
		if err != nil {
			l.close()
			return listeners{}, eris.Wrap(&ListenError{Address: spec.address, Cause: err}, string(cfg.ID))
		}
		*spec.target = ln
	}
	return l, nil
}

// enableTLS wraps the listeners for callers and operators in TLS, if it is
// configured. The peer server adds TLS to its own listener.
func (l *listeners) enableTLS(t config.TLS) error {
	c, err := t.ServerConfig()
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
		Calls:   h.apiCalls,
		Logger:  h.logger,
	})
	h.callersServer = api.NewServer(callersRouter(tokens, h.gateway, handler))
	h.operatorsServer = api.NewServer(operatorsRouter(tokens, h.vars(), handler))
	h.clients.protect(h.callersServer, h.operatorsServer)
}
