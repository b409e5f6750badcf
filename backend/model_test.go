package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/backend"
)

// scriptedServer is a server that follows the instructions in the request
// headers. It stops working on a request within Timeouts.Request.
type scriptedServer struct {
	mu         sync.Mutex
	running    int
	maxRunning int
	received   map[string]int
	conns      int
	maxConns   int
}

func (s *scriptedServer) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	s.mu.Lock()
	s.conns++
	s.maxConns = max(s.maxConns, s.conns)
	s.mu.Unlock()
	go s.serve(server)
	return client, nil
}

func (s *scriptedServer) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		s.conns--
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.count(r.Header.Get("X-Request-Id"), 1)
		ms, _ := strconv.Atoi(r.Header.Get("X-Work-Ms"))
		time.Sleep(time.Duration(ms) * time.Millisecond)
		s.count("", -1)
		switch r.Header.Get("X-End") {
		case "close":
			return
		case "silent":
			_, _ = br.ReadByte() // blocks until the client closes
			return
		case "garbage":
			if _, err := c.Write([]byte("no answer\r\n\r\n")); err != nil {
				return
			}
		default:
			if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
				return
			}
		}
	}
}

func (s *scriptedServer) count(id string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
	s.maxRunning = max(s.maxRunning, s.running)
	if id != "" {
		s.received[id]++
	}
}

// step is one request of a random sequence.
type step struct {
	work          int // ms
	end           string
	callerTimeout time.Duration
	pause         time.Duration // before the next step
}

// TestSlotModel sends random requests with random caller timeouts to a server
// that behaves at random. It checks that the server never runs more requests
// than it has slots, that each request is written at most once, and that no slot
// is leaked.
func TestSlotModel(t *testing.T) {
	ms := func(t *rapid.T, lo, hi int, label string) int { return rapid.IntRange(lo, hi).Draw(t, label) }
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				work:          ms(t, 0, 290, "work"),
				end:           rapid.SampledFrom([]string{"answer", "answer", "close", "silent", "garbage"}).Draw(t, "end"),
				callerTimeout: time.Duration(ms(t, 1, 400, "patience")) * time.Millisecond,
				pause:         time.Duration(ms(t, 0, 100, "pause")) * time.Millisecond,
			}
		}), 1, 30).Draw(rt, "steps")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = runSteps(steps) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// runSteps returns a description of the violated invariant, or "".
func runSteps(steps []step) string {
	const modelSlots, modelConnections = 3, 5
	s := &scriptedServer{received: make(map[string]int)}
	p := backend.NewPool("server", backend.Limits{Slots: modelSlots, Connections: modelConnections}, s.dial)
	timeouts := shortTimeouts()
	failure := ""
	var wg sync.WaitGroup
	for i, st := range steps {
		r := newRequest("POST", strconv.Itoa(i), "")
		r.Header.Set("X-Work-Ms", strconv.Itoa(st.work))
		r.Header.Set("X-End", st.end)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), st.callerTimeout)
			defer cancel()
			if resp, err := do(ctx, p, backend.Request{HTTP: r, BufferBytes: 100, Timeouts: timeouts}); err == nil {
				resp.Close()
			}
		})
		time.Sleep(st.pause)
		synctest.Wait()
		if u := p.Usage(); u.Slots > modelSlots || u.Connections > modelConnections || u.Slots < s.runningNow() {
			failure = fmt.Sprintf("pool usage %+v, but the server runs %d requests", u, s.runningNow())
		}
	}
	wg.Wait()
	time.Sleep(timeouts.Request)
	synctest.Wait()
	if u := p.Usage(); u.Slots != 0 {
		failure = fmt.Sprintf("slots were leaked: %+v", u)
	}
	p.Close()
	<-p.Drained()
	synctest.Wait()
	for id, n := range s.received {
		if n > 1 {
			failure = fmt.Sprintf("request %s was written %d times", id, n)
		}
	}
	if s.maxRunning > modelSlots || s.maxConns > modelConnections {
		failure = fmt.Sprintf("the server ran %d requests at once on %d connections", s.maxRunning, s.maxConns)
	}
	return failure
}

func (s *scriptedServer) runningNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// TestLostConnectionsCount checks that connections whose close the server may
// not have noticed keep counting against the connection limit for a while.
func TestLostConnectionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedServer{received: make(map[string]int)}
		p := backend.NewPool("server", backend.Limits{Slots: 1, Connections: 2}, s.dial)
		lose := func() (backend.Outcome, backend.Reason) {
			r := newRequest("POST", "r", "")
			r.Header.Set("X-End", "silent")
			_, err := do(t.Context(), p, backend.Request{HTTP: r, Timeouts: shortTimeouts()})
			time.Sleep(shortTimeouts().Request)
			synctest.Wait()
			return outcome(err)
		}
		for range 2 {
			if got, reason := lose(); got != backend.Unknown || reason != backend.ReasonFirstByte {
				t.Errorf("unresponsive server: outcome %s (%s)", got, reason)
			}
		}
		if got, reason := lose(); got != backend.NotRun || reason != backend.ReasonConnections {
			t.Errorf("no connection left: outcome %s (%s)", got, reason)
		}
		time.Sleep(time.Minute)
		if got, _ := lose(); got != backend.Unknown {
			t.Errorf("once lost connections no longer count: outcome %s", got)
		}
		p.Close()
		<-p.Drained()
	})
}
