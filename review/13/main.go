// Command 13 plays a small deployment in which a worker leaves a start unanswered, crashes, and carries
// the start out once it is back.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin/wire"
	"github.com/fuchsiahill/fuchsiahill/review/harness3"
)

const (
	service    = "reclaim"
	host       = "jobs.example"
	path       = "/check/"
	jobID      = "00000000000000aa"
	hosts      = 2
	workers    = 8 // of which one crashes: a share of 0.125
	tasks      = 24
	estimateMS = 1000
	crashAfter = 5 * time.Second // from the start that gets no answer
	down       = 2 * time.Second
	late       = 300 * time.Millisecond // from the return of the worker
	watched    = 4 * time.Second
	readyTime  = 10 * time.Second
	startTime  = 5 * time.Second
)

// judge keeps the runs of each task.
type judge struct {
	mu      sync.Mutex
	running map[string]map[string]bool // workers by task
	done    map[string]bool            // tasks with an end `done`
	noted   map[string]bool            // tasks whose end `done` is taken note of
	again   map[string]bool            // tasks that were started after their end `done`
	twice   map[string]bool            // tasks with two runs at a time
}

func (j *judge) event(e harness3.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.running[e.Task] == nil {
		j.running[e.Task] = make(map[string]bool)
	}
	switch e.Kind {
	case "start":
		if j.done[e.Task] {
			j.again[e.Task] = true
		}
		if len(j.running[e.Task]) > 0 {
			j.twice[e.Task] = true
		}
		j.running[e.Task][e.Worker] = true
	case "end", "crash":
		delete(j.running[e.Task], e.Worker)
		if e.How == "done" {
			j.done[e.Task] = true
		}
	case "ack":
		if e.How == "done" {
			j.noted[e.Task] = true
		}
	}
}

func main() { os.Exit(run(os.Getenv("TROUBLE"))) }

// run returns the exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
// The trouble is "0" for none, "late" or "crash" for one half of it alone, or anything else.
func run(trouble string) int {
	c, err := newCase(trouble != "0" && trouble != "crash", trouble != "0" && trouble != "late")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer c.close()
	if err := c.start(); err != nil {
		c.record.Line("could not run: %v", err)
		return 2
	}
	if err := c.play(); err != nil {
		c.record.Line("could not run: %v", err)
		return 2
	}
	return c.verdict()
}

type testCase struct {
	dir     string
	record  *harness3.Record
	store   *wire.Store
	workers []*harness3.Worker
	fronts  []*harness3.Front
	hosts   []*harness3.Host
	judge   judge
	late    bool
	crash   bool

	mu   sync.Mutex
	kept bool // a start was kept back
}

func newCase(isLate, crashes bool) (*testCase, error) {
	dir, err := os.MkdirTemp("", "case13")
	if err != nil {
		return nil, err
	}
	record, err := harness3.NewRecord("review/13/record.txt")
	if err != nil {
		return nil, err
	}
	c := &testCase{dir: dir, record: record, late: isLate, crash: crashes}
	c.judge = judge{running: make(map[string]map[string]bool), done: make(map[string]bool), noted: make(map[string]bool), again: make(map[string]bool), twice: make(map[string]bool)}
	return c, nil
}

// keep keeps the first start of all back.
func (c *testCase) keep(path string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.late || c.kept || path != "/v1/run-start" {
		return false
	}
	c.kept = true
	return true
}

func (c *testCase) start() error {
	var err error
	if c.store, err = wire.NewStore(); err != nil {
		return err
	}
	for i := range workers {
		w, err := harness3.NewWorker(fmt.Sprintf("w%d", i), c.record, c.judge.event)
		if err != nil {
			return err
		}
		c.workers = append(c.workers, w)
		f, err := harness3.NewFront(w, c.record, c.keep)
		if err != nil {
			return err
		}
		c.fronts = append(c.fronts, f)
		if err := c.register(i, 1); err != nil {
			return err
		}
	}
	err = c.store.Put("op/config", map[string]any{
		"version":  3,
		"routes":   []any{map[string]any{"name": "check", "host": host, "prefix": path, "service": service, "priority": 2, "max_attempts": 3, "stretch": 2.0, "slo_ms": 1000}},
		"services": []any{map[string]any{"name": service}}, "limits": map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		return err
	}
	site := harness3.Site{Dir: c.dir, Record: c.record}
	for i := range hosts {
		h, err := site.NewHost(fmt.Sprintf("front-%d", i), c.store.Address())
		if err != nil {
			return err
		}
		c.hosts = append(c.hosts, h)
		if err := h.Start(); err != nil {
			return err
		}
	}
	return harness3.Await(readyTime, "ready hosts", func() bool {
		return c.hosts[0].IsReady() && c.hosts[1].IsReady()
	})
}

// register writes the entry of a worker.
func (c *testCase) register(i, number int) error {
	w := c.workers[i]
	entry := w.Entry(c.fronts[i].Address(), service, 16000, 64000)
	entry["seq_no"] = number
	return c.store.Put("servers/"+w.ID, entry)
}

// victim returns the worker that has left a start unanswered; the first one if none has.
func (c *testCase) victim() int {
	for i, f := range c.fronts {
		if f.HasKept() {
			return i
		}
	}
	return 0
}

func (c *testCase) play() error {
	spec, _ := json.Marshal(harness3.Spec{RunMS: estimateMS})
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": []any{map[string]any{"count": tasks, "cpu": 1000, "mem_mb": 100, "estimate_ms": estimateMS}}})
	if status, answer := c.hosts[0].Call("POST", host, path+jobID, string(body)); status != 200 {
		return &harness3.NotInTimeError{What: "an accepted job: " + answer}
	}
	err := harness3.Await(startTime, "a start", func() bool {
		c.judge.mu.Lock()
		defer c.judge.mu.Unlock()
		return len(c.judge.running) > 0
	})
	if err != nil {
		return err
	}
	time.Sleep(crashAfter)
	i := c.victim()
	if c.crash {
		c.fronts[i].SetDark(true)
		c.workers[i].Crash()
	}
	time.Sleep(down)
	if c.crash {
		if err := c.workers[i].Restart(); err != nil {
			return err
		}
		c.fronts[i].SetDark(false)
		// It writes its entry again at its next heartbeat.
		registered := time.AfterFunc(harness3.Heartbeat, func() { _ = c.register(i, 2) })
		defer registered.Stop()
	}
	time.Sleep(late)
	if c.late {
		if err := c.fronts[i].Deliver(); err != nil {
			return err
		}
	}
	time.Sleep(watched)
	c.hosts[1].Call("GET", host, path+jobID, "")
	return nil
}

func (c *testCase) verdict() int {
	c.judge.mu.Lock()
	defer c.judge.mu.Unlock()
	broken := 0
	for task := range c.judge.running {
		switch {
		case c.judge.twice[task]:
			c.record.Line("TWICE: two runs of %s at the same time", task)
			broken = 1
		case c.judge.again[task] && c.judge.noted[task]:
			c.record.Line("TWICE: %s was started after a run of it had ended done, and that end is taken note of", task)
			broken = 1
		}
	}
	c.record.Line("%d of %d tasks have ended done", len(c.judge.done), tasks)
	return broken
}

func (c *testCase) close() {
	for _, h := range c.hosts {
		h.Kill()
	}
	for _, f := range c.fronts {
		f.Close()
	}
	for _, w := range c.workers {
		w.Close()
	}
	if c.store != nil {
		c.store.Close()
	}
	c.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Fprintln(os.Stderr, c.dir)
	}
}
