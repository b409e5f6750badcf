package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// gangTimeout is the bound `gang_timeout_ms` of the sites.
const gangTimeout = 3 * time.Second

// gang is a step whose tasks work only together.
type gang struct {
	members int
	lasts   time.Duration
}

// gangOf returns the gang that a task belongs to.
func (s *site) gangOf(task string) (gang, bool) {
	step := task[:strings.LastIndex(task, ".")]
	g, ok := s.gangs[step]
	return g, ok
}

// gangJoined lets the members of a run of a gang work once all are present.
func (s *site) gangJoined(task string, run int, g gang) {
	step := task[:strings.LastIndex(task, ".")+1]
	s.gangMu.Lock()
	defer s.gangMu.Unlock()
	present := 0
	s.eachMember(step, run, func(*taskRun) { present++ })
	if present < g.members {
		return
	}
	s.log.add("gang %s run %d is complete", step, run)
	now := time.Now()
	s.eachMember(step, run, func(r *taskRun) { r.began, r.endsAt, r.how = now, now.Add(g.lasts), "done" })
}

// gangEnded ends the other members of a run of a gang, one of which has ended otherwise
// than `done`.
func (s *site) gangEnded(task string, run int) {
	step := task[:strings.LastIndex(task, ".")+1]
	s.gangMu.Lock()
	defer s.gangMu.Unlock()
	s.eachMember(step, run, func(r *taskRun) {
		if r.how == "alone" && time.Now().After(r.endsAt) {
			return
		}
		r.endsAt, r.how = time.Now(), "broken"
	})
}

// eachMember calls f for the members of a run of a gang that are present.
func (s *site) eachMember(step string, run int, f func(*taskRun)) {
	for _, m := range s.minions {
		m.mu.Lock()
		for _, r := range m.running {
			if r.run == run && strings.HasPrefix(r.task, step) {
				f(r)
			}
		}
		m.mu.Unlock()
	}
}

// playGang hands in a gang with more members than the leader has channels to a minion.
func playGang(_ context.Context, s *site, trouble bool) error {
	const (
		prefix = "/lohu930/"
		id     = "5c0e7a21d94b0091"
	)
	members := 20
	if trouble {
		members = 36
	}
	s.latency = 2800 * time.Microsecond
	s.gangs = map[string]gang{id + ".0.0": {members, time.Second}}
	behave := func(string, int) (time.Duration, string) { return time.Second, "done" }
	for i := range 4 {
		rack := fmt.Sprintf("r%d-1", i+1)
		if _, err := s.addMinion(fmt.Sprintf("i-7f3a91c%x", i), "reclaim-engine", rack, 16000, 64000, behave); err != nil {
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
	job := map[string]any{"spec": "a", "steps": []map[string]any{{"count": members, "cpu": 200, "mem_mb": 100, "estimate_ms": 1000, "gang": true, "same_rack": true}}}
	if err := s.submit(prefix, id, job); err != nil {
		return err
	}
	if err := s.awaitFinal(prefix, []string{id}, 40*time.Second); err != nil {
		return err
	}
	state, status := s.state(prefix, id)
	alone := 0
	for i := range members {
		for _, f := range s.runs.of(fmt.Sprintf("%s.0.0.%d", id, i)) {
			if f.how == "alone" {
				alone++
			}
		}
	}
	if alone > 0 {
		s.log.breakRule("GANG: %d runs of job %s ended alone, with no disruption near", alone, id)
	}
	if state != "completed" {
		s.log.breakRule("job %s is %q (%d) after 40 s", id, state, status)
	}
	return nil
}
