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

// inCluster runs a test with three hosts that have settled. Every breach of

// exclusive sending or running fails it.

func inCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	inClusterOf(t, someShards, shard.Timing{FrontTakeoverTimeout: frontBound, FrontClockMargin: frontMargin}, test)
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

// awaitTakeover waits until the queues and cells of a host that was killed just
// now belong to others, which must be within 10 s of its lease's end.
func (c *cluster) awaitTakeover(t *testing.T, dead fleet.HostID) {
	t.Helper()
	killed := time.Now()
	batch := func(id shard.ID) bool { return id.Kind() != shard.KindFront }
	for slices.ContainsFunc(c.ownedBy(dead), batch) {
		c.run(sampleInterval)
		if time.Since(killed) > member.LeaseTTL+10*time.Second {
			t.Fatalf("%v still belong to %s", c.ownedBy(dead), dead)
		}
	}
	t.Logf("taken over %s after the death", time.Since(killed))
}

func TestTakeoverAfterDeath(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		front, owner := c.frontOwner(t)
		c.kill(owner)
		c.awaitTakeover(t, owner)
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
		c.awaitTakeover(t, owner)
	})
}

// The host that waits out the requests of a dead owner may itself let go

// before they have surely ended.

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
		c.run(shard.DefaultHandoverDelay - 5*time.Second)
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
	inClusterOf(t, someShards, shard.Timing{DecisionInterval: time.Second}, func(t *testing.T, c *cluster) {
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

// The wanted owner may be this host again while a release is on its way to

// the store.

// A release whose outcome is unknown may take effect late. Until it is known

// not to, the front must not run on.

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
		c.list.EntryHosts = []inventory.EntryHost{{ID: owner, Incarnation: c.running[owner].self.Incarnation, State: inventory.StateLeaving}}
		c.mu.Unlock()
		c.run(shard.DefaultHandoverDelay + 5*time.Second)
		if left := c.ownedBy(owner); left != nil {
			t.Errorf("%v still belong to %s", left, owner)
		}
	})
}

// An entry without an incarnation may be older than the process that now runs

// under the name.

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

// The state of a quiet fleet costs each host few calls, however many shards

// it holds.

func TestStoreCallsOfAQuietHost(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.run(time.Minute)
		reads, writes := c.store.Calls()
		const minutes = 10
		time.Sleep(minutes * time.Minute)
		moreReads, moreWrites := c.store.Calls()
		perHost := func(calls int) float64 { return float64(calls) / float64(len(c.running)) / (minutes * 60) }
		t.Logf("each host: %.3f reads and %.3f writes a second", perHost(moreReads-reads), perHost(moreWrites-writes))
		if got := perHost(moreReads - reads); got > 0.4 {
			t.Errorf("%.3f reads a second", got)
		}
		if got := perHost(moreWrites - writes); got > 0.25 {
			t.Errorf("%.3f writes a second", got)
		}
	})
}
