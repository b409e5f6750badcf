package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// link is the way to one host: at most one connection in use, opened when
// needed.
type link struct {
	client *Client
	host   fleet.HostID
	dial   chan struct{} // holds one token while a dial is in progress
	calls  chan struct{} // holds one token for each call in progress

	mu   sync.Mutex
	conn *connection // nil if none is usable
}

// connection is one TCP connection to a host.
type connection struct {
	rpc     *jsonrpc2.Conn
	stream  *stream
	pending atomic.Int64 // calls in progress
	used    atomic.Int64 // Unix time in nanoseconds of the last call
	retired atomic.Bool  // takes no new calls
}

// get returns a usable connection and dials if there is none.
func (l *link) get(ctx context.Context) (*connection, error) {
	if conn := l.current(); conn != nil {
		return conn, nil
	}
	select {
	case l.dial <- struct{}{}:
		defer func() { <-l.dial }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if conn := l.current(); conn != nil {
		return conn, nil
	}
	conn, err := l.open(ctx)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	if !l.client.monitor(l, conn) {
		_ = conn.rpc.Close()
		return nil, &ClosedError{}
	}
	return conn, nil
}

// current returns the connection in use, or nil. The call counts as pending
// from here on, so that an idle connection is not closed beneath it.
func (l *link) current() *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.retired.Load() || l.conn.closed() {
		return nil
	}
	return l.conn
}

// retire makes the next call dial anew.
func (l *link) retire(conn *connection) {
	conn.retired.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
	}
}

func (c *connection) closed() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// open dials and exchanges hellos. Nothing of a call has been sent when it
// fails.
func (l *link) open(ctx context.Context) (*connection, error) {
	address, ok := l.client.addressOf(l.host)
	if !ok {
		return nil, &AddressUnknownError{Host: l.host}
	}
	ctx, cancel := context.WithTimeout(ctx, l.client.opts.DialTimeout)
	defer cancel()
	raw, err := l.client.dial(ctx, l.host, address)
	if err != nil {
		return nil, err
	}
	st := newStream(raw, 0)
	logger := log.With(l.client.opts.Logger, "component", "peer_client", "peer", l.host)
	options := append(l.client.traffic.observe(st), jsonrpc2.SetLogger(rpcLogger{logger}))
	rpc := jsonrpc2.NewConn(context.Background(), st, refuseCalls{}, options...)
	var reply helloReply
	err = rpc.Call(ctx, methodHello, hello{From: l.client.self, Compression: compressionFormat}, &reply)
	if err == nil && reply.Host != l.host {
		err = &IdentityError{Want: l.host, Got: reply.Host}
	}
	if err != nil {
		_ = rpc.Close()
		return nil, err
	}
	st.compresses.Store(reply.Compression == compressionFormat)
	conn := &connection{rpc: rpc, stream: st}
	conn.used.Store(time.Now().UnixNano())
	return conn, nil
}

// refuseCalls ignores requests from the called host: calls go one way on a
// connection.
type refuseCalls struct{}

// Handle implements jsonrpc2.Handler.
func (refuseCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

func (c *Client) dial(ctx context.Context, host fleet.HostID, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil || c.opts.TLS == nil {
		return conn, err
	}
	config := c.opts.TLS.Clone()
	config.ServerName = string(host)
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}

// watch closes conn when it is idle or silent, and returns when it is closed.
// While calls are pending, a connection on which nothing arrives is probed.
func (l *link) watch(conn *connection, opts ClientOptions) {
	ticker := time.NewTicker(opts.KeepAlive / 2)
	defer ticker.Stop()
	for {
		select {
		case <-conn.rpc.DisconnectNotify():
			l.retire(conn)
			return
		case <-l.client.closing:
			l.retire(conn)
			_ = conn.rpc.Close()
			return
		case <-ticker.C:
		}
		if conn.idle(time.Now(), opts.IdleTimeout) {
			l.closeIdle(conn)
			continue
		}
		if conn.pending.Load() > 0 && conn.stream.silentSince(time.Now().Add(-opts.KeepAlive)) && !conn.ping(opts.KeepAlive) {
			l.retire(conn)
			_ = conn.rpc.Close()
		}
	}
}

// idle reports whether conn has no call and is retired or unused for limit.
func (c *connection) idle(now time.Time, limit time.Duration) bool {
	unused := now.Sub(time.Unix(0, c.used.Load())) > limit
	return c.pending.Load() == 0 && (c.retired.Load() || unused)
}

// closeIdle closes conn unless a call began meanwhile. Calls announce
// themselves under the mutex, so none can begin once conn has left the link.
func (l *link) closeIdle(conn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn.pending.Load() > 0 {
		return
	}
	conn.retired.Store(true)
	if l.conn == conn {
		l.conn = nil
	}
	_ = conn.rpc.Close()
}

func (c *connection) ping(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.rpc.Call(ctx, methodPing, json.RawMessage("{}"), nil) == nil
}
