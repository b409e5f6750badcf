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

// TestAnnounce checks that every host of the region has a host's summary
// once it was announced.
func TestAnnounce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := world{t: t, store: &faulty{Store: standin.NewStore()}, net: peertest.NewNetwork()}
		var draining atomic.Bool
		ids := []fleet.HostID{"a", "b", "c", "d", "e"}
		hosts := make(map[fleet.HostID]running)
		for _, id := range ids {
			hosts[id] = w.start(id, 1, func() int { return 1 })
		}
		hosts["a"].SetSummarySource(func() member.Summary { return member.Summary{Draining: draining.Load()} })
		time.Sleep(10 * time.Second)
		draining.Store(true)
		hosts["a"].Announce(t.Context())
		for _, id := range ids[1:] {
			if s, ok := hosts[id].Summary("a"); !ok || !s.Draining {
				t.Errorf("%s has %+v", id, s)
			}
		}
		for _, h := range hosts {
			_ = h.stop()
		}
	})
}
