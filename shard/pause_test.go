package shard

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// interceptedStore calls beforeSwap, if set, before each write of a claim, and fails
// the write with its error.
type interceptedStore struct {
	store.Store
	beforeSwap func() error
}

func (s *interceptedStore) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if intercept := s.beforeSwap; intercept != nil && key == claimKey(testFront) {
		s.beforeSwap = nil
		if err := intercept(); err != nil {
			return 0, err
		}
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

// ownTestFront returns an idle manager that runs testFront and may send for it, and
// its store. The claim in the store has the returned revision.
func ownTestFront(t *testing.T) (*Manager, *interceptedStore, store.Revision) {
	t.Helper()
	kv := &interceptedStore{Store: standin.NewStore()}
	m := newIdleManager(kv)
	m.deps.Runners = map[Kind]Runner{KindFront: idleRunner{}}
	revision := recordOwnClaim(t, m, kv)
	m.startRunner(testFront, ownershipStart{claim: m.claimOf(testFront).Claim, pauseCount: m.rights.pauseCount.Load()})
	t.Cleanup(func() { m.stopRunner(testFront) })
	renew(t, m)
	if !m.MaySend(testFront) {
		t.Fatal("the owner may not send")
	}
	return m, kv, max(revision, m.claimOf(testFront).revision)
}

// recordOwnClaim writes a claim of testFront by m, which learns of it.
func recordOwnClaim(t *testing.T, m *Manager, kv store.Store) store.Revision {
	t.Helper()
	claim := Claim{Owner: Owner{Host: m.deps.Self.ID, Incarnation: m.deps.Self.Incarnation, Epoch: 1}, Drained: true}
	revision := put(t, kv, claimKey(testFront), 0, claim)
	m.recordClaim(testFront, claim, revision)
	return revision
}

// renew lets m confirm its claims if they are suspended.
func renew(t *testing.T, m *Manager) {
	t.Helper()
	if err := m.renewIfDue(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// takeOver claims testFront for another host and returns the event of its claim.
func takeOver(t *testing.T, kv store.Store, decided store.Revision) store.Event {
	t.Helper()
	claim := Claim{Owner: Owner{Host: "b", Incarnation: 1, Epoch: 2}}
	value, err := json.Marshal(claim)
	if err != nil {
		t.Fatal(err)
	}
	revision := put(t, kv, claimKey(testFront), decided, claim)
	return store.Event{Entry: store.Entry{Key: claimKey(testFront), Value: value, Revision: revision}}
}

// TestFrontIsUsedAfterAPauseAlthoughItsLossIsKnown checks that a front whose new
// owner is known from the watch is not sent for once the other claims have been
// confirmed after a pause, although its runner has not been stopped yet.
func TestFrontIsUsedAfterAPauseAlthoughItsLossIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, kv, revision := ownTestFront(t)
		m.rights.suspend()
		m.applyEvent(takeOver(t, kv, revision))
		renew(t, m)
		if m.rights.isSuspended() {
			t.Error("the remaining claims have not been confirmed")
		}
		if m.MaySend(testFront) {
			t.Error("the old owner may send")
		}
	})
}

// TestFrontIsUsedAfterItsLossIsKnown checks that sending ends when the manager
// learns of another owner or of the deletion of the claim, not only once its
// runner is being stopped.
func TestFrontIsUsedAfterItsLossIsKnown(t *testing.T) {
	tests := map[string]func(t *testing.T, kv store.Store, revision store.Revision) store.Event{
		"claimed by another host": takeOver,
		"deleted": func(_ *testing.T, _ store.Store, revision store.Revision) store.Event {
			return store.Event{Entry: store.Entry{Key: claimKey(testFront), Revision: revision + 1}, Deleted: true}
		},
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, kv, revision := ownTestFront(t)
				m.applyEvent(lose(t, kv, revision))
				if m.MaySend(testFront) {
					t.Error("the old owner may send")
				}
			})
		})
	}
}

