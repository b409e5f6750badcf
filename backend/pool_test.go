package backend_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fuchsiahill/fuchsiahill/backend"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	slots       = 8
	connections = 64
)

func shortTimeouts() backend.Timeouts {
	return backend.Timeouts{
		Dial:      300 * time.Millisecond,
		FirstByte: 80 * time.Millisecond,
		Idle:      80 * time.Millisecond,
		Request:   300 * time.Millisecond,
	}
}

func startBackend(t *testing.T, work func() time.Duration) *standin.Backend {
	t.Helper()
	b, err := standin.StartBackend(inventory.Server{ID: "s1", Address: "127.0.0.1:0", Slots: slots, Connections: connections}, work)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.Close() })
	return b
}

func instant() time.Duration { return 0 }

func newPool(t *testing.T, b *standin.Backend) *backend.Pool {
	t.Helper()
	p := backend.NewPool(b.Info().Address, backend.Limits{Slots: slots, Connections: connections}, nil)
	t.Cleanup(func() {
		p.Close()
		_ = b.Close()
		select {
		case <-p.Drained():
		case <-time.After(3 * time.Second):
			t.Errorf("pool not drained: %+v", p.Usage())
		}
	})
	return p
}

func newRequest(method, id, body string) *http.Request {
	r := &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: "backend", Path: "/x"},
		Header: http.Header{"X-Request-Id": {id}},
	}
	if body != "" {
		r.Body = io.NopCloser(strings.NewReader(body))
		r.ContentLength = int64(len(body))
	}
	return r
}

func do(ctx context.Context, p *backend.Pool, req backend.Request) (*backend.Response, error) {
	slot, ok := p.TryAcquire(nil)
	if !ok {
		return nil, &backend.NotRunError{Reason: "no slot"}
	}
	return slot.Do(ctx, req)
}

type gateFunc func() bool

func (g gateFunc) MaySend() bool { return g() }

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met: %s", what)
		}
	}
}

// outcome returns the outcome and the reason of an exchange from its error.
func outcome(err error) (backend.Outcome, backend.Reason) {
	var notRun *backend.NotRunError
	var unknown *backend.UnknownError
	switch {
	case err == nil:
		return backend.Answered, ""
	case errors.As(err, &notRun):
		return backend.NotRun, notRun.Reason
	case errors.As(err, &unknown):
		return backend.Unknown, unknown.Reason
	}
	return "", ""
}

// TestFaults checks, for each fault, the outcome, how many requests the server
// ran, that the slot stays in use while the server may be working, and that the
// next exchange succeeds.
func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.BackendFaults
		want   backend.Outcome
		reason backend.Reason
		runs   int
		held   bool // the slot is still in use right after the outcome
	}{
		{"none", standin.BackendFaults{}, backend.Answered, "", 1, false},
		{"status 500", standin.BackendFaults{Status: 500}, backend.Answered, "", 1, false},
		{"closed at accept", standin.BackendFaults{RefuseDials: true}, backend.Unknown, backend.ReasonClosed, 0, false},
		{"stalled before header", standin.BackendFaults{Delay: 150 * time.Millisecond}, backend.Unknown, backend.ReasonFirstByte, 1, true},
		{"closed before header", standin.BackendFaults{DropBefore: true}, backend.Unknown, backend.ReasonClosed, 1, false},
		{"garbage", standin.BackendFaults{Garbage: true}, backend.Unknown, backend.ReasonProtocol, 1, false},
		{"wrong ID", standin.BackendFaults{WrongID: true}, backend.Unknown, backend.ReasonRequestIDMismatch, 1, true},
		{"chunked body", standin.BackendFaults{Chunked: true}, backend.Answered, "", 1, false},
		{"truncated chunked body", standin.BackendFaults{CutBody: true, Chunked: true}, backend.Unknown, backend.ReasonTruncated, 1, false},
		{"truncated body", standin.BackendFaults{CutBody: true}, backend.Unknown, backend.ReasonTruncated, 1, false},
		{"stalled in body", standin.BackendFaults{StallAfterHeaders: true}, backend.Unknown, backend.ReasonIdle, 1, true},
		{"overlong body", standin.BackendFaults{BodyTooLong: true}, backend.Unknown, backend.ReasonOverlong, 1, false},
		{"second response", standin.BackendFaults{SecondResponse: true}, backend.Unknown, backend.ReasonOverlong, 1, false},
		{"undelimited body", standin.BackendFaults{Undelimited: true}, backend.Unknown, backend.ReasonProtocol, 1, false},
		{"closed after response", standin.BackendFaults{CloseAfter: true}, backend.Answered, "", 1, false},
	}
	for _, c := range cases {
		for _, buffer := range []int64{1 << 16, 8} {
			name := c.name
			if buffer == 8 {
				name += " streamed"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				b := startBackend(t, instant)
				p := newPool(t, b)
				b.SetFaults(c.faults)
				err := checkExchange(t, p, b, "r1", buffer)
				got, reason := outcome(err)
				if got != c.want || reason != c.reason {
					t.Errorf("outcome %s (%s), want %s (%s): %v", got, reason, c.want, c.reason, err)
				}
				if c.held && p.Usage().Slots != 1 {
					t.Error("the slot was freed while the server may still be working")
				}
				if n := len(b.Stats().Requests); n != c.runs {
					t.Errorf("the server ran %d requests, want %d", n, c.runs)
				}
				b.SetFaults(standin.BackendFaults{})
				if c.faults.CloseAfter {
					// The outcome of a request that is sent while the server closes the
					// connection would be unknown.
					eventually(t, "the close of the server arrived", func() bool { p.CloseIdle(time.Time{}); return p.Usage().Idle == 0 })
				}
				if err := checkExchange(t, p, b, "r2", buffer); err != nil {
					t.Errorf("next exchange: %v", err)
				}
				eventually(t, "all slots free", func() bool { return p.Usage().Slots == 0 })
			})
		}
	}
}

