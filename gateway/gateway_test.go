package gateway_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

func instant() time.Duration { return 0 }

// TestFaultTable causes each fault at each point of the exchange, for idempotent
// and other requests, and checks the outcome against what the servers saw.
func TestFaultTable(t *testing.T) {
	const (
		answered = "answered"
		notRun   = "not-run"
		unknown  = "unknown"
	)
	cases := []struct {
		point, name string
		faults      standin.BackendFaults
		down        bool // the servers are closed
		outcome     string
		runs        int // of a non-idempotent request
	}{
		{"before dial", "servers closed", standin.BackendFaults{}, true, notRun, 0},
		{"after dial", "closed at accept", standin.BackendFaults{RefuseDials: true}, false, unknown, 0},
		{"after dial", "lost connections", standin.BackendFaults{StallOpenConnections: true}, false, unknown, 0},
		{"after request", "closed", standin.BackendFaults{DropBefore: true}, false, unknown, 1},
		{"after request", "slow", standin.BackendFaults{Delay: 250 * time.Millisecond}, false, unknown, 1},
		{"after request", "garbage", standin.BackendFaults{Garbage: true}, false, unknown, 1},
		{"after headers", "another request's response", standin.BackendFaults{WrongID: true}, false, unknown, 1},
		{"after headers", "undelimited body", standin.BackendFaults{Undelimited: true}, false, unknown, 1},
		{"in body", "cut", standin.BackendFaults{CutBody: true}, false, unknown, 1},
		{"in body", "silent", standin.BackendFaults{StallAfterHeaders: true}, false, unknown, 1},
		{"in body", "overlong", standin.BackendFaults{BodyTooLong: true}, false, unknown, 1},
		{"after response", "second response", standin.BackendFaults{SecondResponse: true}, false, unknown, 1},
		{"after response", "closed", standin.BackendFaults{CloseAfter: true}, false, answered, 1},
	}
	for _, c := range cases {
		for _, method := range []string{"POST", "GET"} {
			t.Run(c.point+"/"+c.name+"/"+method, func(t *testing.T) {
				t.Parallel()
				s := newSite(t, 2, instant)
				h := s.start(t, "h1", true)
				if !c.faults.RefuseDials {
					warm(t, h)
				}
				s.setFaults(c.faults)
				if c.down {
					for _, b := range s.backends {
						_ = b.Close()
					}
				}
				r := h.call(t.Context(), method, "", "X-Request-Id", "r1")
				if r.err != nil {
					t.Fatal(r.err)
				}
				if method == "GET" && c.faults.StallOpenConnections {
					c.outcome = answered // by a retry on a new connection
				}
				if r.outcome() != c.outcome {
					t.Errorf("outcome %s (%s), want %s", r.outcome(), r.reason(), c.outcome)
				}
				checkStatus(t, r)
				if c.faults.StallOpenConnections {
					// A server that answers on new connections must not be ejected.
					for range 6 {
						if next := h.call(t.Context(), "GET", ""); next.outcome() != answered {
							t.Errorf("next request: %s (%s)", next.outcome(), next.reason())
						}
					}
				}
				n := s.runCount("r1")
				if method == "POST" && n != c.runs {
					t.Errorf("ran %d times, want %d", n, c.runs)
				}
				if method == "GET" && c.outcome == unknown && c.runs == 1 && n < 2 {
					t.Errorf("an idempotent request was not retried")
				}
			})
		}
	}
}

// warm opens a connection to both servers.
func warm(t *testing.T, h *host) {
	t.Helper()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { h.call(t.Context(), "GET", "", "X-Request-Id", "warm") })
	}
	wg.Wait()
}

// checkStatus checks that the status agrees with the outcome.
func checkStatus(t *testing.T, r reply) {
	t.Helper()
	allowed := map[string][]int{"answered": {200}, "not-run": {429, 503}, "unknown": {502, 504}}[r.outcome()]
	for _, s := range allowed {
		if s == r.status {
			return
		}
	}
	t.Errorf("status %d with outcome %q", r.status, r.outcome())
}

