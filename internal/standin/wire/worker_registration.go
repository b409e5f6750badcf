package wire

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// heartbeat is how often a worker tells the store that it is alive. The entry does
	// not change by that.
	heartbeat = 1500 * time.Millisecond
	// maxSilence is the silence after which an entry is removed.
	maxSilence = 3 * heartbeat
	// maxReturnDelay is how long after the return of the store an entry that expired
	// meanwhile may be missing.
	maxReturnDelay = 2 * time.Second
	// maxConnections is how many connections a worker serves, the platform's conn_cap.
	maxConnections = 64
)

// ExpireEntries selects whether the entries of workers expire while the store is down.
func (s *Store) ExpireEntries(expire bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entriesExpire = expire
}

// acceptsBeats reports whether workers reach the store, and whether entries expire.
func (s *Store) acceptsBeats() (reachable, expire bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.mode.isDown(), !s.mode.isDown() || s.entriesExpire
}

// register writes the worker's entry.
func (w *Worker) register() error {
	w.registration.Lock()
	defer w.registration.Unlock()
	return w.writeEntry()
}

// writeEntry is register for callers that hold w.registration.
func (w *Worker) writeEntry() error {
	w.mu.Lock()
	entry := map[string]any{
		"service": serviceName, "address": w.registeredAt, "zone": "dc-1", "version": "v1", "slots": 8, "state": "ready",
		"born":     w.incarnationStart.UnixMilli(),
		"capacity": map[string]int64{"cpu": w.capacity.MilliCores, "mem_mb": w.capacity.MemoryMB}, "labels": []string{"a", "r1-1"},
	}
	w.mu.Unlock()
	revision, err := w.store.put(w.entryKey(), entry)
	if err != nil {
		return err
	}
	w.registered, w.lastBeat, w.returnAt = revision, time.Now(), time.Time{}
	return nil
}

func (w *Worker) entryKey() string { return "servers/" + string(w.id) }

// RegisterAt registers the worker under the address of a proxy.
func (w *Worker) RegisterAt(address string) error {
	w.mu.Lock()
	w.registeredAt = address
	w.mu.Unlock()
	return w.register()
}

// beat keeps the worker's entry alive. It removes the entry after maxSilence, and writes
// it anew some time after the store is reachable again.
func (w *Worker) beat(now time.Time) {
	reachable, expire := w.store.acceptsBeats()
	w.mu.Lock()
	up := w.up
	w.mu.Unlock()
	w.registration.Lock()
	defer w.registration.Unlock()
	switch {
	case w.registered == 0 && (!up || !reachable):
		w.returnAt = time.Time{}
	case w.registered == 0 && w.returnAt.IsZero():
		w.returnAt = now.Add(rand.N(maxReturnDelay))
	case w.registered == 0 && now.After(w.returnAt):
		_ = w.writeEntry() // the next beat tries again
	case w.registered != 0 && up && reachable && now.Sub(w.lastBeat) >= heartbeat:
		w.lastBeat = now
	case w.registered != 0 && expire && now.Sub(w.lastBeat) > maxSilence:
		w.expireEntry()
	}
}

// expireEntry removes the worker's entry unless another writer has replaced it. The
// caller holds w.registration.
func (w *Worker) expireEntry() {
	_, err := w.store.Commit(store.Txn{Checks: []store.Check{{Key: w.entryKey(), Revision: w.registered}}, Deletes: []string{w.entryKey()}})
	if err != nil {
		w.lastBeat = time.Now() // try again after the next silence
		return
	}
	w.registered = 0
}

// connectionLimiter accepts a limited number of connections. Further ones wait until one
// of them closes, as if their opening packets were dropped.
type connectionLimiter struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	close  func()
}

func limitConnections(ln net.Listener, limit int) net.Listener {
	l := &connectionLimiter{Listener: ln, slots: make(chan struct{}, limit), closed: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	return l
}

// Accept implements net.Listener.
func (l *connectionLimiter) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConnection{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *connectionLimiter) Close() error {
	l.close()
	return l.Listener.Close()
}

type limitedConnection struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConnection) Close() error {
	c.release()
	return c.Conn.Close()
}
