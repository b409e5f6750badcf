package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"
)

// restartDelay is how long a killed process stays away.
const restartDelay = 500 * time.Millisecond

// finishTime is the bound `finish_s` of the sites.
const finishTime = 14 * time.Second

// advisor is a stand-in of the service for advice.
type advisor struct {
	log  *record
	good map[string][]string // minions that may run a step, by the step's name

	mu     sync.Mutex
	issued map[string]bool // step, minion and ticket
}

func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock() // one call at a time
	defer a.mu.Unlock()
	time.Sleep(time.Duration(5+len(call.Workers)) * time.Millisecond)
	good := [][]string{}
	for _, id := range call.Workers {
		if slices.Contains(a.good[call.Step], id) {
			ticket := "c81e-" + id
			a.issued[call.Step+" "+id+" "+ticket] = true
			good = append(good, []string{id, ticket})
		}
	}
	a.log.add("advice on %s, asked about %v: %v", call.Step, call.Workers, good)
	respond(w, http.StatusOK, map[string]any{"good": good, "valid_ms": 2000})
}

// refuses reports whether a minion refuses a start that needs a ticket.
func (a *advisor) refuses(minion string, o order) bool {
	step := o.Task[:strings.LastIndex(o.Task, ".")]
	if _, needed := a.good[step]; !needed {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.issued[step+" "+minion+" "+o.Ticket]
}

// playOccurrence has the second occurrence of a timed job run while the first one waits for
// the only minion that may run it, and kills the leader in between.
func playOccurrence(_ context.Context, s *site, trouble bool) error {
	const (
		plain, timed = "/lohu930/", "/pufi791/"
		blocking     = "5c0e7a21d94b00b1"
		repeated     = "5c0e7a21d94b0071"
		first        = "i-7f3a91a1"
		second       = "i-7f3a91a2"
	)
	behave := func(task string, _ int) (time.Duration, string) {
		if strings.HasPrefix(task, blocking) {
			return 12 * time.Second, "done"
		}
		return 500 * time.Millisecond, "done"
	}
	advice := &advisor{log: s.log, issued: make(map[string]bool), good: map[string][]string{repeated + ".0.0": {first}, repeated + ".1.0": {second}}}
	server := httptest.NewServer(advice)
	defer server.Close()
	s.advice, s.tickets = strings.TrimPrefix(server.URL, "http://"), advice.refuses
	for id, rack := range map[string]string{first: "r2-1", second: "r1-1", "i-7f3a91a3": "r1-1", "i-7f3a91a4": "r1-2"} {
		if _, err := s.addMinion(id, "reclaim-engine", rack, 16000, 64000, behave); err != nil {
			return err
		}
	}
	err := s.configure(1, []string{"reclaim-engine"},
		route{name: "claims", prefix: plain, service: "reclaim-engine", maxAttempts: 4},
		route{name: "watches", prefix: timed, service: "reclaim-engine", maxAttempts: 4, advice: true})
	if err != nil {
		return err
	}
	if err := s.addHosts(); err != nil {
		return err
	}
	if err := s.pause(2 * time.Second); err != nil {
		return err
	}
	job := map[string]any{"spec": "a", "steps": []map[string]any{{"count": 1, "cpu": 12000, "mem_mb": 1000, "estimate_ms": 12000, "constraints": "r2-1"}}}
	if err := s.submit(plain, blocking, job); err != nil {
		return err
	}
	if err := s.pause(time.Second); err != nil {
		return err
	}
	job = map[string]any{
		"spec": "b", "repeats": 2, "first_run_ms": time.Now().Add(time.Second).UnixMilli(), "interval_ms": 1000,
		"steps": []map[string]any{{"count": 1, "cpu": 6000, "mem_mb": 1000, "estimate_ms": 500}},
	}
	if err := s.submit(timed, repeated, job); err != nil {
		return err
	}
	if err := s.pause(4 * time.Second); err != nil {
		return err
	}
	if runs := s.runs.of(repeated + ".1.0.0"); len(runs) != 1 || runs[0].how != "done" || len(s.runs.of(repeated+".0.0.0")) > 0 {
		return fmt.Errorf("%w: the second occurrence has not run before the first", errTooFew)
	}
	if trouble {
		if err := s.killOwner(); err != nil {
			return err
		}
	}
	if err := s.awaitFinal(plain, []string{blocking}, 20*time.Second); err != nil {
		return err
	}
	if err := s.awaitFinal(timed, []string{repeated}, finishTime+3*time.Second); err != nil {
		return err
	}
	state, status := s.state(timed, repeated)
	if state != "completed" {
		s.log.breakRule("LOST: job %s is %q (%d) over %v after its minion became free; occurrence 0 had %d runs; every minion is idle", repeated, state, status, finishTime, len(s.runs.of(repeated+".0.0.0")))
	}
	return nil
}

// killOwner kills the process that acts as the leader, and starts it again.
func (s *site) killOwner() error {
	h, err := s.owner()
	if err != nil {
		return err
	}
	s.log.add("SIGKILL to %s, the leader", h.name)
	h.kill()
	if err := s.pause(restartDelay); err != nil {
		return err
	}
	return s.start(h)
}
