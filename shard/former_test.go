package shard_test

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/shard"
)

// TestFormer checks that an owner knows whom it took a front from, in the
// first run under its claim only.
func TestFormer(t *testing.T) {
	cases := []struct {
		name     string
		failRuns int
		want     bool
	}{
		{"first run", 0, true},
		{"run again", 100, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, cl *cluster) {
				front, host := cl.frontOwner(t)
				before := cl.owners()[front]
				cl.mu.Lock()
				cl.failRuns = c.failRuns
				cl.mu.Unlock()
				cl.stop(host)
				cl.run(5 * time.Second)
				cl.mu.Lock()
				cl.failRuns = 0
				cl.mu.Unlock()
				owner := cl.owners()[front]
				got, ok := cl.running[owner.Host].manager.PreviousOwner(front)
				want := shard.Owner{}
				if c.want {
					want = before
				}
				if ok != c.want || got != want {
					t.Errorf("former %+v (%t), want %+v", got, ok, want)
				}
			})
		})
	}
}
