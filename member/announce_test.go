package member_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer/peertest"
)

// TestAnnounce checks that Announce delivers a host's summary to all other hosts of
// the region.
func TestAnnounce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := cluster{t: t, store: &faultyStore{Store: standin.NewStore()}, net: peertest.NewNetwork()}
		var draining atomic.Bool
		ids := []fleet.HostID{"a", "b", "c", "d", "e"}
		hosts := make(map[fleet.HostID]runningRegistry)
		for _, id := range ids {
			hosts[id] = cl.start(id, 1, func() int { return 1 })
		}
		hosts["a"].SetSummarySource(func() member.Summary { return member.Summary{Draining: draining.Load()} })
		time.Sleep(10 * time.Second)
		draining.Store(true)
		hosts["a"].Announce(t.Context())
		for _, id := range ids[1:] {
			if s, ok := hosts[id].Summary("a"); !ok || !s.Draining {
				t.Errorf("%s has the summary %+v of a, want one that is draining", id, s)
			}
		}
		for _, h := range hosts {
			_ = h.stop()
		}
	})
}
