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

func TestFrontPassesWhenThePlatformReportsItsOwnerGone(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.reportGone(c.kill(owner))
		c.runFor(2 * time.Second)
		if left := c.ownedBy(owner); left != nil {
			t.Errorf("%v still belong to %s", left, owner)
		}
		if got := c.senders(front); got != nil {
			t.Errorf("%v may send while requests of %s may be in progress", got, owner)
		}
		c.runFor(maxRequestDuration)
		if got := c.senders(front); len(got) != 1 {
			t.Errorf("senders %v after the longest request", got)
		}
	})
}

func TestSendDelaySurvivesAHandover(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.reportGone(c.kill(owner))
		c.runFor(2 * time.Second)
		second := c.owners()[front].Host
		c.stop(second)
		c.runFor(2 * time.Second)
		if third := c.owners()[front].Host; third == owner || third == second {
			t.Fatalf("%s belongs to %s", front, third)
		}
		if got := c.senders(front); got != nil {
			t.Errorf("%v may send while requests of %s may be in progress", got, owner)
		}
	})
}

func TestFrontOfDisconnectedOwnerPassesAfterTheTimeout(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		cut := c.running[owner]
		cut.link.set(func(l *storeLink) { l.down = true })
		c.runFor(time.Minute)
		if !cut.manager.MaySend(front) {
			t.Fatal("the owner lost its front to a cut link")
		}
		time.Sleep(takeoverTimeout - clockMargin - 2*time.Minute)
		c.runFor(time.Minute + 5*time.Second)
		if got := c.senders(front); got != nil {
			t.Errorf("%v may send after the owner's bound", got)
		}
		c.runFor(clockMargin + 3*time.Minute)
		if got := c.senders(front); len(got) != 1 || got[0] == owner {
			t.Errorf("senders %v after the bound", got)
		}
		cut.link.set(func(l *storeLink) { l.down = false })
		c.runFor(2 * time.Minute)
		if got := c.senders(front); len(got) != 1 {
			t.Errorf("senders %v after the old owner's return", got)
		}
	})
}

func TestOwnerResumesAfterItsRightsExpired(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(takeoverTimeout)
		if got := c.senders(front); got != nil {
			t.Fatalf("%v may send after the bound", got)
		}
		c.store.SetFaults(standin.StoreFaults{})
		c.runFor(time.Minute)
		if got := c.senders(front); !slices.Equal(got, []fleet.HostID{owner}) {
			t.Errorf("senders %v", got)
		}
	})
}

func TestLostRepliesAreResolved(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.loseReplies = 4 })
		}
		c.stop(owner)
		c.runFor(5 * time.Second)
		if got := c.senders(front); len(got) != 1 {
			t.Errorf("senders %v", got)
		}
	})
}

func TestLateReleaseOfAShardDesiredHereAgain(t *testing.T) {
	inClusterOf(t, manyFronts, shard.Timing{}, func(t *testing.T, c *cluster) {
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.applyLate = 5 * time.Second })
		}
		c.start("h4")
		c.start("h5")
		c.runFor(shard.DefaultHandoverDelay + time.Second)
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.dropEvents = true })
		}
		c.reportGone(c.kill("h4"))
		c.reportGone(c.kill("h5"))
		c.runFor(10 * time.Second)
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.applyLate, l.dropEvents = 0, false })
		}
		c.runFor(time.Minute)
		if failures := c.ownershipFailures(); failures != nil {
			t.Error(failures)
		}
	})
}

func TestLateReleaseIsFenced(t *testing.T) {
	inClusterOf(t, manyFronts, shard.Timing{}, func(t *testing.T, c *cluster) {
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.applyLate = 3 * time.Second })
		}
		c.start("h4")
		c.start("h5")
		c.runFor(time.Minute)
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.applyLate = 0 })
		}
		c.runFor(time.Minute)
		if moved := len(c.ownedBy("h4")) + len(c.ownedBy("h5")); moved == 0 {
			t.Error("nothing was handed over")
		}
		if failures := c.ownershipFailures(); failures != nil {
			t.Error(failures)
		}
	})
}

func TestStaleGoneReportIsIgnored(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.mu.Lock()
		c.list.EntryHosts = []inventory.EntryHost{{ID: owner, State: inventory.StateGone}}
		c.mu.Unlock()
		c.runFor(5 * time.Second)
		if got := c.senders(front); !slices.Equal(got, []fleet.HostID{owner}) {
			t.Errorf("senders %v", got)
		}
	})
}

// The dead owner's requests were begun under the settings of their time.
func TestSendDelayCoversEarlierMaxRequestDuration(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.mu.Lock()
		c.requestDuration = time.Second
		c.mu.Unlock()
		c.reportGone(c.kill(owner))
		c.runFor(maxRequestDuration - time.Second)
		if got := c.senders(front); got != nil {
			t.Errorf("%v may send while requests of %s may be in progress", got, owner)
		}
		c.runFor(3 * time.Second)
		if got := c.senders(front); len(got) != 1 {
			t.Errorf("senders %v", got)
		}
	})
}
