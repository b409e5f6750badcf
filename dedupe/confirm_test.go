package dedupe_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestConfirmFronts checks that a process that has just started accepts new IDs as
// soon as a peer confirms that all hosts see the fronts, and not before.
func TestConfirmFronts(t *testing.T) {
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
				cl := newCluster(3)
				for _, h := range cl.hosts {
					h.claimer.SetFronts(time.Now(), fronts(c.peers))
				}
				time.Sleep(2 * margins.Propagation)
				cl.move(frontName(0), "h0", true)
				cl.hosts["h0"].refreshView()
				cl.restart("h0", 1)
				time.Sleep(margins.StartMargin)
				_, err := cl.hosts["h0"].claimer.Claim(t.Context(), newID(time.Now(), 1))
				if got := outcome(err); got != c.want {
					t.Errorf("right after the start: %s, want %s", got, c.want)
				}
				time.Sleep(margins.Propagation)
				_, err = cl.hosts["h0"].claimer.Claim(t.Context(), newID(time.Now(), 2))
				if got := outcome(err); got != "accepted" {
					t.Errorf("later: %s", got)
				}
			})
		})
	}
}
