package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/gateway"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// servePipe answers the requests on one in-memory connection, each after the time
// that work returns.
func servePipe(c net.Conn, work func() time.Duration) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		time.Sleep(work())
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

// newPipeGateway returns a gateway that owns in-memory servers, and a function
// that stops it. Both must be called inside a synctest bubble.
func newPipeGateway(servers int, work func() time.Duration, change func(*settings.Resolved)) (*gateway.Gateway, func()) {
	v := &view{list: &inventory.HostList{Version: 1}, changed: make(chan struct{})}
	v.snapshot = &snapshot{
		revision: 1,
		centres:  map[fleet.DataCentre]settings.DataCentre{dc: {Region: "bg", State: settings.DataCentreInService, Cells: 1}},
		values: settings.Resolved{
			RequestTimeoutMS: 2000, ObjectiveMS: 50, Concurrency: 1000, QueueLength: 64, RetryBudgetPercent: 10,
			FirstByteTimeoutMS: 1000, IdleTimeoutMS: 1000, DialTimeoutMS: 100, BufferBytes: 1 << 10,
		},
	}
	change(&v.snapshot.values)
	for i := range servers {
		v.list.Servers = append(v.list.Servers, inventory.Server{
			ID: fleet.ServerID(fmt.Sprintf("s%d", i)), Service: svc, DataCentre: dc, Worker: "w1",
			Address: fmt.Sprintf("s%d", i), Slots: 8, Connections: 64, State: inventory.StateLive,
		})
	}
	net1 := &network{handlers: make(map[fleet.HostID]map[string]peer.Handler), owners: map[shard.ID]fleet.HostID{front: "h1"}}
	p := &port{network: net1, self: "h1"}
	g := gateway.New(gateway.Deps{
		Self: member.Host{ID: "h1", Region: "bg", DataCentre: dc}, Inventory: v, Settings: v, Rights: p, Shards: net1,
		Members: members{v}, Peers: p, Registry: p, Logger: log.NewNopLogger(),
		Dial: func(context.Context, string) (net.Conn, error) {
			client, server := net.Pipe()
			go servePipe(server, work)
			return client, nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = g.Serve(ctx) })
	wg.Go(func() { _ = g.Run(ctx, front, shard.Owner{Host: "h1", Epoch: 1}) })
	synctest.Wait()
	return g, func() {
		cancel()
		wg.Wait()
	}
}

// TestOverload sends requests to a gateway at three times the rate that its
// servers can handle, in simulated time. It checks the useful throughput and how
// fast the other requests are refused.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			servers   = 4
			work      = 20 * time.Millisecond // mean
			duration  = 700 * time.Millisecond
			timeoutMS = "100" // ms
			capacity  = float64(8*servers) / float64(work)
		)
		var mu sync.Mutex
		rng := rand.New(rand.NewPCG(1, 1))
		random := func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return rng.ExpFloat64()
		}
		g, stop := newPipeGateway(servers, func() time.Duration {
			return work/2 + time.Duration(random()*float64(work)/2)
		}, func(*settings.Resolved) {})
		defer stop()
		var wg sync.WaitGroup
		useful, unknown, refused, slowRefusals := 0, 0, 0, 0
		started := time.Now()
		for time.Since(started) < duration {
			time.Sleep(time.Duration(random() / (3 * capacity)))
			wg.Go(func() {
				r := httptest.NewRequest(http.MethodGet, "/svc/reclaim/x", nil)
				r.Header.Set(gateway.HeaderTimeout, timeoutMS)
				w := httptest.NewRecorder()
				begin := time.Now()
				g.ServeHTTP(w, r)
				took := time.Since(begin)
				mu.Lock()
				defer mu.Unlock()
				switch w.Header().Get(gateway.HeaderOutcome) {
				case "answered":
					if time.Since(started) <= duration { // capacity is counted until then
						useful++
					}
				case "not-run":
					refused++
					if w.Header().Get(gateway.HeaderRetryAfterMS) == "" || w.Header().Get("Retry-After") == "" {
						t.Error("a refusal has no retry-after header")
					}
					if took > 10*time.Millisecond {
						slowRefusals++
					}
				default:
					unknown++
				}
			})
		}
		wg.Wait()
		share := float64(useful) / (capacity * float64(duration))
		t.Logf("useful %.3f of capacity, %d unknown, %d refused, %d of them after 10 ms", share, unknown, refused, slowRefusals)
		if share < 0.9 {
			t.Errorf("useful throughput is %.3f of capacity", share)
		}
		if slowRefusals > refused/100 {
			t.Errorf("%d of %d refusals took longer than 10 ms", slowRefusals, refused)
		}
	})
}

// TestStalledServersRefuseWaiting checks that a waiting request is refused well
// before its deadline when the servers stall.
func TestStalledServersRefuseWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stalled := time.Second
		g, stop := newPipeGateway(1, func() time.Duration { return stalled }, func(*settings.Resolved) {})
		defer stop()
		var wg sync.WaitGroup
		call := func(timeout string) (string, time.Duration) {
			r := httptest.NewRequest(http.MethodGet, "/svc/reclaim/x", nil)
			r.Header.Set(gateway.HeaderTimeout, timeout)
			w := httptest.NewRecorder()
			begin := time.Now()
			g.ServeHTTP(w, r)
			return w.Header().Get(gateway.HeaderOutcome), time.Since(begin)
		}
		for range 8 {
			wg.Go(func() { call("2000") })
		}
		synctest.Wait()
		outcome, took := call("800")
		if outcome != "not-run" || took > 450*time.Millisecond {
			t.Errorf("%s after %v of 800ms", outcome, took)
		}
		wg.Wait()
	})
}
