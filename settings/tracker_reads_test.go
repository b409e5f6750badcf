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
type hanging struct {
	store.Store
	hang atomic.Bool
}

func (h *hanging) GetNewer(ctx context.Context, key string, known store.Revision) (store.Entry, bool, error) {
	if h.hang.CompareAndSwap(true, false) {
		<-ctx.Done()
		return store.Entry{}, false, &store.UnavailableError{Op: "read", Cause: ctx.Err()}
	}
	return h.Store.GetNewer(ctx, key, known)
}

// A read that is never answered does not keep the next ones from confirming.
func TestTrackerWithSilentConnection(t *testing.T) {
	h := &hanging{}
	wrap := func(s store.Store) store.Store {
		h.Store = s
		return h
	}
	inBubble(t, wrap, func(t *testing.T, _ *standin.Store, tr *Tracker) {
		time.Sleep(betweenReads)
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
type slowAnswers struct{ store.Store }

func (s slowAnswers) GetNewer(ctx context.Context, key string, known store.Revision) (store.Entry, bool, error) {
	e, newer, err := s.Store.GetNewer(ctx, key, known)
	time.Sleep(betweenReads / 2)
	return e, newer, err
}

// A change that arrives by the watch while a read is under way does not spoil
// the read: what was accepted before it was sent is in force.
func TestTrackerConfirmsAcrossChange(t *testing.T) {
	wrap := func(s store.Store) store.Store { return slowAnswers{s} }
	inBubble(t, wrap, func(t *testing.T, s *standin.Store, tr *Tracker) {
		time.Sleep(betweenReads)
		for i := range 10 {
			time.Sleep(betweenReads + time.Millisecond)
			sent := time.Now().Add(-time.Millisecond)
			revision := change(t, s, i)
			time.Sleep(betweenReads - time.Millisecond)
			if tr.Current().Revision() != revision || !tr.ConfirmedAt().Equal(sent) {
				t.Fatalf("revision %d, confirmed %s after a read was sent", tr.Current().Revision(), tr.ConfirmedAt().Sub(sent))
			}
		}
	})
}

// transfers counts the conditional reads that were answered with a value.
type transfers struct {
	store.Store
	n int
}

func (c *transfers) GetNewer(ctx context.Context, key string, known store.Revision) (store.Entry, bool, error) {
	e, newer, err := c.Store.GetNewer(ctx, key, known)
	if newer {
		c.n++
	}
	return e, newer, err
}

// An idle tracker costs one read a second, without a value, and one waiting
// watch.
func TestTrackerCost(t *testing.T) {
	counted := &transfers{}
	count := func(s store.Store) store.Store {
		counted.Store = s
		return counted
	}
	inBubble(t, count, func(t *testing.T, s *standin.Store, _ *Tracker) {
		time.Sleep(betweenReads)
		before, _ := s.Calls()
		counted.n = 0
		time.Sleep(time.Minute)
		after, writes := s.Calls()
		if after-before != 60 || writes != 1 || counted.n != 0 {
			t.Errorf("%d reads in a minute, %d with a value, %d writes", after-before, counted.n, writes)
		}
	})
}

// unevenAnswers is a store whose conditional reads are answered out of order.
type unevenAnswers struct {
	store.Store
	n atomic.Int64
}

func (s *unevenAnswers) GetNewer(ctx context.Context, key string, known store.Revision) (store.Entry, bool, error) {
	e, newer, err := s.Store.GetNewer(ctx, key, known)
	if s.n.Add(1)%2 == 0 {
		time.Sleep(DefaultConfirmInterval + betweenReads)
	}
	return e, newer, err
}

func TestConfirmedAtNeverGoesBack(t *testing.T) {
	wrap := func(s store.Store) store.Store { return &unevenAnswers{Store: s} }
	inBubble(t, wrap, func(t *testing.T, _ *standin.Store, tr *Tracker) {
		var last time.Time
		for range 100 {
			time.Sleep(betweenReads / 3)
			at := tr.ConfirmedAt()
			if at.Before(last) {
				t.Fatalf("confirmed at %s after %s", at, last)
			}
			last = at
		}
	})
}
