package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	stopTimeout = 200 * time.Millisecond
	stopTime    = 50 * time.Millisecond
	tick        = 5 * time.Millisecond
	// endsAtOnce is how many ends a minion returns at a time.
	endsAtOnce = 500
	maxWait    = 2 * time.Second
)

// behaviour tells how long a run takes, and how it ends.
type behaviour func(task string, run int) (time.Duration, string)

// minion is a stand-in of a minion, as the pages on running tasks describe it.
type minion struct {
	id, service, rack string
	site              *site
	cpu, memMB        int64
	behave            behaviour

	mu       sync.Mutex
	address  string
	server   *http.Server
	up       bool
	born     time.Time
	seq      int64
	token    int64
	deadline int64 // of the lease, on its clock in ms
	running  map[string]*taskRun
	highest  map[string]int // run that was stopped or has ended there
	ended    []taskEnd
	lastEnd  int64
	lapsedAt time.Time // when its lease was last seen to have lapsed
	changed  chan struct{}
	done     chan struct{}
}

type taskRun struct {
	task    string
	run     int
	began   time.Time
	endsAt  time.Time
	how     string
	stopsAt time.Time
	gang    bool
}

// serves is the end of a run that lasts until it is stopped.
const serves = "serves"

// percent returns the progress of a run, which for one that serves is 100 once it is at
// work.
func (r *taskRun) percent() int {
	percent := 100 * float64(time.Since(r.began)) / float64(r.endsAt.Sub(r.began))
	if r.how == serves {
		return int(min(percent, 100))
	}
	return int(min(percent, 99))
}

type taskEnd struct {
	n    int64
	task string
	run  int
	how  string
	at   time.Time
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
	Ticket   string `json:"ticket"`
}

// addMinion starts a minion and registers it.
func (s *site) addMinion(id, service, rack string, cpu, memMB int64, behave behaviour) (*minion, error) {
	address, err := s.freeAddress()
	if err != nil {
		return nil, err
	}
	m := &minion{id: id, service: service, rack: rack, site: s, cpu: cpu, memMB: memMB, behave: behave, address: address, done: make(chan struct{})}
	if err := m.boot(); err != nil {
		return nil, err
	}
	go m.live()
	s.minions = append(s.minions, m)
	return m, nil
}

// boot starts a lifetime, which knows nothing of an earlier one.
func (m *minion) boot() error {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", m.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.handleStart)
	mux.HandleFunc("POST /v1/run-stop", m.handleStop)
	mux.HandleFunc("POST /v1/hold", m.handleHold)
	mux.HandleFunc("POST /v1/pace", m.handlePace)
	m.mu.Lock()
	m.up, m.born, m.seq, m.token, m.deadline, m.lastEnd, m.ended = true, time.Now(), 0, 0, 0, 0, nil
	m.running, m.highest, m.changed = make(map[string]*taskRun), make(map[string]int), make(chan struct{})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	m.server = server
	m.mu.Unlock()
	go func() { _ = server.Serve(ln) }() // returns after Close
	m.site.log.add("minion %s starts", m.id)
	return m.register()
}

// register writes the entry of the minion, as it does with each ping.
func (m *minion) register() error {
	m.mu.Lock()
	m.seq++
	entry := map[string]any{
		"service": m.service, "address": m.address, "zone": "sofia-a", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq_no": m.seq, "born": m.born.UnixMilli(), "machine": "m-" + m.id,
		"capacity": map[string]int64{"cpu": m.cpu, "mem_mb": m.memMB, "gpus": 0}, "labels": []string{"a", m.rack},
	}
	m.mu.Unlock()
	return m.site.store.Put("servers/"+m.id, entry)
}

// crash ends the process of the minion for d: its runs are gone, and so is what it knew.
func (m *minion) crash(d time.Duration) {
	m.mu.Lock()
	m.up = false
	for _, r := range m.running {
		m.site.runs.ended(m.id, r.task, r.run, "crashed", 0)
	}
	m.running = make(map[string]*taskRun)
	server := m.server
	m.mu.Unlock()
	m.site.log.add("minion %s crashes, for %v", m.id, d)
	_ = server.Close() // resets its channels
	time.AfterFunc(d, func() {
		if err := m.boot(); err != nil {
			m.site.log.add("minion %s does not start: %v", m.id, err)
		}
	})
}

func (m *minion) close() {
	close(m.done)
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.server.Close() // may have been closed by a crash
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

// live ends what is due and sends pings.
func (m *minion) live() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	pinged := time.Now()
	for {
		select {
		case <-m.done:
			return
		case now := <-ticker.C:
			m.mu.Lock()
			up := m.up
			if up {
				m.endRuns(now)
			}
			m.mu.Unlock()
			if up && now.Sub(pinged) >= heartbeat && !m.site.storeIsDown() {
				pinged = now
				if err := m.register(); err != nil {
					m.site.log.add("minion %s can't ping: %v", m.id, err)
				}
			}
		}
	}
}

