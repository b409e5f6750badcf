package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin/wire"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	callTimeout = 3 * time.Second
	submitTries = 6
	tryPause    = 300 * time.Millisecond
	askPause    = 250 * time.Millisecond
	cancelShare = 0.08
	// visible is how long after its acceptance a job may be unknown to a host.
	visible = 3 * time.Second
)

// callers hand jobs in, ask for them, cancel some, and keep their connections.
type callers struct {
	hosts  []*hostProcess
	judge  *wire.Checker
	client *http.Client

	mu       sync.Mutex
	rng      *rand.Rand
	accepted map[fleet.JobID]*caller
	refused  int
	group    sync.WaitGroup
}

// caller is one accepted job.
type caller struct {
	acceptedAt time.Time
	final      workload.State
	cancelled  bool
}

func newCallers(hosts []*hostProcess, judge *wire.Checker, rng *rand.Rand) *callers {
	return &callers{hosts: hosts, judge: judge, rng: rng, accepted: make(map[fleet.JobID]*caller), client: &http.Client{Timeout: callTimeout}}
}

// draw runs f with the seeded source, which is not safe for concurrent use.
func draw[T any](c *callers, f func(*rand.Rand) T) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	return f(c.rng)
}

// run hands in about rate jobs a second until ctx ends.
func (c *callers) run(ctx context.Context, rate float64) {
	for wait.For(ctx, time.Duration(draw(c, (*rand.Rand).ExpFloat64)*float64(time.Second)/rate)) == nil {
		c.group.Go(func() { c.follow(ctx) })
	}
}

// follow hands one job in and follows it.
func (c *callers) follow(ctx context.Context) {
	id := fleet.JobID(fmt.Sprintf("%016x", draw(c, (*rand.Rand).Uint64)))
	steps := draw(c, drawSteps)
	c.judge.RecordSubmission(id, steps)
	if !c.submit(id, steps) {
		return
	}
	if draw(c, (*rand.Rand).Float64) < cancelShare {
		c.cancel(id)
	}
	for wait.For(ctx, askPause) == nil {
		if c.ask(id) {
			return
		}
	}
}

// drawSteps draws a job of one to three steps.
func drawSteps(rng *rand.Rand) []workload.Step {
	steps := make([]workload.Step, 1+rng.IntN(3))
	for i := range steps {
		steps[i] = workload.Step{
			Count: 1 + rng.IntN(8), EstimateMS: 200 + rng.Int64N(800),
			Need: fleet.Resources{MilliCores: 200 + rng.Int64N(1500), MemoryMB: 100 + rng.Int64N(900)},
		}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	return steps
}

// submit hands a job in until it is accepted or given up.
func (c *callers) submit(id fleet.JobID, steps []workload.Step) bool {
	body, err := wire.EncodeJob(steps)
	if err != nil {
		return false
	}
	unknown := false
	for range submitTries {
		status, _ := c.call(http.MethodPost, id, body)
		switch status {
		case http.StatusOK:
			c.mu.Lock()
			c.accepted[id] = &caller{acceptedAt: time.Now()}
			c.mu.Unlock()
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			unknown = true
		}
		time.Sleep(tryPause)
	}
	if !unknown {
		c.judge.RecordRejection(id)
	}
	c.mu.Lock()
	c.refused++
	c.mu.Unlock()
	return false
}

func (c *callers) cancel(id fleet.JobID) {
	c.mu.Lock()
	c.accepted[id].cancelled = true // also without an answer it may come to be
	c.mu.Unlock()
	if status, _ := c.call(http.MethodDelete, id, nil); status == http.StatusOK {
		c.judge.RecordCancellation(id)
	}
}

// ask asks for a job's state and reports whether it has ended.
func (c *callers) ask(id fleet.JobID) bool {
	status, body := c.call(http.MethodGet, id, nil)
	c.mu.Lock()
	job := c.accepted[id]
	age := time.Since(job.acceptedAt)
	c.mu.Unlock()
	switch status {
	case http.StatusOK:
	case http.StatusGone:
		if age > visible {
			c.judge.RecordLostJob(id, "unknown "+age.String()+" after it was accepted")
		}
		return false
	default:
		return false
	}
	var shown struct {
		State workload.State `json:"state"`
	}
	if err := json.Unmarshal(body, &shown); err != nil {
		c.judge.RecordLostJob(id, "its state can't be read: "+string(body))
		return false
	}
	c.judge.CheckState(id, shown.State)
	if !shown.State.Final() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	job.final = shown.State
	if shown.State == workload.StateCancelled && !job.cancelled {
		c.judge.RecordLostJob(id, "shown as cancelled, nobody did")
	}
	return true
}

// call sends one request to a host drawn at random. 0: no answer.
func (c *callers) call(method string, id fleet.JobID, body []byte) (int, []byte) {
	h := c.hosts[draw(c, func(r *rand.Rand) int { return r.IntN(len(c.hosts)) })]
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+h.callers+wire.CallersPrefix+string(id), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = wire.CallersHost
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// settle asks for all accepted jobs until they have ended, and returns those
// that have not.
func (c *callers) settle(most time.Duration) []fleet.JobID {
	deadline := time.Now().Add(most)
	for {
		var open []fleet.JobID
		c.mu.Lock()
		for id, job := range c.accepted {
			if job.final == "" {
				open = append(open, id)
			}
		}
		c.mu.Unlock()
		if len(open) == 0 || time.Now().After(deadline) {
			return open
		}
		for _, id := range open {
			c.ask(id)
		}
		time.Sleep(askPause)
	}
}
