package main

import (
	"time"
)

// pendingJobs keeps all minions but one busy, and that one answers each start with 503. Jobs
// that have been accepted and never begun must be told as pending.
func pendingJobs(s *site, trouble bool) error {
	const (
		minions = 7
		jobs    = 4
	)
	r := route{name: "checks", prefix: "/checks/", maxAttempts: 3}
	if err := s.setUp(minions, r); err != nil {
		return err
	}
	long := s.newJob(1, r.prefix, step{Count: minions - 1, CPU: 16000, MemMB: 32000, EstimateMS: 30000, duration: 30 * time.Second})
	if !s.submit(s.hosts[0], long) {
		return &notReadyError{s.hosts[0].name}
	}
	time.Sleep(time.Second)
	free := s.freeMinion()
	if free == nil {
		return &notReadyError{"the long job"}
	}
	s.record("minion %s is the only one with capacity", free.id)
	if trouble {
		free.refuses = func(string) bool { return true }
	}
	var waiting []*job
	for n := range jobs {
		j := s.newJob(10+n, r.prefix, step{Count: 1, CPU: 4000, MemMB: 1000, EstimateMS: 1000, duration: time.Second})
		if s.submit(s.hosts[n%len(s.hosts)], j) {
			waiting = append(waiting, j)
		}
	}
	for range 12 {
		time.Sleep(500 * time.Millisecond)
		for _, h := range s.hosts {
			s.checkPending(h, r.prefix, waiting)
		}
	}
	return nil
}

// freeMinion returns the minion without a run.
func (s *site) freeMinion() *minion {
	for _, m := range s.minions {
		m.mu.Lock()
		n := len(m.runs)
		m.mu.Unlock()
		if n == 0 {
			return m
		}
	}
	return nil
}

// checkPending compares what a host tells as pending with the jobs that have been accepted
// over visible_ms + 2 s before and have not begun.
func (s *site) checkPending(h *host, prefix string, waiting []*job) {
	const known = 5 * time.Second
	s.mu.Lock()
	due := 0
	for _, j := range waiting {
		if j.startsTotal == 0 && time.Since(j.acceptedAt) > known {
			due++
		}
	}
	s.mu.Unlock()
	told := s.pending(h, prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	if told >= 0 && 2*told < due {
		s.brokenLocked("MIXED", "%s tells %d as pending, %d jobs accepted over 5 s before have not begun", h.name, told, due)
	}
}
