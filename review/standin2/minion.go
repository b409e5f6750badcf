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

const (
	tick          = 10 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	entrySilence  = 3 * heartbeat
	stopTime      = 150 * time.Millisecond // at most stop_timeout_ms
	servingWarmUp = 320 * time.Millisecond
	listedEnds    = 500
	maxHoldWaitMS = 2000
	fullPercent   = 100
	servingTailMS = 2
)

// minion is a stand-in for one minion, which keeps its ID and its port over restarts.
type minion struct {
	id       string
	service  string
	address  string
	rack     string
	capacity resources
	site     *site
	refuses  func(task string) bool // starts that get 503, nil: none

	mu       sync.Mutex
	up       bool
	downAt   time.Time
	born     time.Time
	token    int64
	deadline int64 // ms on the clock of the minion
	runs     map[string]*taskRun
	highest  map[string]int // highest run that was stopped or has ended
	ended    []taskEnd
	lastEnd  int64
	changed  chan struct{}
	state    string
}

// taskRun is a run that is present.
type taskRun struct {
	task    *task
	run     int
	started time.Time
	endsAt  time.Time // zero: it lasts
	how     string    // how it ends at endsAt
	stopAt  time.Time // zero: not being stopped
	percent int       // last pace
}

// taskEnd is the end of a run that has not been taken note of.
type taskEnd struct {
	number int64
	task   *task
	run    int
	how    string
}

// newMinion starts a minion and registers it.
func newMinion(s *site, id, service, rack string, capacity resources) (*minion, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &minion{id: id, service: service, address: ln.Addr().String(), rack: rack, capacity: capacity, site: s, changed: make(chan struct{}), state: "ready"}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.serve(m.start))
	mux.HandleFunc("POST /v1/run-stop", m.serve(m.stop))
	mux.HandleFunc("POST /v1/pace", m.serve(m.pace))
	mux.HandleFunc("POST /v1/hold", m.hold)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }() // until the process ends
	m.restart()
	go m.live()
	return m, nil
}

// restart begins the next life, or the first one.
func (m *minion) restart() {
	m.mu.Lock()
	m.up, m.born, m.token, m.deadline, m.lastEnd = true, time.Now(), 0, 0, 0
	m.runs, m.highest, m.ended = make(map[string]*taskRun), make(map[string]int), nil
	m.mu.Unlock()
	m.site.record("minion %s is up", m.id)
	m.register()
}

// crash ends the life: all runs are gone without an end, and connections are reset.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	m.up, m.downAt = false, time.Now()
	m.site.record("minion %s crashes with %d runs", m.id, len(m.runs))
	for _, r := range m.runs {
		m.site.runLost(m, r)
	}
	m.runs = make(map[string]*taskRun)
	close(m.changed)
	m.changed = make(chan struct{})
}

// register writes the entry of the minion.
func (m *minion) register() {
	m.mu.Lock()
	entry := map[string]any{
		"service": m.service, "address": m.address, "zone": zoneName, "version": "v1", "slots": 8, "state": m.state, "cold_left_ms": 0,
		"seq_no": time.Now().UnixMilli(), "born": m.born.UnixMilli(), "capacity": m.capacity, "labels": []string{"a", m.rack},
	}
	m.mu.Unlock()
	if err := m.site.store.Put("servers/"+m.id, entry); err != nil {
		m.site.record("entry of %s not written: %v", m.id, err)
	}
}

// live writes the entry at each heartbeat and carries out what is due.
func (m *minion) live() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	lastBeat, removed := time.Now(), false
	for now := range ticker.C {
		m.mu.Lock()
		up, downAt := m.up, m.downAt
		if up {
			m.endRuns(now)
		}
		m.mu.Unlock()
		switch {
		case up && now.Sub(lastBeat) >= heartbeat:
			lastBeat, removed = now, false
			m.register()
		case !up && !removed && now.Sub(downAt) > entrySilence:
			removed = true
			if err := m.site.store.Remove("servers/" + m.id); err != nil {
				m.site.record("entry of %s not removed: %v", m.id, err)
			}
		}
	}
}

func (m *minion) clockMS() int64 { return time.Since(m.born).Milliseconds() }