// TestLostFrontIsGranted checks that a claim that was replaced before the runner
// starts gives no right to send.
func TestLostFrontIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, kv, revision := ownTestFront(t)
		claim := m.claimOf(testFront).Claim
		m.stopRunner(testFront)
		m.applyEvent(takeOver(t, kv, revision))
		m.startRunner(testFront, ownershipStart{claim: claim, pauseCount: m.rights.pauseCount.Load()})
		if m.MaySend(testFront) {
			t.Error("the old owner may send")
		}
	})
}

// TestFrontWhoseClaimWasLostForATimeIsNeverSentFor checks that a front whose claim was
// another's for a time is stopped, so that it starts again with a right to send.
func TestFrontWhoseClaimWasLostForATimeIsNeverSentFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, kv, revision := ownTestFront(t)
		own := m.claimOf(testFront).Claim
		lost := takeOver(t, kv, revision)
		m.applyEvent(lost)
		m.recordClaim(testFront, own, put(t, kv, claimKey(testFront), lost.Revision, own))
		m.plan.desired[testFront] = m.deps.Self.ID
		m.deps.StoreSteadySince = func() (time.Time, bool) { return time.Time{}, false }
		if got := decide(m.decisionInput(time.Now(), testFront)); got != actStop {
			t.Fatalf("action %d, want %d", got, actStop)
		}
		m.stopLost(testFront)
		if err := m.adopt(t.Context(), testFront); err != nil || !m.MaySend(testFront) {
			t.Errorf("error %v, may send %v", err, m.MaySend(testFront))
		}
	})
}

// TestHandoverThatFailsAfterAPauseResumesUnconfirmed checks that a front that was
// stopped while the other claims were confirmed after a pause, and starts again since
// it could not be released, is sent for only once its own claim has been confirmed.
func TestHandoverThatFailsAfterAPauseResumesUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, kv, _ := ownTestFront(t)
		m.rights.suspend()
		kv.beforeSwap = func() error {
			renew(t, m)
			return &store.UnavailableError{Op: "write", Cause: context.DeadlineExceeded}
		}
		var unavailable *store.UnavailableError
		if err := m.handOver(t.Context(), testFront); !errors.As(err, &unavailable) {
			t.Fatalf("error %v, want a *store.UnavailableError", err)
		}
		if m.MaySend(testFront) {
			t.Error("the owner may send before its claim has been confirmed")
		}
		renew(t, m)
		if !m.MaySend(testFront) {
			t.Error("the owner may not send after its claim has been confirmed")
		}
	})
}

// TestPauseDuringConfirmationIsOverlooked checks that a confirmation under way at a
// pause does not count after it, however late its answer arrives.
func TestPauseDuringConfirmationIsOverlooked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, kv, _ := ownTestFront(t)
		m.rights.suspend()
		kv.beforeSwap = func() error {
			time.Sleep(m.rights.pauseThreshold + 1)
			return nil
		}
		renew(t, m)
		if m.MaySend(testFront) {
			t.Error("the owner may send before the pause has been counted")
		}
		m.rights.checkPause(time.Now())
		if m.MaySend(testFront) {
			t.Error("the owner may send after the pause has been counted")
		}
		renew(t, m)
		if !m.MaySend(testFront) {
			t.Error("the owner may not send after its claim has been confirmed")
		}
	})
}

// TestAdoptionFencesATakeover checks that a host that has decided to take a front
// over fails to claim it once the owner has adopted it.
func TestAdoptionFencesATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &interceptedStore{Store: standin.NewStore()}
		m := newIdleManager(kv)
		m.deps.Runners = map[Kind]Runner{KindFront: idleRunner{}}
		decided := recordOwnClaim(t, m, kv)
		renew(t, m)
		if err := m.adopt(t.Context(), testFront); err != nil || !m.MaySend(testFront) {
			t.Fatalf("error %v, may send %v", err, m.MaySend(testFront))
		}
		defer m.stopRunner(testFront)
		_, err := kv.CompareAndSwap(t.Context(), claimKey(testFront), decided, []byte("{}"), 0)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			t.Errorf("the write of the other host returned %v, want a conflict", err)
		}
	})
}
