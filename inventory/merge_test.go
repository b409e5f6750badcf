package inventory_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// TestPollerMergesChanges applies random changes to the list. The list that the
// poller merges from changes must always equal the list read as a whole.
func TestPollerMergesChanges(t *testing.T) {
	states := rapid.SampledFrom([]inventory.HostState{inventory.StateLive, inventory.StateLeaving, inventory.StateGone})
	rapid.Check(t, func(rt *rapid.T) {
		list := standin.NewHostList(0)
		lister := &countingLister{next: list}
		poller := inventory.NewPoller(lister, 0, log.NewNopLogger())
		for range rapid.IntRange(2, 12).Draw(rt, "polls") {
			for range rapid.IntRange(0, 3).Draw(rt, "changes") {
				n := rapid.IntRange(0, 5).Draw(rt, "entry")
				state := states.Draw(rt, "state")
				list.Update(func(l *inventory.HostList) { upsertEntry(l, n, state) })
			}
			poller.Poll(t.Context())
			whole, newer, err := list.Hosts(t.Context(), 0)
			if err != nil {
				rt.Fatal(err)
			}
			if diff := cmp.Diff(whole, *poller.Hosts()); newer && diff != "" {
				rt.Fatal(diff)
			}
		}
		if lister.wholeReads > 1 {
			rt.Fatalf("the whole list was read %d times, want at most once", lister.wholeReads)
		}
	})
}

// upsertEntry sets the state of the n-th worker, or adds it and an entry host.
func upsertEntry(l *inventory.HostList, n int, state inventory.HostState) {
	worker := inventory.Worker{ID: fleet.WorkerID(fmt.Sprint("w", n)), State: state}
	for i := range l.Workers {
		if l.Workers[i].ID == worker.ID {
			l.Workers[i].State = state
			return
		}
	}
	l.Workers = append(l.Workers, worker)
	l.EntryHosts = append(l.EntryHosts, inventory.EntryHost{ID: "entry", Incarnation: fleet.Incarnation(n), State: state})
}

// countingLister counts the complete lists that its lister returns.
type countingLister struct {
	next       inventory.HostLister
	wholeReads int
}

func (c *countingLister) Hosts(ctx context.Context, known int64) (inventory.HostList, bool, error) {
	list, newer, err := c.next.Hosts(ctx, known)
	if newer && list.Since == 0 {
		c.wholeReads++
	}
	return list, newer, err
}