func (m *minion) endRuns(now time.Time) {
	lapsed, changed := m.clock() > m.deadline, false
	if lapsed {
		m.lapsedAt = now
	}
	for name, r := range m.running {
		how := ""
		switch {
		case lapsed:
			how = "lapsed"
		case !r.stopsAt.IsZero():
			if now.After(r.stopsAt) {
				how = "stopped"
			}
		case now.After(r.endsAt) && r.how != serves:
			how = r.how
		}
		if how == "" {
			continue
		}
		delete(m.running, name)
		m.lastEnd++
		m.highest[r.task] = max(m.highest[r.task], r.run)
		m.ended = append(m.ended, taskEnd{m.lastEnd, r.task, r.run, how, now})
		m.site.runs.ended(m.id, r.task, r.run, how, m.lastEnd)
		if r.gang && how != "done" && how != "broken" {
			go m.site.gangEnded(r.task, r.run)
		}
		changed = true
	}
	if changed {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// receive reads an order and locks the minion. It answers, and returns false without the
// lock, if the order is not for this minion or comes from a former holder.
func (m *minion) receive(w http.ResponseWriter, r *http.Request) (order, bool) {
	time.Sleep(m.site.latency)
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if id := r.Header.Get("Fuchsiahill-Expect-Instance"); id != "" && id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	m.mu.Lock()
	if o.Token < m.token {
		m.answer(w, "fence")
		m.mu.Unlock()
		return o, false
	}
	m.token = o.Token
	return o, true
}

func (m *minion) answer(w http.ResponseWriter, reason string) {
	body, status := map[string]any{"clock_ms": m.clock()}, http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	respond(w, status, body)
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the caller has gone
}

func (m *minion) extend(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock()+holdMax.Milliseconds()))
}

func (m *minion) handleStart(w http.ResponseWriter, r *http.Request) {
	o, ok := m.receive(w, r)
	if !ok {
		return
	}
	defer m.mu.Unlock()
	if present := m.running[o.Task]; present != nil && present.run == o.Run {
		m.answer(w, "")
		return
	}
	reason := ""
	switch {
	case o.Deadline <= m.clock():
		reason = "late"
	case o.Run <= m.highest[o.Task]:
		m.extend(o.Deadline)
		reason = "old"
	case m.site.ticketRefused(m.id, o):
		reason = "ticket"
	}
	if reason != "" {
		m.site.log.add("start of %s run %d on %s refused: %s", o.Task, o.Run, m.id, reason)
		m.answer(w, reason)
		return
	}
	m.extend(o.Deadline)
	lasts, how := m.behave(o.Task, o.Run)
	now := time.Now()
	started := &taskRun{task: o.Task, run: o.Run, began: now, endsAt: now.Add(lasts), how: how}
	if g, ok := m.site.gangOf(o.Task); ok {
		started.gang, started.endsAt, started.how = true, now.Add(gangTimeout), "alone"
		go m.site.gangJoined(o.Task, o.Run, g)
	}
	m.running[o.Task] = started
	m.site.runs.started(m.id, o.Task, o.Run)
	m.answer(w, "")
}

func (m *minion) handleStop(w http.ResponseWriter, r *http.Request) {
	o, ok := m.receive(w, r)
	if !ok {
		return
	}
	defer m.mu.Unlock()
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if present := m.running[o.Task]; present != nil && present.run <= o.Run && present.stopsAt.IsZero() {
		present.stopsAt = time.Now().Add(stopTime)
	}
	m.answer(w, "")
}

func (m *minion) handlePace(w http.ResponseWriter, r *http.Request) {
	if _, ok := m.receive(w, r); ok {
		m.answer(w, "")
		m.mu.Unlock()
	}
}

func (m *minion) handleHold(w http.ResponseWriter, r *http.Request) {
	o, ok := m.receive(w, r)
	if !ok {
		return
	}
	m.extend(o.Deadline)
	for len(m.ended) > 0 && m.ended[0].n <= o.LastSeen {
		if e := m.ended[0]; !m.lapsedAt.After(e.at) { // the rules exclude ends before a lapse
			m.site.runs.noted(e.task, e.run)
		}
		m.ended = m.ended[1:]
	}
	wait := min(time.Duration(o.WaitMS)*time.Millisecond, maxWait)
	if len(m.ended) == 0 && wait > 0 {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, t := range m.running {
		running = append(running, []any{t.task, t.run, "", t.percent(), 5})
	}
	for _, e := range m.ended[:min(len(m.ended), endsAtOnce)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	respond(w, http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "ended": ended})
}

// unnoted returns how many ends the system has not taken note of.
func (m *minion) unnoted() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.ended)
}

// runLog keeps all runs of tasks on all minions.
type runLog struct {
	log   *record
	mu    sync.Mutex
	tasks map[string][]*runFact
}

// runFact is what minions have seen of one run.
type runFact struct {
	minion  string
	run     int
	startAt time.Time
	endAt   time.Time
	how     string // empty: it runs
	noted   bool
}

func newRunLog(log *record) *runLog { return &runLog{log: log, tasks: make(map[string][]*runFact)} }

func (l *runLog) started(minion, task string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tasks[task] = append(l.tasks[task], &runFact{minion: minion, run: run, startAt: time.Now()})
	l.log.add("start %s run %d on %s", task, run, minion)
}

func (l *runLog) ended(minion, task string, run int, how string, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.tasks[task] {
		if f.run == run && f.minion == minion && f.how == "" {
			f.endAt, f.how = time.Now(), how
		}
	}
	l.log.add("end %d of %s: %s run %d %s", n, minion, task, run, how)
}

func (l *runLog) noted(task string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.tasks[task] {
		if f.run == run && f.how != "" {
			f.noted = true
		}
	}
}

// of returns the runs of a task so far.
func (l *runLog) of(task string) []runFact {
	l.mu.Lock()
	defer l.mu.Unlock()
	var facts []runFact
	for _, f := range l.tasks[task] {
		facts = append(facts, *f)
	}
	return facts
}

// errTooFew says that a case did not reach the state in which its rule is at stake.
var errTooFew = errors.New("the case did not reach the state that it is about")