// TestRetryOnAnotherServer checks that an idempotent request is answered by
// another server if one server fails, at every point of the exchange.
func TestRetryOnAnotherServer(t *testing.T) {
	for name, f := range map[string]standin.BackendFaults{
		"closed": {DropBefore: true}, "cut": {CutBody: true}, "garbage": {Garbage: true}, "silent": {StallAfterHeaders: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2, instant)
			h := s.start(t, "h1", true)
			s.backends[0].SetFaults(f)
			for range 4 {
				if r := h.call(t.Context(), "GET", "", "X-Request-Id", "r1"); r.outcome() != "answered" {
					t.Errorf("outcome %s (%s)", r.outcome(), r.reason())
				}
			}
		})
	}
}

// TestRetriesAreBounded checks that retries stay within the budget while all
// servers fail.
func TestRetriesAreBounded(t *testing.T) {
	const requests, budget = 100, 10 // a tenth, the retry budget in the settings
	s := newSite(t, 2, instant)
	h := s.start(t, "h1", true)
	s.setFaults(standin.BackendFaults{DropBefore: true})
	for range requests {
		h.call(t.Context(), "GET", "")
	}
	if n := s.runCount(""); n > requests+budget {
		t.Errorf("%d requests ran %d times, above the retry budget", requests, n)
	}
}

// TestFailingServerIsEjected checks that a failing server gets few of the
// requests, and that all requests are answered.
func TestFailingServerIsEjected(t *testing.T) {
	s := newSite(t, 4, instant)
	h := s.start(t, "h1", true)
	s.backends[0].SetFaults(standin.BackendFaults{DropBefore: true})
	for i := range 300 {
		if r := h.call(t.Context(), "GET", ""); r.outcome() != "answered" {
			t.Errorf("request %d: %s (%s)", i, r.outcome(), r.reason())
		}
	}
	if n := len(s.backends[0].Stats().Requests); n == 0 || n > 20 {
		t.Errorf("the failing server got %d of 300 requests", n)
	}
}

// TestTruncatedStream checks that a large response arrives completely, and that a
// truncated one never looks complete.
func TestTruncatedStream(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		s := newSite(t, 1, instant)
		h := s.start(t, "h1", true)
		s.setFaults(standin.BackendFaults{Chunked: chunked})
		r := h.call(t.Context(), "GET", "", "X-Answer-Bytes", "500000")
		if r.err != nil || len(r.body) != 500000 {
			t.Fatalf("%d bytes, %v", len(r.body), r.err)
		}
		s.setFaults(standin.BackendFaults{CutBody: true, Chunked: chunked})
		r = h.call(t.Context(), "GET", "", "X-Answer-Bytes", "500000")
		if r.err == nil {
			t.Errorf("chunked %v: a truncated response of %d bytes looked complete", chunked, len(r.body))
		}
	}
}

// TestSlowReader checks that a caller that does not read its response occupies no
// slot beyond its deadline.
func TestSlowReader(t *testing.T) {
	s := newSite(t, 1, instant)
	s.setSettings(func(v *settings.Resolved, _ map[fleet.DataCentre]settings.DataCentre) { v.RequestTimeoutMS = 400 })
	h := s.start(t, "h1", true)
	conn, err := net.Dial("tcp", strings.TrimSuffix(strings.TrimPrefix(h.url, "http://"), "/svc/reclaim/x"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(4096)
	for range 40 { // pipelined, to fill the buffers on the way
		if _, err := conn.Write([]byte("GET /svc/reclaim/x HTTP/1.1\r\nHost: h\r\nX-Answer-Bytes: 900000\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
	}
	for n := -1; n != s.runCount("") || h.Summary()[svc].Free == 8; time.Sleep(100 * time.Millisecond) {
		n = s.runCount("")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if err := h.Drain(ctx); err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(time.Second); h.Summary()[svc].Free < 8; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a slot is still in use")
		}
	}
}

// TestUnusableServers checks that a server gets no new request once the host sees
// that its data centre is out of service, that the server is leaving or unlisted,
// or that the right to send is lost.
func TestUnusableServers(t *testing.T) {
	out := func(_ *settings.Resolved, c map[fleet.DataCentre]settings.DataCentre) {
		c[dc] = settings.DataCentre{Region: "bg", State: settings.DataCentreOutOfService, Cells: 1}
	}
	for name, change := range map[string]func(*site){
		"data centre out": func(s *site) { s.setSettings(out) },
		"server leaving":  func(s *site) { s.setList(func(l *inventory.HostList) { l.Servers[0].State = inventory.StateLeaving }) },
		"server unlisted": func(s *site) { s.setList(func(l *inventory.HostList) { l.Servers = nil }) },
		"right lost":      nil,
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, instant)
			h := s.start(t, "h1", true)
			warm(t, h)
			if change != nil {
				change(s)
			} else {
				h.port.denied.Store(true)
			}
			before := s.runCount("")
			for range 3 {
				if r := h.call(t.Context(), "POST", ""); r.outcome() != "not-run" {
					t.Errorf("outcome %s (%s)", r.outcome(), r.reason())
				}
			}
			if n := s.runCount(""); n != before {
				t.Errorf("the server got %d requests", n-before)
			}
		})
	}
}

