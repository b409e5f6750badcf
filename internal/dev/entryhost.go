package dev

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/config"
	"github.com/fuchsiahill/fuchsiahill/dedupe"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/host"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/job"
)

// entryHost is an entry host of a run with the handles to stop it.
type entryHost struct {
	cfg    *config.Host
	host   *host.Host
	cut    *standin.Connections
	cancel context.CancelFunc
	done   chan struct{}
}

// hostSet holds the running entry hosts of a run. Safe for concurrent use.
type hostSet struct {
	site   *standin.Site
	logger log.Logger

	mu      sync.Mutex
	running []*entryHost
	created int
}

// margins are short because all hosts of a run share one clock and its fronts
// never change: request IDs are verifiable from the start of the run.
var margins = dedupe.Margins{
	MaxFuture:   100 * time.Millisecond,
	StartMargin: 200 * time.Millisecond,
	Propagation: 500 * time.Millisecond,
}

const (
	// hostMemoryMB and hostDescriptors are the parts of the process of each of its hosts.
	hostMemoryMB    = 64
	hostDescriptors = 320
)

func newConfig(site *standin.Site, id fleet.HostID, dc fleet.DataCentre) *config.Host {
	cfg := config.Default()
	cfg.ID = id
	cfg.DataCentre = dc
	cfg.HTTPAddress = "127.0.0.1:0"
	cfg.PeerAddress = "127.0.0.1:0"
	cfg.OperatorsAddress = "127.0.0.1:0"
	cfg.MemoryMB = hostMemoryMB
	cfg.Descriptors = hostDescriptors
	cfg.StoreURL = site.StoreURL
	cfg.HostListURL = site.HostsURL
	return cfg
}

// start runs a host under a new ID, in the data centres in turn.
func (e *hostSet) start() error {
	id, n := e.newID()
	return e.startIn(id, dataCentres[(n-1)%len(dataCentres)], region)
}

func (e *hostSet) newID() (id fleet.HostID, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.created++
	return fleet.HostID(fmt.Sprintf("entry-%d", e.created)), e.created
}

// startIn runs a host in a data centre of a region.
func (e *hostSet) startIn(id fleet.HostID, dc fleet.DataCentre, hostRegion fleet.Region) error {
	cut := standin.NewConnections()
	cfg := newConfig(e.site, id, dc)
	cfg.Region = hostRegion
	h, err := host.New(cfg, host.Options{
		Store:   cut.Store(cfg.StoreURL),
		Workers: cut.Workers(),
		Logger:  e.logger,
		Margins: margins,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &entryHost{cfg: cfg, host: h, cut: cut, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(started.done)
		_ = h.Serve(ctx) // the verdict does not depend on the host's own error
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = append(e.running, started)
	return nil
}

// kill stops a host as a crash does: its connections to the store and to workers
// and its listeners are cut at once, and nothing is released.
func (e *hostSet) kill(victim *entryHost) {
	e.remove(victim)
	victim.cut.Close()
	victim.host.Abort()
}

func (e *hostSet) remove(victim *entryHost) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.running {
		if other == victim {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			return
		}
	}
}

// stop shuts every host down gracefully.
func (e *hostSet) stop() {
	e.mu.Lock()
	hosts := append([]*entryHost(nil), e.running...)
	e.mu.Unlock()
	for _, h := range hosts {
		h.cancel()
	}
	for _, h := range hosts {
		<-h.done
	}
}

func (e *hostSet) list() []*entryHost {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*entryHost(nil), e.running...)
}

// find returns a running host, or nil.
func (e *hostSet) find(id fleet.HostID) *entryHost {
	for _, h := range e.list() {
		if h.cfg.ID == id {
			return h
		}
	}
	return nil
}

// addresses is the addressSource of callers: all running hosts.
func (e *hostSet) addresses() []string {
	var addresses []string
	for _, h := range e.list() {
		addresses = append(addresses, h.host.HTTPAddress())
	}
	return addresses
}

// client returns a client for the operators' API of the first running host.
func (e *hostSet) client() *api.Client {
	return api.NewClient("http://"+e.list()[0].host.OperatorsAddress(), "")
}

func (e *hostSet) jobs() job.Service { return e.client() }
