package dedupe_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/fuchsiahill/fuchsiahill/dedupe"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// handOver is one front that passes between three hosts that vouch for all
// IDs of the last seconds.
type handOver struct {
	*world
	t *testing.T
}

func newHandOver(t *testing.T) *handOver {
	w := newWorld(3)
	for i := range 3 {
		w.hosts[hostName(i)].claimer.SetFronts(time.Now(), fronts(1))
	}
	time.Sleep(margins.Propagation)
	w.give(frontName(0), "h0", true)
	time.Sleep(margins.ClockSkew + time.Second)
	return &handOver{w, t}
}

// claim claims an ID at the owner.
func (h *handOver) claim(id uuid.UUID) (*dedupe.Claim, error) {
	n := h.hosts[h.rights[frontName(0)]]
	n.look()
	return n.claimer.Claim(context.Background(), id)
}

func (h *handOver) want(what string, id uuid.UUID, want string) {
	h.t.Helper()
	if _, err := h.claim(id); kind(err) != want {
		h.t.Errorf("%s: %s, want %s", what, kind(err), want)
	}
}

// filler returns the n-th of many IDs that were created at the same time.
func filler(n int, at time.Time) uuid.UUID {
	id := newID(at, byte(n))
	id[14], id[13], id[12] = byte(n>>8), byte(n>>16), 1
	return id
}

// fill claims n IDs that were created at the same time.
func (h *handOver) fill(n int, at time.Time) {
	h.t.Helper()
	for i := range n {
		if _, err := h.claim(filler(i, at)); err != nil {
			h.t.Fatal(err)
		}
	}
}

func (h *handOver) give(host int) { h.world.give(frontName(0), hostName(host), true) }

// TestHandOver checks what the next owner of a front says of IDs that were
// created before: everything if the former owner's memory arrived whole, else
// nothing.
func TestHandOver(t *testing.T) {
	cases := []struct {
		name            string
		run             func(h *handOver)
		unseen, claimed string // said of IDs that were and were not claimed
	}{
		{"in order", func(h *handOver) { h.give(1) }, "accepted", "duplicate"},
		{"twice", func(h *handOver) { h.give(1); h.give(2) }, "accepted", "duplicate"},
		{"to the same host", func(h *handOver) { h.leave(frontName(0), "h0"); h.take(frontName(0), "h0") }, "accepted", "duplicate"},
		{"not released", func(h *handOver) {
			h.leave(frontName(0), "h0")
			h.hosts["h0"].claimer.Open(context.Background(), frontName(0), h.claims[frontName(0)], h.claims[frontName(0)])
		}, "accepted", "duplicate"},
		{"not released, fronts change", func(h *handOver) {
			h.leave(frontName(0), "h0")
			h.hosts["h0"].claimer.SetFronts(time.Now(), fronts(2))
			h.hosts["h0"].claimer.SetFronts(time.Now(), fronts(1))
			h.hosts["h0"].claimer.Open(context.Background(), frontName(0), h.claims[frontName(0)], h.claims[frontName(0)])
		}, "old", "old"},
		{"after a kill", func(h *handOver) { h.restart("h0", 1) }, "old", "old"},
		{"to another host after a kill", func(h *handOver) { h.restart("h0", 1); h.give(1) }, "old", "old"},
		{"not stopped", func(h *handOver) { h.world.give(frontName(0), "h1", false) }, "old", "old"},
		{"nothing arrives", func(h *handOver) { h.cut = 0; h.give(1) }, "old", "old"},
		{"cut after a page", func(h *handOver) { h.fill(20_000, time.Now()); h.cut = 1; h.give(1); time.Sleep(time.Second) }, "old", "old"},
		{"answers lost", func(h *handOver) { h.lose = true; h.give(1); time.Sleep(time.Second); h.set(func() { h.lose = false }) }, "old", "old"},
		{"too slow", func(h *handOver) { h.delay = 4 * time.Second; h.give(1); time.Sleep(5 * time.Second) }, "old", "old"},
		{"collected before", func(h *handOver) {
			h.give(1)
			h.hosts["h2"].claimer.Open(context.Background(), frontName(0), owner("h2", 2), owner("h0", 1))
			h.rights[frontName(0)] = "h2"
		}, "old", "old"},
		{"an epoch between", func(h *handOver) {
			h.leave(frontName(0), "h0")
			h.hosts["h1"].claimer.Open(context.Background(), frontName(0), owner("h1", 3), owner("h0", 1))
			h.rights[frontName(0)] = "h1"
		}, "old", "old"},
		{"memory of an earlier epoch", func(h *handOver) {
			h.leave(frontName(0), "h0")
			h.claims[frontName(0)] = owner("h0", 2)
			h.rights[frontName(0)] = "h1"
			h.take(frontName(0), "h1")
		}, "old", "old"},
		{"fronts change", func(h *handOver) {
			for _, n := range h.hosts {
				n.claimer.SetFronts(time.Now(), fronts(2))
				n.claimer.SetFronts(time.Now(), fronts(1))
			}
			h.give(1)
		}, "old", "old"},
		{"fronts change, the former owner lags", func(h *handOver) {
			h.hosts["h1"].claimer.SetFronts(time.Now(), fronts(2))
			h.hosts["h1"].claimer.SetFronts(time.Now(), fronts(1))
			h.give(1)
		}, "old", "old"},
		{"kept too long", func(h *handOver) {
			h.leave(frontName(0), "h0")
			h.hosts["h0"].claimer.ScheduleExpiry(frontName(0))
			time.Sleep(3 * time.Minute)
			h.rights[frontName(0)] = "h1"
			h.take(frontName(0), "h1")
		}, "old", "old"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHandOver(t)
				claimed, unseen, released := newID(time.Now(), 1), newID(time.Now(), 2), newID(time.Now(), 3)
				h.want("first", claimed, "accepted")
				k, err := h.claim(released)
				if err != nil {
					t.Fatal(err)
				}
				k.Release(t.Context())
				c.run(h)
				<-h.opened[frontName(0)].done
				h.set(func() { h.cut = -1 })
				h.want("claimed before", claimed, c.claimed)
				h.want("not seen before", unseen, c.unseen)
				h.want("given back before", released, c.unseen)
				time.Sleep(margins.Propagation + margins.ClockSkew + time.Minute)
				h.want("new", newID(time.Now(), 4), "accepted")
			})
		})
	}
}

