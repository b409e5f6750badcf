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

// TestFrozenOwner stops a process that owns a front with SIGSTOP. From the first
// instruction after SIGCONT, the process must not send until it has confirmed its
// claim, and must not send again if the front has a new owner.
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
	observations := make(chan observation, 100)
	go func() {
		var next observation
		for decoder := json.NewDecoder(out); decoder.Decode(&next) == nil; {
			observations <- next
		}
	}()
	resumed := time.Now()
	awaitMaySend(t, observations, resumed, true)
	resumed = freeze(t, child, func() {})
	awaitMaySend(t, observations, resumed, false)
	awaitMaySend(t, observations, resumed, true)
	resumed = freeze(t, child, func() { transferFront(t, kv) })
	awaitMaySend(t, observations, resumed, false)
	for end := time.After(frozenPause * 2); ; {
		select {
		case next := <-observations:
			if next.Sending {
				t.Fatal("the old owner may send after another host has claimed the front")
			}
		case <-end:
			return
		}
	}
}

// observation is a line of output of the frozen process.
type observation struct {
	At         time.Time
	Sending    bool // the new result of MaySend
	AfterPause bool // it was true in the first call after a pause
}

// awaitMaySend waits until the process reports a result of MaySend, observed after
// the given time.
func awaitMaySend(t *testing.T, observations <-chan observation, after time.Time, want bool) {
	t.Helper()
	for end := time.After(10 * time.Second); ; {
		select {
		case next := <-observations:
			if next.AfterPause {
				t.Fatal("the process may send immediately after a pause")
			}
			if next.At.After(after) && next.Sending == want {
				return
			}
		case <-end:
			t.Fatalf("MaySend did not become %v", want)
		}
	}
}

// freeze stops the process for twice frozenPause, calls meanwhile, resumes the
// process and returns the time at which it did so.
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
// every change of MaySend, and each case of MaySend being true immediately after
// a pause.
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
	out := json.NewEncoder(os.Stdout)
	for last := time.Now(); ; time.Sleep(100 * time.Microsecond) {
		before := time.Now()
		next := manager.MaySend(frozenFront)
		sentAfterPause := next && before.Sub(last) > frozenPause*3/2
		if sentAfterPause || next != maySend {
			_ = out.Encode(observation{At: time.Now(), Sending: next, AfterPause: sentAfterPause})
		}
		maySend, last = next, before
	}
}
