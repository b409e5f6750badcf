package netguard

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/fuchsiahill/fuchsiahill/admission"
)

const (
	// freeHeaderBytes and freeHeaderLines are covered by the memory of a connection.
	freeHeaderBytes = 4 << 10
	freeHeaderLines = 32
	// headerLineBytes is the memory of a header line beside its text.
	headerLineBytes = 128
	// refusalTimeout limits the answer to a connection that was given up.
	refusalTimeout = time.Second
)

// longAgo ends a read that is waiting.
var longAgo = time.Unix(1, 0)

// ShedError reports that a connection was given up before its request was decoded.
type ShedError struct{ Reason Reason }

func (e *ShedError) Error() string { return "connection given up: " + string(e.Reason) }

// Timeout and Temporary implement net.Error, with which net/http closes a
// connection without an answer.
func (e *ShedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (e *ShedError) Temporary() bool { return false }

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	guard   *Guard
	address netip.Addr
	index   int // in guard.conns, negative: not there; guarded by guard.mu

	current         atomic.Int32 // admission.Phase; leaves PhaseShed never
	held            atomic.Int64 // written with guard.mu held
	received        atomic.Int64
	since, progress atomic.Int64 // time.Duration
	lines           int          // of the header; read by one goroutine at a time
	cause           atomic.Pointer[Reason]
	closed          atomic.Bool
	handling        atomic.Bool  // a handler is at work
	writeDeadline   atomic.Int64 // that the handler has set, Unix time in ns; 0: none
}

