package harness3

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the site.
const (
	MaxLease  = 6000 * time.Millisecond
	StopTime  = 200 * time.Millisecond
	Heartbeat = 1500 * time.Millisecond
	// StartupTime is how long a task that lasts takes to be at work.
	StartupTime = 320 * time.Millisecond
	maxEnds     = 500
	maxWaitMS   = 2000
	tick        = 10 * time.Millisecond
)

// Spec tells a worker what a task of a job does: callers put it into the job's spec.
type Spec struct {
	RunMS   int64 `json:"run_ms"`             // 0: it lasts until it is stopped
	FirstMS int64 `json:"first_ms,omitempty"` // instead of RunMS, for the first task of a step; 0: none
}

// duration returns how long a task ID.K.STEP.INDEX takes.
func (s Spec) duration(task string) time.Duration {
	if s.FirstMS > 0 && strings.HasSuffix(task, ".0") {
		return time.Duration(s.FirstMS) * time.Millisecond
	}
	return time.Duration(s.RunMS) * time.Millisecond
}

// Event is what a worker has seen.
type Event struct {
	Kind   string // start, end, ack or crash
	Worker string
	Task   string // ID.K.STEP.INDEX
	Run    int
	How    string // of an end or an ack
	At     time.Time
}

// Job returns the ID of the event's job.
func (e Event) Job() string {
	id, _, _ := strings.Cut(e.Task, ".")
	return id
}

// Worker is a stand-in for a worker that carries out each order at once.
type Worker struct {
	ID string
	// Allows checks the ticket of a start; nil: none is needed.
	Allows func(task, worker, ticket string) bool

	born    time.Time
	record  *Record
	onEvent func(Event)
	handler http.Handler
	address string

	mu       sync.Mutex
	server   *http.Server // nil: the worker is down
	token    int64
	deadline int64 // ms on the worker's clock
	runs     map[string]*activeRun
	highest  map[string]int // highest run that was stopped or has ended
	ends     []endedRun
	lastEnd  int64
	changed  chan struct{}
	done     chan struct{}
}

type activeRun struct {
	run       int
	startedAt time.Time
	duration  time.Duration // 0: it lasts
	stopsAt   time.Time
}

type endedRun struct {
	number int64
	task   string
	run    int
	how    string
}

// NewWorker starts a worker. onEvent is called for each start, end and acknowledged end.
func NewWorker(id string, record *Record, onEvent func(Event)) (*Worker, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	w := &Worker{
		ID: id, born: time.Now(), record: record, onEvent: onEvent, address: listener.Addr().String(),
		runs: make(map[string]*activeRun), highest: make(map[string]int), changed: make(chan struct{}), done: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.start)
	mux.HandleFunc("POST /v1/run-stop", w.stop)
	mux.HandleFunc("POST /v1/hold", w.hold)
	mux.HandleFunc("POST /v1/pace", w.pace)
	w.handler = w.checkInstance(mux)
	w.serve(listener)
	go w.run()
	return w, nil
}

func (w *Worker) serve(listener net.Listener) {
	server := &http.Server{Handler: w.handler, ReadHeaderTimeout: time.Second}
	w.mu.Lock()
	w.server = server
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // returns after Close
}

// Crash ends the process of the worker: its runs are gone, its connections are closed and nobody
// listens at its address.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Line("%s crashes with %d runs", w.ID, len(w.runs))
	_ = w.server.Close()
	w.server = nil
	for task, r := range w.runs {
		w.onEvent(Event{"crash", w.ID, task, r.run, "", time.Now()})
	}
	clear(w.runs)
	clear(w.highest)
	w.ends, w.lastEnd, w.token, w.deadline = nil, 0, 0, 0
}

// Restart starts the next lifetime of a worker that has crashed, at the same address.
func (w *Worker) Restart() error {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.born = time.Now()
	w.record.Line("%s is up again", w.ID)
	w.mu.Unlock()
	w.serve(listener)
	return nil
}

// Address returns the host:port of the worker.
func (w *Worker) Address() string { return w.address }

// Entry returns the worker's entry in the store, at the address at which it is called.
func (w *Worker) Entry(address, service string, cpu, memMB int64) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "sofia-a", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq_no": 1,
		"born": w.born.UnixMilli(), "capacity": map[string]int64{"cpu": cpu, "mem_mb": memMB, "gpus": 0}, "labels": []string{"a", "r1-1"},
	}
}

// Close stops the worker.
func (w *Worker) Close() {
	close(w.done)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server != nil {
		_ = w.server.Close()
	}
}

