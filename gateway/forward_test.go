package gateway_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
)

// TestForwardAroundDeadPeer checks that requests are answered while another peer
// has free slots, although a dead peer still has a record and a summary, which
// remain for the duration of its lease.
func TestForwardAroundDeadPeer(t *testing.T) {
	s := newSite(t, 1, instant)
	owner := s.start(t, "h1", true)
	other := s.start(t, "h2", false)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := member.Host{ID: "h3", Incarnation: 1, Region: "bg", DataCentre: dc, HTTPAddress: ln.Addr().String()}
	_ = ln.Close()
	s.mu.Lock()
	s.hosts = append(s.hosts, dead)
	load := member.ServiceLoad{Slots: 100, Free: 100}
	s.summaries["h1"] = member.Summary{Host: "h1", Incarnation: 1, Services: owner.Summary()}
	s.summaries["h3"] = member.Summary{Host: "h3", Incarnation: 1, Services: map[fleet.Service]member.ServiceLoad{svc: load}}
	s.mu.Unlock()
	for i := range 20 {
		if r := other.call(t.Context(), "POST", "data"); r.outcome() != "answered" {
			t.Fatalf("request %d: %s (%s)", i, r.outcome(), r.reason())
		}
	}
}

// TestForwardToPeerThatWasFull checks that requests are soon forwarded again to a
// peer that refused one because it was full.
func TestForwardToPeerThatWasFull(t *testing.T) {
	s, release := newBlockedSite(t, 0)
	owner := s.start(t, "h1", true)
	other := s.start(t, "h2", false)
	s.summaries["h1"] = member.Summary{Host: "h1", Incarnation: 1, Services: owner.Summary()} // never updated
	var busy sync.WaitGroup
	for range 8 {
		busy.Go(func() { owner.call(t.Context(), "POST", "") })
	}
	eventually(t, func() bool { return owner.Summary()[svc].Free == 0 })
	if r := other.call(t.Context(), "POST", ""); r.outcome() != "not-run" {
		t.Errorf("while the peer is full: %s (%s)", r.outcome(), r.reason())
	}
	release()
	busy.Wait()
	time.Sleep(300 * time.Millisecond)
	if r := other.call(t.Context(), "POST", ""); r.outcome() != "answered" {
		t.Errorf("once the peer is free again: %s (%s)", r.outcome(), r.reason())
	}
}

// TestForwardByClaims checks that a request is forwarded to a host that has
// claimed servers but does not report them in a summary yet, and not to one whose
// summary reports full servers.
func TestForwardByClaims(t *testing.T) {
	load := func(slots int) map[fleet.Service]member.ServiceLoad {
		return map[fleet.Service]member.ServiceLoad{svc: {Slots: slots}}
	}
	tests := map[string]struct {
		summary *member.Summary
		want    string
	}{
		"no summary":              {nil, "answered"},
		"from before the claim":   {&member.Summary{Incarnation: 1, Services: load(0)}, "answered"},
		"from an earlier process": {&member.Summary{Incarnation: 0, Services: load(8)}, "answered"},
		"full":                    {&member.Summary{Incarnation: 1, Services: load(8)}, "not-run"},
		"draining":                {&member.Summary{Incarnation: 1, Draining: true}, "not-run"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, instant)
			s.start(t, "h1", true)
			other := s.start(t, "h2", false)
			if tt.summary != nil {
				s.mu.Lock()
				s.summaries["h1"] = *tt.summary
				s.mu.Unlock()
			}
			if r := other.call(t.Context(), "POST", "data"); r.outcome() != tt.want {
				t.Errorf("%s (%s)", r.outcome(), r.reason())
			}
		})
	}
}
