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
	host      = "jobs.example"
	path      = "/check/"
	jobID     = "00000000000000aa"
	hosts     = 2
	workers   = 4
	clerks    = 60 // who ask at once for jobs that are no longer known
	steps     = 20
	runMS     = 1000
	contact   = 3 * time.Second // contact_ms
	cancel    = 3 * time.Second // cancel_ms
	pause     = 3 * time.Second
	slack     = 100 * time.Millisecond
	observed  = 14 * time.Second
	readyTime = 10 * time.Second
)

// judge keeps when tasks of the job started.
type judge struct {
	mu     sync.Mutex
	starts []harness3.Event
}

func (j *judge) event(e harness3.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.Job() == jobID && e.Kind == "start" {
		j.starts = append(j.starts, e)
	}
}

// count returns how many tasks have started.
func (j *judge) count() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.starts)
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
	links   []*harness3.Proxy // from the hosts to the store
	hosts   []*harness3.Host
	judge   judge
}

func newCase() (*testCase, error) {
	dir, err := os.MkdirTemp("", "case13")
	if err != nil {
		return nil, err
	}
	record, err := harness3.NewRecord("review/13/record.txt")
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
		if err := c.store.Put("servers/"+w.ID, w.Entry(w.Address(), service, 16000, 64000)); err != nil {
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
		link, err := harness3.NewProxy(c.store.Address())
		if err != nil {
			return err
		}
		c.links = append(c.links, link)
		h, err := site.NewHost(fmt.Sprintf("front-%d", i), link.Address())
		if err != nil {
			return err
		}
		c.hosts = append(c.hosts, h)
		if err := h.Start(); err != nil {
			return err
		}
	}
	return harness3.Await(readyTime, "ready hosts", func() bool {
		return c.hosts[0].IsReady() && c.hosts[1].IsReady() && (c.owns(0) || c.owns(1))
	})
}

func (c *testCase) owns(i int) bool { return c.hosts[i].LogHas("event=takeover_complete") }

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

// ask asks a host at once for jobs that are not known.
func (c *testCase) ask(h *harness3.Host) {
	var group sync.WaitGroup
	for i := range clerks {
		group.Go(func() { h.Call("GET", host, fmt.Sprintf("%s%016x", path, 0x1000+i), "") })
	}
	group.Wait()
}

func (c *testCase) play(trouble bool) int {
	own, other := 0, 1 // the host that dispatches, and the one that is handed the job
	if !c.owns(0) {
		own, other = 1, 0
	}
	if status, _ := c.hosts[other].Call("POST", host, path+jobID, chain()); status != 200 {
		return 2
	}
	c.ask(c.hosts[own])
	time.Sleep(pause)
	if trouble {
		c.record.Line("%d open channels from %s to the store go silent for good", c.links[own].Silence(), c.hosts[own].Name)
	}
	time.Sleep(contact + slack)
	if c.judge.count() == 0 {
		c.record.Line("the job does not run")
		return 2
	}
	if status, _ := c.hosts[other].Call("DELETE", host, path+jobID, ""); status != 200 {
		return 2
	}
	acknowledged := time.Now()
	time.Sleep(observed)
	c.judge.mu.Lock()
	defer c.judge.mu.Unlock()
	late := 0
	for _, e := range c.judge.starts {
		if after := e.At.Sub(acknowledged); after > cancel+slack {
			late++
			c.record.Line("UNASKED: %s started on %s %v after its job's cancelling was acknowledged", e.Task, e.Worker, after)
		}
	}
	c.record.Line("%d tasks started later than cancel_ms after the ack", late)
	if late > 0 {
		return 1
	}
	return 0
}

func (c *testCase) close() {
	for _, h := range c.hosts {
		h.Kill()
	}
	for _, l := range c.links {
		l.Close()
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
