package main

import (
	"context"
	"time"
)

// playCrashes crashes the minion under one task again and again, well after its start.
func playCrashes(_ context.Context, s *site, trouble bool) error {
	const (
		prefix  = "/lohu930/"
		id      = "5c0e7a21d94b00f1"
		lasts   = 4 * time.Second
		crashes = 4
		away    = 2 * time.Second
		after   = 1500 * time.Millisecond
	)
	behave := func(string, int) (time.Duration, string) { return lasts, "done" }
	for i := range 8 {
		if _, err := s.addMinion("i-7f3a91c"+string(rune('0'+i)), "reclaim-engine", "r1-1", 16000, 64000, behave); err != nil {
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
	job := map[string]any{"spec": "a", "steps": []map[string]any{{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 4000}}}
	if err := s.submit(prefix, id, job); err != nil {
		return err
	}
	task := id + ".0.0.0"
	for n := 0; trouble && n < crashes; {
		if err := s.pause(20 * time.Millisecond); err != nil {
			return err
		}
		runs := s.runs.of(task)
		if len(runs) == 0 {
			continue
		}
		last := runs[len(runs)-1]
		if last.how == "done" {
			break
		}
		if last.how != "" || time.Since(last.startAt) < after {
			if state, _ := s.state(prefix, id); state == "failed" {
				break
			}
			continue
		}
		for _, m := range s.minions {
			if m.id == last.minion {
				m.crash(away)
				n++
			}
		}
	}
	if err := s.awaitFinal(prefix, []string{id}, 30*time.Second); err != nil {
		return err
	}
	state, _ := s.state(prefix, id)
	failed := 0
	for _, f := range s.runs.of(task) {
		if f.how == "failed" {
			failed++
		}
	}
	switch {
	case state == "failed" && failed == 0:
		s.log.breakRule("LOST: job %s is shown as failed, and none of its %d runs has ended failed", id, len(s.runs.of(task)))
	case state != "completed":
		s.log.breakRule("LOST: job %s is %q", id, state)
	}
	return nil
}
