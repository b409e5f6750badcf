// Package node runs fuchsiahill on a host of the users' platform. It supervises
// the intake, the owner of dispatching and the mirrors of the store that both
// need.
package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"github.com/fuchsiahill/fuchsiahill/configsync"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/oplog"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/mirror"
	"github.com/fuchsiahill/fuchsiahill/owner"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/relay"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workspace"
)

const (
	// gcPercent and memoryLimitShare trade memory for processor time. Both are
	// billed, but processor time is scarcer on a host of 0.16 cores.
	gcPercent        = 200
	memoryLimitShare = 0.7
	// memoryShare is the share of the memory that the process may take. It includes programBytes
	// that the collector does not count: the program itself and the buffers of its libraries.
	memoryShare  = 0.85
	programBytes = 20 << 20
	// drainReserve is the end of the grace period that is reserved for the last
	// responses. Failures in the last sixth of the grace period are not counted.
	drainReserve = 1500 * time.Millisecond
	// maxReadyViewAge is the maximum age of a ready host's view of the store.
	maxReadyViewAge = 2500 * time.Millisecond
	// operatorBatchDelay and sharedBatchDelay are how long changes of the
	// operators' keys and of jobs' states are batched: a fortieth of the 2 s
	// within which a configuration must be in force, and less than half of the
	// shortest objective, 250 ms.
	operatorBatchDelay = 50 * time.Millisecond
	sharedBatchDelay   = 100 * time.Millisecond
	// headerTimeout and idleTimeout are the timeouts of HTTP connections.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// peerDialTimeout and peerIdleTimeout apply to connections between hosts,
	// which are used while the store refuses a host's calls. A network path
	// takes a few ms; such a period lasts seconds.
	peerDialTimeout = 300 * time.Millisecond
	peerIdleTimeout = 5 * time.Second
)

// Node is the fuchsiahill process on a host.
type Node struct {
	settings *platform.Settings
	logger   *oplog.Logger
	metrics  *owner.Metrics
	shared   *mirror.Mirror
	operator *mirror.Mirror
	intake   *intake.Intake
	owner    *owner.Owner
	peers    *peer.Server // nil: no peer address is configured
	relay    *relay.Relay
	seeds    *seeds
	labels   workspace.Labels // of workspaces in metrics
	follower *configsync.Follower
	config   atomic.Pointer[activeConfig]
	configMu sync.Mutex // held while a configuration is brought into force
	load     atomic.Pointer[intake.Load]
	clients  *clientGuard
	draining atomic.Bool
}

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string {
	return "node: can't listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// New returns a node with the given settings that logs to out. It does nothing
// until Serve runs.
func New(s *platform.Settings, out io.Writer) *Node {
	n := &Node{settings: s, logger: oplog.New(out, "host", s.Host), metrics: owner.NewMetrics()}
	client := platform.NewStore(s.StoreAddress)
	n.clients = newClientGuard(s.Clients, n.logger, n.metrics)
	n.operator = mirror.New(client, platform.OperatorPrefix, operatorBatchDelay, n.handleOperatorChange, n.logger.Event)
	n.shared = mirror.New(client, intake.SharedPrefix, sharedBatchDelay, n.handleSharedChange, n.logger.Event)
	n.intake = intake.New(client, n.shared, s.Clients.JobBytes)
	n.owner = owner.New(owner.Deps{Settings: s, Store: client, Shared: n.shared, Operator: n.operator, Log: n.logger.Event, Metrics: n.metrics})
	calls := peer.NewClient(s.Host, n.peerAddress, peer.ClientOptions{DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout, Logger: n.logger})
	n.relay = relay.New(calls, n.relayTarget, n.noteVersion)
	n.seeds = &seeds{Caller: calls, hosts: make(map[string]fleet.HostID)}
	n.follower = configsync.New(n.seeds, n.configHosts, n, n.logger.Event)
	if s.PeerAddress != "" {
		n.peers = peer.NewServer(s.Host, peer.ServerOptions{Address: s.PeerAddress, MaxConnections: maxPeerConnections(s)}, n.logger)
		relay.Register(n.peers, localService{n})
		configsync.Register(n.peers, n)
	}
	return n
}

// Run loads the settings file at path and serves until SIGTERM or SIGINT; it ends
// within the platform's grace period. Errors are *platform.SettingsError and those
// of Serve.
func Run(path, version string) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(collectorLimit(s.MemoryBytes))
	n := New(s, os.Stdout)
	n.logger.Event("start", "version", version, "go", runtime.Version(), "data_centre", s.DataCentre, "cores", s.Cores, "memory_bytes", s.MemoryBytes, "link_mbps", s.LinkMbps, "descriptors", s.Descriptors, "store", s.StoreAddress)
	return n.Serve(path)
}

// collectorLimit returns the memory limit of the collector on a host with a memory in bytes.
func collectorLimit(memoryBytes int64) int64 {
	memory := float64(memoryBytes)
	return int64(max(min(memoryLimitShare*memory, memoryShare*memory-programBytes), memory/2))
}

