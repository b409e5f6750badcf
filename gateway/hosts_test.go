package gateway_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/gateway"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/member"
)

// TestForward checks the hop to a peer with free slots, and that a refusal
// there leads back.
func TestForward(t *testing.T) {
	s := newSite(t, 1, instant)
	owner := s.start(t, "h1", true)
	other := s.start(t, "h2", false)
	tell := func(load map[fleet.Service]member.ServiceLoad) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sums["h1"] = member.Summary{Host: "h1", Incarnation: 1, Services: load}
	}
	tell(map[fleet.Service]member.ServiceLoad{svc: {Slots: 8}})
	if r := other.call(t.Context(), "POST", ""); r.outcome() != "not-run" || r.reason() != "no_server" {
		t.Errorf("all are full: %s (%s)", r.outcome(), r.reason())
	}
	tell(owner.Summary())
	r := other.call(t.Context(), "POST", "data", "X-Request-Id", "r1")
	if r.outcome() != "answered" || r.body != standin.Answer(s.backends[0].Info(), "r1", []byte("data")) {
		t.Errorf("forwarded: %s (%s) %q", r.outcome(), r.reason(), r.body)
	}
	s.setFaults(standin.BackendFaults{CutBody: true})
	if r := other.call(t.Context(), "POST", "data"); r.outcome() != "unknown" || r.status != 502 {
		t.Errorf("cut: %s (%s) %d", r.outcome(), r.reason(), r.status)
	}
	owner.stop()
	<-owner.ended
	if r := other.call(t.Context(), "POST", "data"); r.outcome() != "not-run" {
		t.Errorf("refused: %s (%s)", r.outcome(), r.reason())
	}
}

// TestOneHop checks that a forwarded request is not forwarded again.
func TestOneHop(t *testing.T) {
	s := newSite(t, 0, instant)
	s.setList(func(l *inventory.HostList) {
		l.Servers = []inventory.Server{{ID: "s0", Service: svc, DataCentre: dc, Worker: "w1", State: inventory.StateLive}}
	})
	a, b := s.start(t, "h1", false), s.start(t, "h2", false)
	for _, id := range []fleet.HostID{"h1", "h2"} { // neither has what its summary says
		s.sums[id] = member.Summary{Host: id, Incarnation: 1, Services: map[fleet.Service]member.ServiceLoad{svc: {Slots: 8, Free: 8}}}
	}
	if r := a.call(t.Context(), "POST", ""); r.outcome() != "not-run" {
		t.Errorf("outcome %s (%s)", r.outcome(), r.reason())
	}
	if m := b.Metrics().String(); !strings.Contains(m, `"forwarded": 0`) {
		t.Errorf("forwarded twice: %s", m)
	}
}

// TestResend checks that a resend of a non-idempotent request is recognised
// at any host, and never run when nobody can vouch for it.
func TestResend(t *testing.T) {
	s := newSite(t, 1, instant)
	owner := s.start(t, "h1", true)
	other := s.start(t, "h2", false)
	s.sums["h1"] = member.Summary{Host: "h1", Incarnation: 1, Services: owner.Summary()}
	old := uuid.Must(uuid.NewV7()).String()
	s.waitForMemory(t, owner)

	id := uuid.Must(uuid.NewV7()).String()
	if r := other.call(t.Context(), "POST", "", gateway.HeaderRequestID, id); r.outcome() != "answered" {
		t.Fatalf("first: %s (%s)", r.outcome(), r.reason())
	}
	for _, h := range []*host{owner, other} {
		if r := h.call(t.Context(), "POST", "", gateway.HeaderRequestID, id); r.reason() != "duplicate" || r.outcome() != "unknown" {
			t.Errorf("resend: %s (%s)", r.outcome(), r.reason())
		}
	}
	if n := s.seen(id); n != 1 {
		t.Errorf("ran %d times", n)
	}
	if r := other.call(t.Context(), "POST", "", gateway.HeaderRequestID, old); r.outcome() != "unknown" || s.seen(old) != 0 {
		t.Errorf("ID from before the memory: %s (%s)", r.outcome(), r.reason())
	}
	s.net.mu.Lock()
	s.net.lost = true
	s.net.mu.Unlock()
	lost := uuid.Must(uuid.NewV7()).String()
	if r := other.call(t.Context(), "POST", "", gateway.HeaderRequestID, lost); r.outcome() != "unknown" || s.seen(lost) != 0 {
		t.Errorf("home not reached: %s (%s)", r.outcome(), r.reason())
	}
}

