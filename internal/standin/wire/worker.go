package wire

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// HoldMax is the longest lease of a worker's runs.
	MaxLease = 6 * time.Second
	// stopTime is how long a stop takes.
	stopTime = 100 * time.Millisecond
	// workerTick drives ends and lapses.
	workerTick = 10 * time.Millisecond
	lateLeast  = 2 * time.Second
	lateMost   = 8 * time.Second
)

// Worker is a stand-in of a worker, one life after the other on one port.
type Worker struct {
	id       fleet.WorkerID
	capacity fleet.Resources
	judge    *Checker
	store    *Store
	server   *http.Server
	address  string
	done     chan struct{}

	mu        sync.Mutex
	born      time.Time
	up        bool
	lateShare float64 // of the orders that get no answer and come late
	failShare float64 // of the runs that fail
	token     int64
	deadline  int64 // ms on its clock
	runs      map[workload.TaskName]*standinRun
	highest   map[workload.TaskName]int // run stopped or ended
	ended     []endedRun
	number    int64
	changed   chan struct{}
}

type standinRun struct {
	run      int
	ends     time.Time
	stopping time.Time // zero: not being stopped
	step     workload.Step
	began    time.Time
	fails    bool
}

type endedRun struct {
	number int64
	task   workload.TaskName
	run    int
	how    workload.Outcome
}

// NewWorker starts a worker that registers in the store.
func NewWorker(id fleet.WorkerID, capacity fleet.Resources, j *Checker, s *Store) (*Worker, error) {
	w := &Worker{id: id, capacity: capacity, judge: j, store: s, done: make(chan struct{}), changed: make(chan struct{})}
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.start)
	mux.HandleFunc("POST /v1/run-stop", w.stop)
	mux.HandleFunc("POST /v1/hold", w.hold)
	mux.HandleFunc("POST /v1/pace", w.pace)
	w.server = &http.Server{Handler: w.guard(mux), ReadHeaderTimeout: time.Second}
	w.live()
	go func() { _ = w.server.Serve(ln) }() // ends with Close
	go w.tick()
	return w, w.register(w.address)
}

// live begins a life that holds nothing.
func (w *Worker) live() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.up, w.token, w.deadline, w.number = time.Now(), true, 0, 0, 0
	w.runs, w.highest, w.ended = make(map[workload.TaskName]*standinRun), make(map[workload.TaskName]int), nil
}

// Address is where the worker listens, host:port.
func (w *Worker) Address() string { return w.address }

// register writes the worker's entry; address is where others reach it.
func (w *Worker) register(address string) error {
	w.mu.Lock()
	born := w.born.UnixMilli()
	w.mu.Unlock()
	return w.store.Put("servers/"+string(w.id), map[string]any{
		"service": serviceName, "address": address, "zone": "dc-1", "version": "v1", "slots": 8, "state": "ready", "born": born,
		"capacity": map[string]int64{"cpu": w.capacity.MilliCores, "mem_mb": w.capacity.MemoryMB}, "labels": []string{"a", "r1-1"},
	})
}

// RegisterAt makes others reach the worker through a proxy.
func (w *Worker) RegisterAt(address string) error { return w.register(address) }

// Crash ends everything on the worker; Revive begins its next life.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	for n := range w.runs {
		w.judge.gone(n, "")
	}
	w.runs = make(map[workload.TaskName]*standinRun)
}

// Revive begins the worker's next life under its ID.
func (w *Worker) Restart(address string) error {
	w.Crash()
	w.live()
	return w.register(address)
}

// SetFaults sets the share of orders that come late and of runs that fail.
func (w *Worker) SetFaults(late, fail float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateShare, w.failShare = late, fail
}

// Close ends the stand-in.
func (w *Worker) Close() {
	close(w.done)
	_ = w.server.Close()
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// guard answers nothing while the worker is down, and makes some orders late.
func (w *Worker) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		up, late := w.up, r.URL.Path != "/v1/hold" && rand.Float64() < w.lateShare
		w.mu.Unlock()
		if !up {
			pause(r, silentHold)
			return
		}
		if id := r.Header.Get("Fuchsiahill-Expect-Instance"); id != "" && id != string(w.id) {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if !late {
			next.ServeHTTP(rw, r)
			return
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err == nil {
			go func() {
				time.Sleep(lateLeast + time.Duration(rand.Int64N(int64(lateMost-lateLeast))))
				w.carryOutLate(r.URL.Path, o)
			}()
		}
		pause(r, silentHold)
	})
}

