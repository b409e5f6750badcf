package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Defaults of ClientOptions.
const (
	DefaultCallTimeout = 2 * time.Second
	DefaultDialTimeout = time.Second
	DefaultKeepAlive   = time.Second
	DefaultIdleTimeout = time.Minute
	// maxCallsPerHost bounds the calls in progress to one host.
	maxCallsPerHost   = 256
	tcpKeepAlive      = 15 * time.Second
	tcpKeepAliveCount = 3
)

// ClientOptions configure a Client. Zero values mean the defaults.
type ClientOptions struct {
	TLS         *tls.Config   // nil for plain TCP; the server name is the host ID
	CallTimeout time.Duration // of a call whose context has no deadline
	DialTimeout time.Duration // of dialling and the exchange of hellos
	KeepAlive   time.Duration // silence of a connection with calls pending before it is probed, and longest wait for the probe
	IdleTimeout time.Duration // after which an unused connection is closed
	Logger      log.Logger
}

func (o ClientOptions) withDefaults() ClientOptions {
	o.CallTimeout = orDefault(o.CallTimeout, DefaultCallTimeout)
	o.DialTimeout = orDefault(o.DialTimeout, DefaultDialTimeout)
	o.KeepAlive = orDefault(o.KeepAlive, DefaultKeepAlive)
	o.IdleTimeout = orDefault(o.IdleTimeout, DefaultIdleTimeout)
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return o
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// Client calls other entry hosts. One connection per host is opened when
// needed. A connection that misses a call's deadline without a sign of life
// takes no further calls, so that the next call dials anew.
type Client struct {
	self      fleet.HostID
	addressOf func(fleet.HostID) (string, bool)
	opts      ClientOptions
	dialer    net.Dialer
	traffic   *traffic

	mu       sync.Mutex
	links    map[fleet.HostID]*link
	closed   bool
	closing  chan struct{} // closed with the client
	monitors sync.WaitGroup
}

var _ Caller = (*Client)(nil)

// NewClient returns a client of host self that finds peers with addressOf.
func NewClient(self fleet.HostID, addressOf func(fleet.HostID) (string, bool), opts ClientOptions) *Client {
	return &Client{
		self:      self,
		addressOf: addressOf,
		opts:      opts.withDefaults(),
		links:     make(map[fleet.HostID]*link),
		closing:   make(chan struct{}),
		traffic:   newTraffic(),
		dialer: net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     tcpKeepAlive,
			Interval: tcpKeepAlive,
			Count:    tcpKeepAliveCount,
		}},
	}
}

// Close closes every connection. Calls in progress fail with *UnknownError,
// later ones with *UnreachableError.
func (c *Client) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.closing)
	}
	c.mu.Unlock()
	c.monitors.Wait()
	return nil
}

func (c *Client) link(host fleet.HostID) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.links[host]
	if !ok {
		l = &link{
			client: c,
			host:   host,
			dial:   make(chan struct{}, 1),
			calls:  make(chan struct{}, maxCallsPerHost),
		}
		c.links[host] = l
	}
	return l
}

// monitor watches conn until it is closed. It returns false if the client is
// closed.
func (c *Client) monitor(l *link, conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.monitors.Go(func() { l.watch(conn, c.opts) })
	return true
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, host fleet.HostID, method string, request, response any) error {
	params, err := encodeParams(method, request)
	if err != nil {
		return &UnreachableError{Host: host, Cause: err}
	}
	ctx, cancel := c.bound(ctx)
	defer cancel()
	l := c.link(host)
	select {
	case l.calls <- struct{}{}:
		defer func() { <-l.calls }()
	case <-ctx.Done():
		return &UnreachableError{Host: host, Cause: ctx.Err()}
	}
	conn, err := l.acquire(ctx)
	if err != nil {
		return &UnreachableError{Host: host, Cause: err}
	}
	defer conn.pending.Add(-1)
	return l.exchange(ctx, conn, method, params, response)
}

func encodeParams(method string, request any) (json.RawMessage, error) {
	params, err := json.Marshal(request)
	if err != nil {
		return nil, &EncodingError{Method: method, Cause: err}
	}
	const envelope = 1 << 10 // method, ID and metadata
	if len(params) > MaxMessageBytes-envelope {
		return nil, &TooLargeError{Bytes: len(params), Limit: MaxMessageBytes - envelope}
	}
	return params, nil
}

func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.opts.CallTimeout)
}

// acquire returns a connection on which one more call is pending.
func (l *link) acquire(ctx context.Context) (*connection, error) {
	for {
		conn, err := l.get(ctx)
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		usable := l.conn == conn
		if usable {
			conn.pending.Add(1)
			conn.used.Store(time.Now().UnixNano())
		}
		l.mu.Unlock()
		if usable {
			return conn, nil
		}
	}
}

// exchange sends one call and waits for its answer. Whatever goes wrong once
// it has begun to send leaves the outcome unknown.
func (l *link) exchange(ctx context.Context, conn *connection, method string, params json.RawMessage, response any) error {
	if err := ctx.Err(); err != nil {
		return &UnreachableError{Host: l.host, Cause: err}
	}
	sent := time.Now()
	result := make(chan error, 1)
	var answer json.RawMessage
	go func() {
		// The library's send does not look at the context.
		waiter, err := conn.rpc.DispatchCall(ctx, method, params, jsonrpc2.Meta(metaOf(ctx)))
		if err == nil {
			err = waiter.Wait(ctx, &answer)
		}
		result <- err
	}()
	var err error
	select {
	case err = <-result:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if errors.Is(err, context.DeadlineExceeded) && conn.stream.silentSince(sent) {
		l.retire(conn)
	}
	if err == nil && response != nil {
		err = json.Unmarshal(answer, response)
	}
	return l.failure(method, err)
}

func (l *link) failure(method string, err error) error {
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return l.remoteFailure(method, decodeError(remote))
	default:
		return &UnknownError{Host: l.host, Method: method, Cause: err}
	}
}

// remoteFailure returns what a peer answered, or that the outcome is unknown.
func (l *link) remoteFailure(method string, err *RemoteError) error {
	if err.Kind == KindInternal && err.Reason == reasonTimeout {
		return &UnknownError{Host: l.host, Method: method, Cause: err}
	}
	return err
}

func metaOf(ctx context.Context) callMeta {
	deadline, ok := ctx.Deadline()
	if !ok {
		return callMeta{}
	}
	return callMeta{TimeoutMS: max(1, time.Until(deadline).Milliseconds())}
}
