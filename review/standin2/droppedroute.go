package main

import "time"

// droppedRoute removes a queue with an accepted job, whose only task always fails. It may not
// be started again after max_attempts failed runs.
func droppedRoute(s *site, trouble bool) error {
	const (
		attempts = 3
		watched  = 30 * time.Second
	)
	kept := route{name: "checks", prefix: "/checks/", maxAttempts: attempts}
	dropped := route{name: "claims", prefix: "/claims/", maxAttempts: attempts}
	if err := s.setUp(12, kept, dropped); err != nil {
		return err
	}
	j := s.newJob(1, dropped.prefix, step{
		Count: 1, CPU: 1000, MemMB: 1000, EstimateMS: 1500, duration: 1500 * time.Millisecond, outcome: func(int) string { return "failed" },
	})
	if !s.submit(s.hosts[0], j) {
		return &notReadyError{s.hosts[0].name}
	}
	time.Sleep(500 * time.Millisecond)
	routes := []route{kept}
	if !trouble {
		routes = append(routes, dropped)
	}
	if err := s.configure(2, routes...); err != nil {
		return err
	}
	time.Sleep(watched)
	s.state(s.hosts[1], j)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range j.tasks {
		if t.starts > attempts {
			s.brokenLocked("BUDGET", "%s was started %d times with max_attempts %d; %d ends failed, of which %d were taken note of", t.name, t.starts, attempts, t.failed, t.failedSeen)
		}
	}
	return nil
}