func addressOf(conn net.Conn) netip.Addr {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

func (c *Conn) phase() admission.Phase { return admission.Phase(c.current.Load()) }

func (c *Conn) reason() Reason {
	if r := c.cause.Load(); r != nil {
		return *r
	}
	return ReasonBytes // the phase is set before the cause
}

func (c *Conn) state() admission.Connection {
	return admission.Connection{
		Phase: c.phase(), Held: c.held.Load(), Received: c.received.Load(), Since: time.Duration(c.since.Load()), Progress: time.Duration(c.progress.Load()),
	}
}

// enter begins a phase and reports whether the connection is not given up.
func (c *Conn) enter(p admission.Phase) bool {
	for {
		current := c.current.Load()
		if admission.Phase(current) == admission.PhaseShed {
			return false
		}
		if c.current.CompareAndSwap(current, int32(p)) {
			return true
		}
	}
}

// begin is enter for phases whose rate counts.
func (c *Conn) begin(p admission.Phase, now time.Duration) bool {
	c.received.Store(0)
	c.since.Store(int64(now))
	c.progress.Store(int64(now))
	return c.enter(p)
}

// giveUp sheds the connection unless a request of it is being served. It requires
// the mutex of the guard.
func (c *Conn) giveUp(reason Reason) bool {
	state := c.state()
	switch state.Phase {
	case admission.PhaseServing, admission.PhaseShed:
		return false
	case admission.PhaseNew, admission.PhaseHeader, admission.PhaseBody, admission.PhaseIdle, admission.PhaseAnswer:
	}
	if !c.current.CompareAndSwap(int32(state.Phase), int32(admission.PhaseShed)) {
		return false
	}
	c.cause.Store(&reason)
	g := c.guard
	g.releasing += state.Held
	g.report(Refusal{reason, c.address, state})
	if state.Phase == admission.PhaseBody && reason.answered() {
		_ = c.SetReadDeadline(longAgo) // fails only on a closed connection; the handler answers
	} else {
		_ = c.Conn.Close() // the server closes it again
		g.removeLocked(c)
	}
	g.changed.Broadcast()
	return true
}

// Read implements net.Conn. What a header holds is drawn from the budget.
func (c *Conn) Read(p []byte) (int, error) {
	if c.phase() == admission.PhaseShed { // net/http would discard the rest of the body
		return 0, &ShedError{c.reason()}
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := c.guard.now()
	c.progress.Store(int64(now))
	switch phase := c.phase(); phase {
	case admission.PhaseNew, admission.PhaseIdle:
		c.lines = 0
		if c.current.CompareAndSwap(int32(phase), int32(admission.PhaseHeader)) {
			c.since.Store(int64(now))
			c.received.Store(0)
		}
		return c.readHeader(p[:n], err)
	case admission.PhaseHeader:
		return c.readHeader(p[:n], err)
	case admission.PhaseShed:
		return 0, &ShedError{c.reason()}
	case admission.PhaseBody, admission.PhaseServing, admission.PhaseAnswer:
	}
	return n, err
}

func (c *Conn) readHeader(data []byte, err error) (int, error) {
	before := headerCost(c.received.Load(), c.lines)
	c.lines += bytes.Count(data, []byte("\n"))
	cost := headerCost(c.received.Add(int64(len(data))), c.lines) - before
	if cost > 0 {
		if err := c.guard.draw(c, cost); err != nil {
			return 0, err
		}
	}
	return len(data), err
}

// headerCost is the memory of a header beyond that of its connection.
func headerCost(received int64, lines int) int64 {
	return max(0, received-freeHeaderBytes) + headerLineBytes*int64(max(0, lines-freeHeaderLines))
}

// SetWriteDeadline implements net.Conn. The answer must make progress all the same.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	deadline := int64(0)
	if !t.IsZero() {
		deadline = t.UnixNano()
	}
	c.writeDeadline.Store(deadline)
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. An answer must make progress.
func (c *Conn) Write(p []byte) (int, error) {
	limit := c.guard.limits.AnswerStall
	if c.handling.Load() {
		// Between two writes it is the handler that takes its time, not the client.
		defer c.beginWrite()()
	} else if err := c.beginAnswer(); err != nil {
		return 0, err
	}
	if c.phase() == admission.PhaseShed {
		limit = refusalTimeout
	}
	deadline := time.Now().Add(limit)
	if set := c.writeDeadline.Load(); set != 0 && set < deadline.UnixNano() {
		deadline = time.Unix(0, set)
	}
	if err := c.Conn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil && c.phase() == admission.PhaseAnswer {
		c.guard.report(Refusal{ReasonUnread, c.address, c.state()})
	}
	return n, err
}

// beginWrite begins a write of a handler and returns what ends it.
func (c *Conn) beginWrite() func() {
	c.progress.Store(int64(c.guard.now()))
	if !c.current.CompareAndSwap(int32(admission.PhaseServing), int32(admission.PhaseAnswer)) {
		return func() {}
	}
	return func() { c.current.CompareAndSwap(int32(admission.PhaseAnswer), int32(admission.PhaseServing)) }
}

// beginAnswer ends the phase of serving. It limits the reads from here on: net/http
// discards the rest of a body that the handler has not read, before and after it writes
// the answer. A read sets no deadline itself, as net/http ends one that it has begun
// beside the handler by a deadline in the past.
func (c *Conn) beginAnswer() error {
	c.progress.Store(int64(c.guard.now()))
	if !c.current.CompareAndSwap(int32(admission.PhaseServing), int32(admission.PhaseAnswer)) {
		return nil
	}
	return c.SetReadDeadline(time.Now().Add(c.guard.limits.AnswerStall))
}

// CloseWrite ends the sending direction, after which net/http waits for the client to
// read the last answer before it closes the connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return nil
	}
	state := c.state()
	if state.Phase == admission.PhaseHeader || state.Phase == admission.PhaseNew {
		c.guard.report(Refusal{ReasonHeader, c.address, state})
	}
	c.guard.remove(c)
	c.guard.release(c, c.held.Load())
	return c.Conn.Close()
}

type connKey struct{}

// Protect bounds a server by the guard. The server must serve a listener of the
// guard.
func (g *Guard) Protect(server *http.Server) {
	server.MaxHeaderBytes = g.limits.HeaderBytes
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, guardedConn(conn))
	}
	server.ConnState = func(conn net.Conn, s http.ConnState) {
		if c := guardedConn(conn); c != nil && s == http.StateIdle {
			g.release(c, c.held.Load())
			c.begin(admission.PhaseIdle, g.now())
		}
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c := connOf(req)
		if c == nil {
			next.ServeHTTP(w, req)
			return
		}
		if !c.enter(admission.PhaseServing) {
			panic(http.ErrAbortHandler) // a return would answer 200
		}
		c.handling.Store(true)
		defer c.handling.Store(false) // a handler may panic
		next.ServeHTTP(w, req)
		c.handling.Store(false)
		_ = c.beginAnswer() // fails only on a closed connection
	})
}

// guardedConn returns the connection of the guard below a connection that may have TLS, or nil.
func guardedConn(conn net.Conn) *Conn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

// connOf returns the connection of a request, nil if it is not guarded.
func connOf(req *http.Request) *Conn {
	c, _ := req.Context().Value(connKey{}).(*Conn)
	return c
}
