package liveness

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin/silence"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
)

// pair returns a tracked connection and its other end.
func pair(t *testing.T, tracker *Tracker) (tracked, other net.Conn) {
	t.Helper()
	a, b := net.Pipe()
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	go func() { _, _ = io.Copy(io.Discard, b) }()
	return tracker.Track(a), b
}

// answer lets a byte arrive on a connection.
func answer(t *testing.T, c, other net.Conn) {
	t.Helper()
	go func() { _, _ = other.Write([]byte{1}) }()
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// After a call without an answer, the next one must not be lost on a connection that is as silent.
func TestSecondCallIsLostToSameSilence(t *testing.T) {
	tests := map[string]struct {
		after  func(t *testing.T, tracker *Tracker, c, other net.Conn) // the connection was opened
		refuse bool
		alone  bool // all connections are in doubt
	}{
		"idle since before the time-out": {func(_ *testing.T, tracker *Tracker, _, _ net.Conn) {
			tracker.TimedOut(steady.Now() + ProofWindow)
		}, true, true},
		"answered while the answer was overdue": {func(t *testing.T, tracker *Tracker, c, other net.Conn) {
			answer(t, c, other)
			tracker.TimedOut(steady.Now())
		}, false, false},
		"answered before the answer was due": {func(t *testing.T, tracker *Tracker, c, other net.Conn) {
			answer(t, c, other)
			time.Sleep(time.Millisecond)
			tracker.TimedOut(steady.Now() + ProofWindow)
		}, true, true},
		"answered after the time-out": {func(t *testing.T, tracker *Tracker, c, other net.Conn) {
			tracker.TimedOut(steady.Now() + ProofWindow)
			answer(t, c, other)
		}, false, true},
		"another one was closed": {func(_ *testing.T, tracker *Tracker, _, _ net.Conn) {
			tracker.Broken(steady.Now())
		}, true, true},
		"an earlier doubt comes late": {func(t *testing.T, tracker *Tracker, c, other net.Conn) {
			tracker.TimedOut(steady.Now() + ProofWindow)
			answer(t, c, other)
			tracker.TimedOut(steady.Now() - time.Second)
		}, false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			c, other := pair(t, &tracker)
			tt.after(t, &tracker, c, other)
			_, err := c.Write([]byte("call"))
			var doubted *DoubtedError
			if errors.As(err, &doubted) != tt.refuse {
				t.Errorf("a call on it: %v, want it refused: %v", err, tt.refuse)
			}
			opened, _ := pair(t, &tracker)
			if _, err := opened.Write([]byte("call")); err != nil {
				t.Errorf("a call on a new connection: %v", err)
			}
		})
	}
}

// TestRequestAfterTimeoutIsLost plays an http.Client whose idle connections have gone silent.
func TestRequestAfterTimeoutIsLost(t *testing.T) {
	const (
		idle    = 4
		timeout = 500 * time.Millisecond
	)
	var together sync.WaitGroup
	together.Add(idle)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/together" {
			together.Done()
			together.Wait()
		}
	}))
	defer server.Close()
	proxy, err := silence.NewProxy(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	address := proxy.Address()
	client := &http.Client{Transport: NewTransport(&http.Transport{DialContext: new(net.Dialer).DialContext, MaxIdleConnsPerHost: idle})}
	get := func(path string) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	var calls sync.WaitGroup
	for range idle {
		calls.Go(func() {
			if err := get("/together"); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	if n := proxy.Silence(); n != idle {
		t.Fatalf("%d connections are open, want %d", n, idle)
	}
	if err := get("/"); err == nil {
		t.Fatal("a call on a silent connection was answered")
	}
	if err := get("/"); err != nil {
		t.Errorf("the next call was lost, too: %v", err)
	}
}
