package shard_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// inCluster runs a test with three hosts that have settled. Every breach of
// exclusive sending or running fails it.
func inCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	inClusterOf(t, someShards, shard.Timing{FrontBound: frontBound, FrontMargin: frontMargin}, test)
}

func inClusterOf(t *testing.T, shards []shard.ID, timing shard.Timing, test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, shards...)
		c.timing = timing
		for _, id := range []fleet.HostID{"h1", "h2", "h3"} {
			c.start(id)
		}
		c.run(member.LeaseTTL + 5*time.Second)
		if failures := c.notWhole(); failures != nil {
			t.Error(failures)
		}
		test(t, c)
		c.stopAll()
	})
}

func (c *cluster) frontOwner(t *testing.T) (shard.ID, fleet.HostID) {
	t.Helper()
	front := shard.ID("front/sofia-1/0")
	owner := c.owners()[front].Host
	if got := c.senders(front); !slices.Equal(got, []fleet.HostID{owner}) {
		t.Fatalf("%s: owner %s, senders %v", front, owner, got)
	}
	return front, owner
}

func TestShutdownHandsOverAtOnce(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.stop(owner)
		c.run(2 * time.Second)
		if got := c.senders(front); len(got) != 1 {
			t.Errorf("senders %v after a clean release", got)
		}
		if left := c.ownedBy(owner); left != nil {
			t.Errorf("%v still belong to %s", left, owner)
		}
	})
}

func TestTakeoverAfterDeath(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.kill(owner)
		c.run(member.LeaseTTL + 10*time.Second)
		for _, id := range c.ownedBy(owner) {
			if id.Kind() != shard.KindFront {
				t.Errorf("%s still belongs to %s", id, owner)
			}
		}
		if c.owners()[front].Host != owner {
			t.Errorf("%s passed without proof that %s has ended", front, owner)
		}
	})
}

func TestTakeoverWithDeafWatches(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		_, owner := c.frontOwner(t)
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.deaf = true })
		}
		c.kill(owner)
		c.run(member.LeaseTTL + 10*time.Second)
		for _, id := range c.ownedBy(owner) {
			if id.Kind() != shard.KindFront {
				t.Errorf("%s still belongs to %s", id, owner)
			}
		}
	})
}

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

// The host that waits out the requests of a dead owner may itself let go
// before they have surely ended.
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

func TestRestartedHostTakesItsOwnShards(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		before := c.owners()[front]
		c.kill(owner)
		c.run(time.Second)
		c.start(owner)
		c.run(5 * time.Second)
		after := c.owners()[front]
		if after.Host != owner || after.Incarnation == before.Incarnation || after.Epoch <= before.Epoch {
			t.Errorf("owner %+v after %+v", after, before)
		}
		if got := c.senders(front); got != nil {
			t.Errorf("%v may send while requests of the predecessor may be in progress", got)
		}
		c.run(longestRequest)
		if got := c.senders(front); !slices.Equal(got, []fleet.HostID{owner}) {
			t.Errorf("senders %v", got)
		}
	})
}

func TestNewHostGetsItsShareByPlan(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		before := c.owners()
		c.start("h4")
		c.start("h5")
		c.run(shard.DefaultHandOverAfter - 5*time.Second)
		if got := c.owners(); !equalOwners(got, before) {
			t.Errorf("owners %v, before %v", got, before)
		}
		c.run(15 * time.Second)
		if len(c.ownedBy("h4"))+len(c.ownedBy("h5")) == 0 {
			t.Error("nothing was handed over")
		}
		for _, id := range someShards {
			if id.Kind() == shard.KindFront && len(c.senders(id)) != 1 {
				t.Errorf("senders of %s: %v", id, c.senders(id))
			}
		}
	})
}

func equalOwners(a, b map[shard.ID]shard.Owner) bool {
	for id, o := range a {
		if b[id] != o {
			return false
		}
	}
	return len(a) == len(b)
}

