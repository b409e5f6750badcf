package inventory_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

const testCell = "cell/sofia-1/0"

// workerFixture is a worker and the WorkerControl that reaches it.
type workerFixture struct {
	worker  *standin.Worker
	control inventory.WorkerControl
	address string
}

func newWorker(address string) *standin.Worker {
	info := inventory.Worker{ID: "w1", Address: address, Capacity: fleet.Resources{MilliCores: 4000, MemoryMB: 4000}}
	run := func(inventory.StartRequest) time.Duration { return time.Hour }
	return standin.NewWorker(info, fleet.Resources{}, run, standin.NewRecords())
}

func inProcessFixture(*testing.T) workerFixture {
	w := newWorker("w1:1")
	return workerFixture{worker: w, control: standin.NewWorkers(w), address: "w1:1"}
}

func httpFixture(t *testing.T) workerFixture {
	w := newWorker("w1:1")
	server := httptest.NewServer(w)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	control := inventory.NewHTTPWorkers(inventory.HTTPWorkersOptions{Timeout: 200 * time.Millisecond})
	return workerFixture{worker: w, control: control, address: strings.TrimPrefix(server.URL, "http://")}
}

func startRequest(attempt fleet.Attempt, token fleet.Epoch, deadline time.Duration) inventory.StartRequest {
	return inventory.StartRequest{
		Task:       "job/0",
		Attempt:    attempt,
		Cell:       testCell,
		Token:      token,
		DeadlineMS: time.Now().Add(deadline).UnixMilli(),
		LeaseMS:    60_000,
		Resources:  fleet.Resources{MilliCores: 1000},
	}
}

func renewRequest(token fleet.Epoch, deadline time.Duration) inventory.RenewRequest {
	return inventory.RenewRequest{
		Cell:       testCell,
		Token:      token,
		DeadlineMS: time.Now().Add(deadline).UnixMilli(),
		LeaseMS:    60_000,
	}
}

func TestWorkerControlContract(t *testing.T) {
	ctx := context.Background()
	first := inventory.AttemptRef{Task: "job/0", Attempt: 1}
	start := func(r workerFixture) (inventory.WorkerReport, error) {
		return r.control.Start(ctx, r.address, startRequest(1, 1, time.Minute))
	}
	tests := map[string]struct {
		call       func(r workerFixture) (inventory.WorkerReport, error)
		wantReason inventory.RefusalReason
		wantState  inventory.TaskState // of the first attempt in the report; empty for no check
		unknown    bool
	}{
		"a start is reported": {call: start, wantState: inventory.TaskRunning},
		"a second start has no effect": {
			call: func(r workerFixture) (inventory.WorkerReport, error) {
				_, _ = start(r)
				return start(r)
			},
			wantState: inventory.TaskRunning,
		},
		"a late start is refused": {
			call: func(r workerFixture) (inventory.WorkerReport, error) {
				return r.control.Start(ctx, r.address, startRequest(1, 1, -time.Second))
			},
			wantReason: inventory.RefusedDeadline,
		},
		"a lower token is refused": {
			call: func(r workerFixture) (inventory.WorkerReport, error) {
				_, _ = r.control.Renew(ctx, r.address, renewRequest(7, time.Minute))
				return start(r)
			},
			wantReason: inventory.RefusedFenced,
		},
		"a late renewal is refused": {
			call: func(r workerFixture) (inventory.WorkerReport, error) {
				_, _ = start(r)
				return r.control.Renew(ctx, r.address, renewRequest(1, -time.Second))
			},
			wantReason: inventory.RefusedDeadline,
		},
		"a higher token adopts the tasks": {
			call: func(r workerFixture) (inventory.WorkerReport, error) {
				_, _ = start(r)
				return r.control.Renew(ctx, r.address, renewRequest(2, time.Minute))
			},
			wantState: inventory.TaskRunning,
		},
		"a stop shows the end": {
			call: func(r workerFixture) (inventory.WorkerReport, error) {
				_, _ = start(r)
				return r.control.Stop(ctx, r.address, inventory.StopRequest{AttemptRef: first, Cell: testCell, Token: 1})
			},
			wantState: inventory.TaskStopped,
		},
		"a stopped attempt never starts": {
			call: func(r workerFixture) (inventory.WorkerReport, error) {
				_, _ = r.control.Stop(ctx, r.address, inventory.StopRequest{AttemptRef: first, Cell: testCell, Token: 1})
				return start(r)
			},
			wantReason: inventory.RefusedEnded,
		},
		"a throttle is reported": {
			call: func(r workerFixture) (inventory.WorkerReport, error) {
				_, _ = start(r)
				return r.control.Throttle(ctx, r.address, inventory.ThrottleRequest{AttemptRef: first, Cell: testCell, Token: 1, Share: 0.5})
			},
			wantState: inventory.TaskRunning,
		},
		"a throttle of an unknown attempt is refused": {
			call: func(r workerFixture) (inventory.WorkerReport, error) {
				return r.control.Throttle(ctx, r.address, inventory.ThrottleRequest{AttemptRef: first, Cell: testCell, Token: 1, Share: 0.5})
			},
			wantReason: inventory.RefusedUnknownAttempt,
		},
		"a lost reply is an unknown outcome": {
			call: func(r workerFixture) (inventory.WorkerReport, error) {
				r.worker.SetFaults(standin.WorkerFaults{LoseReply: 1})
				return start(r)
			},
			unknown: true,
		},
		"a dead worker is an unknown outcome": {
			call: func(r workerFixture) (inventory.WorkerReport, error) {
				r.worker.Kill()
				return start(r)
			},
			unknown: true,
		},
	}
	for fixtureName, newFixture := range map[string]func(*testing.T) workerFixture{"in process": inProcessFixture, "HTTP": httpFixture} {
		for name, tt := range tests {
			t.Run(fixtureName+"/"+name, func(t *testing.T) {
				report, err := tt.call(newFixture(t))
				checkError(t, err, tt.wantReason, tt.unknown)
				if tt.wantState == "" {
					return
				}
				if len(report.Tasks) != 1 || report.Tasks[0].State != tt.wantState || report.Worker != "w1" {
					t.Errorf("report %+v, want one task %s", report, tt.wantState)
				}
			})
		}
	}
}

