package owner

import (
	"fmt"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// refusalRetryInterval is the time after which an entry that the store refused for its
// content is tried again. Its content may have changed, or the store's limit.
const refusalRetryInterval = 5 * time.Second

// heldBackError reports an entry that isn't sent, as the store has refused it lately.
type heldBackError struct {
	key  string
	left time.Duration
}

func (e *heldBackError) Error() string {
	return fmt.Sprintf("owner: %s was refused by the store, next attempt in %v", e.key, e.left)
}

// heldBack are the times before which entries that the store refused aren't sent again.
type heldBack struct {
	mu    sync.Mutex
	until map[string]time.Duration
}

// remaining returns for how much longer the entry at key is held back at now.
func (h *heldBack) remaining(key string, now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.until[key]-now)
}

// set holds back the entry at key until a time.
func (h *heldBack) set(key string, until time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.until == nil {
		h.until = make(map[string]time.Duration)
	}
	h.until[key] = until
}

// refused records that the store refused the entry at key for its content, and returns
// the time before which it isn't tried again.
func (d *dispatcher) refused(key string, err error) time.Duration {
	d.deps.Metrics.Count("store_entries_refused", 1)
	d.deps.Log("entry_refused", "term", d.term, "key", key, "err", err)
	return steady.Now() + refusalRetryInterval
}

// writeRefused holds back a job.
func (d *dispatcher) writeRefused(w dispatch.Write, err error) {
	until := d.refused(intake.ProgressPrefix+string(w.Job), err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.WriteRefused(w, until)
}

// workerWriteRefused holds back the record of a worker.
func (d *dispatcher) workerWriteRefused(w dispatch.WorkerWrite, err error) {
	until := d.refused(intake.WorkerPrefix+string(w.ID), err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.WorkerWriteRefused(w, until)
}

// commitAlone commits the transaction of a single entry, at key. An entry that the store
// refused for its content is held back.
func (d *dispatcher) commitAlone(key string, txn store.Txn) (store.Revision, error) {
	if left := d.heldBack.remaining(key, steady.Now()); left > 0 {
		return 0, &heldBackError{key, left}
	}
	revision, err := d.deps.Store.Commit(txn)
	if store.IsRefused(err) {
		d.heldBack.set(key, d.refused(key, err))
	}
	return revision, err
}
