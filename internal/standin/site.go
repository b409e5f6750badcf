package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

const readHeaderTimeout = 10 * time.Second

// SiteConfig configures a small site of stand-ins.
type SiteConfig struct {
	Organisation   fleet.Organisation
	Service        fleet.Service
	DataCentres    []fleet.DataCentre
	WorkersPerDC   int
	WorkersPerRack int
	ServersPerDC   int // on the first workers of the data centre
	Capacity       fleet.Resources
	Reserved       fleet.Resources // by each server
	Slots          int
	Connections    int
	ServiceTime    time.Duration                    // mean time of a request, exponential
	TaskTime       time.Duration                    // run time of an unthrottled task
	ClassTimes     map[fleet.JobClass]time.Duration // by job class, overriding TaskTime
	HostListLag    time.Duration
	StoreAddress   string // "" picks a port on loopback
	HostsAddress   string
	Seed           uint64
}

// Site is a stand-in platform with workers and backend servers on loopback, each
// with its own listener.
type Site struct {
	Store    *Store
	HostList *HostList
	Records  *Records
	Workers  []*Worker
	Backends []*Backend
	Traffic  *Traffic // of the store, the host list and the workers

	StoreURL string
	HostsURL string

	mu      sync.Mutex
	rng     *rand.Rand
	servers []*http.Server
}

// StartSite starts every stand-in. Close stops them. It returns an error if a
// stand-in can't listen.
func StartSite(cfg SiteConfig) (*Site, error) {
	s := &Site{
		Store:    NewStore(),
		HostList: NewHostList(cfg.HostListLag),
		Records:  NewRecords(),
		Traffic:  NewTraffic(),
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	if err := s.start(cfg); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(cfg SiteConfig) error {
	storeAddress, err := s.listen(cfg.StoreAddress, NewStoreServer(s.Store))
	if err != nil {
		return err
	}
	hostsAddress, err := s.listen(cfg.HostsAddress, s.HostList)
	if err != nil {
		return err
	}
	s.StoreURL = "http://" + storeAddress
	s.HostsURL = "http://" + hostsAddress
	for _, dc := range cfg.DataCentres {
		if err := s.startDataCentre(cfg, dc); err != nil {
			return err
		}
	}
	s.publish()
	return nil
}

func (s *Site) startDataCentre(cfg SiteConfig, dc fleet.DataCentre) error {
	for i := range cfg.WorkersPerDC {
		id := fleet.WorkerID(fmt.Sprintf("%s-w%d", dc, i+1))
		var reserved fleet.Resources
		if i < cfg.ServersPerDC {
			reserved = cfg.Reserved
			if err := s.startBackend(cfg, dc, id, i); err != nil {
				return err
			}
		}
		if err := s.startWorker(cfg, dc, id, i, reserved); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startWorker(cfg SiteConfig, dc fleet.DataCentre, id fleet.WorkerID, i int, reserved fleet.Resources) error {
	info := inventory.Worker{
		ID:         id,
		DataCentre: dc,
		Rack:       fleet.Rack(fmt.Sprintf("%s-r%d", dc, i/max(1, cfg.WorkersPerRack)+1)),
		Capacity:   cfg.Capacity,
		State:      inventory.StateLive,
	}
	runTime := func(req inventory.StartRequest) time.Duration {
		if classTime, ok := cfg.ClassTimes[req.Class]; ok {
			return classTime
		}
		return cfg.TaskTime
	}
	ln, err := listenTCP("")
	if err != nil {
		return err
	}
	info.Address = ln.Addr().String()
	w := NewWorker(info, reserved, runTime, s.Records)
	s.Workers = append(s.Workers, w)
	s.serve(ln, w)
	return nil
}

func (s *Site) startBackend(cfg SiteConfig, dc fleet.DataCentre, worker fleet.WorkerID, i int) error {
	b, err := StartBackend(inventory.Server{
		ID:           fleet.ServerID(fmt.Sprintf("%s-%s-%d", cfg.Service, dc, i+1)),
		Service:      cfg.Service,
		Organisation: cfg.Organisation,
		DataCentre:   dc,
		Worker:       worker,
		Address:      "127.0.0.1:0",
		Slots:        cfg.Slots,
		Connections:  cfg.Connections,
		Reserved:     cfg.Reserved,
		State:        inventory.StateLive,
	}, func() time.Duration { return s.exponential(cfg.ServiceTime) })
	if err != nil {
		return err
	}
	s.Backends = append(s.Backends, b)
	return nil
}

func (s *Site) exponential(mean time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

func (s *Site) publish() {
	s.HostList.Update(func(l *inventory.HostList) {
		for _, w := range s.Workers {
			l.Workers = append(l.Workers, w.Info())
		}
		for _, b := range s.Backends {
			l.Servers = append(l.Servers, b.Info())
		}
	})
}

// listen serves h on address and returns the address in use.
func (s *Site) listen(address string, h http.Handler) (string, error) {
	ln, err := listenTCP(address)
	if err != nil {
		return "", err
	}
	s.serve(ln, h)
	return ln.Addr().String(), nil
}

func listenTCP(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	return new(net.ListenConfig).Listen(context.Background(), "tcp", address)
}

func (s *Site) serve(ln net.Listener, h http.Handler) {
	server := &http.Server{Handler: s.Traffic.Handler(h), ConnContext: connContext, ReadHeaderTimeout: readHeaderTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(countingListener{ln}) }() // returns after Close
}

// Close stops every stand-in.
func (s *Site) Close() {
	for _, b := range s.Backends {
		_ = b.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
