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

// TestNoStartAfterDataCentreOut takes a data centre out of service while this
// host's view of the settings is frozen and start calls are delayed. No task may
// start more than 3 s after the data centre was taken out (standin.OutOfServiceDelay).
func TestNoStartAfterDataCentreOut(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Second, 1900 * time.Millisecond, 10 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 10, time.Second)
				o := h.start("a")
				defer o.stop()
				h.queue.add(10, small)
				o.offerUntilDone(5 * time.Second)
				h.records.SetOutOfService(testDC, true)
				h.settings.set(func(f *fakeSettings) {
					f.out, f.stale, f.frozenAt = true, true, time.Now()
				})
				o.set(func() { o.delays = map[string]time.Duration{"start": delay} })
				h.queue.add(200, small)
				o.offerUntilDone(15 * time.Second)
				h.check()
				after := 0
				for _, run := range h.records.Runs()[10:] {
					after = max(after, int(run.Started.Sub(time.Now().Add(-15*time.Second)).Milliseconds()))
				}
				if delay == 0 && after == 0 {
					t.Error("no task started after the view was frozen: the test is ineffective")
				}
			})
		})
	}
}

// TestPlacementDurableAfterDataCentreOut makes placements durable only after the
// data centre was taken out of service. None of the tasks may start.
func TestPlacementDurableAfterDataCentreOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3, time.Minute)
		o := h.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		h.log.setDelay(4500 * time.Millisecond)
		h.queue.add(6, small)
		tasks := h.queue.pending()
		go o.send(tasks)
		time.Sleep(time.Second)
		h.records.SetOutOfService(testDC, true)
		h.settings.set(func(f *fakeSettings) { f.out = true })
		time.Sleep(20 * time.Second)
		if got := len(h.records.Runs()); got != 0 {
			t.Errorf("%d tasks started after the data centre was taken out of service", got)
		}
		if got := h.queue.outcomes(delegation.OutcomeNotRun); got != 6 {
			t.Errorf("%d tasks came back as not run, want 6", got)
		}
		h.check()
	})
}

// TestDataCentreOutBeforeStart takes the data centre out of service at the
// moment at which placements become durable. The start calls that would come
// next must not be sent.
func TestDataCentreOutBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3, time.Minute)
		o := h.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		h.log.setHook(func(_ int, after bool) {
			if after {
				h.settings.set(func(f *fakeSettings) { f.out = true })
			}
		})
		h.queue.add(6, small)
		o.send(h.queue.pending())
		time.Sleep(5 * time.Second)
		if got := len(h.records.Runs()); got != 0 {
			t.Errorf("%d tasks were started in a data centre known to be out of service", got)
		}
		if got := h.queue.outcomes(delegation.OutcomeNotRun); got != 6 {
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

// TestDataCentreOutAndIn takes a full data centre out of service and back. The
// tasks must be evicted evenly over the grace and resumed gradually.
func TestDataCentreOutAndIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 10, 10*time.Minute)
		o := h.start("a")
		defer o.stop()
		time.Sleep(500 * time.Millisecond)
		h.queue.add(40, small)
		o.offerUntilDone(5 * time.Second)
		if got := running(h.records); got != 40 {
			t.Fatalf("%d tasks run, want 40", got)
		}
		h.records.SetOutOfService(testDC, true)
		h.settings.set(func(f *fakeSettings) { f.out = true })
		o.offerUntilDone(4 * time.Second)
		if got := running(h.records); got < 10 || got > 30 {
			t.Errorf("%d tasks run 4 s after the data centre was taken out of service, want about half", got)
		}
		o.offerUntilDone(6 * time.Second)
		if got := running(h.records); got != 0 {
			t.Errorf("%d tasks run after the grace, want none", got)
		}
		if got := h.queue.outcomes(delegation.OutcomeEvicted); got != 40 {
			t.Errorf("%d tasks evicted, want 40", got)
		}
		h.records.SetOutOfService(testDC, false)
		h.settings.set(func(f *fakeSettings) { f.out = false })
		o.offerUntilDone(10 * time.Second)
		if got := running(h.records); got < 2 || got > 20 {
			t.Errorf("%d tasks run 10 s after the return, want a few", got)
		}
		o.offerUntilDone(time.Minute)
		if got := running(h.records); got != 40 {
			t.Errorf("%d tasks run after the refill, want 40", got)
		}
		for _, r := range h.records.Runs()[40:] {
			if r.Checkpoint == "" {
				t.Errorf("%v resumed without its checkpoint", r.AttemptRef)
			}
		}
		h.check()
	})
}

