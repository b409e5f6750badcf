package main

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// playAvoided lets one minion fail what it starts for some seconds. A task may run only
// there, as no other minion has its label.
func playAvoided(_ context.Context, s *site, trouble bool) error {
	const (
		prefix  = "/lohu930/"
		id      = "5c0e7a21d94b00a1"
		only    = "i-7f3a91c0"
		lasts   = time.Second
		greyFor = 4 * time.Second
	)
	var grey atomic.Bool
	for i := range 12 {
		name, rack := fmt.Sprintf("i-7f3a91c%x", i), fmt.Sprintf("r%d-1", i/6+2)
		if name == only {
			rack = "r1-1"
		}
		behave := func(string, int) (time.Duration, string) {
			if name == only && grey.Load() {
				return 100 * time.Millisecond, "failed"
			}
			return lasts, "done"
		}
		if _, err := s.addMinion(name, "reclaim-engine", rack, 16000, 64000, behave); err != nil {
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
	if trouble {
		s.log.add("minion %s fails what it starts for %v", only, greyFor)
		grey.Store(true)
	}
	job := map[string]any{"spec": "a", "steps": []map[string]any{{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 1000, "constraints": "r1-1"}}}
	if err := s.submit(prefix, id, job); err != nil {
		return err
	}
	if err := s.pause(greyFor); err != nil {
		return err
	}
	grey.Store(false)
	s.log.add("minion %s is sound", only)
	other := strings.Replace(id, "a1", "a2", 1)
	if err := s.submit(prefix, other, job); err != nil {
		return err
	}
	if err := s.awaitFinal(prefix, []string{other, id}, finishTime+10*time.Second); err != nil {
		return err
	}
	failed := 0
	for _, f := range s.runs.of(id + ".0.0.0") {
		if f.how == "failed" {
			failed++
		}
	}
	state, status := s.state(prefix, id)
	if state != "completed" && failed < 4 {
		s.log.breakRule("LOST: job %s is %q (%d) %v after its minion is sound, with %d of 4 failed attempts and nothing running; every minion is idle", id, state, status, finishTime+10*time.Second, failed)
	}
	return nil
}
