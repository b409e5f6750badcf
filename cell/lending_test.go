package cell

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

const testTakeBack = 10 * time.Second

// newLendingHarness is a cell of workers of 4 cores. Its clock starts at midnight
// UTC.
func newLendingHarness(t *testing.T, workers int, runTime time.Duration, lender, borrower settings.Guarantees) *harness {
	b := newHarness(t, workers, runTime)
	b.settings.values.TakeBackMS = testTakeBack.Milliseconds()
	b.settings.guarantees = map[fleet.Organisation]settings.Guarantees{"lender": lender, "borrower": borrower}
	return b
}

// runningOf returns how many thousandths of cores run for an organisation.
func (b *harness) runningOf(org fleet.Organisation) int64 {
	sum := int64(0)
	for _, r := range b.records.Runs() {
		if r.State == inventory.TaskRunning && b.queue.tasks[r.Task].task.Organisation == org {
			sum += b.queue.tasks[r.Task].task.Resources.MilliCores
		}
	}
	return sum
}

func (b *harness) wantRunning(lender, borrower int64, evictions int) {
	b.t.Helper()
	if l, o := b.runningOf("lender"), b.runningOf("borrower"); l != lender || o != borrower {
		b.t.Errorf("lender runs %d and borrower %d, want %d and %d", l, o, lender, borrower)
	}
	if got := b.queue.outcomes(delegation.EndEvicted); got != evictions {
		b.t.Errorf("%d evictions, want %d", got, evictions)
	}
}

// TestTakeBackAtTheWindowsEdge lets guarantees begin and end over a cell that
// is full, and both organisations want all of it all the time.
func TestTakeBackAtTheWindowsEdge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLendingHarness(t, 3, time.Hour, settings.Guarantees{"00:02-00:08": 50}, settings.Guarantees{"00:00-00:08": 25, "00:08-00:14": 75})
		o := b.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		b.queue.addFor("borrower", 12, small)
		o.offerUntilDone(time.Minute)
		b.queue.addFor("lender", 12, small)
		until := func(clock time.Duration) { o.offerUntilDone(clock - time.Since(time.Now().Truncate(24*time.Hour))) }
		until(2 * time.Minute)
		b.wantRunning(0, 12_000, 0)
		until(2*time.Minute + testTakeBack)
		b.wantRunning(6000, 6000, 6)
		until(8 * time.Minute)
		b.wantRunning(6000, 6000, 6) // what was lent stays so
		until(8*time.Minute + testTakeBack)
		b.wantRunning(3000, 9000, 9)
		until(20 * time.Minute)
		b.wantRunning(3000, 9000, 9) // nothing is guaranteed, nothing moves
		for _, r := range b.records.Runs()[12:] {
			if r.Attempt > 1 && b.queue.tasks[r.Task].outcomes[0].End == delegation.EndEvicted && r.Checkpoint == "" {
				t.Errorf("%v resumed without its checkpoint", r.AttemptRef)
			}
		}
		b.check()
	})
}

// TestTakeBackOfSeveral needs a whole worker, which comes free bit by bit. A
// task of the borrower waits that fits into a part of it, and for which enough
// is free in all on the other workers, but on none of them.
func TestTakeBackOfSeveral(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLendingHarness(t, 6, time.Hour, settings.Guarantees{"00:00-24:00": 40}, nil)
		o := b.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		b.queue.addFor("borrower", 24, small)
		o.offerUntilDone(testTakeBack)
		onWorker := make(map[fleet.WorkerID]delegation.Task)
		for _, r := range b.records.Runs() {
			onWorker[r.Worker] = b.queue.tasks[r.Task].task
		}
		o.cancelTasks(slices.Collect(maps.Values(onWorker)))
		o.offerUntilDone(testTakeBack)
		b.queue.addFor("lender", 1, fleet.Resources{MilliCores: 4000, MemoryMB: 2000})
		lent := b.queue.pending()[0]
		b.queue.addFor("borrower", 2, fleet.Resources{MilliCores: 2000, MemoryMB: 1000})
		o.set(func() { o.delays = map[string]time.Duration{"stop": 1900 * time.Millisecond} })
		o.offerUntilDone(testTakeBack)
		if got := b.runningOf("lender"); got != 4000 {
			t.Errorf("lender runs %d after the take-back time", got)
		}
		o.offerUntilDone(2 * reservationTime)
		b.wantRunning(4000, 18_000, 3)
		if got := b.queue.tasks[lent.Task].task.Attempt; got != 1 {
			t.Errorf("the lender's task runs as attempt %d, want it to wait for its room", got)
		}
		b.check()
	})
}

