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

// event is one random event of TestClaimModel.
type event struct {
	action      string
	host, front int
	id          int
	ms          int
	flag        bool
}

// TestClaimModel guards against an ID that is accepted twice. It moves fronts
// between hosts whose views of the owners are arbitrarily outdated and whose views
// of the set of fronts lag up to Margins.Propagation.
func TestClaimModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{
				action: rapid.SampledFrom([]string{"claim", "claim", "create", "race", "race", "give", "look", "wait", "wait", "fronts", "lose", "restart", "release", "cut", "delay"}).Draw(t, "what"),
				host:   rapid.IntRange(0, 2).Draw(t, "host"),
				front:  rapid.IntRange(0, 1).Draw(t, "front"),
				id:     rapid.IntRange(0, 2).Draw(t, "id"),
				ms:     rapid.IntRange(-900, 4000).Draw(t, "ms"),
				flag:   rapid.Bool().Draw(t, "flag"),
			}
		}), 20, 80).Draw(rt, "moves")
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = runEvents(t.Context(), events) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// runEvents runs the events and returns the violated guarantee, or "".
func runEvents(ctx context.Context, events []event) string {
	cl := newCluster(3)
	for i := range 3 {
		cl.hosts[hostName(i)].claimer.SetFronts(time.Now(), fronts(1))
	}
	for i := range 2 {
		cl.move(frontName(i), hostName(i), true)
	}
	for _, h := range cl.hosts {
		h.refreshView()
	}
	time.Sleep(margins.Propagation + margins.StartMargin)
	var ids []uuid.UUID
	accepted := make(map[uuid.UUID]int)
	var newest *dedupe.Claim
	var newestID uuid.UUID
	var changeAt [3]time.Time // last change of fronts, by host
	visibleFronts := [3]int{1, 1, 1}
	claim := func(h *node, id uuid.UUID) {
		if k, err := h.claimer.Claim(ctx, id); err == nil {
			accepted[id]++
			newest, newestID = k, id
		}
	}
	for i, e := range events {
		h := cl.hosts[hostName(e.host)]
		switch e.action {
		case "create":
			ids = append(ids, newID(time.Now().Add(time.Duration(-e.ms)*time.Millisecond), byte(i)))
		case "claim":
			if len(ids) == 0 {
				continue
			}
			// The newest IDs are the most likely to be accepted.
			id := ids[max(len(ids)-1-e.id, 0)]
			claim(h, id)
		case "race": // all hosts send the same new request
			id := newID(time.Now().Add(time.Duration(-e.ms)*time.Millisecond), byte(i))
			ids = append(ids, id)
			for k := range 3 {
				claim(cl.hosts[hostName((e.host+k)%3)], id)
			}
		case "give":
			cl.move(frontName(e.front), hostName(e.host), e.flag)
		case "look":
			h.refreshView()
		case "wait":
			time.Sleep(time.Duration(max(e.ms, 0)) * time.Millisecond)
		case "fronts":
			// Each host sees the change at a different time within the margin.
			n := 1
			if e.flag {
				n = 2
			}
			for k := range 3 {
				host := cl.hosts[hostName(k)]
				// Settings at a host never go back to an earlier version.
				changeAt[k] = later(changeAt[k], time.Now().Add(time.Duration(k*max(e.ms, 0)/3)*time.Millisecond))
				time.AfterFunc(time.Until(changeAt[k]), func() {
					cl.mu.Lock()
					visibleFronts[k] = n
					c := host.claimer
					cl.mu.Unlock()
					c.SetFronts(time.Now(), fronts(n))
				})
			}
			time.Sleep(time.Duration(max(e.ms, 0)/2) * time.Millisecond)
		case "restart":
			cl.restart(h.self, visibleFronts[e.host])
		case "lose":
			cl.mu.Lock()
			cl.lose = e.flag
			cl.mu.Unlock()
		case "release": // the newest request was certainly not run
			if newest != nil {
				newest.Release(ctx)
				accepted[newestID]--
				newest = nil
			}
		case "cut":
			cl.mu.Lock()
			cl.cutAfter = e.id - 1
			cl.mu.Unlock()
		case "delay":
			cl.set(func() { cl.pageDelay = time.Duration(max(e.ms, 0)) * time.Millisecond / 2 })
		}
		synctest.Wait()
	}
	time.Sleep(margins.Propagation + time.Minute) // until timers and handovers are done
	for id, n := range accepted {
		if n > 1 {
			return fmt.Sprintf("%s was accepted %d times", id, n)
		}
	}
	return ""
}

// later returns b if it is after a, otherwise the nanosecond after a.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a.Add(time.Nanosecond)
}

// TestClaim checks the outcomes of claims that are sent between hosts.
func TestClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(2)
		a, b := cl.hosts["h0"], cl.hosts["h1"]
		for _, h := range []*node{a, b} {
			h.claimer.SetFronts(time.Now(), fronts(1))
		}
		time.Sleep(margins.Propagation)
		cl.move(frontName(0), "h0", true)
		created := newID(time.Now(), 1)
		time.Sleep(margins.StartMargin)
		claim := func(h *node, id uuid.UUID) string {
			_, err := h.claimer.Claim(t.Context(), id)
			return outcome(err)
		}
		if got := claim(b, created); got != "unavailable" {
			t.Errorf("unknown owner: %s", got)
		}
		a.refreshView()
		b.refreshView()
		if got := claim(b, created); got != "old" {
			t.Errorf("created before the history: %s", got)
		}
		id := newID(time.Now(), 2)
		if got := claim(b, id); got != "accepted" {
			t.Errorf("first: %s", got)
		}
		if got := claim(a, id); got != "duplicate" {
			t.Errorf("resend: %s", got)
		}
		id = newID(time.Now(), 3)
		cl.lose = true
		if got := claim(b, id); got != "unavailable" {
			t.Errorf("replies lost: %s", got)
		}
		cl.lose = false
		if got := claim(b, id); got != "duplicate" {
			t.Errorf("after a claim with unknown outcome: %s", got)
		}
		cl.move(frontName(0), "h1", false) // h0 has not noticed
		if got := claim(a, newID(time.Now(), 4)); got != "unavailable" {
			t.Errorf("at the former owner: %s", got)
		}
	})
}