// Serve runs the supervisor tree and the HTTP servers until SIGTERM or SIGINT.
// SIGHUP reloads the settings at path. It returns *ListenError if an address
// can't be listened on.
func (n *Node) Serve(path string) error {
	callers, err := listen(n.settings.CallersAddress)
	if err != nil {
		return err
	}
	ready, err := listen(n.settings.ReadyAddress)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := n.supervisor().ServeBackground(ctx)
	server := &http.Server{Handler: platform.NewIngress(n), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	n.clients.guard.Protect(server)
	go n.serveHTTP(server, n.clients.guard.Listen(callers))
	admin := &http.Server{Handler: n.adminRouter(), ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout}
	n.clients.admin.Protect(admin)
	go n.serveHTTP(admin, n.clients.admin.Listen(ready))
	if n.settings.MetricsAddress != "" && n.settings.MetricsAddress != n.settings.ReadyAddress {
		control, err := listen(n.settings.MetricsAddress)
		if err != nil {
			return err
		}
		go n.serveHTTP(admin, n.clients.admin.Listen(control))
	}
	n.waitForStop(path)
	n.drain(server)
	cancel()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		n.logger.Event("supervisor_failed", "err", err)
	}
	n.logger.Event("stop")
	n.logger.Flush()
	return nil
}

// supervisor returns the tree of the services that run beside the HTTP servers.
func (n *Node) supervisor() *suture.Supervisor {
	tree := suture.New("node", suture.Spec{EventHook: func(e suture.Event) { n.logger.Event("supervisor", "what", e.String()) }})
	for _, s := range []suture.Service{n.logger, n.operator, n.shared, n.intake, n.owner, n.follower, &memoryService{n}} {
		tree.Add(s)
	}
	if n.peers != nil {
		tree.Add(n.peers)
	}
	return tree
}

func listen(address string) (net.Listener, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, eris.Wrap(&ListenError{Address: address, Cause: err}, "listen")
	}
	return ln, nil
}

func (n *Node) serveHTTP(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.logger.Event("listener_failed", "address", ln.Addr(), "err", err)
	}
}

// waitForStop returns on SIGTERM or SIGINT. SIGHUP reloads the settings.
func (n *Node) waitForStop(path string) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for s := range signals {
		if s != syscall.SIGHUP {
			n.logger.Event("stop_requested", "signal", s)
			return
		}
		n.reload(path)
	}
}

// reload reads and checks the settings, and logs them. Changed listen addresses
// and host identity take effect only after a restart.
func (n *Node) reload(path string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		n.logger.Event("reload_failed", "err", err)
		return
	}
	n.logger.Event("reload", "cores", s.Cores, "memory_bytes", s.MemoryBytes)
}

// drain gives up ownership, reports not ready to the load balancer, and serves
// remaining requests until only drainReserve is left of the grace period.
func (n *Node) drain(server *http.Server) {
	n.draining.Store(true)
	n.owner.Drain()
	until := time.Now().Add(n.settings.TerminationGrace - drainReserve)
	server.SetKeepAlivesEnabled(false)
	time.Sleep(time.Until(until))
	ctx, cancel := context.WithTimeout(context.Background(), drainReserve/2)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		n.logger.Event("drain_incomplete", "err", err)
	}
}

func (n *Node) adminRouter() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/ready", n.serveReady).Methods(http.MethodGet)
	router.HandleFunc("/metrics", n.serveMetrics).Methods(http.MethodGet)
	return router
}

// serveReady reports to the load balancer whether this host can serve new callers.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := n.notReadyReason(); reason != "" {
		n.logger.Event("not_ready", "reason", reason)
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReadyReason returns why this host can't serve new callers, or "" if it can.
func (n *Node) notReadyReason() string {
	lastSync, loaded := n.shared.LastSync()
	switch {
	case n.draining.Load():
		return "draining"
	case n.config.Load() == nil:
		return "no configuration yet"
	case !loaded:
		return "no state yet"
	case steady.Now()-lastSync > maxReadyViewAge:
		return "no contact with the store"
	}
	return ""
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var text strings.Builder
	n.clients.publish()
	jobs := n.intake.Usage()
	n.metrics.Set("jobs_held", jobs.Jobs)
	n.metrics.Set("jobs_sources", jobs.Sources)
	n.metrics.Set("jobs_bytes", int(jobs.Bytes))
	n.metrics.Set("jobs_bytes_limit", int(jobs.Limit))
	n.metrics.Each(func(name, value string) { fmt.Fprintf(&text, "fuchsiahill_%s %s\n", name, value) })
	_, _ = io.WriteString(w, text.String()) // a failed write means that the scraper has disconnected
}

// handleOperatorChange applies a change of an operators' key.
func (n *Node) handleOperatorChange(e store.Event) {
	switch {
	case e.Key == platform.ConfigKey && !e.Deleted:
		n.readConfig(e)
	default:
		if dc, ok := platform.DataCentreFromEvacuationKey(e.Key); ok {
			n.logger.Event("data_centre_out", "data_centre", dc, "out", !e.Deleted, "revision", e.Revision)
			n.owner.UpdateDataCentresOut()
		}
	}
}

// handleSharedChange stores a published load, and passes other changes to the
// owner.
func (n *Node) handleSharedChange(e store.Event) {
	if e.Key == intake.LoadKey {
		var load intake.Load
		if err := json.Unmarshal(e.Value, &load); err != nil {
			n.logger.Event("load_unreadable", "revision", e.Revision, "err", err)
			return
		}
		n.load.Store(&load)
		n.intake.SetOwnerFull(load.Full)
		return
	}
	n.intake.HandleSharedChange(e)
	n.owner.HandleSharedChange(e)
}
