package owner

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// A start that got no answer may be executed up to 12 s later. If its worker has
// crashed meanwhile, has lost its entry and comes back under its ID, the token of
// its next orders must be above that of the start, or the start runs there after
// the task has been done elsewhere.
func TestTokenRisesForReturningWorker(t *testing.T) {
	d, _ := testDispatcher(t)
	worker := workload.Worker{ID: "w2", StartedMS: 1, Service: testService, Address: "127.0.0.1:1", Capacity: fleet.Resources{MilliCores: 8000, MemoryMB: 8000}}
	tokenOf := func(present bool, now time.Duration) int64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		if present {
			d.machine.SetWorker(worker, now)
		} else {
			d.machine.WorkerReported("w2", workload.Report{StartedMS: 1}, now, now)
			d.machine.WorkerGone("w2", now)
		}
		d.syncWorkers(t.Context())
		if w := d.workers["w2"]; w != nil {
			return w.currentToken()
		}
		return 0
	}
	before := tokenOf(true, time.Second)
	if before == 0 {
		t.Fatal("no token for a listed worker")
	}
	if left := tokenOf(false, time.Hour); left != 0 {
		t.Fatalf("the worker still has token %d after it has gone", left)
	}
	worker.StartedMS = 2
	if after := tokenOf(true, 2*time.Hour); after <= before {
		t.Errorf("token %d for the worker that came back, want above %d", after, before)
	}
}

// A process that was paused between its decision and the order finds that another host
// may own dispatching by now: the order must not leave.
func TestOrderIsNotSentWithoutAuthority(t *testing.T) {
	for name, left := range map[string]time.Duration{"authority has ended": -time.Millisecond, "authority is valid": time.Hour} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				_, _ = w.Write([]byte(`{"clock_ms":1}`))
			}))
			defer server.Close()
			d, _ := testDispatcher(t)
			address := strings.TrimPrefix(server.URL, "http://")
			w := &workerLoop{id: "w1", client: platform.NewWorkerClient("w1", address, d.connections), token: 1, clockMS: 1, clockAt: steady.Now(), deadline: time.Hour.Milliseconds()}
			d.authorityEnd.Store(int64(steady.Now() + left))
			for _, kind := range []dispatch.OrderKind{dispatch.OrderStart, dispatch.OrderStop, dispatch.OrderThrottle} {
				d.sendOrder(w, dispatch.Order{Kind: kind, Worker: "w1", Task: workload.TaskName{Job: "a"}, Run: 1})
			}
			want := int64(3)
			if left < 0 {
				want = 0
			}
			if got := calls.Load(); got != want {
				t.Errorf("%d orders were sent, want %d", got, want)
			}
		})
	}
}
