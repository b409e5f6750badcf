package main

import (
	"encoding/json"
	"syscall"
	"time"

	"github.com/fuchsiahill/fuchsiahill/intake"
)

// rolling loses a minion for good while no other one has room for the task that lasts there.
// The hosts are then restarted in turn, the owner first. Once there is room, the task must run.
func rolling(s *site, trouble bool) error {
	const (
		minions = 7
		hosts   = 7
		full    = 22 * time.Second // from the first start on, the others are full
		gap     = 4 * time.Second
	)
	r := route{name: "watch", prefix: "/watch/", maxAttempts: 3}
	s.frontHosts = hosts
	if err := s.setUp(minions, r); err != nil {
		return err
	}
	lasting := s.newJob(1, r.prefix, step{Count: 1, CPU: 12000, MemMB: 6400, EstimateMS: 320, LongRunning: true, TargetMS: 18})
	filler := s.newJob(2, r.prefix, step{Count: minions - 1, CPU: 12000, MemMB: 6400, EstimateMS: full.Milliseconds(), duration: full})
	for _, j := range []*job{lasting, filler} {
		if !s.submit(s.hosts[0], j) {
			return &notReadyError{s.hosts[0].name}
		}
		time.Sleep(time.Second)
	}
	began := time.Now()
	home := s.minionOf(lasting)
	if home == nil || s.startsOf(filler) < minions-1 {
		return &notReadyError{"the jobs"}
	}
	if trouble {
		home.crash() // for good
	}
	time.Sleep(9 * time.Second)
	for range hosts {
		if trouble {
			s.restartOwner()
		}
		time.Sleep(gap)
		s.checkLasting(lasting, began.Add(full))
	}
	return nil
}

// minionOf returns the minion on which a job runs.
func (s *site) minionOf(j *job) *minion {
	for _, m := range s.minions {
		m.mu.Lock()
		for _, r := range m.runs {
			if r.task.job == j {
				m.mu.Unlock()
				return m
			}
		}
		m.mu.Unlock()
	}
	return nil
}

// checkLasting records a broken rule if a task that lasts doesn't run 9 s after there is room.
func (s *site) checkLasting(j *job, roomFrom time.Time) {
	const bound = 9 * time.Second
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range j.tasks {
		if idle := time.Since(roomFrom); t.running == 0 && idle > bound {
			s.brokenLocked("LOST", "%s doesn't run, %v after the other minions have become empty", t.name, idle.Round(time.Second))
		}
	}
}

// restartOwner sends SIGTERM to the host that owns dispatching, and starts it again once it has
// ended.
func (s *site) restartOwner() {
	e, err := s.store.Get(intake.OwnerKey)
	if err != nil {
		s.record("no owner: %v", err)
		return
	}
	var claim struct {
		Host string `json:"host"`
	}
	if err := json.Unmarshal(e.Value, &claim); err != nil {
		s.record("claim of the owner: %v", err)
		return
	}
	for _, h := range s.hosts {
		if h.name != claim.Host {
			continue
		}
		s.record("SIGTERM to %s", h.name)
		h.signal(syscall.SIGTERM)
		go func() {
			if h.restart(s.daemon) {
				s.record("%s is started again", h.name)
			}
		}()
	}
}
