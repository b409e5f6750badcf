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

// TestFrontPassesWhenThePlatformReportsItsOwnerGone checks that a front is taken
// over on such a report, and that the new owner sends only after requests of the
// old one have ended.
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
			t.Errorf("senders %v after the maximum request duration", got)
		}
	})
}

// TestSendDelaySurvivesAHandover checks that a front is not marked as drained if
// its second owner releases it while requests of the first, killed one may still
// be in progress.
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

// TestFrontOfDisconnectedOwnerPassesAfterTheTimeout checks that an owner without
// a connection to the store keeps sending until the clock margin before the
// takeover timeout, and that another host takes the front over afterwards.
func TestFrontOfDisconnectedOwnerPassesAfterTheTimeout(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		cut := c.running[owner]
		cut.link.set(func(l *storeLink) { l.down = true })
		c.runFor(time.Minute)
		if !cut.manager.MaySend(front) {
			t.Fatal("the owner may not send although its rights have not expired")
		}
		time.Sleep(takeoverTimeout - clockMargin - 2*time.Minute)
		c.runFor(time.Minute + 5*time.Second)
		if got := c.senders(front); got != nil {
			t.Errorf("%v may send between the end of the owner's rights and the takeover timeout", got)
		}
		c.runFor(clockMargin + 3*time.Minute)
		if got := c.senders(front); len(got) != 1 || got[0] == owner {
			t.Errorf("senders %v after the takeover timeout", got)
		}
		cut.link.set(func(l *storeLink) { l.down = false })
		c.runFor(2 * time.Minute)
		if got := c.senders(front); len(got) != 1 {
			t.Errorf("senders %v after the old owner has reconnected", got)
		}
	})
}

// TestOwnerResumesAfterItsRightsExpired checks that the owner sends again after an
// outage of the store that was longer than the takeover timeout.
func TestOwnerResumesAfterItsRightsExpired(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(takeoverTimeout)
		if got := c.senders(front); got != nil {
			t.Fatalf("%v may send after the takeover timeout", got)
		}
		c.store.SetFaults(standin.StoreFaults{})
		c.runFor(time.Minute)
		if got := c.senders(front); !slices.Equal(got, []fleet.HostID{owner}) {
			t.Errorf("senders %v", got)
		}
	})
}

// TestLostRepliesAreResolved checks that a front gets a new owner although the
// replies to several writes of claims are lost.
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

// TestLateReleaseOfAShardDesiredHereAgain checks that every shard ends up with an
// owner if its releasing host becomes the desired owner again before the release
// has taken effect in the store.
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

// TestLateReleaseIsFenced checks that a front stays stopped while a release with an
// unknown outcome may still take effect.
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

// TestStaleGoneReportIsIgnored checks that a host keeps its front if the platform
// reports it as gone without an incarnation: such an entry may be older than the
// process that now runs under the name.
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

// TestSendDelayCoversEarlierMaxRequestDuration checks that the new owner of a front
// waits for requests that a killed owner started under an earlier, longer maximum
// request duration.
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
