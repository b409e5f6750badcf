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
		name     string
		failRuns int
		want     bool
	}{
		{"first run", 0, true},
		{"run again", 100, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, cl *cluster) {
				front, host := cl.frontOwner(t)
				before := cl.owners()[front]
				cl.mu.Lock()
				cl.failingRuns = c.failRuns
				cl.mu.Unlock()
				cl.stop(host)
				cl.runFor(5 * time.Second)
				cl.mu.Lock()
				cl.failingRuns = 0
				cl.mu.Unlock()
				owner := cl.owners()[front]
				got, ok := cl.running[owner.Host].manager.PreviousOwner(front)
				want := shard.Owner{}
				if c.want {
					want = before
				}
				if ok != c.want || got != want {
					t.Errorf("previous owner %+v (%t), want %+v", got, ok, want)
				}
			})
		})
	}
}
