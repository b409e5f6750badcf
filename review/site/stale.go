package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is the length of a freeze, that of the site's own troubles.
	freezeTime = 3500 * time.Millisecond
	// upkeepTime is the bound `upkeep_s` of the sites.
	upkeepTime = 2 * time.Second
)

// cloud is a stand-in of the platform's interface for machines.
type cloud struct {
	site *site

	mu       sync.Mutex
	order    []string
	machines map[string]*machine
	freeze   func(holder string) // at the first upkeep, before its answer; nil: none
}

type machine struct {
	minion *minion
	state  string
	fence  int64
	wave   int64 // whose upkeep it has had
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := []map[string]any{}
	for _, id := range c.order {
		m := c.machines[id]
		rows = append(rows, map[string]any{
			"machine": id, "pool": m.minion.service, "state": m.state, "zone": "sofia-a", "labels": []string{"a", m.minion.rack},
			"capacity": map[string]int64{"cpu": m.minion.cpu, "mem_mb": m.minion.memMB, "gpus": 0}, "id": m.minion.id,
		})
	}
	respond(w, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	token, err := strconv.ParseInt(r.Header.Get("Fuchsiahill-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("Fuchsiahill-Duty-Holder")
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[call.Machine]
	if m == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reason := ""
	switch {
	case token < m.fence:
		reason = "fence"
	case m.wave == call.Wave:
	case m.state != "up":
		reason = "busy"
	}
	m.fence = max(m.fence, token)
	c.site.log.add("upkeep of %s for wave %d, ordered by %s with token %d: %s", call.Machine, call.Wave, holder, token, reason)
	if reason != "" {
		respond(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	if m.wave != call.Wave {
		m.wave, m.state = call.Wave, "upkeep"
		c.site.checkAvailable(m.minion, holder)
		m.minion.leave()
		time.AfterFunc(upkeepTime, func() { c.back(call.Machine) })
	}
	if c.freeze != nil {
		c.freeze(holder)
		c.freeze = nil
	}
	respond(w, http.StatusOK, map[string]any{})
}

// back has the next minion of a machine join after its upkeep.
func (c *cloud) back(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[id]
	next, err := c.site.addMinion(m.minion.id+"b", m.minion.service, m.minion.rack, m.minion.cpu, m.minion.memMB, m.minion.behave)
	if err != nil {
		c.site.log.add("no minion on %s: %v", id, err)
		return
	}
	m.minion, m.state = next, "up"
}

// leave ends a minion and all that runs on it for good.
func (m *minion) leave() {
	m.mu.Lock()
	m.up = false
	for _, r := range m.running {
		m.site.runs.ended(m.id, r.task, r.run, "ended by an upkeep", 0)
	}
	m.running = make(map[string]*taskRun)
	server := m.server
	m.mu.Unlock()
	_ = server.Close() // resets its channels
	if err := m.site.store.Remove("servers/" + m.id); err != nil {
		m.site.log.add("entry of %s: %v", m.id, err)
	}
}

// lastingStep is a step that lasts, with the number of its tasks that may be away.
type lastingStep struct{ tasks, mayMiss int }

// checkAvailable checks the rule AVAIL for an upkeep that is about to end a minion.
func (s *site) checkAvailable(m *minion, holder string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for step, limit := range s.lasting {
		var atWork []string
		for _, r := range m.running {
			if strings.HasPrefix(r.task, step+".") && r.percent() == 100 {
				atWork = append(atWork, r.task)
			}
		}
		if len(atWork) > limit.mayMiss {
			s.log.breakRule("AVAIL: an upkeep ordered by %s ends %d tasks of step %s at work on %s, a step that may miss %d", holder, len(atWork), step, m.id, limit.mayMiss)
		}
	}
}

// playStaleUpkeep freezes the leader while it orders the upkeep of a wave's machines. The
// next leader places serving tasks on a machine whose upkeep was not ordered yet.
func playStaleUpkeep(ctx context.Context, s *site, trouble bool) error {
	const (
		prefix = "/lohu930/"
		id     = "5c0e7a21d94b0051"
	)
	c := &cloud{site: s, machines: make(map[string]*machine)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", c.list)
	mux.HandleFunc("POST /v1/machine-upkeep", c.upkeep)
	server := httptest.NewServer(mux)
	defer server.Close()
	s.cloud = strings.TrimPrefix(server.URL, "http://")
	s.lasting = map[string]lastingStep{id + ".0.0": {3, 1}}
	serve := func(string, int) (time.Duration, string) { return 300 * time.Millisecond, "serves" }
	for i := range 4 {
		m, err := s.addMinion(fmt.Sprintf("i-7f3a91c%x", i), "reclaim-engine", fmt.Sprintf("r1-%d", i), 16000, 64000, serve)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("m-0a3f%d", i)
		c.order = append(c.order, name)
		c.machines[name] = &machine{minion: m, state: "up"}
	}
	if err := s.configure(1, []string{"reclaim-engine"}, route{name: "claims", prefix: prefix, service: "reclaim-engine", maxAttempts: 4}); err != nil {
		return err
	}
	if err := s.addHosts(); err != nil {
		return err
	}
	if err := s.pause(5 * time.Second); err != nil {
		return err
	}
	former, err := s.owner()
	if err != nil {
		return err
	}
	frozen := make(chan struct{})
	if trouble {
		c.freeze = func(holder string) {
			if holder != former.name {
				return
			}
			s.log.add("%s freezes for %v", holder, freezeTime)
			former.signal(syscall.SIGSTOP)
			time.AfterFunc(freezeTime, func() {
				s.log.add("%s wakes", holder)
				former.signal(syscall.SIGCONT)
			})
			close(frozen)
		}
	}
	s.log.add("operator asks for wave 1: upkeep of m-0a3f0 and m-0a3f1, at most 2 at once")
	wave := map[string]any{"wave": 1, "machines": []string{"m-0a3f0", "m-0a3f1"}, "duration_s": 30, "cap": 2}
	if err := s.store.Put("op/wave/1", wave); err != nil {
		return err
	}
	if trouble {
		select {
		case <-frozen:
		case <-time.After(10 * time.Second):
			return errors.New("no upkeep is ordered")
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			if now, err := s.owner(); err == nil && now != former {
				s.log.add("%s leads", now.name)
				break
			}
			if err := s.pause(20 * time.Millisecond); err != nil {
				return err
			}
		}
	} else if err := s.pause(4 * time.Second); err != nil {
		return err
	}
	job := map[string]any{"spec": "a", "steps": []map[string]any{{
		"count": 3, "cpu": 2000, "mem_mb": 500, "estimate_ms": 1000, "long_running": true, "may_miss": 1, "image": "img-a", "target_ms": 50, "constraints": "r1-1",
	}}}
	if err := s.submitAt(prefix, id, job, former); err != nil {
		return err
	}
	return s.pause(20 * time.Second)
}

// submitAt is submit at any host but one, which may not answer.
func (s *site) submitAt(prefix, id string, job map[string]any, not *host) error {
	all := s.hosts
	defer func() { s.hosts = all }()
	s.hosts = nil
	for _, h := range all {
		if h != not {
			s.hosts = append(s.hosts, h)
		}
	}
	return s.submit(prefix, id, job)
}

// signal sends a signal to the process of a host.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(sig) // it may have ended
	}
}