// TestQuarantine lets one worker fail every task that it starts. It must be
// quarantined after a few failures, and used again once a probe succeeds.
func TestQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3, 2*time.Second)
		bad := h.workers[0]
		bad.SetFaults(standin.WorkerFaults{FailStarts: true})
		o := h.start("a")
		defer o.stop()
		h.queue.add(120, small)
		o.offerUntilDone(2 * time.Minute)
		failed := h.queue.outcomes(delegation.OutcomeFailed)
		if failed == 0 || failed > 12 {
			t.Errorf("%d tasks failed, want a few before the quarantine and one per probe", failed)
		}
		bad.SetFaults(standin.WorkerFaults{})
		time.Sleep(maxProbeDelay)
		before := len(h.records.Runs())
		h.queue.add(60, small)
		o.offerUntilDone(2 * time.Minute)
		returned := 0
		for _, r := range h.records.Runs()[before:] {
			if r.Worker == bad.Info().ID {
				returned++
			}
		}
		if returned < 10 {
			t.Errorf("%d tasks ran on the worker after its probe, want it back in use", returned)
		}
		h.check()
	})
}

// TestOldSettingsDoNotLetDataCentreIn gives an owner settings that are older
// than those in which its predecessor saw the data centre out of service, and
// then newer ones. Only the newer ones may return it to service.
func TestOldSettingsDoNotLetDataCentreIn(t *testing.T) {
	s := newLooplessSession(t)
	now := time.Now()
	s.machine.state.DCState = dcStateRecord{Out: true, SinceMS: now.Add(-time.Second).UnixMilli(), Revision: 5}
	s.dcState.restore(s.machine.state.DCState, now)
	s.updateDCState(4, settings.DataCentreInService, now)
	if s.dcState.in || s.pendingDCState != nil {
		t.Error("old settings returned the data centre to service")
	}
	s.updateDCState(6, settings.DataCentreInService, now)
	if want := (&dcStateRecord{SinceMS: now.UnixMilli(), Revision: 6}); !cmp.Equal(s.pendingDCState, want) {
		t.Errorf("change seen %+v, want %+v", s.pendingDCState, want)
	}
}

// TestEvacuationAndRefillAcrossOwners changes the owner half way through an
// evacuation, and again half way through the refill that follows. Neither may
// start again or be skipped.
func TestEvacuationAndRefillAcrossOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 10, 10*time.Minute)
		o := h.start("a")
		defer func() { o.stop() }()
		time.Sleep(500 * time.Millisecond)
		h.queue.add(40, small)
		o.offerUntilDone(5 * time.Second)
		next := func(host fleet.HostID) {
			o.stop()
			o = h.start(host)
		}
		h.settings.set(func(f *fakeSettings) { f.out = true })
		o.offerUntilDone(4 * time.Second)
		next("b")
		time.Sleep(500 * time.Millisecond)
		if got := running(h.records); got < 10 {
			t.Errorf("%d tasks run just after the change of owner, want the remaining evictions still spread", got)
		}
		o.offerUntilDone(4500 * time.Millisecond)
		if got := running(h.records); got != 0 {
			t.Errorf("%d tasks run 9 s after the data centre was taken out of service, want none", got)
		}
		h.settings.set(func(f *fakeSettings) { f.out = false })
		o.offerUntilDone(10 * time.Second)
		next("c")
		o.offerUntilDone(5 * time.Second)
		if got := running(h.records); got < 2 || got > 20 {
			t.Errorf("%d tasks run 15 s after the return, want a few", got)
		}
		o.offerUntilDone(50 * time.Second)
		if got := running(h.records); got != 40 {
			t.Errorf("%d tasks run after the refill, want 40", got)
		}
		h.check()
	})
}

// TestLoadWhileRefilling checks the load of a cell just after its data centre
// returned to service, half way through the refill and after it.
func TestLoadWhileRefilling(t *testing.T) {
	s := newLooplessSession(t)
	runTasks(t, s, 0, 8) // 1 core each
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
