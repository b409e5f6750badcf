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

// client makes the journal's calls to the store and retries them during outages
// until their outcome is known.
type client struct {
	store     store.Store
	onRetry   func() // called for each call that has to be retried
	onRestart func() // called when recovery starts over
}

func newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryInitial
	retry.MaxInterval = retryMaximum
	return retry
}

// get reads a key, retrying until the store responds. A key that does not exist
// has revision 0.
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

// list reads all keys under prefix, retrying until the store responds.
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

// write writes value at key if the key is at revision expect, and returns the
// new revision. It sends the same bytes until the store is known to hold them.
// Errors are *CollisionError if the key holds anything else, the context's
// error, and permanent errors of the store.
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
			// A conflict may be with an earlier attempt whose reply was lost;
			// only the stored value shows which.
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

// resolve reads key and reports whether it holds value, and at which revision.
// If it reports false without an error, the key is still at revision expect.
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

// notApplied reports whether err means that the store did not apply the write.
func notApplied(err error) bool {
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable)
}

// isPermanent reports whether err means that the store will always reject the
// write.
func isPermanent(err error) bool {
	var large *store.TooLargeError
	var bad *store.BadRequestError
	return errors.As(err, &large) || errors.As(err, &bad)
}
