package shard_test

import (
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

func TestPlatformReportIsProof(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.report(c.kill(owner))
		c.run(2 * time.Second)
		if left := c.ownedBy(owner); left != nil {
			t.Errorf("%v still belong to %s", left, owner)
		}
		if got := c.senders(front); got != nil {
			t.Errorf("%v may send while requests of %s may be in progress", got, owner)
		}
		c.run(longestRequest)
		if got := c.senders(front); len(got) != 1 {
			t.Errorf("senders %v after the longest request", got)
		}
	})
}

func TestWaitOutlivesAHandOver(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.report(c.kill(owner))
		c.run(2 * time.Second)
		second := c.owners()[front].Host
		c.stop(second)
		c.run(2 * time.Second)
		if third := c.owners()[front].Host; third == owner || third == second {
			t.Fatalf("%s belongs to %s", front, third)
		}
		if got := c.senders(front); got != nil {
			t.Errorf("%v may send while requests of %s may be in progress", got, owner)
		}
	})
}

func TestFrontOfSilentOwnerPassesAfterTheBound(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		cut := c.running[owner]
		cut.link.set(func(l *storeLink) { l.down = true })
		c.run(time.Minute)
		if !cut.manager.MaySend(front) {
			t.Fatal("the owner lost its front to a cut link")
		}
		time.Sleep(frontBound - frontMargin - 2*time.Minute)
		c.run(time.Minute + 5*time.Second)
		if got := c.senders(front); got != nil {
			t.Errorf("%v may send after the owner's bound", got)
		}
		c.run(frontMargin + 3*time.Minute)
		if got := c.senders(front); len(got) != 1 || got[0] == owner {
			t.Errorf("senders %v after the bound", got)
		}
		cut.link.set(func(l *storeLink) { l.down = false })
		c.run(2 * time.Minute)
		if got := c.senders(front); len(got) != 1 {
			t.Errorf("senders %v after the old owner's return", got)
		}
	})
}

func TestOwnerResumesAfterTheBound(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(frontBound)
		if got := c.senders(front); got != nil {
			t.Fatalf("%v may send after the bound", got)
		}
		c.store.SetFaults(standin.StoreFaults{})
		c.run(time.Minute)
		if got := c.senders(front); !slices.Equal(got, []fleet.HostID{owner}) {
			t.Errorf("senders %v", got)
		}
	})
}

func TestLostRepliesAreResolved(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.loseReply = 4 })
		}
		c.stop(owner)
		c.run(5 * time.Second)
		if got := c.senders(front); len(got) != 1 {
			t.Errorf("senders %v", got)
		}
	})
}

func TestLateReleaseAndChangeOfPlan(t *testing.T) {
	inClusterOf(t, manyFronts, shard.Timing{}, func(t *testing.T, c *cluster) {
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.late = 5 * time.Second })
		}
		c.start("h4")
		c.start("h5")
		c.run(shard.DefaultHandoverDelay + time.Second)
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.deaf = true })
		}
		c.report(c.kill("h4"))
		c.report(c.kill("h5"))
		c.run(10 * time.Second)
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.late, l.deaf = 0, false })
		}
		c.run(time.Minute)
		if failures := c.notWhole(); failures != nil {
			t.Error(failures)
		}
	})
}

func TestLateReleaseIsFenced(t *testing.T) {
	inClusterOf(t, manyFronts, shard.Timing{}, func(t *testing.T, c *cluster) {
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.late = 3 * time.Second })
		}
		c.start("h4")
		c.start("h5")
		c.run(time.Minute)
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.late = 0 })
		}
		c.run(time.Minute)
		if moved := len(c.ownedBy("h4")) + len(c.ownedBy("h5")); moved == 0 {
			t.Error("nothing was handed over")
		}
		if failures := c.notWhole(); failures != nil {
			t.Error(failures)
		}
	})
}

func TestOldReportIsNoProof(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.mu.Lock()
		c.list.EntryHosts = []inventory.EntryHost{{ID: owner, State: inventory.StateGone}}
		c.mu.Unlock()
		c.run(5 * time.Second)
		if got := c.senders(front); !slices.Equal(got, []fleet.HostID{owner}) {
			t.Errorf("senders %v", got)
		}
	})
}

// The dead owner's requests were begun under the settings of their time.
func TestWaitKnowsEarlierSettings(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.mu.Lock()
		c.requestTime = time.Second
		c.mu.Unlock()
		c.report(c.kill(owner))
		c.run(longestRequest - time.Second)
		if got := c.senders(front); got != nil {
			t.Errorf("%v may send while requests of %s may be in progress", got, owner)
		}
		c.run(3 * time.Second)
		if got := c.senders(front); len(got) != 1 {
			t.Errorf("senders %v", got)
		}
	})
}