// checkExchange sends one request and checks that a successful response is
// complete and belongs to the request.
func checkExchange(t *testing.T, p *backend.Pool, b *standin.Backend, id string, buffer int64) error {
	t.Helper()
	resp, err := do(t.Context(), p, backend.Request{HTTP: newRequest("POST", id, "data"), BufferBytes: buffer, Timeouts: shortTimeouts()})
	if err != nil {
		return err
	}
	defer resp.Close()
	body := string(resp.Body)
	for {
		part, err := resp.Next(t.Context())
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		body += string(part)
	}
	if want := standin.ResponseBody(b.Info(), id, []byte("data")); body != want {
		t.Errorf("response %q, want %q", body, want)
	}
	return nil
}

// TestNotRunIsExact checks that a request is reported as not run after a failed
// dial, with a closed gate, and when the caller cancels right before the first
// byte, and that the server does not see it in the last two cases.
func TestNotRunIsExact(t *testing.T) {
	t.Run("refused dial", func(t *testing.T) {
		b := startBackend(t, instant)
		p := newPool(t, b)
		if err := checkExchange(t, p, b, "r0", 1<<16); err != nil {
			t.Fatal(err)
		}
		_ = b.Close()
		p.CloseIdle(time.Now())
		_, err := do(t.Context(), p, backend.Request{HTTP: newRequest("POST", "r1", "x"), Timeouts: shortTimeouts()})
		if got, reason := outcome(err); got != backend.NotRun || reason != backend.ReasonDial {
			t.Errorf("got %v", err)
		}
	})
	t.Run("right to send lost", func(t *testing.T) {
		b := startBackend(t, instant)
		p := newPool(t, b)
		req := backend.Request{HTTP: newRequest("POST", "r1", "x"), Timeouts: shortTimeouts(), Gate: gateFunc(func() bool { return false })}
		_, err := do(t.Context(), p, req)
		if got, reason := outcome(err); got != backend.NotRun || reason != backend.ReasonNotAllowed {
			t.Errorf("got %v", err)
		}
		if n := len(b.Stats().Requests); n != 0 {
			t.Errorf("the server saw %d requests", n)
		}
	})
	t.Run("cancelled before the first byte", func(t *testing.T) {
		b := startBackend(t, instant)
		p := newPool(t, b)
		ctx, cancel := context.WithCancel(t.Context())
		gateReached, openGate := make(chan bool), make(chan bool)
		req := backend.Request{HTTP: newRequest("POST", "r1", "x"), Timeouts: shortTimeouts(), Gate: gateFunc(func() bool {
			close(gateReached)
			<-openGate
			return true
		})}
		done := make(chan error)
		go func() {
			_, err := do(ctx, p, req)
			done <- err
		}()
		<-gateReached
		cancel()
		err := <-done
		close(openGate)
		if got, reason := outcome(err); got != backend.NotRun || reason != backend.ReasonCancelled {
			t.Errorf("got %v", err)
		}
		eventually(t, "slot free", func() bool { return p.Usage().Slots == 0 })
		if n := len(b.Stats().Requests); n != 0 {
			t.Errorf("the server saw %d requests", n)
		}
	})
}

// failingConn fails every write after at most limit bytes of it.
type failingConn struct {
	net.Conn
	limit int
}

func (c *failingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b[:min(c.limit, len(b))])
	return n, errors.Join(err, io.ErrClosedPipe)
}

// TestFailedWrite checks that a request is reported as not run only if none of
// its bytes was written.
func TestFailedWrite(t *testing.T) {
	tests := map[string]struct {
		after int
		want  backend.Outcome
		runs  int
	}{
		"before the first byte": {0, backend.NotRun, 0},
		"in the header":         {10, backend.Unknown, 0},
		"after the last byte":   {1 << 16, backend.Answered, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startBackend(t, instant)
			p := backend.NewPool(b.Info().Address, backend.Limits{Slots: slots, Connections: connections},
				func(ctx context.Context, address string) (net.Conn, error) {
					c, err := backend.DialTCP(ctx, address)
					return &failingConn{c, tt.after}, err
				})
			err := checkExchange(t, p, b, "r1", 1<<16)
			if got, _ := outcome(err); got != tt.want {
				t.Errorf("outcome %s, want %s: %v", got, tt.want, err)
			}
			if n := len(b.Stats().Requests); n != tt.runs {
				t.Errorf("the server ran %d requests, want %d", n, tt.runs)
			}
			p.Close()
			<-p.Drained()
		})
	}
}

