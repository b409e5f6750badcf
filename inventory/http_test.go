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

// rig is a worker behind a WorkerControl.
type rig struct {
	worker  *standin.Worker
	control inventory.WorkerControl
	address string
}

func newWorker(address string) *standin.Worker {
	info := inventory.Worker{ID: "w1", Address: address, Capacity: fleet.Resources{MilliCores: 4000, MemoryMB: 4000}}
	run := func(inventory.StartRequest) time.Duration { return time.Hour }
	return standin.NewWorker(info, fleet.Resources{}, run, standin.NewRecords())
}

func inProcess(*testing.T) rig {
	w := newWorker("w1:1")
	return rig{worker: w, control: standin.NewWorkers(w), address: "w1:1"}
}

func overHTTP(t *testing.T) rig {
	w := newWorker("w1:1")
	server := httptest.NewServer(w)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	control := inventory.NewHTTPWorkers(inventory.HTTPWorkersOptions{Timeout: 200 * time.Millisecond})
	return rig{worker: w, control: control, address: strings.TrimPrefix(server.URL, "http://")}
}

func startOf(attempt fleet.Attempt, token fleet.Epoch, deadline time.Duration) inventory.StartRequest {
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

func renewOf(token fleet.Epoch, deadline time.Duration) inventory.RenewRequest {
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
	start := func(r rig) (inventory.WorkerReport, error) {
		return r.control.Start(ctx, r.address, startOf(1, 1, time.Minute))
	}
	tests := map[string]struct {
		call       func(r rig) (inventory.WorkerReport, error)
		wantReason inventory.RefusalReason
		wantState  inventory.TaskState // of the first attempt in the report; "" for none
		unknown    bool
	}{
		"a start is reported": {call: start, wantState: inventory.TaskRunning},
		"a second start has no effect": {
			call: func(r rig) (inventory.WorkerReport, error) {
				_, _ = start(r)
				return start(r)
			},
			wantState: inventory.TaskRunning,
		},
		"a late start is refused": {
			call: func(r rig) (inventory.WorkerReport, error) {
				return r.control.Start(ctx, r.address, startOf(1, 1, -time.Second))
			},
			wantReason: inventory.RefusedDeadline,
		},
		"a lower token is refused": {
			call: func(r rig) (inventory.WorkerReport, error) {
				_, _ = r.control.Renew(ctx, r.address, renewOf(7, time.Minute))
				return start(r)
			},
			wantReason: inventory.RefusedFenced,
		},
		"a late renewal is refused": {
			call: func(r rig) (inventory.WorkerReport, error) {
				_, _ = start(r)
				return r.control.Renew(ctx, r.address, renewOf(1, -time.Second))
			},
			wantReason: inventory.RefusedDeadline,
		},
		"a higher token adopts": {
			call: func(r rig) (inventory.WorkerReport, error) {
				_, _ = start(r)
				return r.control.Renew(ctx, r.address, renewOf(2, time.Minute))
			},
			wantState: inventory.TaskRunning,
		},
		"a stop shows the end": {
			call: func(r rig) (inventory.WorkerReport, error) {
				_, _ = start(r)
				return r.control.Stop(ctx, r.address, inventory.StopRequest{AttemptRef: first, Cell: testCell, Token: 1})
			},
			wantState: inventory.TaskStopped,
		},
		"a stopped attempt never starts": {
			call: func(r rig) (inventory.WorkerReport, error) {
				_, _ = r.control.Stop(ctx, r.address, inventory.StopRequest{AttemptRef: first, Cell: testCell, Token: 1})
				return start(r)
			},
			wantReason: inventory.RefusedEnded,
		},
		"a throttle is reported": {
			call: func(r rig) (inventory.WorkerReport, error) {
				_, _ = start(r)
				return r.control.Throttle(ctx, r.address, inventory.ThrottleRequest{AttemptRef: first, Cell: testCell, Token: 1, Share: 0.5})
			},
			wantState: inventory.TaskRunning,
		},
		"a throttle of an unknown attempt is refused": {
			call: func(r rig) (inventory.WorkerReport, error) {
				return r.control.Throttle(ctx, r.address, inventory.ThrottleRequest{AttemptRef: first, Cell: testCell, Token: 1, Share: 0.5})
			},
			wantReason: inventory.RefusedUnknownAttempt,
		},
		"a lost reply is an unknown outcome": {
			call: func(r rig) (inventory.WorkerReport, error) {
				r.worker.SetFaults(standin.WorkerFaults{LoseReply: 1})
				return start(r)
			},
			unknown: true,
		},
		"a dead worker is an unknown outcome": {
			call: func(r rig) (inventory.WorkerReport, error) {
				r.worker.Kill()
				return start(r)
			},
			unknown: true,
		},
	}
	for rigName, open := range map[string]func(*testing.T) rig{"in process": inProcess, "HTTP": overHTTP} {
		for name, tt := range tests {
			t.Run(rigName+"/"+name, func(t *testing.T) {
				report, err := tt.call(open(t))
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
	var lost *inventory.UnknownOutcomeError
	switch {
	case reason != "":
		if !errors.As(err, &refused) || refused.Reason != reason {
			t.Errorf("error %v, want a refusal %s", err, reason)
		}
	case unknown:
		if !errors.As(err, &lost) {
			t.Errorf("error %v, want an unknown outcome", err)
		}
	case err != nil:
		t.Error(err)
	}
}

// TestSilentConnection lets the first connection go silent after its first
// exchange: the call on it ends in time, is not repeated, and the next call
// uses a new connection.
func TestSilentConnection(t *testing.T) {
	var calls, silent atomic.Int32
	var first atomic.Value
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		first.CompareAndSwap(nil, r.RemoteAddr)
		if silent.Load() == 1 && first.Load() == r.RemoteAddr {
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
		_, err := control.Renew(context.Background(), address, renewOf(1, time.Minute))
		return err
	}
	if err := renew(); err != nil {
		t.Fatal(err)
	}
	silent.Store(1)
	began := time.Now()
	checkError(t, renew(), "", true)
	if took := time.Since(began); took > time.Second {
		t.Errorf("call ended after %v", took)
	}
	if err := renew(); err != nil {
		t.Errorf("call on a new connection: %v", err)
	}
	if got := calls.Load(); got != 3 {
		t.Errorf("%d calls arrived, want 3", got)
	}
}

// TestNoCallIsRepeated closes kept connections without an answer.
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
		_, _ = control.Renew(context.Background(), address, renewOf(1, time.Minute))
	}
	if got := calls.Load(); got != 2 {
		t.Errorf("%d calls arrived, want 2", got)
	}
}

// TestForeignAnswers gives answers that are not a worker's.
func TestForeignAnswers(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
	}{
		"conflict without a reason": {http.StatusConflict, `{}`},
		"conflict of a proxy":       {http.StatusConflict, `<html>`},
		"report cut short":          {http.StatusOK, `{"worker":"w1","tasks":[`},
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
			_, err := control.Start(context.Background(), strings.TrimPrefix(server.URL, "http://"), startOf(1, 1, time.Minute))
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
	_, err = control.Start(context.Background(), address, startOf(1, 1, time.Minute))
	checkError(t, err, "", true)
}

// scripted is a HostLister that answers from a list.
type scripted struct {
	answers chan func() (inventory.HostList, bool, error)
}

func (s scripted) Hosts(ctx context.Context, _ int64) (inventory.HostList, bool, error) {
	select {
	case answer := <-s.answers:
		return answer()
	case <-ctx.Done():
		return inventory.HostList{}, false, ctx.Err()
	}
}

func TestPollerVersionNeverGoesBack(t *testing.T) {
	lister := scripted{answers: make(chan func() (inventory.HostList, bool, error))}
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
		// The next read begins after the answer was taken.
		lister.answers <- func() (inventory.HostList, bool, error) { return inventory.HostList{}, false, nil }
		if got := poller.Hosts().Version; got != step.want {
			t.Errorf("version %d after an answer of %d, want %d", got, step.version, step.want)
		}
	}
	select {
	case <-changed:
	default:
		t.Error("change was not announced")
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
