package dev

import (
	"sync"
	"testing"
	"time"
)

const (
	suiteLoad    = 5 * time.Second
	parallelRuns = 8 // in parallel
	faultFrom    = 0.2
	faultUntil   = 0.7
)

// TestFaults runs the site under each single fault, each pair of faults at once,
// and special cases that need their own load or duration. No promise may be
// broken, and all work must end.
func TestFaults(t *testing.T) {
	slots := make(chan struct{}, parallelRuns)
	for _, c := range specialCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runCase(t, slots, c)
		})
	}
	t.Run("region cut off from the store", func(t *testing.T) {
		t.Parallel()
		runRegionPartition(t, slots)
	})
	t.Run("capacity reclaimed", func(t *testing.T) {
		t.Parallel()
		runReclaim(t, slots)
	})
	all := faults()
	for i, first := range all {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			runFaults(t, slots, uint64(i), first)
		})
		for j, second := range all[i+1:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				runFaults(t, slots, uint64(100*(i+1)+j), first, second)
			})
		}
	}
}

func runFaults(t *testing.T, slots chan struct{}, seed uint64, together ...fault) {
	var schedule []scheduledFault
	for _, f := range together {
		schedule = append(schedule, scheduledFault{f, faultFrom, faultUntil})
	}
	runCase(t, slots, faultCase{opts: Options{For: suiteLoad, Seed: seed}, schedule: schedule})
}

func runCase(t *testing.T, slots chan struct{}, c faultCase) {
	slots <- struct{}{}
	defer func() { <-slots }()
	r, err := start(t.Context(), c.opts)
	if err != nil {
		t.Fatal(err)
	}
	defer r.site.Close()
	var group sync.WaitGroup
	for _, f := range c.schedule {
		group.Go(func() { r.injectFaults(t.Context(), []scheduledFault{f}) })
	}
	report := r.load(t.Context())
	group.Wait()
	if !report.OK() || !report.Drained {
		t.Errorf("a promise was broken or work did not end: %+v", report)
	}
	if report.Requests.Answered == 0 || report.Tasks.Finished == 0 {
		t.Errorf("no request was answered or no task finished: %+v", report)
	}
	if c.check != nil {
		c.check(t, r)
	}
}
