package owner

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/platform"
)

// Renewals are lost one after the other when connections go silent. The lease has to outlast one that is
// lost to the silence, and two more.
func TestLeaseLapsesAfterThreeLostRenewals(t *testing.T) {
	const (
		leastMaxTaskLease = 6 * time.Second // the least that is in use
		lost              = 3
		roundTrip         = 50 * time.Millisecond // opening a connection included
		reads             = 1                     // after a failure, before the lease is extended again
	)
	lease := min(time.Duration(workerLeaseShare*float64(leastMaxTaskLease)), maxWorkerLease)
	// The first one is sent once the last answered one has waited for its answer, and the
	// others only read the clock.
	elapsed := renewalLongPoll + platform.RenewalTimeout(renewalLongPoll) + renewRetryDelay
	elapsed += (lost - 1) * (platform.RenewalTimeout(0) + renewRetryDelay)
	elapsed += (reads + 1) * roundTrip
	drift := time.Duration((1 - minClockRate) * float64(elapsed))
	if elapsed+drift >= lease {
		t.Errorf("the lease of %v lapses %v after it was extended, before the next extension at %v", lease, lease, elapsed+drift)
	}
}
