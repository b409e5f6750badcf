package gateway_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// workerOf returns the ID of a worker whose servers belong to cell n of 2.
func workerOf(n int) fleet.WorkerID {
	for i := 0; ; i++ {
		if w := fleet.WorkerID(fmt.Sprintf("w%d", i)); shard.CellNumber(w, 2) == n {
			return w
		}
	}
}

// TestFrontWithoutRight checks that, while a host has no right to send for one of
// its fronts, requests go to the servers of its other fronts, and to all servers
// once it has the right.
func TestFrontWithoutRight(t *testing.T) {
	s := newSite(t, 2, instant)
	s.setSettings(func(v *settings.Resolved, c map[fleet.DataCentre]settings.DataCentre) {
		v.RetryBudgetPercent = 0
		c[dc] = settings.DataCentre{Region: "bg", State: settings.DataCentreInService, Cells: 2}
	})
	s.setList(func(l *inventory.HostList) {
		l.Servers[0].Worker = workerOf(0)
		l.Servers[1].Worker = workerOf(1)
	})
	h := s.start(t, "h1", true)
	second := shard.NewID(shard.KindFront, string(dc), 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = h.Run(ctx, second, shard.Owner{Host: "h1", Epoch: 1})
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	setOwner := func(host fleet.HostID) {
		s.net.mu.Lock()
		defer s.net.mu.Unlock()
		s.net.owners[second] = host
	}
	check := func(slots int) {
		t.Helper()
		for range 20 {
			if r := h.call(t.Context(), "POST", ""); r.outcome() != "answered" {
				t.Errorf("outcome %s (%s)", r.outcome(), r.reason())
			}
		}
		eventually(t, func() bool { return h.Summary()[svc].Slots == slots })
	}
	check(8) // no right yet
	setOwner("h1")
	eventually(t, func() bool { return h.Summary()[svc].Slots == 16 })
	check(16)
	setOwner("h2")
	check(8)
}

// TestDeadServerCostsNoRetry checks that requests whose server can't be reached
// are sent to another one even with an empty retry budget, also if they are not
// idempotent.
func TestDeadServerCostsNoRetry(t *testing.T) {
	s := newSite(t, 3, instant)
	s.setSettings(func(v *settings.Resolved, _ map[fleet.DataCentre]settings.DataCentre) { v.RetryBudgetPercent = 0 })
	h := s.start(t, "h1", true)
	_ = s.backends[0].Close()
	for range 40 {
		if r := h.call(t.Context(), "POST", ""); r.outcome() != "answered" {
			t.Errorf("outcome %s (%s)", r.outcome(), r.reason())
		}
	}
}
