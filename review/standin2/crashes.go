package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// crashes hands in jobs whose tasks never fail, while an eighth of the minions crashes each
// 1.3 s and is back 2 s later. No job may be shown as failed.
func crashes(s *site, trouble bool) error {
	const (
		minions  = 24
		atOnce   = 3
		traffic  = 45 * time.Second
		between  = 220 * time.Millisecond
		finish   = 14 * time.Second
		interval = 2500 * time.Millisecond
		downFor  = 2 * time.Second
	)
	r := route{name: "checks", prefix: "/checks/", maxAttempts: 3}
	if err := s.setUp(minions, r); err != nil {
		return err
	}
	var group sync.WaitGroup
	end := time.Now().Add(traffic)
	group.Go(func() {
		rng := rand.New(rand.NewPCG(1, 1))
		for trouble && time.Now().Before(end) {
			time.Sleep(interval)
			for _, i := range rng.Perm(minions)[:atOnce] {
				m := s.minions[i]
				m.crash()
				time.AfterFunc(downFor, m.restartIfDown)
			}
		}
	})
	for n := 0; time.Now().Before(end); n++ {
		j := s.newJob(n, r.prefix,
			step{Count: 6, CPU: 1100, MemMB: 2200, EstimateMS: 800, duration: 800 * time.Millisecond},
			step{Count: 8, CPU: 1800, MemMB: 3200, EstimateMS: 1700, After: []int{0}, duration: 1700 * time.Millisecond})
		group.Go(func() { s.follow(j, n, end.Add(finish)) })
		time.Sleep(between)
	}
	group.Wait()
	return nil
}

// restartIfDown starts the next life of a minion that is down.
func (m *minion) restartIfDown() {
	m.mu.Lock()
	up := m.up
	m.mu.Unlock()
	if !up {
		m.restart()
	}
}

// follow hands a job in and asks for its state until it has ended.
func (s *site) follow(j *job, n int, until time.Time) {
	if !s.submit(s.hosts[n%len(s.hosts)], j) {
		return
	}
	state := ""
	for i := n; time.Now().Before(until); i++ {
		time.Sleep(time.Second)
		if state = s.state(s.hosts[i%len(s.hosts)], j); state == "completed" || state == "failed" || state == "cancelled" {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failures, lost := 0, 0
	for _, t := range j.tasks {
		failures += t.failed
		lost = max(lost, t.lost)
	}
	switch {
	case state == "completed":
	case state == "failed" && failures == 0:
		s.brokenLocked("LOST", "job %s was accepted and is shown as failed: none of its runs ended failed, one task lost %d with their minions", j.id, lost)
	default:
		s.recordLocked("job %s is %q at the end", j.id, state)
	}
}