// Running returns how many runs the worker has.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *Worker) checkInstance(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("Fuchsiahill-Expect-Instance"); id != "" && id != w.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(rw, r)
	})
}

// run ends the runs that are due, until Close.
func (w *Worker) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return
		case now := <-ticker.C:
			w.endDue(now)
		}
	}
}

func (w *Worker) endDue(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lapsed := w.clock() > w.deadline
	ended := false
	for task, r := range w.runs {
		var how string
		switch {
		case lapsed:
			how = "lapsed"
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			how = "stopped"
		case r.stopsAt.IsZero() && r.duration > 0 && now.Sub(r.startedAt) >= r.duration:
			how = "done"
		default:
			continue
		}
		ended = true
		delete(w.runs, task)
		w.highest[task] = max(w.highest[task], r.run)
		w.lastEnd++
		w.ends = append(w.ends, endedRun{w.lastEnd, task, r.run, how})
		w.record.Line("%s: run %d of %s has ended: %s", w.ID, r.run, task, how)
		w.onEvent(Event{"end", w.ID, task, r.run, how, now})
	}
	if ended {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

type command struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
	Ticket     string `json:"ticket"`
}

// receive reads a command and locks w.mu; false, without the lock, if it is refused.
func (w *Worker) receive(rw http.ResponseWriter, r *http.Request) (command, bool) {
	var c command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.WaitMS > maxWaitMS {
		rw.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	w.mu.Lock()
	if c.Token < w.token {
		w.reply(rw, "fence")
		w.mu.Unlock()
		return c, false
	}
	w.token = c.Token
	return c, true
}

// reply answers a command, with the reason if it is refused. w.mu is held.
func (w *Worker) reply(rw http.ResponseWriter, reason string) {
	body, status := map[string]any{"clock_ms": w.clock()}, http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	respond(rw, status, body)
}

func respond(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // fails only if the caller has disconnected
}

func (w *Worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+MaxLease.Milliseconds()))
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.receive(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if c.DeadlineMS <= w.clock() {
		w.reply(rw, "late")
		return
	}
	w.extend(c.DeadlineMS)
	if known := w.runs[c.Task]; known != nil && known.run == c.Run {
		w.reply(rw, "")
		return
	}
	if c.Run <= w.highest[c.Task] {
		w.reply(rw, "old")
		return
	}
	if w.Allows != nil && !w.Allows(c.Task, w.ID, c.Ticket) {
		w.reply(rw, "ticket")
		return
	}
	var spec Spec
	_ = json.Unmarshal([]byte(c.Spec), &spec) // another spec lasts
	now := time.Now()
	w.runs[c.Task] = &activeRun{run: c.Run, startedAt: now, duration: spec.duration(c.Task)}
	w.record.Line("%s: run %d of %s starts, token %d", w.ID, c.Run, c.Task, c.Token)
	w.onEvent(Event{"start", w.ID, c.Task, c.Run, "", now})
	w.reply(rw, "")
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.receive(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if known := w.runs[c.Task]; known != nil && known.run <= c.Run && known.stopsAt.IsZero() {
		w.record.Line("%s: run %d of %s is to stop", w.ID, known.run, c.Task)
		known.stopsAt = time.Now().Add(StopTime)
	}
	w.reply(rw, "")
}

func (w *Worker) pace(rw http.ResponseWriter, r *http.Request) {
	if _, ok := w.receive(rw, r); ok {
		w.reply(rw, "")
		w.mu.Unlock()
	}
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.receive(rw, r)
	if !ok {
		return
	}
	w.extend(c.DeadlineMS)
	w.forget(c.LastSeen)
	wait, changed := len(w.ends) == 0 && c.WaitMS > 0, w.changed
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for task, a := range w.runs {
		percent, gauge := a.progress()
		running = append(running, []any{task, a.run, "", percent, gauge})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

// progress returns the percent of a run, and its gauge: a tail far below any target, or the cpu in use.
func (a *activeRun) progress() (percent, gauge int) {
	whole := a.duration
	if whole == 0 {
		whole = StartupTime
	}
	return int(min(100*time.Since(a.startedAt)/whole, 100)), 1
}

// forget forgets the ends that are acknowledged. w.mu is held.
func (w *Worker) forget(seen int64) {
	for len(w.ends) > 0 && w.ends[0].number <= seen {
		e := w.ends[0]
		w.ends = w.ends[1:]
		w.onEvent(Event{"ack", w.ID, e.task, e.run, e.how, time.Now()})
	}
}