// carryOutLate does what an unanswered order asked for.
func (w *Worker) carryOutLate(path string, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	switch path {
	case "/v1/run-start":
		w.doStart(o, true)
	case "/v1/run-stop":
		w.doStop(o)
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *Worker) read(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// reply answers an order; w.mu is held.
func (w *Worker) reply(rw http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": w.clock()}
	status := http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	answer(rw, status, body)
}

// fenced reports whether an order comes from a former owner; w.mu is held.
func (w *Worker) fenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

func (w *Worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+MaxLease.Milliseconds()))
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reply(rw, w.doStart(o, false))
}

// doStart starts a run and returns why not; w.mu is held.
func (w *Worker) doStart(o order, late bool) string {
	if w.fenced(o.Token) {
		return "fence"
	}
	n, ok := workload.ParseTaskName(o.Task)
	if !ok {
		return "old"
	}
	if o.DeadlineMS <= w.clock() {
		return "late"
	}
	w.extend(o.DeadlineMS)
	if r, ok := w.runs[n]; ok && r.run == o.Run {
		return ""
	}
	if o.Run <= w.highest[n] {
		return "old"
	}
	step, _ := w.judge.need(n)
	used := step.Need
	for _, r := range w.runs {
		used = used.Add(r.step.Need)
	}
	if !used.Fits(w.capacity) {
		w.judge.overloaded(w, n, used)
	}
	w.judge.started(w, n, o.Run, late)
	duration := step.Estimate()/2 + time.Duration(rand.Int64N(int64(max(step.Estimate(), 1))))
	now := time.Now()
	w.runs[n] = &standinRun{run: o.Run, step: step, began: now, ends: now.Add(duration), fails: rand.Float64() < w.failShare}
	return ""
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reply(rw, w.doStop(o))
}

func (w *Worker) doStop(o order) string {
	if w.fenced(o.Token) {
		return "fence"
	}
	n, ok := workload.ParseTaskName(o.Task)
	if !ok {
		return ""
	}
	w.highest[n] = max(w.highest[n], o.Run)
	if r, ok := w.runs[n]; ok && r.run <= o.Run && r.stopping.IsZero() {
		r.stopping = time.Now().Add(stopTime)
	}
	return ""
}

func (w *Worker) pace(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(o.Token) {
		w.reply(rw, "fence")
		return
	}
	w.reply(rw, "")
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if w.fenced(o.Token) {
		w.reply(rw, "fence")
		w.mu.Unlock()
		return
	}
	w.extend(o.DeadlineMS)
	w.forget(o.LastSeen)
	waiting, changed := len(w.ended) == 0 && o.WaitMS > 0, w.changed
	w.mu.Unlock()
	if waiting {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for n, r := range w.runs {
		percent := int(100 * float64(time.Since(r.began)) / float64(max(r.ends.Sub(r.began), 1)))
		running = append(running, []any{n.String(), r.run, "", min(max(percent, 0), 100), 0})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task.String(), e.run, e.how, ""})
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

func (w *Worker) forget(seen int64) {
	w.ended = slices.DeleteFunc(w.ended, func(e endedRun) bool {
		if e.number > seen {
			return false
		}
		w.judge.noted(e.task, e.how)
		return true
	})
}

// tick ends what is over.
func (w *Worker) tick() {
	ticker := time.NewTicker(workerTick)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return
		case now := <-ticker.C:
			w.mu.Lock()
			w.endRuns(now)
			w.mu.Unlock()
		}
	}
}

func (w *Worker) endRuns(now time.Time) {
	lapsed := w.clock() > w.deadline
	ended := false
	for n, r := range w.runs {
		how := workload.Outcome("")
		switch {
		case lapsed:
			how = workload.OutcomeLeaseExpired
		case !r.stopping.IsZero() && now.After(r.stopping):
			how = workload.OutcomeStopped
		case now.After(r.ends) && r.stopping.IsZero() && !r.step.Serving:
			how = workload.OutcomeDone
			if r.fails {
				how = workload.OutcomeFailed
			}
		}
		if how == "" {
			continue
		}
		ended = true
		delete(w.runs, n)
		w.highest[n] = max(w.highest[n], r.run)
		w.number++
		w.ended = append(w.ended, endedRun{w.number, n, r.run, how})
		w.judge.gone(n, how)
	}
	if ended {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

func (w *Worker) String() string { return fmt.Sprintf("%s at %s", w.id, w.address) }
