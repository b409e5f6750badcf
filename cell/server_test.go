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
		b := newHarness(t, 3, 10*time.Second)
		o := b.start("a")
		defer o.stop()
		b.queue.add(30, small)
		if !o.offerUntilDone(2 * time.Minute) {
			t.Fatal("tasks are not done")
		}
		if got := b.queue.outcomes(delegation.EndFinished); got != 30 {
			t.Errorf("%d outcomes finished, want 30", got)
		}
		b.check()
	})
}

// TestOverTheStore keeps the journal in the store's stand-in, which loses
// replies and has an outage, while owners follow one another.
func TestOverTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 3, 30*time.Second)
		kv := standin.NewStore()
		b.open = OpenJournal(wal.Deps{Store: kv, Logger: log.NewNopLogger()})
		first := b.start("a")
		b.queue.add(20, small)
		first.offerUntilDone(5 * time.Second)
		kv.SetFaults(standin.StoreFaults{LoseReply: 3})
		first.offerUntilDone(5 * time.Second)
		second := b.start("b") // the first goes on until it collides
		second.offerUntilDone(5 * time.Second)
		kv.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(2 * time.Minute)
		kv.SetFaults(standin.StoreFaults{})
		second.offerUntilDone(10 * time.Second)
		second.stop()
		third := b.start("c")
		if !third.offerUntilDone(5 * time.Minute) {
			t.Error("tasks are not done")
		}
		third.stop()
		first.stop()
		b.check()
		if got := b.queue.outcomes(delegation.EndFinished); got != 20 {
			t.Errorf("%d outcomes finished, want 20", got)
		}
		if got := b.queue.outcomes(delegation.EndEvicted); got != 0 {
			t.Errorf("%d tasks evicted, want none", got)
		}
	})
}

// TestLargeOffer offers more than one journal record takes.
func TestLargeOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 3, time.Second)
		b.open = OpenJournal(wal.Deps{Store: standin.NewStore(), Logger: log.NewNopLogger()})
		o := b.start("a")
		defer o.stop()
		b.queue.add(190, fleet.Resources{MilliCores: 50})
		for _, task := range b.queue.tasks {
			task.task.Command = strings.Repeat("x", 6000)
		}
		if !o.offerUntilDone(time.Minute) {
			t.Error("tasks are not done")
		}
		b.check()
	})
}
