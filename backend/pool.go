// Package backend carries HTTP/1.1 exchanges with backend servers.
//
// A Pool belongs to one server and is the only sender to it. It owns its
// connections instead of using http.Transport, because it must know whether
// any byte of a request was written, must never write a request twice, and
// must keep a slot taken while an abandoned request may still be running.
package backend

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// MaxIdle is how long an unused connection is kept.
	MaxIdle = 15 * time.Second
	// closeWait is how long a closing connection waits for the server's own
	// close.
	closeWait = time.Second
	// lostConnection is how long a connection still counts whose close the
	// server did not confirm: the server may not have noticed.
	lostConnection = 30 * time.Second
)

// Limits are the server's share that a pool may use.
type Limits struct {
	Slots       int // requests at once
	Connections int // connections at once
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Pool holds the slots and connections of one backend server. It is safe for
// concurrent use.
//
// Invariants: taken <= limits.Slots; open + lost <= limits.Connections; every
// exchange holds one slot from before its first byte until it is over or the
// server has surely stopped working on it.
type Pool struct {
	address string
	limits  Limits
	dial    DialFunc

	mu      sync.Mutex
	taken   int     // slots
	open    int     // connections
	lost    int     // connections closed lately without the server's confirmation
	idle    []*conn // most recently used last
	closed  bool
	drained chan struct{} // closed once closed, taken == 0 and open == 0

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

// Slot is the right to one exchange. Use exactly one of Do and Release, and
// do not copy it after that.
type Slot struct {
	pool   *Pool
	onFree func()
}

// TryAcquire takes a slot if one is free and the pool is open. onFree (may be
// nil) is called once, when the slot is free again.
func (p *Pool) TryAcquire(onFree func()) (Slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.taken >= p.limits.Slots {
		return Slot{}, false
	}
	p.taken++
	return Slot{pool: p, onFree: onFree}, true
}

// Release gives back a slot that was not used.
func (s *Slot) Release() {
	p := s.pool
	p.mu.Lock()
	p.taken--
	p.checkDrained()
	p.mu.Unlock()
	if s.onFree != nil {
		s.onFree()
	}
}

// Close refuses new slots and closes idle connections. Exchanges under way go
// on.
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
// slots are free and all its connections are closed at this end. The server
// may not have noticed the close of some that were lost on the way: a pool
// should use at most half of the server's connections, so that they and those
// of the next owner fit together.
func (p *Pool) Drained() <-chan struct{} { return p.drained }

func (p *Pool) checkDrained() {
	if !p.closed || p.taken > 0 || p.open > 0 {
		return
	}
	select {
	case <-p.drained:
	default:
		close(p.drained)
	}
}

// SetLimits replaces the limits. What is above them runs on.
func (p *Pool) SetLimits(limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits
}

// Usage is the state of a pool at one moment.
type Usage struct {
	Slots       int // taken
	Connections int // counted against the share
	Idle        int // connections without an exchange
}

// Usage returns the present use.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Slots: p.taken, Connections: p.open + p.lost, Idle: len(p.idle)}
}

// CloseIdle closes connections unused since before, and those the server has
// closed.
func (p *Pool) CloseIdle(before time.Time) {
	p.mu.Lock()
	var keep, stale []*conn
	for _, c := range p.idle {
		if c.usedAt.Before(before) || !c.quiet() {
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

// connection returns an idle connection that is still good, or opens one.
func (p *Pool) connection(ctx context.Context, timeout time.Duration) (*conn, *NotRunError) {
	for {
		c, room := p.take()
		if c == nil {
			if !room {
				return nil, &NotRunError{Address: p.address, Reason: ReasonConnections}
			}
			return p.connect(ctx, timeout)
		}
		if time.Since(c.usedAt) < MaxIdle && c.quiet() {
			c.reused = true
			return c, nil
		}
		go p.retire(c)
	}
}

// take removes an idle connection or, if there is none, counts a new one.
func (p *Pool) take() (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, true
	}
	if p.open+p.lost >= p.limits.Connections {
		return nil, false
	}
	p.open++
	return nil, true
}

func (p *Pool) connect(ctx context.Context, timeout time.Duration) (*conn, *NotRunError) {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := p.dial(dialCtx, p.address)
	if err != nil {
		p.uncount()
		return nil, &NotRunError{Address: p.address, Reason: ReasonDial, Cause: err}
	}
	return newConn(nc), nil
}

// uncount ends the count of a connection that is closed at both ends.
func (p *Pool) uncount() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.checkDrained()
}

// lose counts a connection whose close the server may not have noticed, for
// as long as that may be.
func (p *Pool) lose() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.lost++
	p.checkDrained()
	time.AfterFunc(lostConnection, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lost--
	})
}

// put returns a connection after a whole exchange.
func (p *Pool) put(c *conn) {
	c.usedAt = time.Now()
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	go p.retire(c)
}

// retire closes a connection. It counts until the server's close was seen,
// or until the server has surely noticed.
func (p *Pool) retire(c *conn) {
	if c.closeAndWait(closeWait) {
		p.uncount()
		return
	}
	p.lose()
}

// timer returns a timer that fires after d.
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
