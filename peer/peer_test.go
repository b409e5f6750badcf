package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"go.uber.org/goleak"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/peer/peertest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type echo struct {
	Text string        `json:"text"`
	Wait time.Duration `json:"wait"`
}

// registerAll registers the handlers of the methods that the tests call.
func registerAll(r peer.Registry) {
	peer.Register(r, "echo", func(ctx context.Context, from fleet.HostID, req echo) (echo, error) {
		select {
		case <-time.After(req.Wait):
			return echo{Text: string(from) + " " + req.Text}, nil
		case <-ctx.Done():
			return echo{}, ctx.Err()
		}
	})
	peer.Register(r, "refuse", func(context.Context, fleet.HostID, echo) (echo, error) {
		return echo{}, &peer.RemoteError{Kind: peer.KindRefused, Reason: "quota", Message: "no"}
	})
	peer.Register(r, "panic", func(context.Context, fleet.HostID, echo) (echo, error) { panic("handler") })
	peer.Register(r, "large", func(context.Context, fleet.HostID, echo) (string, error) {
		return string(bytes.Repeat([]byte("x"), peer.MaxMessageBytes)), nil
	})
}

// serve runs a server of host b until the returned function is called or the test
// ends.
func serve(t *testing.T, address string, opts peer.ServerOptions) (net.Listener, func()) {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer("b", opts, log.NewNopLogger())
	registerAll(server)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.ServeListener(ctx, ln)
	}()
	stop := sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(stop)
	return ln, stop
}

// client returns a client of host a. Every host but "nowhere" has the address.
func client(t *testing.T, address string, opts peer.ClientOptions) *peer.Client {
	c := peer.NewClient("a", func(id fleet.HostID) (string, bool) { return address, id != "nowhere" }, opts)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func overTCP(t *testing.T) peer.Caller {
	ln, _ := serve(t, "127.0.0.1:0", peer.ServerOptions{})
	return client(t, ln.Addr().String(), peer.ClientOptions{})
}

func inProcess(*testing.T) peer.Caller {
	n := peertest.NewNetwork()
	registerAll(n.Host("b"))
	return n.Host("a")
}

// asError returns the error of type T in err's chain. It fails the test if there is
// none.
func asError[T error](t *testing.T, err error) T {
	t.Helper()
	var target T
	if !errors.As(err, &target) {
		t.Fatalf("error %v, want a %T", err, target)
	}
	return target
}

func TestCallerContract(t *testing.T) {
	for name, open := range map[string]func(*testing.T) peer.Caller{"TCP": overTCP, "in process": inProcess} {
		t.Run(name, func(t *testing.T) {
			caller := open(t)
			var got echo
			if err := caller.Call(t.Context(), "b", "echo", echo{Text: "hello"}, &got); err != nil || got.Text != "a hello" {
				t.Errorf("got %+v, error %v", got, err)
			}
			for method, want := range map[string]peer.RemoteError{
				"refuse":  {Kind: peer.KindRefused, Reason: "quota", Message: "no"},
				"unknown": {Kind: peer.KindBadRequest, Reason: "no_such_method", Message: "unknown"},
			} {
				if err := asError[*peer.RemoteError](t, caller.Call(t.Context(), "b", method, echo{}, nil)); *err != want {
					t.Errorf("%s: got %+v, want %+v", method, *err, want)
				}
			}
			bad := asError[*peer.RemoteError](t, caller.Call(t.Context(), "b", "echo", "not an object", nil))
			if bad.Kind != peer.KindBadRequest {
				t.Errorf("malformed request: %+v", bad)
			}
			_ = asError[*peer.UnreachableError](t, caller.Call(t.Context(), "nowhere", "echo", echo{}, nil))
			ended, cancel := context.WithCancel(t.Context())
			cancel()
			_ = asError[*peer.UnreachableError](t, caller.Call(ended, "b", "echo", echo{}, nil))
		})
	}
}

func TestServerFaults(t *testing.T) {
	caller := overTCP(t)
	if err := asError[*peer.RemoteError](t, caller.Call(t.Context(), "b", "panic", echo{}, nil)); err.Reason != "panic" {
		t.Errorf("panic: %+v", err)
	}
	_ = asError[*peer.RemoteError](t, caller.Call(t.Context(), "b", "large", echo{}, nil))
	large := echo{Text: string(bytes.Repeat([]byte("x"), peer.MaxMessageBytes))}
	cause := asError[*peer.UnreachableError](t, caller.Call(t.Context(), "b", "echo", large, nil))
	_ = asError[*peer.TooLargeError](t, cause)
	_ = asError[*peer.UnreachableError](t, caller.Call(t.Context(), "c", "echo", echo{}, nil)) // c has the address of b
	if err := caller.Call(t.Context(), "b", "echo", echo{}, nil); err != nil {
		t.Errorf("call after the failed ones: %v", err)
	}
}

func TestDeadline(t *testing.T) {
	caller := overTCP(t)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	start := time.Now()
	_ = asError[*peer.UnknownOutcomeError](t, caller.Call(ctx, "b", "echo", echo{Wait: time.Minute}, nil))
	if took := time.Since(start); took > time.Second {
		t.Errorf("call with a timeout of 100 ms took %s", took)
	}
}

func TestServerRestart(t *testing.T) {
	ln, stop := serve(t, "127.0.0.1:0", peer.ServerOptions{})
	caller := client(t, ln.Addr().String(), peer.ClientOptions{})
	call := func() error { return caller.Call(t.Context(), "b", "echo", echo{}, nil) }
	if err := call(); err != nil {
		t.Fatal(err)
	}
	inFlight := make(chan error, 1)
	go func() { inFlight <- caller.Call(t.Context(), "b", "echo", echo{Wait: 200 * time.Millisecond}, nil) }()
	time.Sleep(100 * time.Millisecond)
	stop()
	if err := <-inFlight; err != nil {
		t.Errorf("call in progress at shutdown failed: %v", err)
	}
	time.Sleep(50 * time.Millisecond)
	_ = asError[*peer.UnreachableError](t, call())
	serve(t, ln.Addr().String(), peer.ServerOptions{})
	if err := call(); err != nil {
		t.Errorf("call after the restart failed: %v", err)
	}
}

// proxy forwards connections to a server. It can drop the traffic of connections
// without closing them.
type proxy struct {
	ln       net.Listener
	target   string
	dials    atomic.Int32 // connections accepted
	mu       sync.Mutex
	dropping []*atomic.Bool // by connection: drop its traffic
	conns    []net.Conn
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{ln: ln, target: target}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			all.Go(func() { p.relay(conn) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		p.mu.Lock()
		for _, conn := range p.conns {
			conn.Close()
		}
		p.mu.Unlock()
		all.Wait()
	})
	return p
}

func (p *proxy) relay(conn net.Conn) {
	p.dials.Add(1)
	next, err := net.Dial("tcp", p.target)
	if err != nil {
		conn.Close()
		return
	}
	drop := new(atomic.Bool)
	p.mu.Lock()
	p.dropping = append(p.dropping, drop)
	p.conns = append(p.conns, conn, next)
	p.mu.Unlock()
	var both sync.WaitGroup
	forward := func(to, from net.Conn) {
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				to.Close()
				return
			}
			if !drop.Load() {
				_, _ = to.Write(buffer[:n])
			}
		}
	}
	both.Go(func() { forward(next, conn) })
	both.Go(func() { forward(conn, next) })
	both.Wait()
}

