package main

import "time"

// droppedQueue removes the route of an accepted job while another service exists. What the job
// has left must still run.
func droppedQueue(s *site, trouble bool) error {
	const watched = 20 * time.Second
	kept := route{name: "checks", prefix: "/checks/", maxAttempts: 3}
	files := route{name: "files", prefix: "/files/", maxAttempts: 3, service: otherService}
	dropped := route{name: "claims", prefix: "/claims/", maxAttempts: 3}
	if err := s.addMinions(4, otherService); err != nil {
		return err
	}
	if err := s.setUp(12, kept, files, dropped); err != nil {
		return err
	}
	j := s.newJob(1, dropped.prefix,
		step{Count: 4, CPU: 1000, MemMB: 1000, EstimateMS: 1500, duration: 1500 * time.Millisecond},
		step{Count: 4, CPU: 1000, MemMB: 1000, EstimateMS: 1500, After: []int{0}, duration: 1500 * time.Millisecond})
	if !s.submit(s.hosts[0], j) {
		return &notReadyError{s.hosts[0].name}
	}
	time.Sleep(500 * time.Millisecond)
	routes := []route{kept, files}
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
	waiting := 0
	for _, t := range j.tasks {
		if t.starts == 0 {
			waiting++
		}
	}
	if waiting > 0 {
		s.brokenLocked("LOST", "job %s was accepted; %d of its tasks have not run for %v although all minions are empty", j.id, waiting, watched)
	}
	return nil
}
