package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/settings"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// randomFaults returns one fault or two combined.
func randomFaults(rng *rand.Rand) standin.BackendFaults {
	var f standin.BackendFaults
	for range 1 + rng.IntN(2) {
		switch rng.IntN(10) {
		case 0:
			f.Delay = 150 * time.Millisecond
		case 1:
			f.Status = http.StatusInternalServerError
		case 2:
			f.CutBody = true
		case 3:
			f.DropBefore = true
		case 4:
			f.StallOpenConnections = true
		case 5:
			f.RefuseDials = true
		case 6:
			f.Garbage = true
		case 7:
			f.BodyTooLong = true
		case 8:
			f.StallAfterHeaders = true
		case 9:
			f.WrongID = true
		}
	}
	return f
}

// TestRandomFaults sends requests through two hosts while the backend servers
// fail at random, leave and return, and the front moves between the hosts. Every
// response must be complete and belong to its request, no non-idempotent request
// may run twice, and a request reported as not run must not have run. That the
// servers never got more than their slots and connections is checked when the
// site ends.
func TestRandomFaults(t *testing.T) {
	const workers, each, minAnswered = 24, 30, 50
	rng := rand.New(rand.NewPCG(1, 2))
	s := newSite(t, 3, func() time.Duration { return 2 * time.Millisecond })
	s.setSettings(func(v *settings.Resolved, _ map[fleet.DataCentre]settings.DataCentre) { v.RequestTimeoutMS = 300 })
	hosts := []*host{s.start(t, "h1", true), s.start(t, "h2", false)}
	done := make(chan struct{})
	var mu sync.Mutex
	outcomes := make(map[string]int)
	var faultInjector sync.WaitGroup
	faultInjector.Go(func() {
		owner := 0
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(15 * time.Millisecond):
			}
			s.setSummaries(hosts)
			b := s.backends[rng.IntN(len(s.backends))]
			b.SetFaults(standin.BackendFaults{})
			if rng.IntN(2) == 0 {
				b.SetFaults(randomFaults(rng))
			}
			if i%9 == 4 {
				state := []inventory.HostState{inventory.StateLive, inventory.StateLeaving}[rng.IntN(2)]
				s.setList(func(l *inventory.HostList) { l.Servers[0].State = state })
			}
			if i%20 == 10 { // move the front to the other host
				hosts[owner].stop()
				<-hosts[owner].ended
				owner = 1 - owner
				hosts[owner].run(front)
			}
		}
	})
	var clients sync.WaitGroup
	for w := range workers {
		clients.Go(func() {
			for i := range each {
				method := []string{"POST", "GET"}[(w+i)%2]
				outcome := s.checkRequest(t, hosts[i%2], method, fmt.Sprintf("r-%d-%d", w, i))
				if outcome == "not-run" {
					time.Sleep(10 * time.Millisecond) // retry later
				}
				mu.Lock()
				outcomes[outcome]++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	close(done)
	faultInjector.Wait()
	t.Log(outcomes)
	if outcomes["answered"] < minAnswered || outcomes["unknown"] == 0 || outcomes["not-run"] == 0 {
		t.Errorf("too few answered requests, or no unknown or not-run outcome: %v", outcomes)
	}
}

// setSummaries publishes the current summaries of the hosts.
func (s *site) setSummaries(hosts []*host) {
	for _, h := range hosts {
		sum := member.Summary{Host: h.port.self, Incarnation: 1, Services: h.Summary()}
		s.mu.Lock()
		s.summaries[h.port.self] = sum
		s.mu.Unlock()
	}
}

// checkRequest sends a request, checks its outcome against what the servers saw,
// and returns the outcome.
func (s *site) checkRequest(t *testing.T, h *host, method, id string) string {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	r := h.call(ctx, method, "data", "X-Request-Id", id)
	ran := s.runCount(id)
	whole := strings.HasSuffix(r.body, fmt.Sprintf(" request=%s body=data\n", id))
	switch {
	case r.err != nil:
		t.Errorf("%s %s: %v", method, id, r.err)
	case method == "POST" && ran > 1:
		t.Errorf("%s ran %d times, reported as %s", id, ran, r.outcome())
	case r.outcome() == "answered" && (!whole || ran == 0):
		t.Errorf("%s answered with %q, ran %d times", id, r.body, ran)
	case r.outcome() == "not-run" && ran != 0:
		t.Errorf("%s reported as not-run (%s), ran %d times", id, r.reason(), ran)
	case r.outcome() == "":
		t.Errorf("%s: status %d without an outcome header", id, r.status)
	}
	return r.outcome()
}