// dropTraffic drops all further traffic of the current connections.
func (p *proxy) dropTraffic() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.dropping {
		s.Store(true)
	}
}

func TestUnresponsiveConnectionIsAbandoned(t *testing.T) {
	tests := map[string]struct {
		timeout  time.Duration // of the call after the traffic is dropped
		maxTaken time.Duration // within which that call must fail
	}{
		"call times out": {100 * time.Millisecond, time.Second},
		"ping times out": {time.Minute, 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ln, _ := serve(t, "127.0.0.1:0", peer.ServerOptions{})
			p := newProxy(t, ln.Addr().String())
			caller := client(t, p.ln.Addr().String(), peer.ClientOptions{KeepAlive: 200 * time.Millisecond})
			call := func(timeout time.Duration) error {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				return caller.Call(ctx, "b", "echo", echo{}, nil)
			}
			if err := call(time.Second); err != nil {
				t.Fatal(err)
			}
			p.dropTraffic()
			start := time.Now()
			_ = asError[*peer.UnknownOutcomeError](t, call(test.timeout))
			if took := time.Since(start); took > test.maxTaken {
				t.Errorf("call on the unresponsive connection took %s", took)
			}
			if err := call(time.Second); err != nil || p.dials.Load() != 2 {
				t.Errorf("next call ended with %v after %d dials, want success after 2", err, p.dials.Load())
			}
		})
	}
}

// TestSlowHandlerKeepsTheConnection guards against abandoning a connection whose
// pings are answered, only because a handler takes longer than KeepAlive.
func TestSlowHandlerKeepsTheConnection(t *testing.T) {
	ln, _ := serve(t, "127.0.0.1:0", peer.ServerOptions{})
	p := newProxy(t, ln.Addr().String())
	caller := client(t, p.ln.Addr().String(), peer.ClientOptions{KeepAlive: 250 * time.Millisecond})
	if err := caller.Call(t.Context(), "b", "echo", echo{Wait: 700 * time.Millisecond}, nil); err != nil {
		t.Error(err)
	}
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() {
			if err := caller.Call(t.Context(), "b", "echo", echo{Wait: 10 * time.Millisecond}, nil); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	if got := p.dials.Load(); got != 1 {
		t.Errorf("%d connections, want 1", got)
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	ln, _ := serve(t, "127.0.0.1:0", peer.ServerOptions{})
	p := newProxy(t, ln.Addr().String())
	caller := client(t, p.ln.Addr().String(), peer.ClientOptions{KeepAlive: 20 * time.Millisecond, IdleTimeout: 50 * time.Millisecond})
	for range 2 {
		if err := caller.Call(t.Context(), "b", "echo", echo{}, nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if got := p.dials.Load(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

// TestServerClosesUnidentifiedConnections guards against connections that occupy the
// server although their caller sends something other than a hello.
func TestServerClosesUnidentifiedConnections(t *testing.T) {
	ln, _ := serve(t, "127.0.0.1:0", peer.ServerOptions{})
	for name, data := range map[string]string{
		"rubbish":  "GET / HTTP/1.1\r\n\r\n",
		"too long": "\xff\xff\xff\xff",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, data); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !isReset(err) {
				t.Errorf("read ended with %v, want a closed connection", err)
			}
		})
	}
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !op.Timeout()
}

func BenchmarkCall(b *testing.B) {
	server := peer.NewServer("b", peer.ServerOptions{}, log.NewNopLogger())
	registerAll(server)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.ServeListener(ctx, ln)
	}()
	caller := peer.NewClient("a", func(fleet.HostID) (string, bool) { return ln.Addr().String(), true }, peer.ClientOptions{})
	b.ReportAllocs()
	for b.Loop() {
		if err := caller.Call(ctx, "b", "echo", echo{Text: "hello"}, nil); err != nil {
			b.Fatal(err)
		}
	}
	_ = caller.Close()
	cancel()
	<-done
}
