package shard_test

import (
	"context"
	"encoding/json"
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
	lines := make(chan line, 100)
	go func() {
		var next line
		for decoder := json.NewDecoder(out); decoder.Decode(&next) == nil; {
			lines <- next
		}
	}()
	begun := time.Now()
	await(t, lines, begun, true)
	begun = freeze(t, child, func() {})
	await(t, lines, begun, false)
	await(t, lines, begun, true)
	begun = freeze(t, child, func() { passOn(t, kv) })
	await(t, lines, begun, false)
	for end := time.After(frozenPause * 2); ; {
		select {
		case line := <-lines:
			if line.Sending {
				t.Fatal("sending after the front had passed on")
			}
		case <-end:
			return
		}
	}
}

// line is what the frozen process prints.
type line struct {
	At         time.Time
	Sending    bool // the new answer of MaySend
	AfterPause bool // it was true at the first question after a pause
}

// await waits for an answer of MaySend after a time.
func await(t *testing.T, lines <-chan line, after time.Time, want bool) {
	t.Helper()
	for end := time.After(10 * time.Second); ; {
		select {
		case line := <-lines:
			if line.AfterPause {
				t.Fatal("sending right after a pause")
			}
			if line.At.After(after) && line.Sending == want {
				return
			}
		case <-end:
			t.Fatalf("MaySend did not turn %v", want)
		}
	}
}

// freeze stops the process for a while and returns when it lets it go on.
func freeze(t *testing.T, child *exec.Cmd, meanwhile func()) time.Time {
	t.Helper()
	if err := child.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * frozenPause)
	meanwhile()
	resumed := time.Now()
	if err := child.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	return resumed
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
		Timing:           shard.Timing{SettleDelay: 50 * time.Millisecond, PauseThreshold: frozenPause},
		Logger:           log.NewNopLogger(),
	})
	go func() { _ = registry.Serve(t.Context()) }()
	go func() { _ = manager.Serve(t.Context()) }()
	var may bool
	out := json.NewEncoder(os.Stdout)
	for last := time.Now(); ; time.Sleep(100 * time.Microsecond) {
		before := time.Now()
		next := manager.MaySend(frozenFront)
		leak := next && before.Sub(last) > frozenPause*3/2
		if leak || next != may {
			_ = out.Encode(line{At: time.Now(), Sending: next, AfterPause: leak})
		}
		may, last = next, before
	}
}
