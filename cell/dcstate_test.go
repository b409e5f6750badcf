package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

// TestNoStartAfterOut takes a data centre out while this host's view of the
// settings stands still and starts are slow on their way.
func TestNoStartAfterOut(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Second, 1900 * time.Millisecond, 10 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, 10, time.Second)
				o := b.start("a")
				defer o.stop()
				b.queue.add(10, small)
				o.offerUntilDone(5 * time.Second)
				b.records.SetOut(testDC, true)
				b.settings.set(func(f *fakeSettings) {
					f.out, f.stale, f.frozenAt = true, true, time.Now()
				})
				o.set(func() { o.delays = map[string]time.Duration{"start": delay} })
				b.queue.add(200, small)
				o.offerUntilDone(15 * time.Second)
				b.check()
				after := 0
				for _, run := range b.records.Runs()[10:] {
					after = max(after, int(run.Started.Sub(time.Now().Add(-15*time.Second)).Milliseconds()))
				}
				if delay == 0 && after == 0 {
					t.Error("no task started after the view stood still: the test shows nothing")
				}
			})
		})
	}
}

// TestPlacedBeforeOut makes placements durable only after the data centre was
// taken out.
func TestPlacedBeforeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 3, time.Minute)
		o := b.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		b.log.setDelay(4500 * time.Millisecond)
		b.queue.add(6, small)
		tasks := b.queue.pending()
		go o.send(tasks)
		time.Sleep(time.Second)
		b.records.SetOut(testDC, true)
		b.settings.set(func(f *fakeSettings) { f.out = true })
		time.Sleep(20 * time.Second)
		if got := len(b.records.Runs()); got != 0 {
			t.Errorf("%d tasks started after the data centre was taken out", got)
		}
		if got := b.queue.outcomes(delegation.EndNotRun); got != 6 {
			t.Errorf("%d tasks came back as not run, want 6", got)
		}
		b.check()
	})
}

// TestOutBeforeTheStart takes the data centre out at the moment at which
// placements have become durable: the start that is next must see it.
func TestOutBeforeTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 3, time.Minute)
		o := b.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		b.log.setHook(func(_ int, after bool) {
			if after {
				b.settings.set(func(f *fakeSettings) { f.out = true })
			}
		})
		b.queue.add(6, small)
		o.send(b.queue.pending())
		time.Sleep(5 * time.Second)
		if got := len(b.records.Runs()); got != 0 {
			t.Errorf("%d tasks were sent to workers of a data centre seen as out", got)
		}
		if got := b.queue.outcomes(delegation.EndNotRun); got != 6 {
			t.Errorf("%d tasks came back as not run, want 6", got)
		}
	})
}

func running(records *standin.Records) int {
	n := 0
	for _, r := range records.Runs() {
		if r.State == inventory.TaskRunning {
			n++
		}
	}
	return n
}

// TestDataCentreOutAndIn takes a full data centre out and in again.
func TestDataCentreOutAndIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 10, 10*time.Minute)
		o := b.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		b.queue.add(40, small)
		o.offerUntilDone(5 * time.Second)
		if got := running(b.records); got != 40 {
			t.Fatalf("%d tasks run, want 40", got)
		}
		b.records.SetOut(testDC, true)
		b.settings.set(func(f *fakeSettings) { f.out = true })
		o.offerUntilDone(4 * time.Second)
		if got := running(b.records); got < 10 || got > 30 {
			t.Errorf("%d tasks run 4 s after the data centre was taken out, want about half", got)
		}
		o.offerUntilDone(6 * time.Second)
		if got := running(b.records); got != 0 {
			t.Errorf("%d tasks run after the grace, want none", got)
		}
		if got := b.queue.outcomes(delegation.EndEvicted); got != 40 {
			t.Errorf("%d tasks evicted, want 40", got)
		}
		b.records.SetOut(testDC, false)
		b.settings.set(func(f *fakeSettings) { f.out = false })
		o.offerUntilDone(10 * time.Second)
		if got := running(b.records); got < 2 || got > 20 {
			t.Errorf("%d tasks run 10 s after the return, want a few", got)
		}
		o.offerUntilDone(time.Minute)
		if got := running(b.records); got != 40 {
			t.Errorf("%d tasks run after the refill, want 40", got)
		}
		for _, r := range b.records.Runs()[40:] {
			if r.Checkpoint == "" {
				t.Errorf("%v resumed without its checkpoint", r.AttemptRef)
			}
		}
		b.check()
	})
}

