// Package wire is a stand-in for the users' platform that speaks its wire
// protocol: the store, the workers and their registration. It is written from the
// platform's published contract, and checks what its callers and workers observe.
package wire

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/store/storetest"
)

// StoreMode selects the fault that the store stand-in injects.
type StoreMode string

// Store modes.
const (
	StoreHealthy      StoreMode = "well"
	StoreUnavailable  StoreMode = "busy"    // responds 503 and applies nothing
	StoreOverloaded   StoreMode = "limited" // responds 429 and applies nothing
	StoreUnresponsive StoreMode = "silent"  // does not respond and applies nothing
	StoreSlow         StoreMode = "slow"
	StoreLossy        StoreMode = "lossy" // applies some calls without responding, at once or late
)

// isDown reports whether a store in this mode serves nobody.
func (m StoreMode) isDown() bool { return m == StoreUnavailable || m == StoreUnresponsive }

// Store serves the store's HTTP protocol.
type Store struct {
	*storetest.Memory
	mu            sync.Mutex
	mode          StoreMode
	leases        map[store.LeaseID]*lease
	leasesPaused  bool          // while the store is down
	entriesExpire bool          // while the store is down
	watchesCut    chan struct{} // closed when the waiting watches are cut
	writes        quota
	reads         quota
	revisions     []datedRevision // oldest first
	done          chan struct{}
	handler       http.Handler
	front         *StoreFront   // at the store's own address
	fronts        []*StoreFront // the others
}

// StoreFront is an address of the store at which it may fail by itself: the store
// rejects some hosts and serves the others.
type StoreFront struct {
	store   *Store
	server  *http.Server
	address string

	mu   sync.Mutex
	mode StoreMode
}

// NewStore starts a store on a free port of the loopback. It returns an error if
// it can't listen.
func NewStore() (*Store, error) {
	s := &Store{
		Memory: storetest.NewMemory(), mode: StoreHealthy, leases: make(map[store.LeaseID]*lease), watchesCut: make(chan struct{}), done: make(chan struct{}),
		writes: quota{perSecond: writesPerSecond}, reads: quota{perSecond: readsPerSecond},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.getKey)
	mux.HandleFunc("GET /v1/kv-range", s.getRange)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keepAlive)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.endLease)
	s.handler = mux
	var err error
	if s.front, err = s.listen(); err != nil {
		return nil, err
	}
	go s.tick()
	return s, nil
}

// listen starts a front on a free port of the loopback.
func (s *Store) listen() (*StoreFront, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &StoreFront{store: s, address: ln.Addr().String(), mode: StoreHealthy}
	f.server = &http.Server{Handler: f.applyMode(s.handler), ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(ln) }() // returns after Close
	return f, nil
}

// AddFront adds an address to the store. It returns an error if it can't listen.
func (s *Store) AddFront() (*StoreFront, error) {
	f, err := s.listen()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fronts = append(s.fronts, f)
	return f, nil
}

// Address returns the host:port of the front.
func (f *StoreFront) Address() string { return f.address }

// SetMode sets the fault to inject at the front.
func (f *StoreFront) SetMode(m StoreMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = m
}

// current returns the fault to inject: that of the store, or else that of the front.
func (f *StoreFront) current() StoreMode {
	if m := f.store.currentMode(); m != StoreHealthy {
		return m
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mode
}

// Address returns the host:port of the store.
func (s *Store) Address() string { return s.front.address }

// Close stops the stand-in.
func (s *Store) Close() {
	close(s.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range append(s.fronts, s.front) {
		_ = f.server.Close()
	}
}

// SetMode sets the fault to inject.
func (s *Store) SetMode(m StoreMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

func (s *Store) currentMode() StoreMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// Put writes the JSON of value to a key, as the operators or a worker do.
func (s *Store) Put(key string, value any) error {
	_, err := s.put(key, value)
	return err
}

func (s *Store) put(key string, value any) (store.Revision, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	return s.Commit(store.Txn{Puts: []store.Put{{Key: key, Value: data}}})
}

// Remove deletes a key.
func (s *Store) Remove(key string) error {
	_, err := s.Commit(store.Txn{Deletes: []string{key}})
	return err
}

// tick ends leases and drops history that are due, until Close.
func (s *Store) tick() {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-ticker.C:
			s.expireLeases(now)
			s.dropHistory(now)
		}
	}
}
