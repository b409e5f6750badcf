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

// newIdleManager returns a manager of host a that is not served.
func newIdleManager(kv store.Store) *Manager {
	return NewManager(Deps{Self: member.Host{ID: "a", Incarnation: 5}, Store: kv, Logger: log.NewNopLogger()})
}

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

// An owner that renewed after its renewal was last read keeps its front.
func TestTakeAfterBoundReadsTheRenewal(t *testing.T) {
	kv := standin.NewStore()
	m := newIdleManager(kv)
	claim := Claim{Owner: Owner{Host: "b", Incarnation: 1, Epoch: 1}}
	m.learn(testFront, claim, put(t, kv, claimKey(testFront), 0, claim))
	renewal := put(t, kv, renewalKey("b"), 0, Renewal{Incarnation: 1})
	if _, err := m.readBound(t.Context(), "b"); err != nil {
		t.Fatal(err)
	}
	put(t, kv, renewalKey("b"), renewal, Renewal{Incarnation: 1})
	var renewed *OwnerAliveError
	if err := m.operation(actVerify, testFront)(t.Context()); !errors.As(err, &renewed) {
		t.Errorf("got error %v", err)
	}
	if o, _ := m.Owner(testFront); o != claim.Owner {
		t.Errorf("owner %+v", o)
	}
}

// A host that had decided to take a front must fail once the owner has
// confirmed its claim.
func TestConfirmFencesATaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := standin.NewStore()
		m := newIdleManager(kv)
		m.deps.Runners = map[Kind]Runner{KindFront: idleRunner{}}
		claim := Claim{Owner: Owner{Host: "a", Incarnation: 5, Epoch: 1}}
		decided := put(t, kv, claimKey(testFront), 0, claim)
		m.learn(testFront, claim, decided)
		m.begin(testFront, term{claim: claim, pauses: m.rights.pauses.Load()})
		if err := m.renewIfDue(t.Context()); err != nil || !m.MaySend(testFront) {
			t.Fatalf("error %v, may send %v", err, m.MaySend(testFront))
		}
		_, err := kv.CompareAndSwap(t.Context(), claimKey(testFront), decided, []byte("{}"), 0)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			t.Errorf("the taker's write ended with %v", err)
		}
		m.stop(testFront)
	})
}

func TestBoundsPassed(t *testing.T) {
	now := time.Unix(10000, 0)
	tests := map[string]struct {
		renewalAge, claimAge time.Duration
		host                 fleet.HostID
		want                 bool
	}{
		"old":           {time.Hour, time.Hour, "b", true},
		"recent":        {time.Minute, time.Hour, "b", false},
		"claim recent":  {time.Hour, time.Minute, "b", false},
		"never read":    {time.Hour, time.Hour, "c", false},
		"exactly bound": {10 * time.Minute, time.Hour, "b", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := bounds{"b": {since: now.Add(-test.renewalAge)}}
			rec := record{Claim: Claim{Owner: Owner{Host: test.host}}, seen: now.Add(-test.claimAge)}
			if got := b.passed(now, rec, 10*time.Minute); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}
