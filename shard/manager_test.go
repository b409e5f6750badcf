package shard_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// inCluster runs a test with three hosts, once they own all shards. Every violation
// of exclusive sending or running fails the test.
func inCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	inClusterOf(t, someShards, shard.Timing{FrontTakeoverTimeout: takeoverTimeout, FrontClockMargin: clockMargin}, test)
}

// inClusterOf is inCluster with other shards and timing.
func inClusterOf(t *testing.T, shards []shard.ID, timing shard.Timing, test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, shards...)
		c.timing = timing
		for _, id := range []fleet.HostID{"h1", "h2", "h3"} {
			c.start(id)
		}
		c.runFor(member.LeaseTTL + 5*time.Second)
		if failures := c.ownershipFailures(); failures != nil {
			t.Error(failures)
		}
		test(t, c)
		c.stopAll()
	})
}

// frontOwner returns a front and its owner, which must be the only host that may
// send for it.
func (c *cluster) frontOwner(t *testing.T) (shard.ID, fleet.HostID) {
	t.Helper()
	front := shard.ID("front/sofia-1/0")
	owner := c.owners()[front].Host
	if got := c.senders(front); !slices.Equal(got, []fleet.HostID{owner}) {
		t.Fatalf("%s: owner %s, senders %v", front, owner, got)
	}
	return front, owner
}

// TestShutdownHandsOverAtOnce checks that another host owns the shards of a host
// and sends for its fronts within 2 s of a graceful shutdown.
func TestShutdownHandsOverAtOnce(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.stop(owner)
		c.runFor(2 * time.Second)
		if got := c.senders(front); len(got) != 1 {
			t.Errorf("senders %v after a graceful shutdown", got)
		}
		if left := c.ownedBy(owner); left != nil {
			t.Errorf("%v still belong to %s", left, owner)
		}
	})
}

// awaitTakeover waits until other hosts own the queues and cells of a host that has
// just been killed. This must happen within 10 s of the end of its lease.
func (c *cluster) awaitTakeover(t *testing.T, dead fleet.HostID) {
	t.Helper()
	killed := time.Now()
	batch := func(id shard.ID) bool { return id.Kind() != shard.KindFront }
	for slices.ContainsFunc(c.ownedBy(dead), batch) {
		c.runFor(sampleInterval)
		if time.Since(killed) > member.LeaseTTL+10*time.Second {
			t.Fatalf("%v still belong to %s", c.ownedBy(dead), dead)
		}
	}
	t.Logf("taken over %s after the kill", time.Since(killed))
}

// TestTakeoverAfterKill checks that the queues and cells of a killed host are taken
// over, and that its fronts are not, without proof that its process has ended.
func TestTakeoverAfterKill(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.kill(owner)
		c.awaitTakeover(t, owner)
		if c.owners()[front].Host != owner {
			t.Errorf("%s changed owner without proof that %s has ended", front, owner)
		}
	})
}

// TestTakeoverWithoutWatchEvents checks that queues and cells are taken over although
// watches of the claims deliver no events.
func TestTakeoverWithoutWatchEvents(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		_, owner := c.frontOwner(t)
		for _, p := range c.running {
			p.link.set(func(l *storeLink) { l.dropEvents = true })
		}
		c.kill(owner)
		c.awaitTakeover(t, owner)
	})
}

// TestRestartedHostTakesItsOwnShards checks that a restarted host claims the shards
// of its predecessor under a higher epoch, and sends only after requests of the
// predecessor have ended.
func TestRestartedHostTakesItsOwnShards(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		before := c.owners()[front]
		c.kill(owner)
		c.runFor(time.Second)
		c.start(owner)
		c.runFor(5 * time.Second)
		after := c.owners()[front]
		if after.Host != owner || after.Incarnation == before.Incarnation || after.Epoch <= before.Epoch {
			t.Errorf("owner %+v after %+v", after, before)
		}
		if got := c.senders(front); got != nil {
			t.Errorf("%v may send while requests of the predecessor may be in progress", got)
		}
		c.runFor(maxRequestDuration)
		if got := c.senders(front); !slices.Equal(got, []fleet.HostID{owner}) {
			t.Errorf("senders %v", got)
		}
	})
}

