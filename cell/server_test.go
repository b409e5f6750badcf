package cell

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

func TestTasksRunToTheirEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3, 10*time.Second)
		o := h.start("a")
		defer o.stop()
		h.queue.add(30, small)
		if !o.offerUntilDone(2 * time.Minute) {
			t.Fatal("tasks are not done")
		}
		if got := h.queue.outcomes(delegation.OutcomeFinished); got != 30 {
			t.Errorf("%d outcomes finished, want 30", got)
		}
		h.check()
	})
}

// TestJournalInStore keeps the journal in the store's stand-in, which loses
// replies and has an outage, while the cell passes from owner to owner.
func TestJournalInStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3, 30*time.Second)
		kv := standin.NewStore()
		h.open = OpenJournal(wal.Deps{Store: kv, Logger: log.NewNopLogger()})
		first := h.start("a")
		h.queue.add(20, small)
		first.offerUntilDone(5 * time.Second)
		kv.SetFaults(standin.StoreFaults{LoseReply: 3})
		first.offerUntilDone(5 * time.Second)
		second := h.start("b") // the first continues until its next write fails
		second.offerUntilDone(5 * time.Second)
		kv.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(2 * time.Minute)
		kv.SetFaults(standin.StoreFaults{})
		second.offerUntilDone(10 * time.Second)
		second.stop()
		third := h.start("c")
		if !third.offerUntilDone(5 * time.Minute) {
			t.Error("tasks are not done")
		}
		third.stop()
		first.stop()
		h.check()
		if got := h.queue.outcomes(delegation.OutcomeFinished); got != 20 {
			t.Errorf("%d outcomes finished, want 20", got)
		}
		if got := h.queue.outcomes(delegation.OutcomeEvicted); got != 0 {
			t.Errorf("%d tasks evicted, want none", got)
		}
	})
}

// TestLargeOffer offers more tasks than one journal record can accept.
func TestLargeOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3, time.Second)
		h.open = OpenJournal(wal.Deps{Store: standin.NewStore(), Logger: log.NewNopLogger()})
		o := h.start("a")
		defer o.stop()
		h.queue.add(190, fleet.Resources{MilliCores: 50})
		for _, task := range h.queue.tasks {
			task.task.Command = strings.Repeat("x", 6000)
		}
		if !o.offerUntilDone(time.Minute) {
			t.Error("tasks are not done")
		}
		h.check()
	})
}
