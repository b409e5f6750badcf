package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	// maxConcurrentCalls limits the handlers that run concurrently in a server.
	maxConcurrentCalls = 1024
	// maxHandlerTime is the timeout of a handler whose caller gave none.
	maxHandlerTime = 30 * time.Second
	// serverReadTimeout is the time without a received message after which a
	// connection is closed. It is longer than a client keeps an idle connection.
	serverReadTimeout = 3 * DefaultIdleTimeout
	// shutdownGrace is how long handlers in progress may take during shutdown.
	shutdownGrace    = 3 * time.Second
	helloTimeout     = 2 * time.Second
	acceptRetryDelay = 50 * time.Millisecond
	// defaultMaxConnections is for the fleets of today, whose hosts have one or two
	// connections each.
	defaultMaxConnections = 512
	// maxHelloBytes limits the messages before and with the hello.
	maxHelloBytes = 4 << 10
)

// ServerOptions configure a Server.
type ServerOptions struct {
	Address string      // host:port to listen on; used by Serve only
	TLS     *tls.Config // nil for plain TCP; otherwise callers must present a certificate for their host ID
	// MaxConnections limits the connections. When it is reached, the one that has kept its
	// hello back for the longest makes room; 0: 512.
	MaxConnections int
}

// Server serves calls of other entry hosts. Handlers run concurrently up to a
// limit; a call above the limit is rejected with KindUnavailable. A handler that
// panics fails its own call only.
type Server struct {
	self   fleet.HostID
	opts   ServerOptions
	logger log.Logger
	slots  chan struct{}

	mu       sync.RWMutex
	handlers map[string]Handler
	// draining means that no more calls are started. Only while it is false may
	// calls be incremented.
	draining bool
	calls    sync.WaitGroup
	sessions int
	pending  []*session // before their hello, oldest first
}

var _ Registry = (*Server)(nil)

// NewServer returns a server for host self.
func NewServer(self fleet.HostID, opts ServerOptions, logger log.Logger) *Server {
	if opts.MaxConnections == 0 {
		opts.MaxConnections = defaultMaxConnections
	}
	return &Server{
		self:     self,
		opts:     opts,
		logger:   log.With(logger, "component", "peer_server"),
		slots:    make(chan struct{}, maxConcurrentCalls),
		handlers: make(map[string]Handler),
	}
}

// Handle implements Registry.
func (s *Server) Handle(method string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

// Serve serves calls on the configured address until ctx is done, and returns its
// error, or earlier an error if it can't listen.
func (s *Server) Serve(ctx context.Context) error {
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", s.opts.Address)
	if err != nil {
		return eris.Wrap(err, "peer server")
	}
	return s.ServeListener(ctx, ln)
}

// ServeListener accepts connections from ln until ctx is done, waits at most
// shutdownGrace for calls in progress, and closes ln and all connections. It
// returns the error of ctx.
func (s *Server) ServeListener(ctx context.Context, ln net.Listener) error {
	s.setDraining(false)
	connCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		s.setDraining(true)
		_ = ln.Close()
	})
	defer stop()
	defer func() { _ = ln.Close() }()
	s.acceptLoop(ctx, connCtx, ln)
	s.drain()
	return ctx.Err()
}

func (s *Server) setDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// beginCall counts a call as in progress. It returns false if the server is
// draining.
func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		s.calls.Add(1)
	}
	return !s.draining
}

func (s *Server) acceptLoop(ctx, connCtx context.Context, ln net.Listener) {
	for ctx.Err() == nil {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			level.Warn(s.logger).Log("event", "accept_failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		// Here and not in the goroutine, so that the order is that of arrival.
		sess := &session{server: s, accepted: conn, conn: conn}
		if !s.register(sess) {
			level.Warn(s.logger).Log("event", "connection_refused", "address", conn.RemoteAddr(), "connections", s.opts.MaxConnections)
			_ = conn.Close() // nothing was sent on it
			continue
		}
		go s.serveConn(connCtx, sess)
	}
}

func (s *Server) drain() {
	done := make(chan struct{})
	go func() {
		s.calls.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(shutdownGrace):
		level.Warn(s.logger).Log("event", "shutdown_grace_over")
	}
}

// session is one connection from a caller.
type session struct {
	server   *Server
	from     atomic.Pointer[fleet.HostID] // nil before the hello
	accepted net.Conn                     // conn without TLS
	conn     net.Conn
	stream   *stream
}

func (s *Server) serveConn(ctx context.Context, sess *session) {
	defer s.unregister(sess)
	if s.opts.TLS != nil {
		sess.conn = tls.Server(sess.accepted, s.opts.TLS)
	}
	sess.stream = newStream(sess.conn, serverReadTimeout)
	sess.stream.readLimit.Store(maxHelloBytes)
	rpc := jsonrpc2.NewConn(ctx, sess.stream, sess, jsonrpc2.SetLogger(rpcLogger{s.logger}))
	timer := time.AfterFunc(helloTimeout, func() {
		if sess.from.Load() == nil {
			_ = rpc.Close()
		}
	})
	<-rpc.DisconnectNotify()
	timer.Stop()
}

// register counts a connection and reports whether there is room for it. The one that
// has kept its hello back for the longest makes room.
func (s *Server) register(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions >= s.opts.MaxConnections {
		if len(s.pending) == 0 {
			return false
		}
		_ = s.pending[0].accepted.Close() // its session ends and is counted out
		s.pending = s.pending[1:]
	}
	s.sessions++
	s.pending = append(s.pending, sess)
	return true
}

// greeted takes a connection off those that have not sent their hello.
func (s *Server) greeted(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.pending, sess); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
}

