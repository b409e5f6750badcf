package shard

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// newIdleManager returns a manager of host a whose Serve is not running.
func newIdleManager(kv store.Store) *Manager {
	return NewManager(Deps{Self: member.Host{ID: "a", Incarnation: 5}, Store: kv, Logger: log.NewNopLogger()})
}

// put writes value as JSON by compare-and-swap and returns the new revision.
func put(t *testing.T, kv store.Store, key string, expect store.Revision, value any) store.Revision {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	revision, err := kv.CompareAndSwap(t.Context(), key, expect, data, 0)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// TestTakeoverAfterTimeoutRereadsTheRenewal checks that an owner keeps its front
// if it has renewed since its renewal was last read.
func TestTakeoverAfterTimeoutRereadsTheRenewal(t *testing.T) {
	kv := standin.NewStore()
	m := newIdleManager(kv)
	claim := Claim{Owner: Owner{Host: "b", Incarnation: 1, Epoch: 1}}
	m.recordClaim(testFront, claim, put(t, kv, claimKey(testFront), 0, claim))
	renewal := put(t, kv, renewalKey("b"), 0, Renewal{Incarnation: 1})
	if _, err := m.readRenewal(t.Context(), "b"); err != nil {
		t.Fatal(err)
	}
	put(t, kv, renewalKey("b"), renewal, Renewal{Incarnation: 1})
	var renewed *OwnerAliveError
	if err := m.operation(actVerifyAndClaim, testFront)(t.Context()); !errors.As(err, &renewed) {
		t.Errorf("error %v, want an *OwnerAliveError", err)
	}
	if o, _ := m.Owner(testFront); o != claim.Owner {
		t.Errorf("the owner changed to %+v", o)
	}
}

// TestConfirmationFencesATakeover checks that a host that has decided to take a
// front over fails to claim it once the owner has confirmed its claim.
func TestConfirmationFencesATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewStore()
		m := newIdleManager(kv)
		m.deps.Runners = map[Kind]Runner{KindFront: idleRunner{}}
		claim := Claim{Owner: Owner{Host: "a", Incarnation: 5, Epoch: 1}}
		decided := put(t, kv, claimKey(testFront), 0, claim)
		m.recordClaim(testFront, claim, decided)
		m.startRunner(testFront, ownershipStart{claim: claim, pauseCount: m.rights.pauseCount.Load()})
		if err := m.renewIfDue(t.Context()); err != nil || !m.MaySend(testFront) {
			t.Fatalf("error %v, may send %v", err, m.MaySend(testFront))
		}
		_, err := kv.CompareAndSwap(t.Context(), claimKey(testFront), decided, []byte("{}"), 0)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			t.Errorf("the write of the other host returned %v, want a conflict", err)
		}
		m.stopRunner(testFront)
	})
}

// TestTakeoverTimeout checks that the timeout counts from the later of the
// owner's renewal and its claim, and never runs out before the renewal was read.
func TestTakeoverTimeout(t *testing.T) {
	now := time.Unix(10000, 0)
	tests := map[string]struct {
		renewalAge, claimAge time.Duration
		host                 fleet.HostID
		want                 bool
	}{
		"old":            {time.Hour, time.Hour, "b", true},
		"recent":         {time.Minute, time.Hour, "b", false},
		"claim recent":   {time.Hour, time.Minute, "b", false},
		"never read":     {time.Hour, time.Hour, "c", false},
		"at the timeout": {10 * time.Minute, time.Hour, "b", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := observedRenewals{"b": {firstSeen: now.Add(-test.renewalAge)}}
			rec := observedClaim{Claim: Claim{Owner: Owner{Host: test.host}}, firstSeen: now.Add(-test.claimAge)}
			if got := b.timedOut(now, rec, 10*time.Minute); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}