// TestQuarantine lets one worker fail everything that it starts.
func TestQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 3, 2*time.Second)
		bad := b.workers[0]
		bad.SetFaults(standin.WorkerFaults{FailStarts: true})
		o := b.start("a")
		defer o.stop()
		b.queue.add(120, small)
		o.offerUntilDone(2 * time.Minute)
		failed := b.queue.outcomes(delegation.EndFailed)
		if failed == 0 || failed > 12 {
			t.Errorf("%d tasks failed, want a few before the quarantine and one a probe", failed)
		}
		bad.SetFaults(standin.WorkerFaults{})
		time.Sleep(maxProbeDelay)
		before := len(b.records.Runs())
		b.queue.add(60, small)
		o.offerUntilDone(2 * time.Minute)
		returned := 0
		for _, r := range b.records.Runs()[before:] {
			if r.Worker == bad.Info().ID {
				returned++
			}
		}
		if returned < 10 {
			t.Errorf("%d tasks ran on the worker after its probe, want it back in use", returned)
		}
		b.check()
	})
}

// TestGateAndOldSettings shows an owner settings from before those in which
// its predecessor saw the data centre out, and then later ones.
func TestGateAndOldSettings(t *testing.T) {
	s := benchSession(t)
	now := time.Now()
	s.machine.state.DCState = dcStateRecord{Out: true, SinceMS: now.Add(-time.Second).UnixMilli(), Revision: 5}
	s.dcState.restore(s.machine.state.DCState, now)
	s.updateDCState(4, settings.DataCentreIn, now)
	if s.dcState.in || s.pendingDCState != nil {
		t.Error("old settings let the data centre in")
	}
	s.updateDCState(6, settings.DataCentreIn, now)
	if want := (&dcStateRecord{SinceMS: now.UnixMilli(), Revision: 6}); !cmp.Equal(s.pendingDCState, want) {
		t.Errorf("change seen %+v, want %+v", s.pendingDCState, want)
	}
}

// TestGraceOverOwners changes the owner half way through an evacuation and
// again half way through the refill after it.
func TestGraceOverOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, 10, 10*time.Minute)
		o := b.start("a")
		defer func() { o.stop() }()
		time.Sleep(500 * time.Millisecond)
		b.queue.add(40, small)
		o.offerUntilDone(5 * time.Second)
		next := func(host fleet.HostID) {
			o.stop()
			o = b.start(host)
		}
		b.settings.set(func(f *fakeSettings) { f.out = true })
		o.offerUntilDone(4 * time.Second)
		next("b")
		time.Sleep(500 * time.Millisecond)
		if got := running(b.records); got < 10 {
			t.Errorf("%d tasks run just after the change of owner, want the rest still spread", got)
		}
		o.offerUntilDone(4500 * time.Millisecond)
		if got := running(b.records); got != 0 {
			t.Errorf("%d tasks run 9 s after the data centre was taken out, want none", got)
		}
		b.settings.set(func(f *fakeSettings) { f.out = false })
		o.offerUntilDone(10 * time.Second)
		next("c")
		o.offerUntilDone(5 * time.Second)
		if got := running(b.records); got < 2 || got > 20 {
			t.Errorf("%d tasks run 15 s after the return, want a few", got)
		}
		o.offerUntilDone(50 * time.Second)
		if got := running(b.records); got != 40 {
			t.Errorf("%d tasks run after the refill, want 40", got)
		}
		b.check()
	})
}

// TestLoadWhileRefilling asks a cell for its load just after its data centre
// was let in, half way through the refill and after it.
func TestLoadWhileRefilling(t *testing.T) {
	s := benchSession(t)
	runTasks(t, s, 0, 8) // of 1 core each
	now := time.Now()
	whole := s.computeLoad(now)
	for since, share := range map[time.Duration]float64{0: 0.1, refillTime / 2: 0.55, refillTime: 1} {
		s.dcState.since = now.Add(-since)
		got := s.computeLoad(now)
		usable := int64(share * float64(whole.Capacity.MilliCores))
		if got.Capacity.MilliCores != usable {
			t.Errorf("%v after the return %d of %d millicores are usable, want %d", since, got.Capacity.MilliCores, whole.Capacity.MilliCores, usable)
		}
		used := whole.Capacity.MilliCores - whole.Free.MilliCores
		if got.Free.MilliCores != usable-used {
			t.Errorf("%v after the return %d millicores are free, want %d", since, got.Free.MilliCores, usable-used)
		}
		if got.LargestFit.MilliCores > got.Free.MilliCores {
			t.Errorf("%v after the return a task of %d millicores fits into %d free", since, got.LargestFit.MilliCores, got.Free.MilliCores)
		}
	}
}