func (s *Server) unregister(sess *session) {
	s.greeted(sess)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions--
}

// Handle implements jsonrpc2.Handler. Calls run in goroutines of their own, so they
// do not block the connection.
func (s *session) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == methodHello {
		s.replyFunc(ctx, rpc, req.ID)(s.handleHello(ctx, req))
		return
	}
	from := s.from.Load()
	reply := s.replyFunc(ctx, rpc, req.ID)
	switch {
	case from == nil:
		go reply(nil, &RemoteError{Kind: KindBadRequest, Message: "call before hello"})
	case req.Method == methodPing:
		go reply(struct{}{}, nil)
	default:
		s.admit(ctx, *from, req, reply)
	}
}

// admit runs the handler in its own goroutine if a slot is free, and rejects the
// request otherwise.
func (s *session) admit(ctx context.Context, from fleet.HostID, req *jsonrpc2.Request, reply func(any, error)) {
	select {
	case s.server.slots <- struct{}{}:
	default:
		go reply(nil, &RemoteError{Kind: KindUnavailable, Reason: "overloaded", Message: "too many calls in progress"})
		return
	}
	if !s.server.beginCall() {
		<-s.server.slots
		go reply(nil, &RemoteError{Kind: KindUnavailable, Reason: "draining", Message: "host is shutting down"})
		return
	}
	go func() {
		defer s.server.calls.Done()
		defer func() { <-s.server.slots }()
		ctx, cancel := context.WithTimeout(ctx, requestTimeout(req))
		defer cancel()
		reply(s.server.handle(ctx, from, req))
	}()
}

func requestTimeout(req *jsonrpc2.Request) time.Duration {
	var meta callMeta
	if req.Meta == nil || json.Unmarshal(*req.Meta, &meta) != nil || meta.TimeoutMS <= 0 {
		return maxHandlerTime
	}
	return time.Duration(meta.TimeoutMS) * time.Millisecond
}

// handle runs the handler of a request and converts a panic to an error.
func (s *Server) handle(ctx context.Context, from fleet.HostID, req *jsonrpc2.Request) (response any, err error) {
	s.mu.RLock()
	h, ok := s.handlers[req.Method]
	s.mu.RUnlock()
	if !ok {
		return nil, &RemoteError{Kind: KindBadRequest, Reason: "no_such_method", Message: req.Method}
	}
	defer func() {
		if p := recover(); p != nil {
			level.Error(s.logger).Log("event", "handler_panic", "method", req.Method, "from", from, "panic", fmt.Sprint(p))
			err = &RemoteError{Kind: KindInternal, Reason: "panic", Message: "handler of " + req.Method + " panicked"}
		}
	}()
	params := []byte("null")
	if req.Params != nil {
		params = *req.Params
	}
	return h(ctx, from, params)
}

// handleHello accepts a caller that sends its host ID and, with TLS, has a
// certificate for it. Checking that the right host was reached is up to the caller.
func (s *session) handleHello(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	var h hello
	if req.Params == nil || json.Unmarshal(*req.Params, &h) != nil || h.From == "" {
		return nil, &RemoteError{Kind: KindBadRequest, Message: "malformed hello"}
	}
	if err := verifyCaller(ctx, s.conn, h.From); err != nil {
		level.Warn(s.server.logger).Log("event", "caller_refused", "from", h.From, "err", err)
		return nil, &RemoteError{Kind: KindRefused, Reason: "certificate", Message: err.Error()}
	}
	s.from.Store(&h.From)
	s.stream.readLimit.Store(MaxMessageBytes)
	s.server.greeted(s)
	s.stream.compressionEnabled.Store(h.Compression == compressionFormat)
	return helloReply{Host: s.server.self, Compression: compressionFormat}, nil
}

func verifyCaller(ctx context.Context, conn net.Conn, from fleet.HostID) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return err
	}
	state := tlsConn.ConnectionState()
	if len(state.VerifiedChains) == 0 {
		return &CertificateError{Host: from}
	}
	if err := state.PeerCertificates[0].VerifyHostname(string(from)); err != nil {
		return &CertificateError{Host: from}
	}
	return nil
}

// replyFunc returns a function that sends the response to request id.
func (s *session) replyFunc(ctx context.Context, rpc *jsonrpc2.Conn, id jsonrpc2.ID) func(any, error) {
	return func(response any, err error) {
		resp := &jsonrpc2.Response{ID: id}
		if err == nil {
			err = resp.SetResult(response)
		}
		if err != nil {
			resp.Error = encodeError(err)
		}
		sendErr := rpc.SendResponse(ctx, resp)
		var large *TooLargeError
		if errors.As(sendErr, &large) {
			resp = &jsonrpc2.Response{ID: id, Error: encodeError(large)}
			sendErr = rpc.SendResponse(ctx, resp)
		}
		if sendErr != nil {
			level.Debug(s.server.logger).Log("event", "reply_not_sent", "err", sendErr)
		}
	}
}
