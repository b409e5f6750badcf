package shard_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer/peertest"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	frozenStoreEnv = "FROZEN_OWNER_STORE"
	frozenFront    = shard.ID("front/sofia-1/0")
	frozenPause    = 300 * time.Millisecond
)

// TestFrozenOwner stops a process that owns a front with SIGSTOP. From its
// first instruction after SIGCONT on it must not send until it has confirmed
// its claim, and never if the front has passed on.
func TestFrozenOwner(t *testing.T) {
	if url := os.Getenv(frozenStoreEnv); url != "" {
		ownFrozenFront(t, url)
		return
	}
	kv := standin.NewStore()
	server := httptest.NewServer(standin.NewStoreServer(kv))
	defer server.CloseClientConnections()
	child := exec.Command(os.Args[0], "-test.run=^TestFrozenOwner$")
	child.Env = append(os.Environ(), frozenStoreEnv+"="+server.URL)
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
	lines := make(chan string, 100)
	go func() {
		for scanner := bufio.NewScanner(out); scanner.Scan(); {
			lines <- scanner.Text()
		}
	}()
	expect(t, lines, "sending true")
	freeze(t, child, func() {})
	expect(t, lines, "sending false")
	expect(t, lines, "sending true")
	freeze(t, child, func() { passOn(t, kv) })
	expect(t, lines, "sending false")
	select {
	case line := <-lines:
		t.Errorf("%q after the front had passed on", line)
	case <-time.After(time.Second):
	}
}

func expect(t *testing.T, lines <-chan string, want string) {
	t.Helper()
	select {
	case line := <-lines:
		if line != want {
			t.Fatalf("got %q, want %q", line, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("no %q", want)
	}
}

func freeze(t *testing.T, child *exec.Cmd, meanwhile func()) {
	t.Helper()
	if err := child.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * frozenPause)
	meanwhile()
	if err := child.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
}

// passOn gives the front to another host, as one with proof would.
func passOn(t *testing.T, kv store.Store) {
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

// waiter is a Runner without anything to do.
type waiter struct{}

// Run implements shard.Runner.
func (waiter) Run(ctx context.Context, _ shard.ID, _ shard.Owner) error {
	<-ctx.Done()
	return ctx.Err()
}

// ownFrozenFront is the process that is frozen. It prints every change of
// MaySend, and each time that it may send right after a pause.
func ownFrozenFront(t *testing.T, url string) {
	kv := store.NewHTTP(url, 0)
	self := member.Host{ID: "h1", Incarnation: 1, Region: "sofia", DataCentre: "sofia-1"}
	peers := peertest.NewNetwork().Host("h1")
	registry := member.NewRegistry(member.Deps{Self: self, Store: kv, Caller: peers, Peers: peers, Logger: log.NewNopLogger()})
	manager := shard.NewManager(shard.Deps{
		Self:             self,
		Store:            kv,
		Members:          registry,
		StoreSteadySince: registry.StoreSteadySince,
		Shards:           func() []shard.ID { return []shard.ID{frozenFront} },
		Runners:          map[shard.Kind]shard.Runner{shard.KindFront: waiter{}},
		Timing:           shard.Timing{Settle: 50 * time.Millisecond, PauseThreshold: frozenPause},
		Logger:           log.NewNopLogger(),
	})
	go func() { _ = registry.Serve(t.Context()) }()
	go func() { _ = manager.Serve(t.Context()) }()
	var may bool
	for last := time.Now(); ; time.Sleep(100 * time.Microsecond) {
		before := time.Now()
		next := manager.MaySend(frozenFront)
		if next && before.Sub(last) > frozenPause {
			fmt.Println("sending after a pause")
		}
		if next != may {
			fmt.Println("sending", next)
		}
		may, last = next, before
	}
}
