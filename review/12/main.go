// Command 12 plays a small deployment in which one task of a step takes longer than its siblings.
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
	kind       = "b" // label of the only worker on which the job may run
	hosts      = 2
	workers    = 4
	tasks      = 6
	estimateMS = 1000
	longMS     = 15_000           // how long the first task takes
	finish     = 14 * time.Second // finish_s, from the last request on
	idleBound  = 3 * time.Second
	watched    = 40 * time.Second
	interval   = 20 * time.Millisecond
	readyTime  = 10 * time.Second
)

// judge keeps the starts and ends of the tasks of the job.
type judge struct {
	mu            sync.Mutex
	running       map[string]bool // tasks
	done          int
	idle          time.Time // since when none of them runs
	starts, stops int
}

func (j *judge) event(e harness3.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case e.Job() != jobID:
	case e.Kind == "start":
		j.running[e.Task] = true
		j.starts++
	case e.Kind == "end":
		delete(j.running, e.Task)
		j.idle = e.At
		switch e.How {
		case "done":
			j.done++
		case "stopped":
			j.stops++
		}
	}
}

// idleFor returns for how long nothing has run, since a time at the earliest.
func (j *judge) idleFor(since time.Time) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.running) > 0 || j.done == tasks {
		return 0
	}
	if j.idle.After(since) {
		since = j.idle
	}
	return time.Since(since)
}

func main() { os.Exit(run(os.Getenv("TROUBLE") != "0")) }

// run returns the exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func run(trouble bool) int {
	c, err := newCase()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer c.close()
	if err := c.start(); err != nil {
		c.record.Line("could not run: %v", err)
		return 2
	}
	return c.play(trouble)
}

type testCase struct {
	dir     string
	record  *harness3.Record
	store   *wire.Store
	workers []*harness3.Worker
	hosts   []*harness3.Host
	judge   judge
}

func newCase() (*testCase, error) {
	dir, err := os.MkdirTemp("", "case12")
	if err != nil {
		return nil, err
	}
	record, err := harness3.NewRecord("review/12/record.txt")
	if err != nil {
		return nil, err
	}
	return &testCase{dir: dir, record: record, judge: judge{running: make(map[string]bool)}}, nil
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
		entry := w.Entry(w.Address(), service, 16000, 64000)
		if i == 0 {
			entry["labels"] = []string{kind, "r1-1"}
		}
		if err := c.store.Put("servers/"+w.ID, entry); err != nil {
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

func (c *testCase) play(trouble bool) int {
	s := harness3.Spec{RunMS: estimateMS}
	if trouble {
		s.FirstMS = longMS
	}
	spec, _ := json.Marshal(s)
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": []any{map[string]any{"count": tasks, "cpu": 1000, "mem_mb": 100, "estimate_ms": estimateMS, "constraints": kind}}})
	if status, _ := c.hosts[0].Call("POST", host, path+jobID, string(body)); status != 200 {
		return 2
	}
	judged := time.Now().Add(finish)
	longest := time.Duration(0)
	for began := time.Now(); time.Since(began) < watched; time.Sleep(interval) {
		if time.Now().After(judged) {
			longest = max(longest, c.judge.idleFor(judged))
		}
	}
	c.hosts[1].Call("GET", host, path+jobID, "")
	c.judge.mu.Lock()
	defer c.judge.mu.Unlock()
	c.record.Line("%d starts, %d runs stopped while they made progress, %d of %d tasks done; nothing ran for up to %v on end", c.judge.starts, c.judge.stops, c.judge.done, tasks, longest)
	if longest >= idleBound {
		c.record.Line("LOST: the accepted job has nothing running for %v, its task's turn has come, and its worker is free", longest)
		return 1
	}
	return 0
}

func (c *testCase) close() {
	for _, h := range c.hosts {
		h.Kill()
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