// TestPlannedHandOver checks that a host that takes a front over in order
// knows the IDs of its former owner, and refuses no other.
func TestPlannedHandOver(t *testing.T) {
	s := newSite(t, 1, instant)
	before, after := s.start(t, "h1", true), s.start(t, "h2", false)
	// A host vouches for no ID of before it knew the fronts for a while.
	time.Sleep(margins.Propagation + 2*margins.ClockSkew)
	s.waitForMemory(t, before)
	ran := uuid.Must(uuid.NewV7()).String()
	if r := before.call(t.Context(), "POST", "", gateway.HeaderRequestID, ran); r.outcome() != "answered" {
		t.Fatalf("first: %s (%s)", r.outcome(), r.reason())
	}
	fresh := uuid.Must(uuid.NewV7()).String()
	before.stop()
	<-before.ended
	after.run(front)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	before.AwaitHandover(ctx)
	if r := after.call(t.Context(), "POST", "", gateway.HeaderRequestID, ran); r.reason() != "duplicate" {
		t.Errorf("resend: %s (%s)", r.outcome(), r.reason())
	}
	if r := after.call(t.Context(), "POST", "", gateway.HeaderRequestID, fresh); r.outcome() != "answered" {
		t.Errorf("created before, not sent before: %s (%s)", r.outcome(), r.reason())
	}
}

// TestClaimGivenBack checks that a request refused as not run can be sent
// again under its ID.
func TestClaimGivenBack(t *testing.T) {
	s := newSite(t, 1, instant)
	h := s.start(t, "h1", true)
	s.waitForMemory(t, h)
	id := uuid.Must(uuid.NewV7()).String()
	s.setList(func(l *inventory.HostList) { l.Servers[0].State = inventory.StateLeaving })
	if r := h.call(t.Context(), "POST", "", gateway.HeaderRequestID, id); r.outcome() != "not-run" {
		t.Errorf("refused: %s (%s)", r.outcome(), r.reason())
	}
	s.setList(func(l *inventory.HostList) { l.Servers[0].State = inventory.StateLive })
	if r := h.call(t.Context(), "POST", "", gateway.HeaderRequestID, id); r.outcome() != "answered" {
		t.Errorf("sent again: %s (%s)", r.outcome(), r.reason())
	}
}

// TestClaimKept checks that a request that may have run keeps its claim, so
// that a resend under its ID is not run.
func TestClaimKept(t *testing.T) {
	tests := map[string]standin.BackendFaults{
		"closed before the answer": {DropBefore: true},
		"cut in the answer":        {CutBody: true},
		"silent in the answer":     {SilentAfterHead: true},
		"answer of another":        {WrongID: true},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, instant)
			h := s.start(t, "h1", true)
			s.waitForMemory(t, h)
			id := uuid.Must(uuid.NewV7()).String()
			s.setFaults(faults)
			if r := h.call(t.Context(), "POST", "", gateway.HeaderRequestID, id); r.outcome() != "unknown" {
				t.Errorf("first: %s (%s)", r.outcome(), r.reason())
			}
			s.setFaults(standin.BackendFaults{})
			if r := h.call(t.Context(), "POST", "", gateway.HeaderRequestID, id); r.reason() != "duplicate" {
				t.Errorf("resend: %s (%s)", r.outcome(), r.reason())
			}
			if n := s.seen(id); n != 1 {
				t.Errorf("ran %d times", n)
			}
		})
	}
}

// waitForMemory waits until new IDs can be vouched for.
func (s *site) waitForMemory(t *testing.T, h *host) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r := h.call(t.Context(), "POST", "", gateway.HeaderRequestID, uuid.Must(uuid.NewV7()).String())
		if r.outcome() == "answered" {
			return
		}
	}
	t.Fatal("IDs are never vouched for")
}
