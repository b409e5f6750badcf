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

const testReclaimDeadline = 10 * time.Second

// newLendingHarness returns a harness with workers of 4 cores and guarantees for
// two organisations. Its clock starts at midnight UTC.
func newLendingHarness(t *testing.T, workers int, runTime time.Duration, lender, borrower settings.Guarantees) *harness {
	h := newHarness(t, workers, runTime)
	h.settings.values.ReclaimDeadlineMS = testReclaimDeadline.Milliseconds()
	h.settings.guarantees = map[fleet.Organisation]settings.Guarantees{"lender": lender, "borrower": borrower}
	return h
}

// runningOf returns the millicores of an organisation's running tasks.
func (h *harness) runningOf(org fleet.Organisation) int64 {
	sum := int64(0)
	for _, r := range h.records.Runs() {
		if r.State == inventory.TaskRunning && h.queue.tasks[r.Task].task.Organisation == org {
			sum += h.queue.tasks[r.Task].task.Resources.MilliCores
		}
	}
	return sum
}

func (h *harness) wantRunning(lender, borrower int64, evictions int) {
	h.t.Helper()
	if l, borrowed := h.runningOf("lender"), h.runningOf("borrower"); l != lender || borrowed != borrower {
		h.t.Errorf("lender runs %d and borrower %d, want %d and %d", l, borrowed, lender, borrower)
	}
	if got := h.queue.outcomes(delegation.OutcomeEvicted); got != evictions {
		h.t.Errorf("%d evictions, want %d", got, evictions)
	}
}

// TestReclaimAtGuaranteeWindowEdges lets guarantees begin and end in a full cell
// while both organisations always have enough tasks for all of it. Capacity may
// move only when a guarantee begins, and within the reclaim deadline.
func TestReclaimAtGuaranteeWindowEdges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLendingHarness(t, 3, time.Hour, settings.Guarantees{"00:02-00:08": 50}, settings.Guarantees{"00:00-00:08": 25, "00:08-00:14": 75})
		o := h.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		h.queue.addFor("borrower", 12, small)
		o.offerUntilDone(time.Minute)
		h.queue.addFor("lender", 12, small)
		until := func(clock time.Duration) { o.offerUntilDone(clock - time.Since(time.Now().Truncate(24*time.Hour))) }
		until(2 * time.Minute)
		h.wantRunning(0, 12_000, 0)
		until(2*time.Minute + testReclaimDeadline)
		h.wantRunning(6000, 6000, 6)
		until(8 * time.Minute)
		h.wantRunning(6000, 6000, 6) // lent capacity is not reclaimed yet
		until(8*time.Minute + testReclaimDeadline)
		h.wantRunning(3000, 9000, 9)
		until(20 * time.Minute)
		h.wantRunning(3000, 9000, 9) // without guarantees nothing is reclaimed
		for _, r := range h.records.Runs()[12:] {
			if r.Attempt > 1 && h.queue.tasks[r.Task].outcomes[0].Kind == delegation.OutcomeEvicted && r.Checkpoint == "" {
				t.Errorf("%v resumed without its checkpoint", r.AttemptRef)
			}
		}
		h.check()
	})
}

// TestReclaimSeveralTasksForOne reclaims a whole worker, whose tasks end one
// by one. Meanwhile a task of the borrower waits that would fit into a part of
// that worker. The other workers have enough free for it in total, but none of
// them has enough alone.
func TestReclaimSeveralTasksForOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLendingHarness(t, 6, time.Hour, settings.Guarantees{"00:00-24:00": 40}, nil)
		o := h.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		h.queue.addFor("borrower", 24, small)
		o.offerUntilDone(testReclaimDeadline)
		onWorker := make(map[fleet.WorkerID]delegation.Task)
		for _, r := range h.records.Runs() {
			onWorker[r.Worker] = h.queue.tasks[r.Task].task
		}
		o.cancelTasks(slices.Collect(maps.Values(onWorker)))
		o.offerUntilDone(testReclaimDeadline)
		h.queue.addFor("lender", 1, fleet.Resources{MilliCores: 4000, MemoryMB: 2000})
		guaranteed := h.queue.pending()[0]
		h.queue.addFor("borrower", 2, fleet.Resources{MilliCores: 2000, MemoryMB: 1000})
		o.set(func() { o.delays = map[string]time.Duration{"stop": 1900 * time.Millisecond} })
		o.offerUntilDone(testReclaimDeadline)
		if got := h.runningOf("lender"); got != 4000 {
			t.Errorf("lender runs %d after the reclaim deadline", got)
		}
		o.offerUntilDone(2 * reservationTime)
		h.wantRunning(4000, 18_000, 3)
		if got := h.queue.tasks[guaranteed.Task].task.Attempt; got != 1 {
			t.Errorf("the lender's task runs as attempt %d, want it to wait for its capacity", got)
		}
		h.check()
	})
}

