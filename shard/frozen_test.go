package shard_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer/peertest"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	frozenStoreEnv = "FROZEN_OWNER_STORE"
	frozenFront    = shard.ID("front/sofia-1/0")
	frozenPause    = 300 * time.Millisecond
	// frozenReportInterval is how often the process reports an unchanged result.
	frozenReportInterval = 10 * time.Millisecond
)

// TestFrozenOwner stops a process that owns a front with SIGSTOP. From the first
// instruction after SIGCONT, the process must not send until it has confirmed its
// claim, and must not send again if the front has a new owner. The store holds back
// all calls until the first check is over: on a busy machine the process may confirm
// its claim before the goroutine that observes it runs.
func TestFrozenOwner(t *testing.T) {
	if url := os.Getenv(frozenStoreEnv); url != "" {
		ownFrozenFront(t, url)
		return
	}
	kv := standin.NewStore()
	calls := &gate{handler: standin.NewStoreServer(kv)}
	server := httptest.NewServer(calls)
	defer server.CloseClientConnections()
	child := exec.Command(os.Args[0], "-test.run=^TestFrozenOwner$")
	child.Env = append(os.Environ(), frozenStoreEnv+"="+server.URL)
	child.Stderr = os.Stderr
	// A stopped process is ended by SIGHUP when its process group loses its last parent.
	child.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = child.Process.Kill()
		_ = child.Wait()
	}()
	observations := make(chan observation, 100)
	go func() {
		var next observation
		for decoder := json.NewDecoder(out); decoder.Decode(&next) == nil; {
			observations <- next
		}
	}()
	awaitMaySend(t, observations)
	for range 2 {
		resumed := freeze(t, child, calls.hold)
		checkMayNotSend(t, observations, resumed, "before it has confirmed its claim after a pause")
		calls.release()
		awaitMaySend(t, observations)
	}
	resumed := freeze(t, child, func() { transferFront(t, kv) })
	checkMayNotSend(t, observations, resumed, "after another host has claimed the front")
}

// gate is an http.Handler that can hold calls back. It starts open.
type gate struct {
	handler http.Handler
	mu      sync.Mutex
	held    chan struct{} // closed by release; nil while open
}

func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = make(chan struct{})
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.held)
	g.held = nil
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	held := g.held
	g.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-r.Context().Done():
			return
		}
	}
	g.handler.ServeHTTP(w, r)
}

// observation is a line of output of the frozen process: a result of MaySend, called
// at a time on the steady clock, which the processes of a host share.
type observation struct {
	CalledAt time.Duration
	MaySend  bool
}

// awaitMaySend waits until the process reports that it may send.
func awaitMaySend(t *testing.T, observations <-chan observation) {
	t.Helper()
	after := steady.Now()
	for end := time.After(10 * time.Second); ; {
		select {
		case next := <-observations:
			if next.MaySend && next.CalledAt >= after {
				return
			}
		case <-end:
			t.Fatal("MaySend did not become true")
		}
	}
}

// checkMayNotSend checks that MaySend is false whenever the process calls it within
// twice frozenPause after it was resumed.
func checkMayNotSend(t *testing.T, observations <-chan observation, resumed time.Duration, when string) {
	t.Helper()
	for end := time.After(10 * time.Second); ; {
		select {
		case next := <-observations:
			if next.CalledAt >= resumed && next.MaySend {
				t.Fatalf("the process may send %s, %s after it was resumed", when, next.CalledAt-resumed)
			}
			if next.CalledAt >= resumed+2*frozenPause {
				return
			}
		case <-end:
			t.Fatal("the process does not report")
		}
	}
}

// freeze stops the process for twice frozenPause, calls meanwhile, resumes the
// process and returns the time on the steady clock before it did so.
func freeze(t *testing.T, child *exec.Cmd, meanwhile func()) (resumed time.Duration) {
	t.Helper()
	if err := child.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	awaitStopped(t, child.Process.Pid)
	time.Sleep(2 * frozenPause)
	meanwhile()
	resumed = steady.Now()
	if err := child.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	return resumed
}

// awaitStopped waits until no thread of a child runs, which is later than the signal.
func awaitStopped(t *testing.T, pid int) {
	t.Helper()
	for {
		var status syscall.WaitStatus
		_, err := syscall.Wait4(pid, &status, syscall.WUNTRACED, nil)
		switch {
		case errors.Is(err, syscall.EINTR):
		case err != nil:
			t.Fatal(err)
		case !status.Stopped():
			t.Fatalf("the process has ended with status %d", status)
		default:
			return
		}
	}
}

// transferFront claims the front for another host, as a host with proof that the
// owner has ended would do.
func transferFront(t *testing.T, kv store.Store) {
	t.Helper()
	entry, err := kv.Get(t.Context(), "claims/"+string(frozenFront))
	if err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(shard.Claim{Owner: shard.Owner{Host: "other", Incarnation: 1, Epoch: 2}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := kv.CompareAndSwap(t.Context(), entry.Key, entry.Revision, value, 0); err != nil {
		t.Fatal(err)
	}
}

// idleRunner is a shard.Runner that does nothing until ctx ends.
type idleRunner struct{}

// Run implements shard.Runner.
func (idleRunner) Run(ctx context.Context, _ shard.ID, _ shard.Owner) error {
	<-ctx.Done()
	return ctx.Err()
}

// ownFrozenFront is the main function of the process that is frozen. It prints
// every change of MaySend, and the unchanged result at least once per
// frozenReportInterval.
func ownFrozenFront(t *testing.T, url string) {
	kv := store.NewHTTP(url, 0)
	self := member.Host{ID: "h1", Incarnation: 1, Region: "sofia", DataCentre: "sofia-1"}
	peers := peertest.NewNetwork().Host("h1")
	registry := member.NewRegistry(member.Deps{Self: self, Store: kv, Peers: peers, Registry: peers, Logger: log.NewNopLogger()})
	manager := shard.NewManager(shard.Deps{
		Self:             self,
		Store:            kv,
		Members:          registry,
		StoreSteadySince: registry.StoreSteadySince,
		Shards:           func() []shard.ID { return []shard.ID{frozenFront} },
		Runners:          map[shard.Kind]shard.Runner{shard.KindFront: idleRunner{}},
		Timing:           shard.Timing{SettleDelay: 50 * time.Millisecond, PauseThreshold: frozenPause},
		Logger:           log.NewNopLogger(),
	})
	go func() { _ = registry.Serve(t.Context()) }()
	go func() { _ = manager.Serve(t.Context()) }()
	var maySend bool
	var reported time.Duration
	for out := json.NewEncoder(os.Stdout); ; time.Sleep(100 * time.Microsecond) {
		now := steady.Now()
		next := manager.MaySend(frozenFront)
		if next == maySend && now-reported < frozenReportInterval {
			continue
		}
		if err := out.Encode(observation{CalledAt: now, MaySend: next}); err != nil {
			t.Fatal(err)
		}
		maySend, reported = next, now
	}
}