func checkError(t *testing.T, err error, reason inventory.RefusalReason, unknown bool) {
	t.Helper()
	var refused *inventory.RefusedError
	var unknownErr *inventory.UnknownOutcomeError
	switch {
	case reason != "":
		if !errors.As(err, &refused) || refused.Reason != reason {
			t.Errorf("error %v, want a refusal with reason %s", err, reason)
		}
	case unknown:
		if !errors.As(err, &unknownErr) {
			t.Errorf("error %v, want an unknown outcome", err)
		}
	case err != nil:
		t.Error(err)
	}
}

// TestUnresponsiveConnection makes the first connection unresponsive after its
// first exchange. The call on it must time out without a retry, and the next call
// must use a new connection.
func TestUnresponsiveConnection(t *testing.T) {
	var calls, blocked atomic.Int32
	var first atomic.Value
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		first.CompareAndSwap(nil, r.RemoteAddr)
		if blocked.Load() == 1 && first.Load() == r.RemoteAddr {
			<-release
			return
		}
		w.Write([]byte(`{"worker":"w1"}`))
	}))
	defer server.Close()
	defer close(release)
	control := inventory.NewHTTPWorkers(inventory.HTTPWorkersOptions{Timeout: 100 * time.Millisecond})
	address := strings.TrimPrefix(server.URL, "http://")
	renew := func() error {
		_, err := control.Renew(context.Background(), address, renewRequest(1, time.Minute))
		return err
	}
	if err := renew(); err != nil {
		t.Fatal(err)
	}
	blocked.Store(1)
	startedAt := time.Now()
	checkError(t, renew(), "", true)
	if took := time.Since(startedAt); took > time.Second {
		t.Errorf("call ended after %v", took)
	}
	if err := renew(); err != nil {
		t.Errorf("call on a new connection: %v", err)
	}
	if got := calls.Load(); got != 3 {
		t.Errorf("%d calls arrived, want 3", got)
	}
}

