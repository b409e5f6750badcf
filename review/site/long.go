package main

import (
	"context"
	"fmt"
	"time"
)

// playLongTasks hands in jobs whose tasks take minutes, on sound minions with much room.
func playLongTasks(_ context.Context, s *site, trouble bool) error {
	const (
		prefix  = "/lohu930/"
		jobs    = 8
		gap     = 3 * time.Second // without a run, by the rule LOST
		observe = 70 * time.Second
	)
	lasts := 10 * time.Second
	if trouble {
		lasts = 240 * time.Second
	}
	behave := func(string, int) (time.Duration, string) { return lasts, "done" }
	for i := range 4 {
		if _, err := s.addMinion(fmt.Sprintf("i-7f3a91c%x", i), "reclaim-engine", "r1-1", 16000, 64000, behave); err != nil {
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
		id := fmt.Sprintf("5c0e7a21d94b004%x", i)
		job := map[string]any{"spec": "a", "steps": []map[string]any{{"count": 1, "cpu": 2000, "mem_mb": 500, "estimate_ms": lasts.Milliseconds()}}}
		if err := s.submit(prefix, id, job); err != nil {
			return err
		}
		ids = append(ids, id)
	}
	if err := s.pause(finishTime); err != nil {
		return err
	}
	from := time.Now()
	if err := s.pause(observe); err != nil {
		return err
	}
	for _, id := range ids {
		state, status := s.state(prefix, id)
		runs := s.runs.of(id + ".0.0.0")
		s.log.add("GET %s%s: %d %s, %d runs", prefix, id, status, state, len(runs))
		if state == "completed" {
			continue
		}
		idleSince, longest := from, time.Duration(0)
		for _, f := range runs {
			longest = max(longest, f.startAt.Sub(idleSince))
			if f.how == "" {
				f.endAt = time.Now()
			}
			if f.endAt.After(idleSince) {
				idleSince = f.endAt
			}
		}
		longest = max(longest, time.Since(idleSince))
		if longest >= gap {
			s.log.breakRule("LOST: job %s had nothing running for %v, with room for it on every minion; it is %q after %d runs", id, longest.Round(10*time.Millisecond), state, len(runs))
		}
	}
	return nil
}
