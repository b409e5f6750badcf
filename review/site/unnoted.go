package main

import (
	"context"
	"fmt"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin/wire"
)

// storeOutage is the length of the outage of the store, that of the site's own troubles.
const storeOutage = 4500 * time.Millisecond

// playUnnotedEnds lets many small tasks end while the store is down, so that a minion has
// more ends to list than it returns at a time.
func playUnnotedEnds(_ context.Context, s *site, trouble bool) error {
	const (
		prefix  = "/lohu930/"
		jobs    = 24
		tasks   = 200
		minions = 5
	)
	behave := func(string, int) (time.Duration, string) { return 250 * time.Millisecond, "done" }
	for i := range minions {
		if _, err := s.addMinion(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "reclaim-engine", "r1-1", 16000, 64000, behave); err != nil {
			return err
		}
	}
	if err := s.configure(1, []string{"reclaim-engine"}, route{name: "claims", prefix: prefix, service: "reclaim-engine", maxAttempts: 4}); err != nil {
		return err
	}
	if err := s.addHosts(); err != nil {
		return err
	}
	if err := s.pause(2 * time.Second); err != nil {
		return err
	}
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b%04x", i)
		job := map[string]any{"spec": "claims", "steps": []map[string]any{{"count": tasks, "cpu": 250, "mem_mb": 128, "estimate_ms": 250}}}
		if err := s.submit(prefix, id, job); err != nil {
			return err
		}
		ids = append(ids, id)
	}
	if trouble {
		s.log.add("the store is down for %v", storeOutage)
		s.setStoreDown(true)
		s.store.SetMode(wire.StoreUnresponsive)
		if err := s.pause(storeOutage); err != nil {
			return err
		}
		for _, m := range s.minions {
			s.log.add("minion %s has %d ends that nobody has taken note of", m.id, m.unnoted())
		}
		s.store.SetMode(wire.StoreHealthy)
		s.setStoreDown(false)
		s.log.add("the store is back")
	}
	if err := s.awaitFinal(prefix, ids, 50*time.Second); err != nil {
		return err
	}
	s.runs.checkTwice()
	return nil
}

// awaitFinal waits until the jobs have ended, or for at most the given time, and records
// the states that consumers are told.
func (s *site) awaitFinal(prefix string, ids []string, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, id := range ids {
		for {
			state, status := s.state(prefix, id)
			if state == "completed" || state == "failed" || state == "cancelled" || time.Now().After(deadline) {
				s.log.add("GET %s%s: %d %s", prefix, id, status, state)
				break
			}
			if err := s.pause(100 * time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkTwice checks the rule TWICE for tasks without `speculative`: no two runs at the
// same time, and no start after a run has ended `done`, if that end is taken note of.
func (l *runLog) checkTwice() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task, facts := range l.tasks {
		for _, later := range facts {
			for _, f := range facts {
				if f == later || !f.startAt.Before(later.startAt) {
					continue
				}
				switch {
				case f.how == "" || later.startAt.Before(f.endAt):
					l.log.breakRule("TWICE: %s run %d starts on %s while run %d is on %s", task, later.run, later.minion, f.run, f.minion)
				case f.how == "done" && f.noted:
					l.log.breakRule("TWICE: %s run %d starts on %s %v after run %d ended done on %s, an end that was taken note of",
						task, later.run, later.minion, later.startAt.Sub(f.endAt).Round(time.Millisecond), f.run, f.minion)
				}
			}
		}
	}
}
