package main

import (
	"context"
	"net"
	"net/http"
	"time"
)

// oddEntry lets another writer replace the entry of a minion that runs tasks, by one of a
// service that no configuration names. That entry names no minion to use: what runs must not
// be started a second time.
func oddEntry(s *site, trouble bool) error {
	const (
		taskTime = 6 * time.Second
		watched  = 8 * time.Second
	)
	r := route{name: "claims", prefix: "/claims/", maxAttempts: 3}
	if err := s.setUp(12, r); err != nil {
		return err
	}
	address, err := otherServer()
	if err != nil {
		return err
	}
	j := s.newJob(1, r.prefix, step{Count: 12, CPU: 6000, MemMB: 4000, EstimateMS: taskTime.Milliseconds(), duration: taskTime})
	if !s.submit(s.hosts[0], j) {
		return &notReadyError{s.hosts[0].name}
	}
	time.Sleep(1500 * time.Millisecond)
	busy := s.busyMinion()
	if busy == nil {
		return &notReadyError{"the job"}
	}
	if trouble {
		s.record("another writer replaces the entry of %s by one of the service %s", busy.id, otherService)
		err := s.store.Put("servers/"+busy.id, map[string]any{
			"service": otherService, "address": address, "zone": zoneName, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"seq_no": 7, "born": time.Now().UnixMilli(), "capacity": busy.capacity, "labels": []string{"a", busy.rack},
		})
		if err != nil {
			return err
		}
	}
	time.Sleep(watched)
	s.state(s.hosts[1], j)
	return nil
}

// otherServer starts the server of the other writer, which is no minion, and returns its
// address.
func otherServer() (string, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }() // until the process ends
	return ln.Addr().String(), nil
}

// busyMinion returns a minion with runs.
func (s *site) busyMinion() *minion {
	for _, m := range s.minions {
		m.mu.Lock()
		n := len(m.runs)
		m.mu.Unlock()
		if n > 0 {
			return m
		}
	}
	return nil
}
