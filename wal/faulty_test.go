package wal

import (
	"context"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// fault describes how one call of one owner to the store is disturbed.
type fault struct {
	before      time.Duration // delay until the call reaches the store
	after       time.Duration // delay until the reply reaches the owner
	pause       time.Duration // the owner's process is suspended after the call
	unavailable bool          // the store is unavailable
	loseReply   bool          // the reply is lost
}

var faultGen = rapid.Custom(func(t *rapid.T) fault {
	delay := rapid.SampledFrom([]time.Duration{0, 0, 0, time.Millisecond, 300 * time.Millisecond, 4 * time.Second, 7 * time.Second, 40 * time.Second})
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return fault{unavailable: true}
	case 1:
		return fault{loseReply: true, before: delay.Draw(t, "before")}
	case 2:
		return fault{before: delay.Draw(t, "before"), after: delay.Draw(t, "after")}
	case 3:
		return fault{pause: delay.Draw(t, "pause")}
	default:
		return fault{before: time.Millisecond}
	}
})

// faultyStore is the store as seen by one owner, with faults. Writes may arrive
// after the owner has stopped waiting, and List does not read all keys at the same
// time. It is used by one owner, which makes one call at a time.
type faultyStore struct {
	*standin.Store
	faults []fault
}

func (f *faultyStore) nextFault() fault {
	if len(f.faults) == 0 {
		return fault{before: time.Millisecond}
	}
	first := f.faults[0]
	f.faults = f.faults[1:]
	return first
}

type answer struct {
	revision store.Revision
	entry    store.Entry
	err      error
}

// call runs do, even after the caller has stopped waiting.
func (f *faultyStore) call(ctx context.Context, do func(context.Context) answer) (answer, error) {
	current := f.nextFault()
	defer time.Sleep(current.pause)
	if current.unavailable {
		return answer{}, &store.UnavailableError{Op: "call", Cause: &standin.DownError{}}
	}
	replied := make(chan answer, 1)
	go func() {
		time.Sleep(current.before)
		a := do(context.WithoutCancel(ctx))
		time.Sleep(current.after)
		if !current.loseReply {
			replied <- a
		}
	}()
	select {
	case a := <-replied:
		return a, a.err
	case <-ctx.Done():
		return answer{}, &store.UnknownOutcomeError{Op: "call", Cause: ctx.Err()}
	}
}

func (f *faultyStore) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	a, err := f.call(ctx, func(ctx context.Context) (a answer) {
		a.revision, a.err = f.Store.CompareAndSwap(ctx, key, expect, value, lease)
		return a
	})
	return a.revision, err
}

func (f *faultyStore) Get(ctx context.Context, key string) (store.Entry, error) {
	a, err := f.call(ctx, func(ctx context.Context) (a answer) {
		a.entry, a.err = f.Store.Get(ctx, key)
		return a
	})
	return a.entry, err
}

// List reads the keys one after another, with a fault for each.
func (f *faultyStore) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	keys, rev, err := f.Store.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	var entries []store.Entry
	for _, k := range keys {
		e, err := f.Get(ctx, k.Key)
		if err != nil {
			return nil, 0, err
		}
		entries = append(entries, e)
	}
	return entries, rev, nil
}
