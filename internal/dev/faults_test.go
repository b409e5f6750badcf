package dev

import (
	"sync"
	"testing"
	"time"
)

const (
	suiteLoad  = 5 * time.Second
	suiteRuns  = 8 // at once
	faultFrom  = 0.2
	faultUntil = 0.7
)

// TestFaults runs the site under each fault alone and under each pair at
// once, and under chosen cases that need a load or a length of their own.
// Whatever comes, no promise may be broken, and all work ends.
func TestFaults(t *testing.T) {
	slots := make(chan struct{}, suiteRuns)
	for _, c := range chosenCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			playCase(t, slots, c)
		})
	}
	t.Run("region apart", func(t *testing.T) {
		t.Parallel()
		playRegionApart(t, slots)
	})
	all := faults()
	for i, first := range all {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			playFaults(t, slots, uint64(i), first)
		})
		for j, second := range all[i+1:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				playFaults(t, slots, uint64(100*(i+1)+j), first, second)
			})
		}
	}
}

func playFaults(t *testing.T, slots chan struct{}, seed uint64, together ...fault) {
	var episodes []episode
	for _, f := range together {
		episodes = append(episodes, episode{f, faultFrom, faultUntil})
	}
	playCase(t, slots, faultCase{opts: Options{For: suiteLoad, Seed: seed}, episodes: episodes})
}

func playCase(t *testing.T, slots chan struct{}, c faultCase) {
	slots <- struct{}{}
	defer func() { <-slots }()
	r, err := start(t.Context(), c.opts)
	if err != nil {
		t.Fatal(err)
	}
	defer r.site.Close()
	var group sync.WaitGroup
	for _, e := range c.episodes {
		group.Go(func() { r.bringFaults(t.Context(), []episode{e}) })
	}
	report := r.load(t.Context())
	group.Wait()
	if !report.OK() || !report.Drained {
		t.Errorf("a promise was broken or work did not end: %+v", report)
	}
	if report.Requests.Answered == 0 || report.Tasks.Finished == 0 {
		t.Errorf("nothing was done: %+v", report)
	}
	if c.check != nil {
		c.check(t, r)
	}
}
