package settings

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// hanging is a store whose next conditional read goes silent, as on a
// connection that nothing answers any more.
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

// A read that is never answered does not keep the next ones from confirming.
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
				t.Fatalf("not confirmed for %s", age)
			}
		}
	})
}

// slowAnswers is a store whose conditional reads are answered late.
type slowStore struct{ store.Store }

func (s slowStore) GetNewer(ctx context.Context, key string, known store.Revision) (store.Entry, bool, error) {
	e, newer, err := s.Store.GetNewer(ctx, key, known)
	time.Sleep(halfConfirmInterval / 2)
	return e, newer, err
}

// A change that arrives by the watch while a read is under way does not spoil
// the read: what was accepted before it was sent is in force.
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
				t.Fatalf("revision %d, confirmed %s after a read was sent", tr.Current().Revision(), tr.ConfirmedAt().Sub(sent))
			}
		}
	})
}

// transfers counts the conditional reads that were answered with a value.
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

// An idle tracker costs one read a second, without a value, and one waiting
// watch.
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
			t.Errorf("%d reads in a minute, %d with a value, %d writes", after-before, counted.transfers, writes)
		}
	})
}

// unevenAnswers is a store whose conditional reads are answered out of order.
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
				t.Fatalf("confirmed at %s after %s", at, last)
			}
			last = at
		}
	})
}
