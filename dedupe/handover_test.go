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

// handover is a cluster of three hosts with one front. The history of its first
// owner is a second old, so the owner can verify all IDs of that second.
type handover struct {
	*cluster
	t *testing.T
}

func newHandover(t *testing.T) *handover {
	cl := newCluster(3)
	for i := range 3 {
		cl.hosts[hostName(i)].claimer.SetFronts(time.Now(), fronts(1))
	}
	time.Sleep(margins.Propagation)
	cl.move(frontName(0), "h0", true)
	time.Sleep(margins.StartMargin + time.Second)
	return &handover{cl, t}
}

// claim claims an ID at the current owner.
func (h *handover) claim(id uuid.UUID) (*dedupe.Claim, error) {
	n := h.hosts[h.rights[frontName(0)]]
	n.refreshView()
	return n.claimer.Claim(context.Background(), id)
}

func (h *handover) want(step string, id uuid.UUID, want string) {
	h.t.Helper()
	if _, err := h.claim(id); outcome(err) != want {
		h.t.Errorf("%s: %s, want %s", step, outcome(err), want)
	}
}

// bulkID returns the n-th of many IDs that were created at the same time.
func bulkID(n int, at time.Time) uuid.UUID {
	id := newID(at, byte(n))
	id[14], id[13], id[12] = byte(n>>8), byte(n>>16), 1
	return id
}

// fill claims n IDs that were created at the same time.
func (h *handover) fill(n int, at time.Time) {
	h.t.Helper()
	for i := range n {
		if _, err := h.claim(bulkID(i, at)); err != nil {
			h.t.Fatal(err)
		}
	}
}

func (h *handover) move(host int) { h.cluster.move(frontName(0), hostName(host), true) }

// TestHandover checks that the next owner of a front can verify IDs that were
// created before its ownership if it received the complete history of the former
// owner, and rejects them otherwise.
func TestHandover(t *testing.T) {
	cases := []struct {
		name            string
		run             func(h *handover)
		unseen, claimed string // outcomes for IDs that were not and were claimed before
	}{
		{"in order", func(h *handover) { h.move(1) }, "accepted", "duplicate"},
		{"twice", func(h *handover) { h.move(1); h.move(2) }, "accepted", "duplicate"},
		{"to the same host", func(h *handover) { h.stop(frontName(0), "h0"); h.acquire(frontName(0), "h0") }, "accepted", "duplicate"},
		{"not released", func(h *handover) {
			h.stop(frontName(0), "h0")
			h.hosts["h0"].claimer.Open(context.Background(), frontName(0), h.claims[frontName(0)], h.claims[frontName(0)])
		}, "accepted", "duplicate"},
		{"not released, fronts change", func(h *handover) {
			h.stop(frontName(0), "h0")
			h.hosts["h0"].claimer.SetFronts(time.Now(), fronts(2))
			h.hosts["h0"].claimer.SetFronts(time.Now(), fronts(1))
			h.hosts["h0"].claimer.Open(context.Background(), frontName(0), h.claims[frontName(0)], h.claims[frontName(0)])
		}, "old", "old"},
		{"after a kill", func(h *handover) { h.restart("h0", 1) }, "old", "old"},
		{"to another host after a kill", func(h *handover) { h.restart("h0", 1); h.move(1) }, "old", "old"},
		{"not stopped", func(h *handover) { h.cluster.move(frontName(0), "h1", false) }, "old", "old"},
		{"nothing arrives", func(h *handover) { h.cutAfter = 0; h.move(1) }, "old", "old"},
		{"cut after a page", func(h *handover) { h.fill(20_000, time.Now()); h.cutAfter = 1; h.move(1); time.Sleep(time.Second) }, "old", "old"},
		{"replies lost", func(h *handover) { h.lose = true; h.move(1); time.Sleep(time.Second); h.set(func() { h.lose = false }) }, "old", "old"},
		{"too slow", func(h *handover) { h.pageDelay = 4 * time.Second; h.move(1); time.Sleep(5 * time.Second) }, "old", "old"},
		{"fetched before", func(h *handover) {
			h.move(1)
			h.hosts["h2"].claimer.Open(context.Background(), frontName(0), owner("h2", 2), owner("h0", 1))
			h.rights[frontName(0)] = "h2"
		}, "old", "old"},
		{"an epoch between", func(h *handover) {
			h.stop(frontName(0), "h0")
			h.hosts["h1"].claimer.Open(context.Background(), frontName(0), owner("h1", 3), owner("h0", 1))
			h.rights[frontName(0)] = "h1"
		}, "old", "old"},
		{"history of an earlier epoch", func(h *handover) {
			h.stop(frontName(0), "h0")
			h.claims[frontName(0)] = owner("h0", 2)
			h.rights[frontName(0)] = "h1"
			h.acquire(frontName(0), "h1")
		}, "old", "old"},
		{"fronts change", func(h *handover) {
			for _, n := range h.hosts {
				n.claimer.SetFronts(time.Now(), fronts(2))
				n.claimer.SetFronts(time.Now(), fronts(1))
			}
			h.move(1)
		}, "old", "old"},
		{"fronts change, the former owner lags", func(h *handover) {
			h.hosts["h1"].claimer.SetFronts(time.Now(), fronts(2))
			h.hosts["h1"].claimer.SetFronts(time.Now(), fronts(1))
			h.move(1)
		}, "old", "old"},
		{"retained too long", func(h *handover) {
			h.stop(frontName(0), "h0")
			h.hosts["h0"].claimer.ScheduleExpiry(frontName(0))
			time.Sleep(3 * time.Minute)
			h.rights[frontName(0)] = "h1"
			h.acquire(frontName(0), "h1")
		}, "old", "old"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHandover(t)
				claimed, unseen, released := newID(time.Now(), 1), newID(time.Now(), 2), newID(time.Now(), 3)
				h.want("first", claimed, "accepted")
				k, err := h.claim(released)
				if err != nil {
					t.Fatal(err)
				}
				k.Release(t.Context())
				c.run(h)
				<-h.openings[frontName(0)].done
				h.set(func() { h.cutAfter = -1 })
				h.want("claimed before", claimed, c.claimed)
				h.want("not seen before", unseen, c.unseen)
				h.want("released before", released, c.unseen)
				time.Sleep(margins.Propagation + margins.StartMargin + time.Minute)
				h.want("new", newID(time.Now(), 4), "accepted")
			})
		})
	}
}