func TestNothingMovesAfterAnOutage(t *testing.T) {
	inClusterOf(t, someShards, shard.Timing{Tick: time.Second}, func(t *testing.T, c *cluster) {
		before := c.owners()
		starts := c.startCount()
		c.store.SetFaults(standin.StoreFaults{Down: true})
		for range 60 {
			time.Sleep(time.Minute)
			front, _ := c.frontOwner(t)
			if c.owners()[front] != before[front] {
				t.Fatalf("%s moved in the outage", front)
			}
		}
		c.store.ExpireAllLeases()
		c.store.SetFaults(standin.StoreFaults{})
		c.run(2 * time.Minute)
		if got := c.owners(); !equalOwners(got, before) {
			t.Errorf("owners %v, before %v", got, before)
		}
		if got := c.startCount(); got != starts {
			t.Errorf("%d runs, before %d", got, starts)
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

// The wanted owner may be this host again while a release is on its way to
// the store.
func TestLateReleaseAndChangeOfPlan(t *testing.T) {
	inClusterOf(t, manyFronts, shard.Timing{}, func(t *testing.T, c *cluster) {
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.late = 5 * time.Second })
		}
		c.start("h4")
		c.start("h5")
		c.run(shard.DefaultHandOverAfter + time.Second)
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

// A release whose outcome is unknown may take effect late. Until it is known
// not to, the front must not run on.
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

func TestFailedRunnersRunAgain(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.stop("h1")
		c.run(5 * time.Second)
		before := c.owners()
		c.mu.Lock()
		c.failRuns = 100
		c.mu.Unlock()
		c.stop("h2")
		c.run(20 * time.Second)
		c.mu.Lock()
		c.failRuns = 0
		c.mu.Unlock()
		c.run(30 * time.Second)
		if failures := c.notWhole(); failures != nil {
			t.Error(failures)
		}
		for id, o := range c.owners() {
			if before[id].Host == "h3" {
				continue
			}
			if id.Kind() == shard.KindFront && o.Epoch != before[id].Epoch+1 {
				t.Errorf("%s at epoch %d after %d: a front needs no new epoch to run again", id, o.Epoch, before[id].Epoch)
			}
			if id.Kind() != shard.KindFront && o.Epoch < before[id].Epoch+2 {
				t.Errorf("%s at epoch %d after %d: each run needs its own", id, o.Epoch, before[id].Epoch)
			}
		}
	})
}

func TestDrainingHostHandsOver(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.mu.Lock()
		c.running[owner].draining = true
		c.mu.Unlock()
		c.run(5 * time.Second)
		if left := c.ownedBy(owner); left != nil {
			t.Errorf("%v still belong to %s", left, owner)
		}
		if got := c.senders(front); len(got) != 1 {
			t.Errorf("senders %v", got)
		}
	})
}

func TestLeavingHostHandsOver(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		_, owner := c.frontOwner(t)
		c.mu.Lock()
		c.list.EntryHosts = []platform.EntryHost{{ID: owner, Incarnation: c.running[owner].self.Incarnation, State: platform.StateLeaving}}
		c.mu.Unlock()
		c.run(shard.DefaultHandOverAfter + 5*time.Second)
		if left := c.ownedBy(owner); left != nil {
			t.Errorf("%v still belong to %s", left, owner)
		}
	})
}

// An entry without an incarnation may be older than the process that now runs
// under the name.
func TestOldReportIsNoProof(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.mu.Lock()
		c.list.EntryHosts = []platform.EntryHost{{ID: owner, State: platform.StateGone}}
		c.mu.Unlock()
		c.run(5 * time.Second)
		if got := c.senders(front); !slices.Equal(got, []fleet.HostID{owner}) {
			t.Errorf("senders %v", got)
		}
	})
}

// A deleted claim can only be an operator's doing. The epoch must go on all
// the same, since workers compare it.
func TestDeletedClaimKeepsItsEpoch(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		id := someShards[0]
		before := c.owners()[id]
		entry, err := c.store.Get(t.Context(), "claims/"+string(id))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.store.Delete(t.Context(), entry.Key, entry.Revision); err != nil {
			t.Fatal(err)
		}
		c.run(5 * time.Second)
		if after := c.owners()[id]; after.Epoch <= before.Epoch {
			t.Errorf("epoch %d after %d", after.Epoch, before.Epoch)
		}
	})
}
