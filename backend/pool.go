// Package backend carries HTTP/1.1 exchanges with backend servers.
//
// A Pool is the only sender to one backend server. It manages its connections
// itself instead of using http.Transport, because it must know whether any byte
// of a request was written, must never write a request twice, and must keep a
// slot in use while an abandoned request may still be running.
package backend

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// MaxIdle is the time after which an unused connection is closed.
	MaxIdle = 15 * time.Second
	// closeTimeout limits the wait for the server to close its side of a
	// connection.
	closeTimeout = time.Second
	// unconfirmedCloseTime is how long a closed connection still counts against
	// the limit if the server did not confirm the close: the server may not have
	// noticed it.
	unconfirmedCloseTime = 30 * time.Second
)

// Limits are the maximum numbers of slots and connections that a pool may use.
type Limits struct {
	Slots       int // concurrent requests
	Connections int // concurrent connections
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Pool holds the slots and connections of one backend server. It is safe for
// concurrent use.
//
// Invariants:
//   - slotsInUse <= limits.Slots;
//   - openConns + unconfirmedConns <= limits.Connections;
//   - every exchange holds one slot from before its first byte until it is
//     complete or the server has stopped working on the request.
type Pool struct {
	address string
	limits  Limits
	dial    DialFunc

	mu               sync.Mutex
	slotsInUse       int
	openConns        int
	unconfirmedConns int     // closed within unconfirmedCloseTime, without confirmation by the server
	idle             []*conn // most recently used last
	closed           bool
	drained          chan struct{} // closed once closed is set, slotsInUse == 0 and openConns == 0

	timers sync.Pool // of *time.Timer
}

// NewPool returns a pool for the server at address. A nil dial opens TCP
// connections.
func NewPool(address string, limits Limits, dial DialFunc) *Pool {
	if dial == nil {
		dial = DialTCP
	}
	return &Pool{address: address, limits: limits, dial: dial, drained: make(chan struct{})}
}

// Slot is the right to perform one exchange. Call exactly one of Do and
// Release, and do not copy the slot after that.
type Slot struct {
	pool   *Pool
	onFree func()
}

// TryAcquire acquires a slot and returns true if one is free and the pool is
// not closed. onFree, if not nil, is called once when the slot is free again.
func (p *Pool) TryAcquire(onFree func()) (Slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.slotsInUse >= p.limits.Slots {
		return Slot{}, false
	}
	p.slotsInUse++
	return Slot{pool: p, onFree: onFree}, true
}

// Release frees a slot for which Do was not called.
func (s *Slot) Release() {
	p := s.pool
	p.mu.Lock()
	p.slotsInUse--
	p.checkDrained()
	p.mu.Unlock()
	if s.onFree != nil {
		s.onFree()
	}
}

// Close makes TryAcquire fail and closes idle connections. Exchanges in progress
// continue.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.checkDrained()
	p.mu.Unlock()
	for _, c := range idle {
		go p.retire(c)
	}
}

// Drained returns a channel that is closed once the pool is closed, all its
// slots are free and all its connections are closed on this side. The server
// may not have noticed the close of connections that were lost in the network.
// A pool should therefore use at most half of the server's connections, so that
// the lost ones and those of the next owner fit together.
func (p *Pool) Drained() <-chan struct{} { return p.drained }

func (p *Pool) checkDrained() {
	if !p.closed || p.slotsInUse > 0 || p.openConns > 0 {
		return
	}
	select {
	case <-p.drained:
	default:
		close(p.drained)
	}
}

// SetLimits replaces the limits. Exchanges and connections above the new limits
// are kept until they end.
func (p *Pool) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits
}

// Usage is the current use of a pool.
type Usage struct {
	Slots       int // in use
	Connections int // counted against the limit
	Idle        int // connections without an exchange
}

// Usage returns the current use of the pool.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Slots: p.slotsInUse, Connections: p.openConns + p.unconfirmedConns, Idle: len(p.idle)}
}

// CloseIdle closes connections last used earlier than before, and those that
// the server has closed.
func (p *Pool) CloseIdle(before time.Time) {
	p.mu.Lock()
	var keep, stale []*conn
	for _, c := range p.idle {
		if c.lastUsedAt.Before(before) || !c.isReusable() {
			stale = append(stale, c)
			continue
		}
		keep = append(keep, c)
	}
	p.idle = keep
	p.mu.Unlock()
	for _, c := range stale {
		go p.retire(c)
	}
}

// acquireConn returns an idle connection that is still usable, or opens one.
func (p *Pool) acquireConn(ctx context.Context, timeout time.Duration) (*conn, *NotRunError) {
	for {
		c, reserved := p.takeIdleOrReserve()
		if c == nil {
			if !reserved {
				return nil, &NotRunError{Address: p.address, Reason: ReasonConnections}
			}
			return p.dialConn(ctx, timeout)
		}
		if time.Since(c.lastUsedAt) < MaxIdle && c.isReusable() {
			c.reused = true
			return c, nil
		}
		go p.retire(c)
	}
}

// takeIdleOrReserve removes and returns an idle connection. If there is none, it
// returns nil, and whether it counted a new connection within the limit.
func (p *Pool) takeIdleOrReserve() (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, true
	}
	if p.openConns+p.unconfirmedConns >= p.limits.Connections {
		return nil, false
	}
	p.openConns++
	return nil, true
}

func (p *Pool) dialConn(ctx context.Context, timeout time.Duration) (*conn, *NotRunError) {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := p.dial(dialCtx, p.address)
	if err != nil {
		p.recordClosed()
		return nil, &NotRunError{Address: p.address, Reason: ReasonDial, Cause: err}
	}
	return newConn(nc), nil
}

// recordClosed removes a connection that both sides have closed from the count.
func (p *Pool) recordClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
	p.checkDrained()
}

// recordUnconfirmedClose keeps counting a closed connection for
// unconfirmedCloseTime, as the server may not have noticed the close.
func (p *Pool) recordUnconfirmedClose() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
	p.unconfirmedConns++
	p.checkDrained()
	time.AfterFunc(unconfirmedCloseTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.unconfirmedConns--
	})
}

// putIdle returns a connection to the pool after a complete exchange.
func (p *Pool) putIdle(c *conn) {
	c.lastUsedAt = time.Now()
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	go p.retire(c)
}

// retire closes a connection. The connection counts against the limit until the
// server has closed its side, or else for unconfirmedCloseTime longer.
func (p *Pool) retire(c *conn) {
	if c.closeAndWait(closeTimeout) {
		p.recordClosed()
		return
	}
	p.recordUnconfirmedClose()
}

// timer returns a reused or new timer that fires after d.
func (p *Pool) timer(d time.Duration) *time.Timer {
	if t, ok := p.timers.Get().(*time.Timer); ok {
		t.Reset(d)
		return t
	}
	return time.NewTimer(d)
}

func (p *Pool) stopTimer(t *time.Timer) {
	t.Stop()
	p.timers.Put(t)
}