func owner(host string, epoch int) shard.Owner {
	return shard.Owner{Host: fleet.HostID(host), Epoch: fleet.Epoch(epoch)}
}

// TestLateHandover checks that a history which arrives after the new owner has
// already rejected claims is used from then on.
func TestLateHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandover(t)
		claimed, unseen := newID(time.Now(), 1), newID(time.Now(), 2)
		h.want("first", claimed, "accepted")
		h.pageDelay = 900 * time.Millisecond
		h.move(1)
		recent := newID(time.Now().Add(margins.StartMargin), 3)
		h.want("recent", recent, "accepted")
		h.want("claimed before", claimed, "old")
		h.want("not seen before", unseen, "old")
		time.Sleep(5 * time.Second)
		h.want("claimed before, late", claimed, "duplicate")
		h.want("rejected before", unseen, "accepted")
		h.want("recent, again", recent, "duplicate")
	})
}

// TestClaimWaitsForHandover checks that a claim waits for a history that is being
// fetched.
func TestClaimWaitsForHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandover(t)
		unseen := newID(time.Now(), 2)
		h.pageDelay = 300 * time.Millisecond
		h.move(1)
		h.want("not seen before", unseen, "accepted")
		time.Sleep(time.Second)
	})
}

// TestHandoverOfFullHistory checks the number and size of the messages. It also
// guards against accepting IDs again that a new owner has dropped: its history
// overflows before that of the former owner arrives.
func TestHandoverOfFullHistory(t *testing.T) {
	const messageLimit = 4 << 20
	synctest.Test(t, func(t *testing.T) {
		h := newHandover(t)
		h.fill(dedupe.MaxIDs, time.Now())
		h.move(1)
		h.want("the first", bulkID(0, time.Now()), "duplicate")
		h.want("the last", bulkID(dedupe.MaxIDs-1, time.Now()), "duplicate")
		if h.pages != 6 || h.largest > messageLimit/10 {
			t.Errorf("%d messages of up to %d bytes", h.pages, h.largest)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		h := newHandover(t)
		// IDs are dropped in spans of 10 s; the next one begins between the two times of creation.
		time.Sleep(time.Until(time.Now().Truncate(10 * time.Second).Add(18500 * time.Millisecond)))
		h.pageDelay = 900 * time.Millisecond
		h.move(1)
		dropped := time.Now().Add(margins.StartMargin)
		h.fill(dedupe.MaxIDs, dropped)
		time.Sleep(700 * time.Millisecond)
		h.want("one too many", newID(time.Now().Add(margins.MaxFuture), 1), "accepted")
		time.Sleep(5 * time.Second)
		h.want("dropped", bulkID(0, dropped), "old")
	})
}

// TestRejectedClaimIsReleased checks that an ID whose claim was rejected because its
// home had lost the front can be claimed at the next owner, although the history
// that is handed over recorded the claim first.
func TestRejectedClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandover(t)
		id := newID(time.Now(), 1)
		h.rights[frontName(0)] = "" // lost, and the claimer is not notified yet
		h.hosts["h0"].refreshView()
		h.hosts["h0"].ownerView[frontName(0)] = "h0"
		if _, err := h.hosts["h0"].claimer.Claim(t.Context(), id); outcome(err) != "unavailable" {
			t.Fatalf("without the rights: %v", err)
		}
		h.stop(frontName(0), "h0")
		h.rights[frontName(0)] = "h1"
		h.acquire(frontName(0), "h1")
		h.want("at the next owner", id, "accepted")
	})
}

// TestReleaseWhileDraining checks that a claim can be released after the front has
// stopped and before it is handed over.
func TestReleaseWhileDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandover(t)
		id := newID(time.Now(), 1)
		k, err := h.claim(id)
		if err != nil {
			t.Fatal(err)
		}
		h.stop(frontName(0), "h0")
		k.Release(t.Context())
		h.rights[frontName(0)] = "h1"
		h.acquire(frontName(0), "h1")
		h.want("released", id, "accepted")
	})
}

// TestAwaitHandovers checks that a host that shuts down waits until the next owner
// has fetched its history.
func TestAwaitHandovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHandover(t)
		h.stop(frontName(0), "h0")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.AfterFunc(100*time.Millisecond, func() {
			h.hosts["h1"].claimer.Open(context.Background(), frontName(0), owner("h1", 2), owner("h0", 1))
		})
		started := time.Now()
		h.hosts["h0"].claimer.AwaitHandovers(ctx)
		if waited := time.Since(started); waited < 100*time.Millisecond || waited > 200*time.Millisecond {
			t.Errorf("waited %s, want 100 ms to 200 ms", waited)
		}
	})
}
