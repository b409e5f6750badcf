package wal

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	callTimeout  = 5 * time.Second
	retryInitial = 50 * time.Millisecond
	retryMaximum = 2 * time.Second
)

// client makes the journal's calls and repeats them through outages until
// their outcome is known.
type client struct {
	store     store.Store
	onRetry   func() // counts a call that has to be repeated
	onRestart func() // notes that recovery starts over
}

func newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryInitial
	retry.MaxInterval = retryMaximum
	return retry
}

// get reads a key until the store answers. A key that does not exist has
// revision 0.
func (c *client) get(ctx context.Context, key string) (store.Entry, error) {
	retry := newRetry()
	for {
		e, err := c.tryGet(ctx, key)
		var missing *store.NotFoundError
		switch {
		case err == nil:
			return e, nil
		case errors.As(err, &missing):
			return store.Entry{Key: key}, nil
		}
		c.onRetry()
		if err := wait.For(ctx, retry.NextBackOff()); err != nil {
			return store.Entry{}, err
		}
	}
}

func (c *client) tryGet(ctx context.Context, key string) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.Get(ctx, key)
}

// list reads all keys under prefix until the store answers.
func (c *client) list(ctx context.Context, prefix string) ([]store.Entry, error) {
	retry := newRetry()
	for {
		entries, err := c.tryList(ctx, prefix)
		if err == nil {
			return entries, nil
		}
		c.onRetry()
		if err := wait.For(ctx, retry.NextBackOff()); err != nil {
			return nil, err
		}
	}
}

func (c *client) tryList(ctx context.Context, prefix string) ([]store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, _, err := c.store.List(ctx, prefix)
	return entries, err
}

// write writes value at key against expect and returns the revision that it
// got. It sends the same bytes until they are seen in the store. Errors:
// *CollisionError if the key holds anything else, the context's error, and
// what the store refuses for good.
func (c *client) write(ctx context.Context, key string, expect store.Revision, value []byte) (store.Revision, error) {
	retry := newRetry()
	for {
		rev, err := c.tryWrite(ctx, key, expect, value)
		if err == nil {
			return rev, nil
		}
		if isPermanent(err) {
			return 0, err
		}
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		c.onRetry()
		if !notApplied(err) {
			// A conflict may be with our own write whose reply was lost, so
			// only the value tells.
			rev, written, err := c.resolve(ctx, key, expect, value)
			if written || err != nil {
				return rev, err
			}
		}
		if err := wait.For(ctx, retry.NextBackOff()); err != nil {
			return 0, err
		}
	}
}

// resolve reads key and reports whether value is there. Without an error and
// not written, the key is still at expect.
func (c *client) resolve(ctx context.Context, key string, expect store.Revision, value []byte) (store.Revision, bool, error) {
	e, err := c.get(ctx, key)
	switch {
	case err != nil:
		return 0, false, err
	case e.Revision != expect && bytes.Equal(e.Value, value):
		return e.Revision, true, nil
	case e.Revision != expect:
		return 0, false, eris.Wrap(&CollisionError{Key: key}, "write")
	default:
		return 0, false, nil
	}
}

func (c *client) tryWrite(ctx context.Context, key string, expect store.Revision, value []byte) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.CompareAndSwap(ctx, key, expect, value, 0)
}

func notApplied(err error) bool {
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable)
}

func isPermanent(err error) bool {
	var large *store.TooLargeError
	var bad *store.BadRequestError
	return errors.As(err, &large) || errors.As(err, &bad)
}
