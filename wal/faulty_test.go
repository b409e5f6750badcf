package wal

import (
	"context"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// fault is what happens to one call of one owner.
type fault struct {
	before      time.Duration // until the call reaches the store
	after       time.Duration // until its reply reaches the owner
	pause       time.Duration // the owner's process then stands still
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

// faultyStore is the store as one owner meets it. Writes may arrive after the
// owner has given up waiting, and a list is not read at one moment. It is
// used by one owner, which makes one call at a time.
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

// call delivers do to the store, even after the caller has given up.
func (f *faultyStore) call(ctx context.Context, do func(context.Context) answer) (answer, error) {
	this := f.nextFault()
	defer time.Sleep(this.pause)
	if this.unavailable {
		return answer{}, &store.UnavailableError{Op: "call", Cause: &standin.DownError{}}
	}
	replied := make(chan answer, 1)
	go func() {
		time.Sleep(this.before)
		a := do(context.WithoutCancel(ctx))
		time.Sleep(this.after)
		if !this.loseReply {
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

// List reads the keys one after another, with a fault at each.
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