// TestReclaimWaitsForEnds lets tasks end by themselves shortly after a
// guaranteed task starts to wait. Nothing may be evicted for it.
func TestReclaimWaitsForEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLendingHarness(t, 3, time.Minute, settings.Guarantees{"00:00-24:00": 50}, nil)
		o := h.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		h.queue.addFor("borrower", 20, small)
		o.offerUntilDone(59 * time.Second)
		h.queue.addFor("lender", 2, small)
		o.offerUntilDone(testReclaimDeadline)
		h.wantRunning(2000, 8000, 0)
		h.check()
	})
}

// TestReclaimSurvivesOwnerCrash starts an owner whose predecessor has journaled
// tasks as reclaimed but not stopped them. The worker of one of them answers
// late. The new owner must stop exactly these tasks, although other tasks would
// serve as well.
func TestReclaimSurvivesOwnerCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLendingHarness(t, 3, time.Hour, settings.Guarantees{"00:00-24:00": 50}, nil)
		first := h.start("a")
		time.Sleep(500 * time.Millisecond)
		h.queue.addFor("borrower", 12, small)
		first.offerUntilDone(testReclaimDeadline)
		h.queue.addFor("lender", 2, small)
		lender := h.queue.pending()[:2]
		first.offer()
		time.Sleep(2500 * time.Millisecond)
		first.crash()
		chosen := []inventory.AttemptRef{h.records.Runs()[11].AttemptRef, h.records.Runs()[5].AttemptRef}
		entry, err := newCodec().encode(record{Version: recordVersion, AtMS: time.Now().UnixMilli(), Reclaim: chosen})
		if err != nil {
			t.Fatal(err)
		}
		h.log.entries = append(h.log.entries, [][]byte{entry})
		time.Sleep(3 * time.Second) // less than the lease of the tasks
		second := h.start("b")
		defer second.stop()
		slow := slices.IndexFunc(h.workers, func(w *standin.Worker) bool { return w.Info().ID == h.records.Runs()[11].Worker })
		second.set(func() {
			second.delayedAddress = h.workers[slow].Info().Address
			second.delays = map[string]time.Duration{"renew": 1500 * time.Millisecond}
		})
		second.offerUntilDone(testReclaimDeadline)
		h.wantRunning(2000, 10_000, 2)
		for _, task := range lender {
			if got := h.queue.tasks[task.Task].task.Attempt; got != 1 {
				t.Errorf("%s runs as attempt %d, want it to wait for its capacity", task.Task, got)
			}
		}
		for _, ref := range chosen {
			evicted := func(o delegation.Outcome) bool { return o.AttemptRef == ref && o.Kind == delegation.OutcomeEvicted }
			if !slices.ContainsFunc(h.queue.tasks[ref.Task].outcomes, evicted) {
				t.Errorf("%v was not stopped", ref)
			}
		}
		h.check()
	})
}

// TestReclaimOwnerCrashesAtEveryPoint crashes the owner at each point of a
// reclamation. The next owner must continue with the same tasks.
func TestReclaimOwnerCrashesAtEveryPoint(t *testing.T) {
	for point := 1; point <= 2*crashPoints; point++ {
		for _, kind := range []string{"journal write", "worker call"} {
			for _, after := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %d, after=%v", kind, point, after), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testReclaimWithCrash(t, kind, point, after) })
				})
			}
		}
	}
}

func testReclaimWithCrash(t *testing.T, kind string, point int, after bool) {
	h := newLendingHarness(t, 3, time.Hour, settings.Guarantees{"00:00-24:00": 50}, nil)
	h.log.delay = 300 * time.Millisecond
	first := h.start("a")
	time.Sleep(500 * time.Millisecond)
	h.queue.addFor("borrower", 14, small)
	first.offerUntilDone(testReclaimDeadline)
	h.queue.addFor("lender", 3, small)
	var once sync.Once
	crashed := make(chan struct{})
	crash := func() {
		first.crash()
		close(crashed)
	}
	var count atomic.Int64 // calls to several workers are concurrent
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
		h.log.setHook(hook)
	} else {
		h.setHook(hook)
	}
	go first.offerUntilDone(testReclaimDeadline)
	select {
	case <-crashed:
	case <-time.After(testReclaimDeadline):
		once.Do(crash) // the reclamation ended before it reached the point
	}
	time.Sleep(2 * time.Second) // less than the lease of the tasks
	second := h.start("b")
	defer second.stop()
	second.offerUntilDone(20 * time.Second)
	<-first.done
	h.wantRunning(3000, 9000, 3)
	h.check()
}