// TestHandover checks that, after its context has ended, Run lets requests in
// progress finish, starts none, and returns only when the server has stopped
// working.
func TestHandover(t *testing.T) {
	s, release := newBlockedSite(t, 60*time.Millisecond)
	h := s.start(t, "h1", true)
	left, leave := context.WithCancel(t.Context())
	defer leave()
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			ctx := t.Context()
			if i < 4 { // callers that disconnect
				ctx = left
			}
			if r := h.call(ctx, "POST", ""); i >= 4 && r.outcome() != "answered" {
				t.Errorf("request in progress not answered: %s (%s) %v", r.outcome(), r.reason(), r.err)
			}
		})
	}
	eventually(t, func() bool { return s.runCount("") == 8 })
	leave()
	h.stop()
	release()
	<-h.ended
	for _, r := range s.backends[0].Stats().Requests {
		if r.Ended.IsZero() {
			t.Error("Run returned while the server was working")
		}
	}
	wg.Wait()
	if r := h.call(t.Context(), "POST", ""); r.outcome() != "not-run" {
		t.Errorf("outcome after Run has returned: %s", r.outcome())
	}
}

// TestEarlierUnknownIsReported lets the only server of a service leave while it
// runs a request that then fails. The outcome of the first exchange stays unknown
// although the retry finds no server and is not run.
func TestEarlierUnknownIsReported(t *testing.T) {
	var s *site
	s = newSite(t, 1, func() time.Duration {
		s.setList(func(l *inventory.HostList) { l.Servers[0].State = inventory.StateLeaving })
		return 0
	})
	h := s.start(t, "h1", true)
	s.setFaults(standin.BackendFaults{DropBefore: true})
	if r := h.call(t.Context(), "GET", "", "X-Request-Id", "r1"); r.outcome() != "unknown" {
		t.Errorf("outcome %s (%s) of a request that ran", r.outcome(), r.reason())
	}
	if n := s.runCount("r1"); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// TestDrain checks that requests in progress and waiting requests are answered
// during a drain, and that new ones are refused.
func TestDrain(t *testing.T) {
	s, release := newBlockedSite(t, 50*time.Millisecond)
	h := s.start(t, "h1", true)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			if r := h.call(t.Context(), "POST", ""); r.outcome() != "answered" {
				t.Errorf("request in progress not answered: %s (%s) %v", r.outcome(), r.reason(), r.err)
			}
		})
	}
	eventually(t, func() bool { return s.runCount("") == 8 && h.Summary()[svc].Waiting == 8 })
	release()
	if err := h.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	if n := s.finished(); n != 16 {
		t.Errorf("the drain ended when the servers had finished %d of 16 requests", n)
	}
	if r := h.call(t.Context(), "POST", ""); r.outcome() != "not-run" || r.reason() != "draining" {
		t.Errorf("after drain: %s (%s)", r.outcome(), r.reason())
	}
	wg.Wait()
}

// finished returns how many requests the servers have finished.
func (s *site) finished() int {
	n := 0
	for _, b := range s.backends {
		for _, r := range b.Stats().Requests {
			if !r.Ended.IsZero() {
				n++
			}
		}
	}
	return n
}
