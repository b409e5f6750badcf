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
// once. Whatever comes, no promise may be broken, and all work ends.
func TestFaults(t *testing.T) {
	slots := make(chan struct{}, suiteRuns)
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
	slots <- struct{}{}
	defer func() { <-slots }()
	r, err := start(t.Context(), Options{For: suiteLoad, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	defer r.site.Close()
	var group sync.WaitGroup
	for _, f := range together {
		group.Go(func() { r.bringFaults(t.Context(), []episode{{f, faultFrom, faultUntil}}) })
	}
	report := r.load(t.Context())
	group.Wait()
	if !report.OK() || !report.Drained {
		t.Errorf("a promise was broken or work did not end: %+v", report)
	}
	if report.Requests.Answered == 0 || report.Tasks.Finished == 0 {
		t.Errorf("nothing was done: %+v", report)
	}
}
