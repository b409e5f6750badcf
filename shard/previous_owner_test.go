package shard_test

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/shard"
)

// TestPreviousOwner checks that the new owner of a front knows the previous one
// during the first run under its claim, and no longer after a restart of the
// runner.
func TestPreviousOwner(t *testing.T) {
	tests := []struct {
		name        string
		failingRuns int
		want        bool
	}{
		{"first run", 0, true},
		{"restarted run", 100, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, cl *cluster) {
				front, host := cl.frontOwner(t)
				before := cl.owners()[front]
				cl.mu.Lock()
				cl.failingRuns = test.failingRuns
				cl.mu.Unlock()
				cl.stop(host)
				cl.runFor(5 * time.Second)
				cl.mu.Lock()
				cl.failingRuns = 0
				cl.mu.Unlock()
				owner := cl.owners()[front]
				got, ok := cl.running[owner.Host].manager.PreviousOwner(front)
				want := shard.Owner{}
				if test.want {
					want = before
				}
				if ok != test.want || got != want {
					t.Errorf("previous owner %+v (%t), want %+v", got, ok, want)
				}
			})
		})
	}
}