func owner(host string, epoch int) shard.Owner {
	return shard.Owner{Host: fleet.HostID(host), Epoch: fleet.Epoch(epoch)}
}

// TestLateHandOver checks a memory that arrives after the new owner has
// answered.
func TestLateHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandOver(t)
		claimed, unseen := newID(time.Now(), 1), newID(time.Now(), 2)
		h.want("first", claimed, "accepted")
		h.delay = 900 * time.Millisecond
		h.give(1)
		young := newID(time.Now().Add(margins.ClockSkew), 3)
		h.want("young", young, "accepted")
		h.want("claimed before", claimed, "old")
		h.want("not seen before", unseen, "old")
		time.Sleep(5 * time.Second)
		h.want("claimed before, late", claimed, "duplicate")
		h.want("refused before", unseen, "accepted")
		h.want("young, again", young, "duplicate")
	})
}

// TestClaimWaitsForHandOver checks that a claim waits for a memory that is
// on its way.
func TestClaimWaitsForHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandOver(t)
		unseen := newID(time.Now(), 2)
		h.delay = 300 * time.Millisecond
		h.give(1)
		h.want("not seen before", unseen, "accepted")
		time.Sleep(time.Second)
	})
}

// TestHandOverOfFullMemory checks the number and size of the messages, and
// that a new owner whose memory has overflowed meanwhile does not vouch again
// for what it dropped.
func TestHandOverOfFullMemory(t *testing.T) {
	const messageLimit = 4 << 20
	synctest.Test(t, func(t *testing.T) {
		h := newHandOver(t)
		h.fill(dedupe.MaxIDs, time.Now())
		h.give(1)
		h.want("the first", filler(0, time.Now()), "duplicate")
		h.want("the last", filler(dedupe.MaxIDs-1, time.Now()), "duplicate")
		if h.pages != 6 || h.largest > messageLimit/10 {
			t.Errorf("%d messages of up to %d bytes", h.pages, h.largest)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		h := newHandOver(t)
		// IDs are dropped in spans of 10 s; the next one begins between the two times of creation.
		time.Sleep(time.Until(time.Now().Truncate(10 * time.Second).Add(18500 * time.Millisecond)))
		h.delay = 900 * time.Millisecond
		h.give(1)
		dropped := time.Now().Add(margins.ClockSkew)
		h.fill(dedupe.MaxIDs, dropped)
		time.Sleep(700 * time.Millisecond)
		h.want("one too many", newID(time.Now().Add(margins.MaxFuture), 1), "accepted")
		time.Sleep(5 * time.Second)
		h.want("dropped", filler(0, dropped), "old")
	})
}

// TestRefusedClaimIsTakenBack checks that an ID that its home refused, for it
// had lost the front, can be claimed at the next home.
func TestRefusedClaimIsTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandOver(t)
		id := newID(time.Now(), 1)
		h.rights[frontName(0)] = "" // lost, and the claimer is not told yet
		h.hosts["h0"].look()
		h.hosts["h0"].view[frontName(0)] = "h0"
		if _, err := h.hosts["h0"].claimer.Claim(t.Context(), id); kind(err) != "unavailable" {
			t.Fatalf("without the right: %v", err)
		}
		h.leave(frontName(0), "h0")
		h.rights[frontName(0)] = "h1"
		h.take(frontName(0), "h1")
		h.want("at the next home", id, "accepted")
	})
}

// TestReleaseWhileDraining checks that a claim can be given back after the
// front has stopped and before it passes on.
func TestReleaseWhileDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandOver(t)
		id := newID(time.Now(), 1)
		k, err := h.claim(id)
		if err != nil {
			t.Fatal(err)
		}
		h.leave(frontName(0), "h0")
		k.Release(t.Context())
		h.rights[frontName(0)] = "h1"
		h.take(frontName(0), "h1")
		h.want("given back", id, "accepted")
	})
}

// TestAwaitCollected checks that a host that ends waits for the next owner.
func TestAwaitCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandOver(t)
		h.leave(frontName(0), "h0")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.AfterFunc(100*time.Millisecond, func() {
			h.hosts["h1"].claimer.Open(context.Background(), frontName(0), owner("h1", 2), owner("h0", 1))
		})
		began := time.Now()
		h.hosts["h0"].claimer.AwaitHandovers(ctx)
		if waited := time.Since(began); waited < 100*time.Millisecond || waited > 200*time.Millisecond {
			t.Errorf("waited %s", waited)
		}
	})
}
