// Command 13 plays a small deployment whose open connections to the store go silent once, before the
// job of a caller is cancelled.
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
	service   = "reclaim"
	other     = "watch"
	host      = "jobs.example"
	path      = "/check/"
	otherPath = "/watch/"
	jobID     = "00000000000000aa"
	hosts     = 2
	workers   = 6 // a third of them of the other service
	steps     = 6
	runMS     = 1000
	begun     = 2500 * time.Millisecond
	finish    = 14 * time.Second // finish_s, from the last request on
	idleBound = 3 * time.Second
	readyTime = 10 * time.Second
)

// judge keeps the starts and ends of the tasks of the job.
type judge struct {
	mu      sync.Mutex
	running int
	done    int
	idle    time.Time // since when nothing runs
}

func (j *judge) event(e harness3.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case e.Job() != jobID:
	case e.Kind == "start":
		j.running++
	case e.Kind == "end":
		j.running--
		j.idle = e.At
		if e.How == "done" {
			j.done++
		}
	}
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
	dir, err := os.MkdirTemp("", "case15")
	if err != nil {
		return nil, err
	}
	record, err := harness3.NewRecord("review/15/record.txt")
	if err != nil {
		return nil, err
	}
	return &testCase{dir: dir, record: record}, nil
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
		pool := service
		if i%3 == 2 {
			pool = other
		}
		if err := c.store.Put("servers/"+w.ID, w.Entry(w.Address(), pool, 16000, 64000)); err != nil {
			return err
		}
	}
	if err := c.configure(3, route("check", path, service), route("watch", otherPath, other)); err != nil {
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

func route(name, prefix, pool string) map[string]any {
	return map[string]any{"name": name, "host": host, "prefix": prefix, "service": pool, "priority": 2, "max_attempts": 3, "stretch": 2.0, "slo_ms": 1000}
}

// configure writes a version of the configuration.
func (c *testCase) configure(version int, routes ...map[string]any) error {
	err := c.store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": service}, map[string]any{"name": other}}, "limits": map[string]any{"max_body_bytes": 262144},
	})
	c.record.Line("version %d with the routes %v is acknowledged: %v", version, routes, err)
	return err
}

// chain returns the body of a job of steps that run one after the other.
func chain() string {
	spec, _ := json.Marshal(harness3.Spec{RunMS: runMS})
	var list []any
	for i := range steps {
		step := map[string]any{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": runMS}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		list = append(list, step)
	}
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": list})
	return string(body)
}

func (c *testCase) play(trouble bool) int {
	if status, _ := c.hosts[0].Call("POST", host, path+jobID, chain()); status != 200 {
		return 2
	}
	time.Sleep(begun)
	routes := []map[string]any{route("watch", otherPath, other)}
	if !trouble {
		routes = append(routes, route("check", path, service))
	}
	if err := c.configure(7, routes...); err != nil {
		return 2
	}
	time.Sleep(finish)
	c.judge.mu.Lock()
	defer c.judge.mu.Unlock()
	c.record.Line("%d of %d tasks are done, %d run, nothing has run for %v", c.judge.done, steps, c.judge.running, time.Since(c.judge.idle))
	if c.judge.done < steps && c.judge.running == 0 && time.Since(c.judge.idle) >= idleBound {
		c.record.Line("LOST: the accepted job has nothing running, its next task's turn has come, and all workers of its service are free")
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
