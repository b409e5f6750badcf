package main

import (
	"context"
	"errors"
	"strings"
	"time"
)

// playDroppedRoute removes the route of an accepted job that has a step left to run, where
// the configuration has two services.
func playDroppedRoute(_ context.Context, s *site, trouble bool) error {
	const (
		prefix = "/lohu930/"
		id     = "5c0e7a21d94b00d1"
	)
	behave := func(task string, _ int) (time.Duration, string) {
		if strings.HasPrefix(task, id+".0.0.") {
			return 4 * time.Second, "done"
		}
		return time.Second, "done"
	}
	services := []string{"reclaim-engine", "claim-archive"}
	for i, name := range []string{"i-7f3a91b1", "i-7f3a91b2", "i-7f3a91b3", "i-7f3a91b4"} {
		if _, err := s.addMinion(name, services[i/2], "r1-1", 16000, 64000, behave); err != nil {
			return err
		}
	}
	claims := route{name: "claims", prefix: prefix, service: services[0], maxAttempts: 4}
	checks := route{name: "checks", prefix: "/pule252/", service: services[0], maxAttempts: 4}
	archive := route{name: "archive", prefix: "/pufi791/", service: services[1], maxAttempts: 4}
	if err := s.configure(1, services, claims, checks, archive); err != nil {
		return err
	}
	if err := s.addHosts(); err != nil {
		return err
	}
	if err := s.pause(2 * time.Second); err != nil {
		return err
	}
	job := map[string]any{"spec": "a", "steps": []map[string]any{
		{"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 4000},
		{"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 1000, "after": []int{0}},
	}}
	if err := s.submit(prefix, id, job); err != nil {
		return err
	}
	if err := s.pause(2 * time.Second); err != nil {
		return err
	}
	if len(s.runs.of(id+".0.0.0")) != 1 {
		return errTooFew
	}
	if trouble {
		if err := s.configure(2, services, checks, archive); err != nil {
			return err
		}
	}
	if err := s.pause(3*time.Second + finishTime); err != nil {
		return err
	}
	_, status := s.state(prefix, id)
	s.log.add("GET %s%s: %d", prefix, id, status)
	for _, task := range []string{id + ".0.1.0", id + ".0.1.1"} {
		if first := s.runs.of(id + ".0.0.0"); len(first) != 1 || first[0].how != "done" {
			return errors.New("the first step has not ended")
		}
		if len(s.runs.of(task)) == 0 {
			s.log.breakRule("LOST: task %s of an accepted job has not been started %v after its turn came; every minion is idle", task, finishTime-time.Second)
		}
	}
	return nil
}

// playBudget removes the route of an accepted job with a task that always fails.
func playBudget(_ context.Context, s *site, trouble bool) error {
	const (
		prefix      = "/lohu930/"
		id          = "5c0e7a21d94b00e1"
		maxAttempts = 3
		lasts       = 1500 * time.Millisecond
	)
	behave := func(task string, _ int) (time.Duration, string) {
		if strings.HasPrefix(task, id) {
			return lasts, "failed"
		}
		return lasts, "done"
	}
	for _, name := range []string{"i-7f3a91b1", "i-7f3a91b2", "i-7f3a91b3", "i-7f3a91b4"} {
		if _, err := s.addMinion(name, "reclaim-engine", "r1-1", 16000, 64000, behave); err != nil {
			return err
		}
	}
	claims := route{name: "claims", prefix: prefix, service: "reclaim-engine", maxAttempts: maxAttempts}
	checks := route{name: "checks", prefix: "/pule252/", service: "reclaim-engine", maxAttempts: maxAttempts}
	if err := s.configure(1, []string{"reclaim-engine"}, claims, checks); err != nil {
		return err
	}
	if err := s.addHosts(); err != nil {
		return err
	}
	if err := s.pause(2 * time.Second); err != nil {
		return err
	}
	job := map[string]any{"spec": "a", "steps": []map[string]any{{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 1500}}}
	if err := s.submit(prefix, id, job); err != nil {
		return err
	}
	if err := s.pause(time.Second); err != nil {
		return err
	}
	if trouble {
		if err := s.configure(2, []string{"reclaim-engine"}, checks); err != nil {
			return err
		}
	}
	if err := s.pause(30 * time.Second); err != nil {
		return err
	}
	state, status := s.state(prefix, id)
	s.log.add("GET %s%s: %d %s", prefix, id, status, state)
	failed := 0
	for _, f := range s.runs.of(id + ".0.0.0") {
		if failed >= maxAttempts {
			s.log.breakRule("BUDGET: %s.0.0.0 run %d starts on %s after %d runs have ended failed and these ends were taken note of", id, f.run, f.minion, failed)
		}
		if f.how == "failed" && f.noted {
			failed++
		}
	}
	return nil
}