// TestNoCallIsRepeated closes a reused connection without a response. The client
// must not send the call again.
func TestNoCallIsRepeated(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.Write([]byte(`{"worker":"w1"}`))
	}))
	defer server.Close()
	control := inventory.NewHTTPWorkers(inventory.HTTPWorkersOptions{})
	address := strings.TrimPrefix(server.URL, "http://")
	for range 2 {
		_, _ = control.Renew(context.Background(), address, renewRequest(1, time.Minute))
	}
	if got := calls.Load(); got != 2 {
		t.Errorf("%d calls arrived, want 2", got)
	}
}

// TestUnexpectedResponses checks that responses that no worker sends are reported
// as unknown outcomes.
func TestUnexpectedResponses(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
	}{
		"conflict without a reason": {http.StatusConflict, `{}`},
		"conflict from a proxy":     {http.StatusConflict, `<html>`},
		"truncated report":          {http.StatusOK, `{"worker":"w1","tasks":[`},
		"not found":                 {http.StatusNotFound, ``},
		"redirect":                  {http.StatusTemporaryRedirect, ``},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Location", r.URL.Path)
				w.WriteHeader(tt.status)
				w.Write([]byte(tt.body))
			}))
			defer server.Close()
			control := inventory.NewHTTPWorkers(inventory.HTTPWorkersOptions{})
			_, err := control.Start(context.Background(), strings.TrimPrefix(server.URL, "http://"), startRequest(1, 1, time.Minute))
			checkError(t, err, "", true)
		})
	}
}

func TestUnreachableWorker(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	control := inventory.NewHTTPWorkers(inventory.HTTPWorkersOptions{})
	_, err = control.Start(context.Background(), address, startRequest(1, 1, time.Minute))
	checkError(t, err, "", true)
}

// scriptedLister is a HostLister that returns the results of the functions sent
// to answers.
type scriptedLister struct {
	answers chan func() (inventory.HostList, bool, error)
}

func (s scriptedLister) Hosts(ctx context.Context, _ int64) (inventory.HostList, bool, error) {
	select {
	case answer := <-s.answers:
		return answer()
	case <-ctx.Done():
		return inventory.HostList{}, false, ctx.Err()
	}
}

func TestPollerVersionNeverGoesBack(t *testing.T) {
	lister := scriptedLister{answers: make(chan func() (inventory.HostList, bool, error))}
	poller := inventory.NewPoller(lister, time.Millisecond, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- poller.Serve(ctx) }()
	changed := poller.Changed()
	steps := []struct {
		version int64
		err     error
		want    int64
	}{{5, nil, 5}, {3, nil, 5}, {0, &inventory.HostListError{Cause: context.Canceled}, 5}, {5, nil, 5}, {6, nil, 6}}
	for _, step := range steps {
		lister.answers <- func() (inventory.HostList, bool, error) {
			return inventory.HostList{Version: step.version}, step.err == nil, step.err
		}
		// The next read begins only after the poller has handled this answer.
		lister.answers <- func() (inventory.HostList, bool, error) { return inventory.HostList{}, false, nil }
		if got := poller.Hosts().Version; got != step.want {
			t.Errorf("version %d after an answer of %d, want %d", got, step.version, step.want)
		}
	}
	select {
	case <-changed:
	default:
		t.Error("the channel of Changed was not closed")
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("Serve ended with %v", err)
	}
}

func TestHTTPHostLister(t *testing.T) {
	hosts := standin.NewHostList(0)
	server := httptest.NewServer(hosts)
	defer server.Close()
	lister := inventory.NewHTTPHostLister(server.URL)
	hosts.Update(func(l *inventory.HostList) { l.Workers = []inventory.Worker{{ID: "w1"}} })
	list, newer, err := lister.Hosts(context.Background(), 0)
	if err != nil || !newer || len(list.Workers) != 1 {
		t.Errorf("list %+v, newer %v, error %v", list, newer, err)
	}
	if _, newer, err := lister.Hosts(context.Background(), list.Version); newer || err != nil {
		t.Errorf("newer %v, error %v for the known version", newer, err)
	}
	hosts.SetDown(true)
	var failed *inventory.HostListError
	if _, _, err := lister.Hosts(context.Background(), 0); !errors.As(err, &failed) {
		t.Errorf("error %v, want *HostListError", err)
	}
}
