package main

import "time"

// staleTicket restarts the only minion on which a task that lasts may run. The task must run
// again: the minion is up, empty and allowed.
func staleTicket(s *site, trouble bool) error {
	const (
		validMS = 30000
		watched = 20 * time.Second
	)
	a, err := newAdvice(s, validMS, func(id string) bool { return id == "minion-03" })
	if err != nil {
		return err
	}
	s.advice = a
	r := route{name: "watch", prefix: "/watch/", maxAttempts: 3, advice: a.config()}
	if err := s.setUp(12, r); err != nil {
		return err
	}
	j := s.newJob(1, r.prefix, step{Count: 1, CPU: 3200, MemMB: 6400, EstimateMS: 320, LongRunning: true, TargetMS: 18})
	if !s.submit(s.hosts[0], j) {
		return &notReadyError{s.hosts[0].name}
	}
	time.Sleep(4 * time.Second)
	if s.startsOf(j) == 0 {
		return &notReadyError{"the task"}
	}
	if trouble {
		s.minions[3].crash()
		time.Sleep(time.Second)
		s.minions[3].restart()
	}
	time.Sleep(watched)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range j.tasks {
		if t.running == 0 {
			s.brokenLocked("LOST", "%s has not run for %v, though the only minion allowed is up and empty", t.name, watched)
		}
	}
	return nil
}
