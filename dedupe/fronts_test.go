package dedupe_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/fuchsiahill/fuchsiahill/dedupe"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// TestFrontsChange checks the claims of IDs whose home moves because the set of
// fronts changes, while hosts see different sets.
func TestFrontsChange(t *testing.T) {
	// idWithHome returns an ID, created now, whose home among two fronts is front.
	idWithHome := func(cl *cluster, front shard.ID) uuid.UUID {
		probe := dedupe.NewClaimer(dedupe.Deps{Self: "probe", Registry: &node{cluster: cl, handlers: map[string]peer.Handler{}}, Directory: &node{cluster: cl}})
		probe.SetFronts(time.Now(), fronts(2))
		for n := byte(0); ; n++ {
			id := newID(time.Now(), n)
			if probe.Home(id) == front {
				return id
			}
		}
	}
	setup := func(n int) (*cluster, func(h int, id uuid.UUID) string) {
		cl := newCluster(3)
		for i := range 3 {
			cl.hosts[hostName(i)].claimer.SetFronts(time.Now(), fronts(n))
		}
		for i := range n {
			cl.move(frontName(i), hostName(i), true)
		}
		time.Sleep(margins.Propagation + margins.StartMargin)
		return cl, func(h int, id uuid.UUID) string {
			host := cl.hosts[hostName(h)]
			host.refreshView()
			_, err := host.claimer.Claim(context.Background(), id)
			return outcome(err)
		}
	}
	setFronts := func(cl *cluster, host, n int) { cl.hosts[hostName(host)].claimer.SetFronts(time.Now(), fronts(n)) }
	type claimFunc = func(int, uuid.UUID) string

	cases := []struct {
		name   string
		fronts int
		run    func(*testing.T, *cluster, claimFunc)
	}{
		{"added, caller lags", 1, func(t *testing.T, cl *cluster, claim claimFunc) {
			setFronts(cl, 0, 2)
			setFronts(cl, 1, 2)
			if got := claim(2, idWithHome(cl, frontName(1))); got != "unavailable" {
				t.Errorf("the former home: %s", got)
			}
		}},
		{"added, former home lags", 1, func(t *testing.T, cl *cluster, claim claimFunc) {
			setFronts(cl, 1, 2)
			cl.move(frontName(1), hostName(1), true)
			time.Sleep(margins.StartMargin)
			id := idWithHome(cl, frontName(1))
			if got := claim(2, id); got != "accepted" {
				t.Fatalf("at the former home: %s", got)
			}
			if got := claim(1, id); got != "old" {
				t.Errorf("at the new home: %s", got)
			}
			time.Sleep(margins.Propagation)
			setFronts(cl, 0, 2)
			setFronts(cl, 2, 2)
			if got := claim(2, idWithHome(cl, frontName(1))); got != "accepted" {
				t.Errorf("once all hosts have seen the change: %s", got)
			}
		}},
		{"removed", 2, func(t *testing.T, cl *cluster, claim claimFunc) {
			id := idWithHome(cl, frontName(1))
			if got := claim(2, id); got != "accepted" {
				t.Fatalf("first: %s", got)
			}
			for i := range 3 {
				setFronts(cl, i, 1)
			}
			if got := claim(2, id); got != "old" {
				t.Errorf("at the new home: %s", got)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl, claim := setup(c.fronts)
				c.run(t, cl, claim)
			})
		})
	}
}