// TestNewHostsReceiveShardsAfterTheHandoverDelay checks that shards move to new hosts
// only after the handover delay, and that fronts then have one sender each.
func TestNewHostsReceiveShardsAfterTheHandoverDelay(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		before := c.owners()
		c.start("h4")
		c.start("h5")
		c.runFor(shard.DefaultHandoverDelay - 5*time.Second)
		if got := c.owners(); !equalOwners(got, before) {
			t.Errorf("owners %v, before %v", got, before)
		}
		c.runFor(15 * time.Second)
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

// TestOwnersStayAfterAStoreOutage checks that no shard moves during or after an
// outage of the store of an hour, at the end of which all leases have expired.
func TestOwnersStayAfterAStoreOutage(t *testing.T) {
	inClusterOf(t, someShards, shard.Timing{DecisionInterval: time.Second}, func(t *testing.T, c *cluster) {
		before := c.owners()
		starts := c.startCount()
		c.store.SetFaults(standin.StoreFaults{Down: true})
		for range 60 {
			time.Sleep(time.Minute)
			front, _ := c.frontOwner(t)
			if c.owners()[front] != before[front] {
				t.Fatalf("%s changed owner during the outage", front)
			}
		}
		c.store.ExpireAllLeases()
		c.store.SetFaults(standin.StoreFaults{})
		c.runFor(2 * time.Minute)
		if got := c.owners(); !equalOwners(got, before) {
			t.Errorf("owners %v, before %v", got, before)
		}
		if got := c.startCount(); got != starts {
			t.Errorf("%d runs started, want %d", got, starts)
		}
	})
}

// TestFailedRunnersAreRestarted checks that failed runners run again, queues and
// cells with a new epoch for each run, and fronts under the same claim.
func TestFailedRunnersAreRestarted(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.stop("h1")
		c.runFor(5 * time.Second)
		before := c.owners()
		c.mu.Lock()
		c.failingRuns = 100
		c.mu.Unlock()
		c.stop("h2")
		c.runFor(20 * time.Second)
		c.mu.Lock()
		c.failingRuns = 0
		c.mu.Unlock()
		c.runFor(30 * time.Second)
		if failures := c.ownershipFailures(); failures != nil {
			t.Error(failures)
		}
		for id, o := range c.owners() {
			if before[id].Host == "h3" {
				continue
			}
			if id.Kind() == shard.KindFront && o.Epoch != before[id].Epoch+1 {
				t.Errorf("%s at epoch %d after %d: a restarted front must keep its epoch", id, o.Epoch, before[id].Epoch)
			}
			if id.Kind() != shard.KindFront && o.Epoch < before[id].Epoch+2 {
				t.Errorf("%s at epoch %d after %d: each run must have a new epoch", id, o.Epoch, before[id].Epoch)
			}
		}
	})
}

// TestDrainingHostReleasesItsShards checks that other hosts own the shards of a
// draining host within 5 s.
func TestDrainingHostReleasesItsShards(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.mu.Lock()
		c.running[owner].draining = true
		c.mu.Unlock()
		c.runFor(5 * time.Second)
		if left := c.ownedBy(owner); left != nil {
			t.Errorf("%v still belong to %s", left, owner)
		}
		if got := c.senders(front); len(got) != 1 {
			t.Errorf("senders %v", got)
		}
	})
}

// TestLeavingHostReleasesItsShards checks that a host that the platform reports as
// leaving hands its shards over after the handover delay.
func TestLeavingHostReleasesItsShards(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		_, owner := c.frontOwner(t)
		c.mu.Lock()
		c.list.EntryHosts = []inventory.EntryHost{{ID: owner, Incarnation: c.running[owner].self.Incarnation, State: inventory.StateLeaving}}
		c.mu.Unlock()
		c.runFor(shard.DefaultHandoverDelay + 5*time.Second)
		if left := c.ownedBy(owner); left != nil {
			t.Errorf("%v still belong to %s", left, owner)
		}
	})
}

// TestDeletedClaimKeepsItsEpoch checks that the epoch still increases after a claim
// was deleted, since workers compare it. Only an operator can delete a claim.
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
		c.runFor(5 * time.Second)
		if after := c.owners()[id]; after.Epoch <= before.Epoch {
			t.Errorf("epoch %d after %d", after.Epoch, before.Epoch)
		}
	})
}

// TestStoreCallsOfAnIdleHost checks that a host makes few calls to the store while
// nothing changes. Calls must not be made per shard.
func TestStoreCallsOfAnIdleHost(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.runFor(time.Minute)
		reads, writes := c.store.Calls()
		const minutes = 10
		time.Sleep(minutes * time.Minute)
		moreReads, moreWrites := c.store.Calls()
		perHost := func(calls int) float64 { return float64(calls) / float64(len(c.running)) / (minutes * 60) }
		t.Logf("each host: %.3f reads and %.3f writes per second", perHost(moreReads-reads), perHost(moreWrites-writes))
		if got := perHost(moreReads - reads); got > 0.4 {
			t.Errorf("%.3f reads per second and host", got)
		}
		if got := perHost(moreWrites - writes); got > 0.25 {
			t.Errorf("%.3f writes per second and host", got)
		}
	})
}
