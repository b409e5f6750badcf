package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// advice is a stand-in for the service that decides which minions may run a step.
type advice struct {
	address string
	site    *site
	good    func(id string) bool
	validMS int64

	turn    sync.Mutex // one call at a time
	mu      sync.Mutex
	tickets map[string]ticket
	issued  int
}

// ticket allows the tasks of a step during a life of a minion.
type ticket struct {
	step, minion string
	born         time.Time
	until        time.Time
}

// newAdvice starts the service.
func newAdvice(s *site, validMS int64, good func(id string) bool) (*advice, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &advice{address: ln.Addr().String(), site: s, good: good, validMS: validMS, tickets: make(map[string]ticket)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", a.advise)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }() // until the process ends
	return a, nil
}

// config is what a queue's configuration says of the service.
func (a *advice) config() map[string]any {
	return map[string]any{"decide_ms": 5, "each_ms": 1, "valid_ms": a.validMS}
}

func (a *advice) advise(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || len(c.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	time.Sleep(5*time.Millisecond + time.Duration(len(c.Workers))*time.Millisecond)
	a.turn.Unlock()
	rows := [][]string{}
	for _, m := range a.site.minions {
		for _, id := range c.Workers {
			if m.id == id && a.good(id) {
				rows = append(rows, []string{id, a.issue(c.Step, m)})
			}
		}
	}
	a.site.record("advise %s on %d minions -> %d good", c.Step, len(c.Workers), len(rows))
	respond(w, http.StatusOK, map[string]any{"good": rows})
}

// issue returns a new ticket.
func (a *advice) issue(step string, m *minion) string {
	m.mu.Lock()
	born := m.born
	m.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.issued++
	text := fmt.Sprintf("t%d", a.issued)
	a.tickets[text] = ticket{step, m.id, born, time.Now().Add(time.Duration(a.validMS) * time.Millisecond)}
	return text
}

// ticketRefusal returns "ticket" if a start lacks a valid one. The caller holds m.mu.
func (s *site) ticketRefusal(m *minion, c call) string {
	if s.advice == nil {
		return ""
	}
	s.advice.mu.Lock()
	defer s.advice.mu.Unlock()
	t, ok := s.advice.tickets[c.Ticket]
	stepOfTask := c.Task
	for i := len(stepOfTask) - 1; i >= 0; i-- {
		if stepOfTask[i] == '.' {
			stepOfTask = stepOfTask[:i]
			break
		}
	}
	if !ok || t.step != stepOfTask || t.minion != m.id || !t.born.Equal(m.born) || time.Now().After(t.until) {
		return "ticket"
	}
	return ""
}
