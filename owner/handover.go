package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// reasonDraining is why a term ends whose host shuts down.
const reasonDraining = "draining"

// handoverTimeout bounds how long an owner that shuts down goes on storing what the next one
// has to know. Ownership lasts for at least that long without a renewal.
const handoverTimeout = 500 * time.Millisecond

// handOver stores the changes that are due when an orderly term ends: placements, and which
// workers the next owner need not wait for; at last for how long terms have been claimed.
func (d *dispatcher) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	d.mu.Lock()
	d.machine.BeginHandover()
	d.mu.Unlock()
	for ctx.Err() == nil {
		d.mu.Lock()
		jobs := d.machine.TakeWrites(store.MaxTxnEntries-1, steady.Now())
		records := d.machine.TakeWorkerWrites(store.MaxTxnEntries-1, steady.Now())
		d.mu.Unlock()
		if len(jobs) == 0 && len(records) == 0 {
			d.storeTermAges()
			return
		}
		if len(jobs) > 0 {
			d.commit(jobs)
		}
		if len(records) > 0 {
			d.commitRecords(ctx, records)
		}
	}
}

// storeTermAges stores for how long terms have been claimed by now.
func (d *dispatcher) storeTermAges() {
	value, err := json.Marshal(d.owner.claim(d.term))
	if err == nil {
		_, err = d.deps.Store.Commit(store.Txn{Puts: []store.Put{{Key: intake.TermKey, Value: value}}})
	}
	if err != nil {
		d.deps.Log("term_ages_not_stored", "term", d.term, "err", err)
	}
}
