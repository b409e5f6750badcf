package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin/wire"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	callTimeout    = 3 * time.Second
	submitAttempts = 6
	retryPause     = 300 * time.Millisecond
	pollInterval   = 250 * time.Millisecond
	cancelShare    = 0.08
	deadlyShare    = 0.03 // of jobs, with one task that crashes its workers
	gangShare      = 0.1  // of other jobs, whose first step is a gang
	resubmitShare  = 0.1  // of accepted jobs
	// maxResubmitDelay is how late a request of an accepted job arrives again at most.
	maxResubmitDelay = 8 * time.Second
	// visibilityBound is how long after its acceptance a job may still be unknown
	// to a host.
	visibilityBound = 3 * time.Second
)

// callerPool submits jobs, polls their states and cancels some, over persistent
// connections.
type callerPool struct {
	hosts   []*hostProcess
	checker *wire.Checker
	keys    *wire.Keys
	client  *http.Client

	mu       sync.Mutex
	rng      *rand.Rand
	accepted map[fleet.JobID]*acceptedJob
	refused  int
	deadly   int // accepted jobs with a deadly task
	group    sync.WaitGroup
}

// acceptedJob is an accepted job as its caller sees it.
type acceptedJob struct {
	acceptedAt time.Time
	final      workload.State
	cancelled  bool
}

func newCallerPool(hosts []*hostProcess, checker *wire.Checker, keys *wire.Keys, rng *rand.Rand) *callerPool {
	return &callerPool{hosts: hosts, checker: checker, keys: keys, rng: rng, accepted: make(map[fleet.JobID]*acceptedJob), client: &http.Client{Timeout: callTimeout}}
}

// draw runs f with the seeded random source, which is not safe for concurrent use.
func draw[T any](c *callerPool, f func(*rand.Rand) T) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	return f(c.rng)
}

// run submits about rate jobs a second until ctx ends.
func (c *callerPool) run(ctx context.Context, rate float64) {
	for wait.For(ctx, time.Duration(draw(c, (*rand.Rand).ExpFloat64)*float64(time.Second)/rate)) == nil {
		c.group.Go(func() { c.submitAndPoll(ctx) })
	}
}

// submitAndPoll submits one job and polls it until it ends or ctx does.
func (c *callerPool) submitAndPoll(ctx context.Context) {
	id := fleet.JobID(fmt.Sprintf("%016x", draw(c, (*rand.Rand).Uint64)))
	steps := draw(c, drawSteps)
	deadly := draw(c, func(rng *rand.Rand) []workload.TaskName { return drawDeadlyTask(rng, id, steps) })
	if len(deadly) == 0 {
		steps[0].Gang = draw(c, (*rand.Rand).Float64) < gangShare
	}
	body, err := wire.EncodeJob(draw(c, drawPayload), steps)
	if err != nil {
		return // the steps are numbers and the payload is text
	}
	c.checker.RecordSubmission(id, steps, deadly...)
	if isProbed(id) {
		c.callAs("key-of-nobody", c.probedHost(id), http.MethodPost, id, body)
	}
	if !c.submit(id, body) {
		return
	}
	if draw(c, (*rand.Rand).Float64) < resubmitShare {
		c.group.Go(func() { c.resubmit(ctx, id, body) })
	}
	c.mu.Lock()
	c.deadly += len(deadly)
	c.mu.Unlock()
	if draw(c, (*rand.Rand).Float64) < cancelShare {
		c.cancel(id)
	}
	for wait.For(ctx, pollInterval) == nil {
		if status, _ := c.callProbe(id); status == http.StatusOK {
			c.checker.RecordForeignState(string(id))
		}
		if c.poll(id) {
			return
		}
	}
}

// drawPayload draws a payload of a character that is long when it is escaped.
func drawPayload(rng *rand.Rand) string {
	return strings.Repeat("<", rng.IntN(wire.MaxSpecBytes+1))
}