// TestTakeBackWaitsForEnds lets tasks end by themselves shortly after a
// guaranteed one needs room.
func TestTakeBackWaitsForEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLendingHarness(t, 3, time.Minute, settings.Guarantees{"00:00-24:00": 50}, nil)
		o := b.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		b.queue.addFor("borrower", 20, small)
		o.offerUntilDone(59 * time.Second)
		b.queue.addFor("lender", 2, small)
		o.offerUntilDone(testTakeBack)
		b.wantRunning(2000, 8000, 0)
		b.check()
	})
}

// TestTakeBackIsRemembered lets an owner find tasks that its predecessor has
// journaled as taken back, but not stopped, and hear late from the worker of
// one. Others would do as well.
func TestTakeBackIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLendingHarness(t, 3, time.Hour, settings.Guarantees{"00:00-24:00": 50}, nil)
		first := b.start("a")
		time.Sleep(500 * time.Millisecond)
		b.queue.addFor("borrower", 12, small)
		first.offerUntilDone(testTakeBack)
		b.queue.addFor("lender", 2, small)
		lender := b.queue.pending()[:2]
		first.offer()
		time.Sleep(2500 * time.Millisecond)
		first.crash()
		chosen := []inventory.AttemptRef{b.records.Runs()[11].AttemptRef, b.records.Runs()[5].AttemptRef}
		entry, err := newCodec().encode(record{Version: recordVersion, AtMS: time.Now().UnixMilli(), TakeBack: chosen})
		if err != nil {
			t.Fatal(err)
		}
		b.log.entries = append(b.log.entries, [][]byte{entry})
		time.Sleep(3 * time.Second) // less than the lease of the tasks
		second := b.start("b")
		defer second.stop()
		slow := slices.IndexFunc(b.workers, func(w *standin.Worker) bool { return w.Info().ID == b.records.Runs()[11].Worker })
		second.set(func() {
			second.delayedAddress = b.workers[slow].Info().Address
			second.delays = map[string]time.Duration{"renew": 1500 * time.Millisecond}
		})
		second.offerUntilDone(testTakeBack)
		b.wantRunning(2000, 10_000, 2)
		for _, task := range lender {
			if got := b.queue.tasks[task.Task].task.Attempt; got != 1 {
				t.Errorf("%s runs as attempt %d, want it to wait for its room", task.Task, got)
			}
		}
		for _, ref := range chosen {
			evicted := func(o delegation.Outcome) bool { return o.AttemptRef == ref && o.End == delegation.EndEvicted }
			if !slices.ContainsFunc(b.queue.tasks[ref.Task].outcomes, evicted) {
				t.Errorf("%v was not stopped", ref)
			}
		}
		b.check()
	})
}

// TestTakeBackOverHandOver ends the owner at each point of a take-back. The
// next one goes on with the same tasks.
func TestTakeBackOverHandOver(t *testing.T) {
	for point := 1; point <= 2*crashPoints; point++ {
		for _, kind := range []string{"journal write", "worker call"} {
			for _, after := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %d, after=%v", kind, point, after), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { takeBackOverHandOver(t, kind, point, after) })
				})
			}
		}
	}
}

func takeBackOverHandOver(t *testing.T, kind string, point int, after bool) {
	b := newLendingHarness(t, 3, time.Hour, settings.Guarantees{"00:00-24:00": 50}, nil)
	b.log.delay = 300 * time.Millisecond
	first := b.start("a")
	time.Sleep(500 * time.Millisecond)
	b.queue.addFor("borrower", 14, small)
	first.offerUntilDone(testTakeBack)
	b.queue.addFor("lender", 3, small)
	var once sync.Once
	crashed := make(chan struct{})
	crash := func() {
		first.crash()
		close(crashed)
	}
	var count atomic.Int64 // calls to several workers go on at once
	hook := func(_ int, isAfter bool) {
		n := count.Load()
		if !isAfter {
			n = count.Add(1)
		}
		if n == int64(point) && isAfter == after {
			once.Do(crash)
		}
	}
	if kind == "journal write" {
		b.log.setHook(hook)
	} else {
		b.setHook(hook)
	}
	go first.offerUntilDone(testTakeBack)
	select {
	case <-crashed:
	case <-time.After(testTakeBack):
		once.Do(crash) // the point lies behind the take-back
	}
	time.Sleep(2 * time.Second) // less than the lease of the tasks
	second := b.start("b")
	defer second.stop()
	second.offerUntilDone(20 * time.Second)
	<-first.done
	b.wantRunning(3000, 9000, 3)
	b.check()
}
