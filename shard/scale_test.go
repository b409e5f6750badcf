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
	killedHosts      = 10  // all in the same data centre
	maxStoreWrites   = 300 // that the service accepts per second
	maxStoreReads    = 2000
	takeoverDeadline = member.LeaseTTL + 10*time.Second
)

// targetShards returns the cells, fronts and queues of a deployment of the target
// size.
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

// inTargetCluster runs a test with hosts and shards of the target size, once every
// shard has an owner.
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

// storeLoad counts the calls to the store during a measurement.
type storeLoad struct {
	reads, writes         int
	peakReads, peakWrites int // in any one second
}

// measureLoad lets time pass until done returns true, up to limit, and returns the
// load of the store.
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

// check fails the test if the load exceeds what the service accepts.
func (load storeLoad) check(t *testing.T, name string) {
	t.Helper()
	t.Logf("%s: %d reads and %d writes, at most %d and %d per second", name, load.reads, load.writes, load.peakReads, load.peakWrites)
	if load.peakReads > maxStoreReads || load.peakWrites > maxStoreWrites {
		t.Errorf("%s: %d reads and %d writes per second, the limits are %d and %d", name, load.peakReads, load.peakWrites, maxStoreReads, maxStoreWrites)
	}
}

// shardsOfKilled counts the queues and cells that killed hosts still own.
func (c *cluster) shardsOfKilled() int {
	n := 0
	for id, o := range c.owners() {
		if id.Kind() != shard.KindFront && c.running[o.Host] == nil {
			n++
		}
	}
	return n
}

// TestDataCentreLost kills a sixth of the hosts at once. The other hosts must take
// over their queues and cells within 10 s of the end of the leases, without
// exceeding the load that the store accepts.
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
			t.Errorf("%d of %d queues and cells still belong to killed hosts", left, lost)
		}
	})
}

// setHalfDown disconnects or reconnects every second host from the store.
func (c *cluster) setHalfDown(down bool) {
	for i := 0; i < targetHosts; i += 2 {
		c.running[fleet.HostID(fmt.Sprintf("entry-%d", i))].link.set(func(l *storeLink) { l.down = down })
	}
}

// TestStoreLoadAfterAnOutage ends an outage in which every lease has expired, for
// half of the hosts 10 s later. All hosts must register again within the load that
// the store accepts, and no shard may move.
func TestStoreLoadAfterAnOutage(t *testing.T) {
	inTargetCluster(t, func(t *testing.T, c *cluster) {
		before, starts := c.owners(), c.startCount()
		c.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(2 * member.LeaseTTL)
		c.store.ExpireAllLeases()
		c.setHalfDown(true)
		c.store.SetFaults(standin.StoreFaults{})
		c.measureLoad(member.LeaseTTL-5*time.Second, func() bool { return false }).check(t, "while half of the hosts are disconnected")
		c.setHalfDown(false)
		c.measureLoad(2*member.LeaseTTL, func() bool { return false }).check(t, "during the following 30 s")
		if got := c.owners(); !equalOwners(got, before) || c.startCount() != starts {
			t.Errorf("shards moved: %d runs started, want %d", c.startCount(), starts)
		}
	})
}
