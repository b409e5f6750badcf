package shard_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

const (
	targetHosts      = 60
	killedHosts      = 10  // of a data centre
	maxStoreWrites   = 300 // that the service takes in a second
	maxStoreReads    = 2000
	takeoverDeadline = member.LeaseTTL + 10*time.Second
)

// targetShards are the cells, fronts and queues of the target size.
func targetShards() []shard.ID {
	var ids []shard.ID
	for i := range 54 {
		ids = append(ids, shard.ID(fmt.Sprintf("cell/sofia-1/%d", i)), shard.ID(fmt.Sprintf("front/sofia-1/%d", i)))
	}
	for i := range 45 {
		ids = append(ids, shard.ID(fmt.Sprintf("queue/team-%d/0", i)))
	}
	return ids
}

// inTargetCluster runs a test with hosts and shards of the target size, after
// every shard has found its owner.
func inTargetCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, targetShards()...)
		defer c.stopAll()
		for i := range targetHosts {
			c.start(fleet.HostID(fmt.Sprintf("entry-%d", i)))
		}
		time.Sleep(2 * member.LeaseTTL)
		if n := len(c.owners()); n != len(c.shards) {
			t.Fatalf("%d of %d shards have an owner", n, len(c.shards))
		}
		test(t, c)
	})
}

// load is the calls of the store in a stretch of time.
type storeLoad struct {
	reads, writes         int
	peakReads, peakWrites int // in one second
}

// loadFor lets time pass until done and returns the store's load.
func (c *cluster) measureLoad(limit time.Duration, done func() bool) storeLoad {
	var measured storeLoad
	for end := time.Now().Add(limit); time.Now().Before(end) && !done(); {
		reads, writes := c.store.Calls()
		time.Sleep(time.Second)
		readsAfter, writesAfter := c.store.Calls()
		measured.reads += readsAfter - reads
		measured.writes += writesAfter - writes
		measured.peakReads = max(measured.peakReads, readsAfter-reads)
		measured.peakWrites = max(measured.peakWrites, writesAfter-writes)
	}
	return measured
}

func (l storeLoad) check(t *testing.T, name string) {
	t.Helper()
	t.Logf("%s: %d reads and %d writes, at most %d and %d in a second", name, l.reads, l.writes, l.peakReads, l.peakWrites)
	if l.peakReads > maxStoreReads || l.peakWrites > maxStoreWrites {
		t.Errorf("%s: %d reads and %d writes in a second, the store takes %d and %d", name, l.peakReads, l.peakWrites, maxStoreReads, maxStoreWrites)
	}
}

// ofDead counts the queues and cells that belong to hosts that were killed.
func (c *cluster) shardsOfKilled() int {
	n := 0
	for id, o := range c.owners() {
		if id.Kind() != shard.KindFront && c.running[o.Host] == nil {
			n++
		}
	}
	return n
}

// TestDataCentreLost kills a sixth of the hosts at once: the others take their
// queues and cells in time, and the store takes their calls.
func TestDataCentreLost(t *testing.T) {
	inTargetCluster(t, func(t *testing.T, c *cluster) {
		for i := range killedHosts {
			c.kill(fleet.HostID(fmt.Sprintf("entry-%d", i)))
		}
		lost := c.shardsOfKilled()
		killed := time.Now()
		measured := c.measureLoad(takeoverDeadline, func() bool { return c.shardsOfKilled() == 0 })
		measured.check(t, fmt.Sprintf("%d queues and cells taken over in %s", lost, time.Since(killed)))
		if left := c.shardsOfKilled(); lost == 0 || left > 0 {
			t.Errorf("%d of %d queues and cells belong to dead hosts", left, lost)
		}
	})
}

// cutOff lets every second host reach the store or not.
func (c *cluster) setHalfDown(down bool) {
	for i := 0; i < targetHosts; i += 2 {
		c.running[fleet.HostID(fmt.Sprintf("entry-%d", i))].link.set(func(l *storeLink) { l.down = down })
	}
}

// TestStoreReturns ends an outage in which every lease has lapsed, for half of
// the hosts 10 s later: all register again within what the store takes, and
// nothing moves.
func TestStoreLoadAfterAnOutage(t *testing.T) {
	inTargetCluster(t, func(t *testing.T, c *cluster) {
		before, starts := c.owners(), c.startCount()
		c.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(2 * member.LeaseTTL)
		c.store.ExpireAllLeases()
		c.setHalfDown(true)
		c.store.SetFaults(standin.StoreFaults{})
		c.measureLoad(member.LeaseTTL-5*time.Second, func() bool { return false }).check(t, "while half are back")
		c.setHalfDown(false)
		c.measureLoad(2*member.LeaseTTL, func() bool { return false }).check(t, "the 30 s after")
		if got := c.owners(); !equalOwners(got, before) || c.startCount() != starts {
			t.Errorf("shards moved: %d runs, before %d", c.startCount(), starts)
		}
	})
}
