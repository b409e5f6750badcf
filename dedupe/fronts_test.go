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

// TestFrontsChange checks IDs whose home moves because the set of fronts
// changes while hosts see different sets.
func TestFrontsChange(t *testing.T) {
	// homed returns an ID, created now, with the given home among two fronts.
	homed := func(w *world, front shard.ID) uuid.UUID {
		probe := dedupe.NewClaimer(dedupe.Deps{Self: "probe", Registry: &node{world: w, handlers: map[string]peer.Handler{}}, Directory: &node{world: w}})
		probe.SetFronts(time.Now(), fronts(2))
		for n := byte(0); ; n++ {
			id := newID(time.Now(), n)
			if probe.Home(id) == front {
				return id
			}
		}
	}
	setup := func(n int) (*world, func(h int, id uuid.UUID) string) {
		w := newWorld(3)
		for i := range 3 {
			w.hosts[hostName(i)].claimer.SetFronts(time.Now(), fronts(n))
		}
		for i := range n {
			w.give(frontName(i), hostName(i), true)
		}
		time.Sleep(margins.Propagation + margins.ClockSkew)
		return w, func(h int, id uuid.UUID) string {
			host := w.hosts[hostName(h)]
			host.look()
			_, err := host.claimer.Claim(context.Background(), id)
			return kind(err)
		}
	}
	set := func(w *world, host, n int) { w.hosts[hostName(host)].claimer.SetFronts(time.Now(), fronts(n)) }
	type claimFunc = func(int, uuid.UUID) string

	cases := []struct {
		name   string
		fronts int
		run    func(*testing.T, *world, claimFunc)
	}{
		{"added, caller lags", 1, func(t *testing.T, w *world, claim claimFunc) {
			set(w, 0, 2)
			set(w, 1, 2)
			if got := claim(2, homed(w, frontName(1))); got != "unavailable" {
				t.Errorf("the former home: %s", got)
			}
		}},
		{"added, former home lags", 1, func(t *testing.T, w *world, claim claimFunc) {
			set(w, 1, 2)
			w.give(frontName(1), hostName(1), true)
			time.Sleep(margins.ClockSkew)
			id := homed(w, frontName(1))
			if got := claim(2, id); got != "accepted" {
				t.Fatalf("at the former home: %s", got)
			}
			if got := claim(1, id); got != "old" {
				t.Errorf("at the new home: %s", got)
			}
			time.Sleep(margins.Propagation)
			set(w, 0, 2)
			set(w, 2, 2)
			if got := claim(2, homed(w, frontName(1))); got != "accepted" {
				t.Errorf("once all hosts have seen the change: %s", got)
			}
		}},
		{"removed", 2, func(t *testing.T, w *world, claim claimFunc) {
			id := homed(w, frontName(1))
			if got := claim(2, id); got != "accepted" {
				t.Fatalf("first: %s", got)
			}
			for i := range 3 {
				set(w, i, 1)
			}
			if got := claim(2, id); got != "old" {
				t.Errorf("at the new home: %s", got)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, claim := setup(c.fronts)
				c.run(t, w, claim)
			})
		})
	}
}