// resubmit submits an accepted job again some time later: it remains one job.
func (c *callerPool) resubmit(ctx context.Context, id fleet.JobID, body []byte) {
	delay := draw(c, func(rng *rand.Rand) time.Duration { return time.Duration(rng.Int64N(int64(maxResubmitDelay))) })
	if wait.For(ctx, delay) == nil {
		c.call(http.MethodPost, id, body)
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

// drawDeadlyTask draws whether one task of a job is deadly, and which.
func drawDeadlyTask(rng *rand.Rand, id fleet.JobID, steps []workload.Step) []workload.TaskName {
	if rng.Float64() >= deadlyShare {
		return nil
	}
	step := rng.IntN(len(steps))
	return []workload.TaskName{{Job: id, Step: step, Index: rng.IntN(steps[step].Count)}}
}

// submit submits a job, up to submitAttempts times, and reports whether it was
// accepted.
func (c *callerPool) submit(id fleet.JobID, body []byte) bool {
	unknown := false
	for range submitAttempts {
		status, _ := c.call(http.MethodPost, id, body)
		switch status {
		case http.StatusOK:
			c.mu.Lock()
			c.accepted[id] = &acceptedJob{acceptedAt: time.Now()}
			c.mu.Unlock()
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			unknown = true
		}
		time.Sleep(retryPause)
	}
	if !unknown {
		c.checker.RecordRejection(id)
	}
	c.mu.Lock()
	c.refused++
	c.mu.Unlock()
	return false
}

func (c *callerPool) cancel(id fleet.JobID) {
	c.mu.Lock()
	c.accepted[id].cancelled = true // a cancellation without an answer may still take effect
	c.mu.Unlock()
	if status, _ := c.call(http.MethodDelete, id, nil); status == http.StatusOK {
		c.checker.RecordCancellation(id)
	}
}

// poll requests a job's state and reports whether the job has ended.
func (c *callerPool) poll(id fleet.JobID) bool {
	status, body := c.call(http.MethodGet, id, nil)
	c.mu.Lock()
	job := c.accepted[id]
	age := time.Since(job.acceptedAt)
	c.mu.Unlock()
	switch status {
	case http.StatusOK:
	case http.StatusGone:
		if age > visibilityBound {
			c.checker.RecordLostJob(id, "unknown "+age.String()+" after it was accepted")
		}
		return false
	default:
		return false
	}
	var answer struct {
		State workload.State `json:"state"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		c.checker.RecordLostJob(id, "its state can't be read: "+string(body))
		return false
	}
	c.checker.CheckState(id, answer.State)
	if !answer.State.Final() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	job.final = answer.State
	if answer.State == workload.StateCancelled && !job.cancelled {
		c.checker.RecordLostJob(id, "shown as cancelled, nobody did")
	}
	return true
}

// Keys of the tenants, which all versions of the configuration hold.
const keyOne, keyTwo = "key-one", "key-two"

// isProbed reports whether a job is one of those that callers without a right to it ask for,
// a sixteenth of all.
func isProbed(id fleet.JobID) bool { return id[0] == '0' }

// keysOf returns the key of the tenant that submits a job, and that of the other one.
func keysOf(id fleet.JobID) (own, foreign string) {
	if id[len(id)-1]%2 == 0 {
		return keyOne, keyTwo
	}
	return keyTwo, keyOne
}

// callProbe requests the state of a probed job with the other tenant's key.
func (c *callerPool) callProbe(id fleet.JobID) (int, []byte) {
	if !isProbed(id) {
		return 0, nil
	}
	_, foreign := keysOf(id)
	return c.callAs(foreign, c.probedHost(id), http.MethodGet, id, nil)
}

// probedHost returns the host of a probe. It draws no number: the faults and jobs of a seed
// don't depend on probes.
func (c *callerPool) probedHost(id fleet.JobID) *hostProcess { return c.hosts[int(id[1])%len(c.hosts)] }

// call sends one request of a job's tenant to a random host.
func (c *callerPool) call(method string, id fleet.JobID, body []byte) (int, []byte) {
	own, _ := keysOf(id)
	h := c.hosts[draw(c, func(r *rand.Rand) int { return r.IntN(len(c.hosts)) })]
	return c.callAs(own, h, method, id, body)
}

// callAs sends one request with a key. A status of 0 means no answer. The host may be out of
// touch at any time.
func (c *callerPool) callAs(key string, h *hostProcess, method string, id fleet.JobID, body []byte) (int, []byte) {
	sent := time.Now()
	status, data := c.exchange(key, h, method, id, body)
	c.keys.Judge(key, sent, time.Now(), status, 0)
	return status, data
}

func (c *callerPool) exchange(key string, h *hostProcess, method string, id fleet.JobID, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+h.callersAddress+wire.CallersPrefix+string(id), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = wire.CallersHost
	req.Header.Set("X-Api-Key", key)
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

// awaitEnd polls all accepted jobs until they have ended or the time is up, and
// returns those that have not ended.
func (c *callerPool) awaitEnd(timeout time.Duration) []fleet.JobID {
	deadline := time.Now().Add(timeout)
	for {
		var unfinished []fleet.JobID
		c.mu.Lock()
		for id, job := range c.accepted {
			if job.final == "" {
				unfinished = append(unfinished, id)
			}
		}
		c.mu.Unlock()
		if len(unfinished) == 0 || time.Now().After(deadline) {
			return unfinished
		}
		for _, id := range unfinished {
			c.poll(id)
		}
		time.Sleep(pollInterval)
	}
}
