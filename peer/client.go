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
	// maxCallsPerHost limits the calls in progress to one host.
	maxCallsPerHost   = 256
	tcpKeepAlive      = 15 * time.Second
	tcpKeepAliveCount = 3
)

// ClientOptions configure a Client. Zero values stand for the defaults.
type ClientOptions struct {
	TLS         *tls.Config   // nil for plain TCP; the server name is the host ID
	CallTimeout time.Duration // for a call whose context has no deadline
	DialTimeout time.Duration // for dialling and the hello exchange together
	KeepAlive   time.Duration // time without a received message after which a connection with pending calls is pinged, and timeout of the ping
	IdleTimeout time.Duration // time after which an unused connection is closed
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

// Client calls other entry hosts over one connection per host, opened on demand.
// If a call times out and nothing was received on its connection meanwhile, the
// connection is given no further calls, so the next call dials again.
type Client struct {
	self      fleet.HostID
	addressOf func(fleet.HostID) (string, bool)
	opts      ClientOptions
	dialer    net.Dialer
	traffic   *traffic

	mu       sync.Mutex
	links    map[fleet.HostID]*link
	closed   bool
	closing  chan struct{} // closed when the client is closed
	monitors sync.WaitGroup
}

var _ Caller = (*Client)(nil)

// NewClient returns a client for host self. addressOf returns the host:port of a
// peer, and false if it is not known.
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

// Close closes all connections. Calls in progress fail with *UnknownOutcomeError and
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
			client:    c,
			host:      host,
			dialSlot:  make(chan struct{}, 1),
			callSlots: make(chan struct{}, maxCallsPerHost),
		}
		c.links[host] = l
	}
	return l
}

// startMonitor starts monitoring conn until it is closed. It returns false if the
// client is closed.
func (c *Client) startMonitor(l *link, conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.monitors.Go(func() { l.monitor(conn, c.opts) })
	return true
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, host fleet.HostID, method string, request, response any) error {
	params, err := encodeParams(method, request)
	if err != nil {
		return &UnreachableError{Host: host, Cause: err}
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	l := c.link(host)
	select {
	case l.callSlots <- struct{}{}:
		defer func() { <-l.callSlots }()
	case <-ctx.Done():
		return &UnreachableError{Host: host, Cause: ctx.Err()}
	}
	conn, err := l.acquire(ctx)
	if err != nil {
		return &UnreachableError{Host: host, Cause: err}
	}
	defer conn.pending.Add(-1)
	return l.roundTrip(ctx, conn, method, params, response)
}

func encodeParams(method string, request any) (json.RawMessage, error) {
	params, err := json.Marshal(request)
	if err != nil {
		return nil, &EncodingError{Method: method, Cause: err}
	}
	const envelope = 1 << 10 // bytes reserved for method, ID and metadata
	if len(params) > MaxMessageBytes-envelope {
		return nil, &TooLargeError{Bytes: len(params), Limit: MaxMessageBytes - envelope}
	}
	return params, nil
}

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.opts.CallTimeout)
}

// acquire returns a usable connection and counts one more pending call on it, so
// that it is not closed as idle before the call is sent.
func (l *link) acquire(ctx context.Context) (*connection, error) {
	for {
		conn, err := l.connect(ctx)
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		usable := l.conn == conn
		if usable {
			conn.pending.Add(1)
			conn.lastUsed.Store(time.Now().UnixNano())
		}
		l.mu.Unlock()
		if usable {
			return conn, nil
		}
	}
}

// roundTrip sends one call and waits for its response. Any failure after sending
// has started leaves the outcome unknown.
func (l *link) roundTrip(ctx context.Context, conn *connection, method string, params json.RawMessage, response any) error {
	if err := ctx.Err(); err != nil {
		return &UnreachableError{Host: l.host, Cause: err}
	}
	sent := time.Now()
	result := make(chan error, 1)
	var rawResponse json.RawMessage
	go func() {
		// The library ignores the context while it sends.
		waiter, err := conn.rpc.DispatchCall(ctx, method, params, jsonrpc2.Meta(newCallMeta(ctx)))
		if err == nil {
			err = waiter.Wait(ctx, &rawResponse)
		}
		result <- err
	}()
	var err error
	select {
	case err = <-result:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if errors.Is(err, context.DeadlineExceeded) && conn.stream.receivedNothingSince(sent) {
		l.retire(conn)
	}
	if err == nil && response != nil {
		err = json.Unmarshal(rawResponse, response)
	}
	return l.callError(method, err)
}

func (l *link) callError(method string, err error) error {
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return l.remoteError(method, decodeError(remote))
	default:
		return &UnknownOutcomeError{Host: l.host, Method: method, Cause: err}
	}
}

// remoteError returns the error of a peer's response, or an *UnknownOutcomeError if the
// handler ran into its deadline: it may have done its work or not.
func (l *link) remoteError(method string, err *RemoteError) error {
	if err.Kind == KindInternal && err.Reason == reasonTimeout {
		return &UnknownOutcomeError{Host: l.host, Method: method, Cause: err}
	}
	return err
}

func newCallMeta(ctx context.Context) callMeta {
	deadline, ok := ctx.Deadline()
	if !ok {
		return callMeta{}
	}
	return callMeta{TimeoutMS: max(1, time.Until(deadline).Milliseconds())}
}
