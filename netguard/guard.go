// Package netguard keeps the connections of callers within the limits of a host:
// it counts what they hold, and closes those that package admission gives up.
package netguard

import (
	"iter"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/admission"
)

// Reason is why a connection was given up.
type Reason string

// Reasons.
const (
	ReasonBytes       Reason = "bytes"       // the budget of bytes is short
	ReasonConnections Reason = "connections" // the host has too many connections
	ReasonAddress     Reason = "address"     // the address has too many connections
	ReasonSlowBody    Reason = "slow_body"
	ReasonLargeBody   Reason = "large_body"
	ReasonUnread      Reason = "unread_answer"
	ReasonHeader      Reason = "unfinished_header" // the connection ended within a header or before one
)

// answered reports whether a request whose body is given up for the reason gets an
// answer. Where connections are short it does not, as that takes time.
func (r Reason) answered() bool { return r != ReasonConnections && r != ReasonAddress }

// Refusal describes a connection that was given up.
type Refusal struct {
	Reason  Reason
	Address netip.Addr
	admission.Connection
}

// Guard bounds the connections of a host's callers.
type Guard struct {
	limits admission.Limits
	start  time.Time
	report func(Refusal)

	mu     sync.Mutex
	within admission.Limits // limits within the memory that is left, see SetRoom
	conns  []*Conn          // in no order
	// Invariant: used is the sum of held of all connections, and releasing that of
	// the ones that are given up.
	used, releasing int64
	changed         *sync.Cond // releasing shrinks, or a connection is given up
}

// New returns a guard that calls report, from any goroutine, for each connection
// that is given up.
func New(limits admission.Limits, report func(Refusal)) *Guard {
	g := &Guard{limits: limits, within: limits, start: time.Now(), report: report}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// Usage is what the connections hold.
type Usage struct {
	Connections int
	Bytes       int64
}

// Usage returns what the connections hold.
func (g *Guard) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{Connections: len(g.conns), Bytes: g.used}
}

// Memory returns the memory that the connections take.
func (g *Guard) Memory() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return admission.Limits{Bytes: g.used, Connections: len(g.conns)}.Memory()
}

// SetRoom sets the memory that is left for the connections, and gives up those that exceed it.
func (g *Guard) SetRoom(room int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.within = g.limits.Within(room)
	for g.used-g.releasing > g.within.Bytes {
		victim, ok := admission.WeakestHolder(g.now(), g.connections(nil))
		if !ok || !victim.giveUp(ReasonBytes) {
			break
		}
	}
	for len(g.conns) > g.within.Connections {
		victim, ok := admission.WeakestConnection(g.now(), g.connections(nil))
		if !ok || !victim.giveUp(ReasonConnections) {
			break
		}
	}
	g.changed.Broadcast()
}

// now is the time on the clock of the connections.
func (g *Guard) now() time.Duration { return time.Since(g.start) }

// Listen returns a listener whose connections the guard bounds.
func (g *Guard) Listen(ln net.Listener) net.Listener { return &listener{ln, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. It skips connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(conn); c != nil {
			return c, nil
		}
	}
}

// admit makes room for a new connection, and closes it and returns nil if it can't.
func (g *Guard) admit(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, guard: g, address: addressOf(conn)}
	now := g.now()
	c.progress.Store(int64(now))
	c.since.Store(int64(now))
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.within.ConnectionsPerAddress < g.within.Connections {
		same := func(o *Conn) bool { return o.address == c.address }
		if g.count(same) >= g.within.ConnectionsPerAddress && !g.displace(c, ReasonAddress, g.connections(same)) {
			return nil
		}
	}
	if len(g.conns) >= g.within.Connections && !g.displace(c, ReasonConnections, g.connections(nil)) {
		return nil
	}
	c.index = len(g.conns)
	g.conns = append(g.conns, c)
	return c
}

// count returns the number of connections that include accepts. It requires mu.
func (g *Guard) count(include func(*Conn) bool) int {
	n := 0
	for range g.connections(include) {
		n++
	}
	return n
}

// displace gives up the weakest of some connections for a new one, or else closes
// the new one and returns false. It requires mu.
func (g *Guard) displace(c *Conn, reason Reason, among iter.Seq2[*Conn, admission.Connection]) bool {
	victim, ok := admission.WeakestConnection(g.now(), among)
	if ok && victim.giveUp(reason) {
		return true
	}
	g.report(Refusal{reason, c.address, c.state()})
	_ = c.Conn.Close() // nothing was sent on it
	return false
}

// connections returns the connections that include accepts, nil for all. It
// requires mu.
func (g *Guard) connections(include func(*Conn) bool) iter.Seq2[*Conn, admission.Connection] {
	return func(yield func(*Conn, admission.Connection) bool) {
		for _, c := range g.conns {
			if (include == nil || include(c)) && !yield(c, c.state()) {
				return
			}
		}
	}
}

// draw adds n bytes to what a connection holds, and gives up others until they are
// within the budget. It returns *ShedError if the connection itself goes.
func (g *Guard) draw(c *Conn, n int64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.used+n > g.within.Bytes {
		if c.held.Load()+n > g.within.Bytes {
			c.giveUp(ReasonBytes)
			return &ShedError{ReasonBytes}
		}
		if c.phase() == admission.PhaseShed {
			return &ShedError{c.reason()}
		}
		if g.used-g.releasing+n <= g.within.Bytes {
			g.changed.Wait()
			continue
		}
		victim, ok := admission.WeakestHolder(g.now(), g.connections(nil))
		if !ok {
			victim = c // only requests that are being served hold bytes
		}
		if !victim.giveUp(ReasonBytes) && victim == c {
			return &ShedError{ReasonBytes}
		}
	}
	if c.phase() == admission.PhaseShed {
		return &ShedError{c.reason()}
	}
	g.used += n
	c.held.Add(n)
	return nil
}

// giveUp sheds a connection.
func (g *Guard) giveUp(c *Conn, reason Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.giveUp(reason)
}

// release takes n bytes from what a connection holds.
func (g *Guard) release(c *Conn, n int64) {
	if n == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used -= n
	c.held.Add(-n)
	if c.phase() == admission.PhaseShed {
		g.releasing -= n
		g.changed.Broadcast()
	}
}

// remove forgets a closed connection.
func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeLocked(c)
}

func (g *Guard) removeLocked(c *Conn) {
	if c.index < 0 {
		return
	}
	last := len(g.conns) - 1
	g.conns[c.index] = g.conns[last]
	g.conns[c.index].index = c.index
	g.conns[last] = nil
	g.conns = g.conns[:last]
	c.index = -1
}
