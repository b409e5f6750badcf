package dedupe_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/dedupe"
)

// move is one random event.
type move struct {
	what        string
	host, front int
	id          int
	ms          int
	flag        bool
}

// TestClaimModel moves fronts between hosts whose views of owners lag without
// bound and whose views of the set of fronts lag up to the margin, and checks
// that no ID is accepted twice.
func TestClaimModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		moves := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
			return move{
				what:  rapid.SampledFrom([]string{"claim", "claim", "create", "race", "race", "give", "look", "wait", "wait", "fronts", "lose", "restart", "release", "cut", "delay"}).Draw(t, "what"),
				host:  rapid.IntRange(0, 2).Draw(t, "host"),
				front: rapid.IntRange(0, 1).Draw(t, "front"),
				id:    rapid.IntRange(0, 2).Draw(t, "id"),
				ms:    rapid.IntRange(-900, 4000).Draw(t, "ms"),
				flag:  rapid.Bool().Draw(t, "flag"),
			}
		}), 20, 80).Draw(rt, "moves")
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = play(t.Context(), moves) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// play returns what was violated, or "".
func play(ctx context.Context, moves []move) string {
	w := newWorld(3)
	for i := range 3 {
		w.hosts[hostName(i)].claimer.SetFronts(time.Now(), fronts(1))
	}
	for i := range 2 {
		w.give(frontName(i), hostName(i), true)
	}
	for _, h := range w.hosts {
		h.look()
	}
	time.Sleep(margins.Propagation + margins.ClockSkew)
	var ids []uuid.UUID
	accepted := make(map[uuid.UUID]int)
	var newest *dedupe.Claim
	var newestID uuid.UUID
	var seen [3]time.Time // last change of fronts, by host
	sees := [3]int{1, 1, 1}
	claim := func(h *node, id uuid.UUID) {
		if k, err := h.claimer.Claim(ctx, id); err == nil {
			accepted[id]++
			newest, newestID = k, id
		}
	}
	for i, m := range moves {
		h := w.hosts[hostName(m.host)]
		switch m.what {
		case "create":
			ids = append(ids, newID(time.Now().Add(time.Duration(-m.ms)*time.Millisecond), byte(i)))
		case "claim":
			if len(ids) == 0 {
				continue
			}
			// The newest are the most likely to be accepted.
			id := ids[max(len(ids)-1-m.id, 0)]
			claim(h, id)
		case "race": // all hosts send the same new request
			id := newID(time.Now().Add(time.Duration(-m.ms)*time.Millisecond), byte(i))
			ids = append(ids, id)
			for k := range 3 {
				claim(w.hosts[hostName((m.host+k)%3)], id)
			}
		case "give":
			w.give(frontName(m.front), hostName(m.host), m.flag)
		case "look":
			h.look()
		case "wait":
			time.Sleep(time.Duration(max(m.ms, 0)) * time.Millisecond)
		case "fronts":
			// Each host sees the change at another time within the margin.
			n := 1
			if m.flag {
				n = 2
			}
			for k := range 3 {
				host := w.hosts[hostName(k)]
				// Settings never go back at a host.
				seen[k] = later(seen[k], time.Now().Add(time.Duration(k*max(m.ms, 0)/3)*time.Millisecond))
				time.AfterFunc(time.Until(seen[k]), func() {
					w.mu.Lock()
					sees[k] = n
					c := host.claimer
					w.mu.Unlock()
					c.SetFronts(time.Now(), fronts(n))
				})
			}
			time.Sleep(time.Duration(max(m.ms, 0)/2) * time.Millisecond)
		case "restart":
			w.restart(h.self, sees[m.host])
		case "lose":
			w.mu.Lock()
			w.lose = m.flag
			w.mu.Unlock()
		case "release": // the newest request was surely not run
			if newest != nil {
				newest.Release(ctx)
				accepted[newestID]--
				newest = nil
			}
		case "cut":
			w.mu.Lock()
			w.cut = m.id - 1
			w.mu.Unlock()
		case "delay":
			w.set(func() { w.delay = time.Duration(max(m.ms, 0)) * time.Millisecond / 2 })
		}
		synctest.Wait()
	}
	time.Sleep(margins.Propagation + time.Minute) // lets the timers and hand-overs end
	for id, n := range accepted {
		if n > 1 {
			return fmt.Sprintf("%s was accepted %d times", id, n)
		}
	}
	return ""
}

// later returns b, or a moment after a if that is later.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a.Add(time.Nanosecond)
}

// TestClaim checks the paths of a claim between hosts.
func TestClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		a, b := w.hosts["h0"], w.hosts["h1"]
		for _, h := range []*node{a, b} {
			h.claimer.SetFronts(time.Now(), fronts(1))
		}
		time.Sleep(margins.Propagation)
		w.give(frontName(0), "h0", true)
		created := newID(time.Now(), 1)
		time.Sleep(margins.ClockSkew)
		claim := func(h *node, id uuid.UUID) string {
			_, err := h.claimer.Claim(t.Context(), id)
			return kind(err)
		}
		if got := claim(b, created); got != "unavailable" {
			t.Errorf("owner not known: %s", got)
		}
		a.look()
		b.look()
		if got := claim(b, created); got != "old" {
			t.Errorf("created before the memory: %s", got)
		}
		id := newID(time.Now(), 2)
		if got := claim(b, id); got != "accepted" {
			t.Errorf("first: %s", got)
		}
		if got := claim(a, id); got != "duplicate" {
			t.Errorf("resend: %s", got)
		}
		id = newID(time.Now(), 3)
		w.lose = true
		if got := claim(b, id); got != "unavailable" {
			t.Errorf("answers lost: %s", got)
		}
		w.lose = false
		if got := claim(b, id); got != "duplicate" {
			t.Errorf("after a claim with unknown outcome: %s", got)
		}
		w.give(frontName(0), "h1", false) // h0 has not noticed
		if got := claim(a, newID(time.Now(), 4)); got != "unavailable" {
			t.Errorf("at the former owner: %s", got)
		}
	})
}
