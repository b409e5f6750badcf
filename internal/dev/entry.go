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

// entry is an entry host of a run with what is needed to end it.
type entry struct {
	cfg    *config.Host
	host   *host.Host
	cut    *standin.Connections
	cancel context.CancelFunc
	done   chan struct{}
}

// entries are the entry hosts of a run. Safe for concurrent use.
type entries struct {
	site   *standin.Site
	logger log.Logger

	mu   sync.Mutex
	up   []*entry
	next int
}

// margins are short, since all clocks of a run are one and its fronts never
// change: requests are vouched for from its beginning.
var margins = dedupe.Margins{
	MaxFuture:   100 * time.Millisecond,
	StartMargin: 200 * time.Millisecond,
	Propagation: 500 * time.Millisecond,
}

func newConfig(site *standin.Site, id fleet.HostID, dc fleet.DataCentre) *config.Host {
	cfg := config.Default()
	cfg.ID = id
	cfg.DataCentre = dc
	cfg.HTTPAddress = "127.0.0.1:0"
	cfg.PeerAddress = "127.0.0.1:0"
	cfg.OperatorsAddress = "127.0.0.1:0"
	cfg.StoreURL = site.StoreURL
	cfg.HostListURL = site.HostsURL
	return cfg
}

// start runs a host under a new ID. The n-th is in the n-th data centre,
// round robin.
func (e *entries) start() error {
	id, n := e.newID()
	return e.startIn(id, dataCentres[(n-1)%len(dataCentres)], region)
}

func (e *entries) newID() (id fleet.HostID, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next++
	return fleet.HostID(fmt.Sprintf("entry-%d", e.next)), e.next
}

// startIn runs a host in a data centre.
func (e *entries) startIn(id fleet.HostID, dc fleet.DataCentre, in fleet.Region) error {
	cut := standin.NewConnections()
	cfg := newConfig(e.site, id, dc)
	cfg.Region = in
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
	started := &entry{cfg: cfg, host: h, cut: cut, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(started.done)
		_ = h.Serve(ctx) // the verdict comes from the outside
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up = append(e.up, started)
	return nil
}

// kill ends a host as a crash does: its store, workers and listeners are cut
// at once, and nothing is released.
func (e *entries) kill(victim *entry) {
	e.remove(victim)
	victim.cut.Close()
	victim.host.Abort()
}

func (e *entries) remove(victim *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.up {
		if other == victim {
			e.up = append(e.up[:i:i], e.up[i+1:]...)
			return
		}
	}
}

// stop ends every host gracefully.
func (e *entries) stop() {
	e.mu.Lock()
	up := append([]*entry(nil), e.up...)
	e.mu.Unlock()
	for _, h := range up {
		h.cancel()
	}
	for _, h := range up {
		<-h.done
	}
}

func (e *entries) list() []*entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*entry(nil), e.up...)
}

// find returns a host that is up, or nil.
func (e *entries) find(id fleet.HostID) *entry {
	for _, up := range e.list() {
		if up.cfg.ID == id {
			return up
		}
	}
	return nil
}

// addresses implements the balancer: where callers may send to.
func (e *entries) addresses() []string {
	var addresses []string
	for _, h := range e.list() {
		addresses = append(addresses, h.host.HTTPAddress())
	}
	return addresses
}

// client returns the interface of the first host that is up.
func (e *entries) client() *api.Client {
	return api.NewClient("http://"+e.list()[0].host.OperatorsAddress(), "")
}

func (e *entries) jobs() job.Service { return e.client() }
