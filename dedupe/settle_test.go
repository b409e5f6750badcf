package dedupe_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSettle checks that a process that has just started vouches for new IDs
// as soon as a peer confirms that the fronts are old, and not before.
func TestSettle(t *testing.T) {
	cases := []struct {
		name  string
		peers int // fronts that the other hosts see
		want  string
	}{
		{"peers see the same fronts", 1, "accepted"},
		{"peers see other fronts", 2, "old"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(3)
				for _, h := range w.hosts {
					h.claimer.SetFronts(time.Now(), fronts(c.peers))
				}
				time.Sleep(2 * margins.Propagation)
				w.give(frontName(0), "h0", true)
				w.hosts["h0"].look()
				w.restart("h0", 1)
				time.Sleep(margins.ClockSkew)
				_, err := w.hosts["h0"].claimer.Claim(t.Context(), newID(time.Now(), 1))
				if got := kind(err); got != c.want {
					t.Errorf("right after the start: %s, want %s", got, c.want)
				}
				time.Sleep(margins.Propagation)
				_, err = w.hosts["h0"].claimer.Claim(t.Context(), newID(time.Now(), 2))
				if got := kind(err); got != "accepted" {
					t.Errorf("later: %s", got)
				}
			})
		})
	}
}