// TestLostConnections checks that requests on new connections succeed after the
// existing connections were lost in the network.
func TestLostConnections(t *testing.T) {
	b := startBackend(t, instant)
	p := newPool(t, b)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() { _ = checkExchange(t, p, b, "warm", 1<<16) })
	}
	wg.Wait()
	b.SetFaults(standin.BackendFaults{StallOpenConnections: true})
	err := checkExchange(t, p, b, "r1", 1<<16)
	var unknown *backend.UnknownError
	if !errors.As(err, &unknown) || !unknown.Reused || !unknown.Timeout() {
		t.Fatalf("got %v", err)
	}
	p.CloseIdle(time.Now())
	for range 3 {
		if err := checkExchange(t, p, b, "r2", 1<<16); err != nil {
			t.Errorf("exchange on a new connection: %v", err)
		}
	}
}

// TestClosedIdleConnection checks that a connection that the server closed while
// it was idle is not used for a request.
func TestClosedIdleConnection(t *testing.T) {
	b := startBackend(t, instant)
	p := newPool(t, b)
	for range 20 {
		b.SetFaults(standin.BackendFaults{CloseAfter: true})
		if err := checkExchange(t, p, b, "r1", 1<<16); err != nil {
			t.Fatal(err)
		}
		for b.Stats().Connections > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// TestLimitsUnderCancellation uses all slots at once and then lets many requests
// time out at different moments. It checks that the server never saw more
// requests or connections than the limits allow.
func TestLimitsUnderCancellation(t *testing.T) {
	var n atomic.Int64
	all := make(chan struct{})
	b := startBackend(t, func() time.Duration {
		i := n.Add(1)
		if i == slots {
			close(all)
		}
		if i <= slots {
			<-all
		}
		return time.Duration(i%7) * 3 * time.Millisecond
	})
	p := newPool(t, b)
	call := func(timeout time.Duration) {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		if resp, err := do(ctx, p, backend.Request{HTTP: newRequest("GET", "r", ""), BufferBytes: 1 << 10, Timeouts: shortTimeouts()}); err == nil {
			resp.Close()
		}
	}
	var wg sync.WaitGroup
	for range slots {
		wg.Go(func() { call(time.Second) })
	}
	<-all
	for w := range 3 * slots {
		wg.Go(func() {
			for i := range 30 {
				call(time.Duration(1+(w+i)%20) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	stats := b.Stats()
	if stats.MaxRequests != slots || stats.MaxConnections > connections {
		t.Errorf("the server saw %d requests and %d connections at once", stats.MaxRequests, stats.MaxConnections)
	}
}

// rawServer accepts one connection, reads a request from it and calls serve.
func rawServer(t *testing.T, serve func(*net.TCPConn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 1024))
		serve(c.(*net.TCPConn))
	}()
	return ln.Addr().String()
}

// TestEndlessHeader checks that a response whose header never ends is rejected at
// MaxHeaderBytes.
func TestEndlessHeader(t *testing.T) {
	address := rawServer(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for range 1000 {
			if _, err := io.WriteString(c, "X-Line: "+strings.Repeat("x", 1000)+"\r\n"); err != nil {
				return
			}
		}
	})
	p := backend.NewPool(address, backend.Limits{Slots: 1, Connections: 2}, nil)
	_, err := do(t.Context(), p, backend.Request{HTTP: newRequest("GET", "r1", ""), Timeouts: shortTimeouts()})
	var tooLarge *backend.HeaderTooLargeError
	if !errors.As(err, &tooLarge) {
		t.Errorf("got %v", err)
	}
	p.Close()
	<-p.Drained()
}

// TestSlotHeldAfterReset checks that a slot stays in use after a connection
// reset: a middlebox may have sent the reset while the server is still working.
func TestSlotHeldAfterReset(t *testing.T) {
	address := rawServer(t, func(c *net.TCPConn) { _ = c.SetLinger(0) }) // close with a reset
	p := backend.NewPool(address, backend.Limits{Slots: 1, Connections: 2}, nil)
	started := time.Now()
	_, err := do(t.Context(), p, backend.Request{HTTP: newRequest("POST", "r1", ""), Timeouts: shortTimeouts()})
	if got, _ := outcome(err); got != backend.Unknown || p.Usage().Slots != 1 {
		t.Errorf("got %v, %+v", err, p.Usage())
	}
	eventually(t, "slot free", func() bool { return p.Usage().Slots == 0 })
	if took := time.Since(started); took < shortTimeouts().Request-10*time.Millisecond {
		t.Errorf("the slot was freed after %v", took)
	}
}
