package shard_test

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/store"
)

// linkError is the cause of the failures that a storeLink injects.
type linkError struct{}

func (linkError) Error() string { return "link down" }

// storeLink is the connection of one process to the store, with injected faults.
type storeLink struct {
	store.Store
	mu          sync.Mutex
	down        bool          // calls fail and are not applied
	loseReplies int           // this many of the next writes are applied but their replies lost
	applyLate   time.Duration // if not 0, writes have an unknown outcome and are applied after this time
	dropEvents  bool          // watches deliver no events
	delay       time.Duration // before a write is applied
}

func (l *storeLink) set(change func(*storeLink)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *storeLink) failIfDown() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return &store.UnavailableError{Op: "call", Cause: linkError{}}
	}
	return nil
}

func (l *storeLink) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := l.failIfDown(); err != nil {
		return store.Entry{}, err
	}
	return l.Store.Get(ctx, key)
}

func (l *storeLink) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	if err := l.failIfDown(); err != nil {
		return nil, 0, err
	}
	return l.Store.List(ctx, prefix)
}

func (l *storeLink) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := l.failIfDown(); err != nil {
		return 0, err
	}
	return l.Store.Grant(ctx, ttl)
}

func (l *storeLink) Renew(ctx context.Context, id store.LeaseID) error {
	if err := l.failIfDown(); err != nil {
		return err
	}
	return l.Store.Renew(ctx, id)
}

func (l *storeLink) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := l.failIfDown(); err != nil {
		return err
	}
	return l.Store.Revoke(ctx, id)
}

func (l *storeLink) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if err := l.failIfDown(); err != nil {
		return 0, err
	}
	unknown := &store.UnknownOutcomeError{Op: "write", Key: key, Cause: linkError{}}
	l.mu.Lock()
	late, delay := l.applyLate, l.delay
	lose := l.loseReplies > 0
	if lose {
		l.loseReplies--
	}
	l.mu.Unlock()
	time.Sleep(delay)
	if late > 0 {
		time.AfterFunc(late, func() { _, _ = l.Store.CompareAndSwap(context.Background(), key, expect, value, lease) })
		return 0, unknown
	}
	revision, err := l.Store.CompareAndSwap(ctx, key, expect, value, lease)
	if lose {
		return 0, unknown
	}
	return revision, err
}

func (l *storeLink) Watch(ctx context.Context, prefix string, after store.Revision) (<-chan store.Event, error) {
	if err := l.failIfDown(); err != nil {
		return nil, err
	}
	events, err := l.Store.Watch(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	delivered := make(chan store.Event)
	go func() {
		defer close(delivered)
		for ev := range events {
			l.mu.Lock()
			dropped := l.dropEvents || l.down
			l.mu.Unlock()
			if dropped {
				continue
			}
			select {
			case delivered <- ev:
			case <-ctx.Done():
			}
		}
	}()
	return delivered, nil
}
