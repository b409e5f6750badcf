package owner

import (
	"context"
	"time"

	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// sweepInterval is how often jobs past their retention time are deleted.
	sweepInterval = 5 * time.Second
	// retentionFactor extends the minimum retention time of ended jobs to allow
	// for differences between hosts' clocks.
	retentionFactor = 1.25
)

// sweepLoop deletes the states of jobs that are past their retention time.
func (d *dispatcher) sweepLoop(ctx context.Context) {
	for wait.For(ctx, sweepInterval) == nil {
		keys := d.keysEndedBefore(time.Now().Add(-time.Duration(retentionFactor * float64(d.deps.Settings.StatusRetention))))
		for len(keys) > 0 && ctx.Err() == nil {
			n := min(len(keys), store.MaxTxnEntries-1)
			if err := d.sweep(keys[:n]); err != nil {
				d.deps.Log("sweep_failed", "keys", len(keys), "err", err)
				break // retried by the next sweep
			}
			keys = keys[n:]
		}
	}
}

// sweep deletes keys, and returns the first error that is no refusal of a single key.
func (d *dispatcher) sweep(keys []string) error {
	var failed error
	store.CommitDivided(keys, func(keys []string) error {
		_, err := d.deps.Store.Commit(store.Txn{Deletes: keys})
		if failed == nil && !store.IsRefused(err) {
			failed = err
		}
		return err
	}, func(key string, err error) { d.refused(key, err) })
	return failed
}

// keysEndedBefore returns the state keys of jobs that ended before limit.
func (d *dispatcher) keysEndedBefore(limit time.Time) []string {
	var keys []string
	d.deps.Shared.Each(func(e store.Entry) {
		if _, ok := intake.JobIDFromKey(e.Key); !ok {
			return
		}
		record, err := intake.DecodeRecord(e.Value)
		if err == nil && record.State.Final() && record.EndedMS > 0 && record.EndedMS < limit.UnixMilli() {
			keys = append(keys, e.Key)
		}
	})
	return keys
}