// endRuns ends the runs that are due. The caller holds m.mu.
func (m *minion) endRuns(now time.Time) {
	lapsed, changed := m.clockMS() > m.deadline, false
	for name, r := range m.runs {
		how := ""
		switch {
		case lapsed:
			how = "lapsed"
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			how = "stopped"
		case r.stopAt.IsZero() && !r.endsAt.IsZero() && now.After(r.endsAt):
			how = r.how
		}
		if how == "" {
			continue
		}
		changed = true
		delete(m.runs, name)
		m.highest[name] = max(m.highest[name], r.run)
		m.lastEnd++
		m.ended = append(m.ended, taskEnd{m.lastEnd, r.task, r.run, how})
		m.site.runEnded(m, r, how)
	}
	if changed {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// call is the body of a call.
type call struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Saved    string `json:"saved"`
	Ticket   string `json:"ticket"`
	Percent  int    `json:"percent"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// read decodes a call. It returns false, and the connection is reset, if the minion is down.
func (m *minion) read(w http.ResponseWriter, r *http.Request) (c call, ok bool) {
	err := json.NewDecoder(r.Body).Decode(&c)
	m.mu.Lock()
	up := m.up
	m.mu.Unlock()
	switch {
	case !up:
		reset(w)
		return c, false
	case r.Header.Get("Fuchsiahill-Expect-Instance") != m.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return c, false
	case err != nil || c.WaitMS < 0 || c.WaitMS > maxHoldWaitMS:
		w.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	return c, true
}

// reset closes the connection of a request with a reset.
func reset(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the close resets the connection
	}
	conn.Close()
}

// serve answers an order with what handle returns: "" for success, or the reason of a refusal.
func (m *minion) serve(handle func(c call) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, ok := m.read(w, r)
		if !ok {
			return
		}
		if r.URL.Path == "/v1/run-start" && m.refuses != nil && m.refuses(c.Task) {
			m.site.record("minion %s answers 503 to the start of %s run %d", m.id, c.Task, c.Run)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		m.mu.Lock()
		reason := "fence"
		if c.Token >= m.token {
			m.token = c.Token
			reason = handle(c)
		}
		body := map[string]any{"clock_ms": m.clockMS(), "born": m.born.UnixMilli()}
		m.mu.Unlock()
		status := http.StatusOK
		if reason != "" {
			status, body["reason"] = http.StatusConflict, reason
		}
		respond(w, status, body)
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}

// extend moves the lease to a deadline, at most hold_max_ms ahead. The caller holds m.mu.
func (m *minion) extend(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clockMS()+holdMaxMS))
}

// start carries out a start. The caller holds m.mu.
func (m *minion) start(c call) string {
	if c.Deadline <= m.clockMS() {
		return "late"
	}
	m.extend(c.Deadline)
	if r, ok := m.runs[c.Task]; ok && r.run == c.Run {
		return ""
	}
	if c.Run <= m.highest[c.Task] {
		return "old"
	}
	if reason := m.site.ticketRefusal(m, c); reason != "" {
		m.site.record("minion %s refuses the start of %s run %d: %s", m.id, c.Task, c.Run, reason)
		return reason
	}
	t := m.site.runStarted(m, c)
	if t == nil {
		return "old"
	}
	r := &taskRun{task: t, run: c.Run, started: time.Now(), percent: fullPercent}
	if d := t.duration; d > 0 {
		r.endsAt, r.how = r.started.Add(d), t.outcome(c.Run)
	}
	m.runs[c.Task] = r
	return ""
}

// stop carries out a stop. The caller holds m.mu.
func (m *minion) stop(c call) string {
	m.highest[c.Task] = max(m.highest[c.Task], c.Run)
	if r, ok := m.runs[c.Task]; ok && r.run <= c.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return ""
}

// pace accepts a pace, which has no effect on how long a run takes here.
func (m *minion) pace(call) string { return "" }

// hold extends the lease, takes note of ends and answers with what runs and what has ended.
func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	c, ok := m.read(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	if c.Token < m.token {
		body := map[string]any{"clock_ms": m.clockMS(), "born": m.born.UnixMilli(), "reason": "fence"}
		m.mu.Unlock()
		respond(w, http.StatusConflict, body)
		return
	}
	m.token = c.Token
	m.extend(c.Deadline)
	for len(m.ended) > 0 && m.ended[0].number <= c.LastSeen {
		m.site.endSeen(m, m.ended[0])
		m.ended = m.ended[1:]
	}
	wait, changed, born := len(m.ended) == 0 && c.WaitMS > 0, m.changed, m.born
	m.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	m.mu.Lock()
	if !m.up || !m.born.Equal(born) {
		m.mu.Unlock()
		reset(w)
		return
	}
	running, ended := [][]any{}, [][]any{}
	for name, r := range m.runs {
		running = append(running, []any{name, r.run, "", r.progress(), m.gauge(r)})
	}
	for _, e := range m.ended[:min(len(m.ended), listedEnds)] {
		ended = append(ended, []any{e.number, e.task.name, e.run, e.how, ""})
	}
	body := map[string]any{"clock_ms": m.clockMS(), "born": m.born.UnixMilli(), "running": running, "ended": ended}
	m.mu.Unlock()
	respond(w, http.StatusOK, body)
}

// progress returns the percent of a run.
func (r *taskRun) progress() int {
	whole := r.endsAt.Sub(r.started)
	if r.endsAt.IsZero() {
		whole = servingWarmUp
	}
	return min(int(fullPercent*time.Since(r.started)/max(whole, 1)), fullPercent)
}

// gauge returns the tail of a task that serves, and the processor in use of another.
func (m *minion) gauge(r *taskRun) int64 {
	if r.endsAt.IsZero() {
		return servingTailMS
	}
	return r.task.need.CPU
}

func (m *minion) String() string { return fmt.Sprintf("%s at %s", m.id, m.address) }
