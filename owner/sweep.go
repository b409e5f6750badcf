package owner

import (
	"context"
	"time"

	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// sweepInterval is how often ended jobs are looked for that need not be
	// known any more.
	sweepInterval = 5 * time.Second
	// keptFactor times the least time that an ended job is known covers hosts
	// whose clocks differ.
	keptFactor = 1.25
)

// sweepLoop forgets jobs that ended long ago.
func (r *reign) sweepLoop(ctx context.Context) {
	for wait.For(ctx, sweepInterval) == nil {
		keys := r.endedBefore(time.Now().Add(-time.Duration(keptFactor * float64(r.deps.Settings.StatusRetention))))
		for len(keys) > 0 && ctx.Err() == nil {
			n := min(len(keys), store.MaxTxnEntries-1)
			_, err := r.deps.Store.Commit(store.Txn{Checks: []store.Check{{Key: intake.OwnerKey, Revision: r.revision}}, Deletes: keys[:n]})
			if err != nil {
				r.deps.Log("sweep_failed", "keys", len(keys), "err", err)
				break // the next sweep finds them again
			}
			keys = keys[n:]
		}
	}
}

// endedBefore returns the keys of jobs that ended before a time.
func (r *reign) endedBefore(limit time.Time) []string {
	var keys []string
	r.deps.Shared.Each(func(e store.Entry) {
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
