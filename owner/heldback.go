package owner

import (
	"context"
	"time"

	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// heldBackInterval is how often jobs that are held back are tried: a worker that has runs of one
// reports at least every second, and each job is a billed call.
const heldBackInterval = 100 * time.Millisecond

// heldBackLoop adds the jobs that are held back for want of memory as others end.
func (d *dispatcher) heldBackLoop(ctx context.Context) {
	for wait.For(ctx, heldBackInterval) == nil {
		for ctx.Err() == nil && d.addHeldBack() {
		}
	}
}

// addHeldBack adds the next job that is held back, if it is due, and reports whether to go on.
func (d *dispatcher) addHeldBack() bool {
	d.mu.Lock()
	id, due := d.machine.NextHeldBack()
	d.mu.Unlock()
	if !due || steady.Now() >= time.Duration(d.authorityEnd.Load()) {
		return false
	}
	e, err := d.deps.Store.Get(intake.SubmissionPrefix + string(id))
	if err != nil && !isNotFound(err) {
		d.deps.Log("held_back_unread", "job", id, "err", err)
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	held, inherited := d.machine.DropHeldBack(id)
	if err != nil || !held {
		return true
	}
	d.deps.Log("held_back_added", "job", id, "left", d.machine.CountHeldBack(), "held", d.machine.HeldBytes())
	d.addSubmission(id, store.Event{Entry: e}, addition{inherited: inherited})
	return true
}
