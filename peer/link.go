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

// link manages the connection to one host: at most one is in use, opened on
// demand.
type link struct {
	client    *Client
	host      fleet.HostID
	dialSlot  chan struct{} // semaphore: holds one element while a dial is in progress
	callSlots chan struct{} // semaphore: holds one element for each call in progress

	mu   sync.Mutex
	conn *connection // nil if none is usable
}

// connection is one TCP connection to a host.
type connection struct {
	rpc      *jsonrpc2.Conn
	stream   *stream
	pending  atomic.Int64 // calls in progress
	lastUsed atomic.Int64 // Unix time in ns of the start of the last call
	retired  atomic.Bool  // given no new calls
}

// connect returns a usable connection and dials if there is none.
func (l *link) connect(ctx context.Context) (*connection, error) {
	if conn := l.current(); conn != nil {
		return conn, nil
	}
	select {
	case l.dialSlot <- struct{}{}:
		defer func() { <-l.dialSlot }()
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
	if !l.client.startMonitor(l, conn) {
		_ = conn.rpc.Close()
		return nil, &ClosedError{}
	}
	return conn, nil
}

// current returns the connection in use if it can take calls, or nil.
func (l *link) current() *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.retired.Load() || l.conn.closed() {
		return nil
	}
	return l.conn
}

// retire takes conn out of use, so that the next call dials again.
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

// open dials and exchanges hellos. If it fails, no part of a call has been sent.
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
	options := append(l.client.traffic.connOptions(st), jsonrpc2.SetLogger(rpcLogger{logger}))
	rpc := jsonrpc2.NewConn(context.Background(), st, ignoreRequests{}, options...)
	var reply helloReply
	err = rpc.Call(ctx, methodHello, hello{From: l.client.self, Compression: compressionFormat}, &reply)
	if err == nil && reply.Host != l.host {
		err = &IdentityError{Want: l.host, Got: reply.Host}
	}
	if err != nil {
		_ = rpc.Close()
		return nil, err
	}
	st.compressionEnabled.Store(reply.Compression == compressionFormat)
	conn := &connection{rpc: rpc, stream: st}
	conn.lastUsed.Store(time.Now().UnixNano())
	return conn, nil
}

// ignoreRequests ignores requests from the called host: a connection carries calls
// in one direction only.
type ignoreRequests struct{}

// Handle implements jsonrpc2.Handler.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

func (c *Client) dial(ctx context.Context, host fleet.HostID, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil || c.opts.TLS == nil {
		return conn, err
	}
	config := c.opts.TLS.Clone()
	config.ServerName = string(host)
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// monitor closes conn when it is idle or does not respond to a ping, and returns
// when conn is closed. A connection with pending calls is pinged when nothing was
// received for opts.KeepAlive.
func (l *link) monitor(conn *connection, opts ClientOptions) {
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
		if conn.pending.Load() > 0 && conn.stream.receivedNothingSince(time.Now().Add(-opts.KeepAlive)) && !conn.ping(opts.KeepAlive) {
			l.retire(conn)
			_ = conn.rpc.Close()
		}
	}
}

// idle reports whether the connection has no pending call and is either retired or
// unused for longer than limit.
func (c *connection) idle(now time.Time, limit time.Duration) bool {
	unused := now.Sub(time.Unix(0, c.lastUsed.Load())) > limit
	return c.pending.Load() == 0 && (c.retired.Load() || unused)
}

// closeIdle closes conn unless a call has started meanwhile. Calls are counted as
// pending under the mutex, and only while conn is in use by the link, so none can
// start once it was removed.
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
