package settings

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// hangingStore is a store whose next conditional read gets no response, as on a
// dead connection, if hang is set.
type hangingStore struct {
	store.Store
	hang atomic.Bool
}

func (h *hangingStore) GetNewer(ctx context.Context, key string, known store.Revision) (store.Entry, bool, error) {
	if h.hang.CompareAndSwap(true, false) {
		<-ctx.Done()
		return store.Entry{}, false, &store.UnavailableError{Op: "read", Cause: ctx.Err()}
	}
	return h.Store.GetNewer(ctx, key, known)
}

// A read that never gets a response must not delay later confirming reads.
func TestUnansweredReadDoesNotDelayNextOnes(t *testing.T) {
	h := &hangingStore{}
	wrap := func(s store.Store) store.Store {
		h.Store = s
		return h
	}
	inBubble(t, wrap, func(t *testing.T, _ *standin.Store, tr *Tracker) {
		time.Sleep(halfConfirmInterval)
		h.hang.Store(true)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if age := time.Since(tr.ConfirmedAt()); age > 2*DefaultConfirmInterval {
				t.Fatalf("last confirmed %s ago", age)
			}
		}
	})
}

// slowStore is a store that delays the responses of conditional reads.
type slowStore struct{ store.Store }

func (s slowStore) GetNewer(ctx context.Context, key string, known store.Revision) (store.Entry, bool, error) {
	e, newer, err := s.Store.GetNewer(ctx, key, known)
	time.Sleep(halfConfirmInterval / 2)
	return e, newer, err
}

// A change that arrives by the watch during a read must not invalidate the
// read: every change accepted before it was sent is in force.
func TestTrackerConfirmsAcrossChange(t *testing.T) {
	wrap := func(s store.Store) store.Store { return slowStore{s} }
	inBubble(t, wrap, func(t *testing.T, s *standin.Store, tr *Tracker) {
		time.Sleep(halfConfirmInterval)
		for i := range 10 {
			time.Sleep(halfConfirmInterval + time.Millisecond)
			sent := time.Now().Add(-time.Millisecond)
			revision := changePriority(t, s, i)
			time.Sleep(halfConfirmInterval - time.Millisecond)
			if tr.Current().Revision() != revision || !tr.ConfirmedAt().Equal(sent) {
				t.Fatalf("revision %d, confirmed as of %s after the read was sent", tr.Current().Revision(), tr.ConfirmedAt().Sub(sent))
			}
		}
	})
}

// countingStore is a store that counts the conditional reads that returned a
// value.
type countingStore struct {
	store.Store
	transfers int
}

func (c *countingStore) GetNewer(ctx context.Context, key string, known store.Revision) (store.Entry, bool, error) {
	e, newer, err := c.Store.GetNewer(ctx, key, known)
	if newer {
		c.transfers++
	}
	return e, newer, err
}

// An idle tracker makes one read a second that transfers no value, and holds
// one watch.
func TestTrackerCost(t *testing.T) {
	counted := &countingStore{}
	count := func(s store.Store) store.Store {
		counted.Store = s
		return counted
	}
	inBubble(t, count, func(t *testing.T, s *standin.Store, _ *Tracker) {
		time.Sleep(halfConfirmInterval)
		before, _ := s.Calls()
		counted.transfers = 0
		time.Sleep(time.Minute)
		after, writes := s.Calls()
		if after-before != 60 || writes != 1 || counted.transfers != 0 {
			t.Errorf("got %d reads in a minute, %d with a value, and %d writes", after-before, counted.transfers, writes)
		}
	})
}

// reorderingStore is a store whose conditional reads return out of order.
type reorderingStore struct {
	store.Store
	reads atomic.Int64
}

func (s *reorderingStore) GetNewer(ctx context.Context, key string, known store.Revision) (store.Entry, bool, error) {
	e, newer, err := s.Store.GetNewer(ctx, key, known)
	if s.reads.Add(1)%2 == 0 {
		time.Sleep(DefaultConfirmInterval + halfConfirmInterval)
	}
	return e, newer, err
}

func TestConfirmedAtNeverDecreases(t *testing.T) {
	wrap := func(s store.Store) store.Store { return &reorderingStore{Store: s} }
	inBubble(t, wrap, func(t *testing.T, _ *standin.Store, tr *Tracker) {
		var last time.Time
		for range 100 {
			time.Sleep(halfConfirmInterval / 3)
			at := tr.ConfirmedAt()
			if at.Before(last) {
				t.Fatalf("ConfirmedAt went from %[2]s back to %[1]s", at, last)
			}
			last = at
		}
	})
}
