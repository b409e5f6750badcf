package dev

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	callerTimeout    = 5 * time.Second
	callInterval     = 5 * time.Millisecond
	nonIdempotentPct = 30
	headerOutcome    = "Fuchsiahill-Outcome"
	headerReason     = "Fuchsiahill-Reason"
	headerRequestID  = "Fuchsiahill-Request-Id"
	headerIdempotent = "Fuchsiahill-Idempotent"
	outcomeAnswered  = "answered"
	outcomeNotRun    = "not-run"
)

// addressSource returns the addresses that callers may send to, as the
// platform's load balancer does: those of the entry hosts whose readiness probe
// succeeds.
type addressSource func() []string

// call is one request as its caller saw it.
type call struct {
	id         string
	idempotent bool
	outcome    string // from the header; "" without a complete answer
	reason     string // from the header
	complete   bool   // the body is the complete answer to this request
	latency    time.Duration
	resent     bool // the ID was sent before
}

// tally collects calls. Safe for concurrent use.
type tally struct {
	mu    sync.Mutex
	calls []call
}

func (t *tally) add(c call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, c)
}

// result counts the calls; runs holds how often servers ran each request.
func (t *tally) result(runs map[string]int) (Requests, Latency) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Requests{Sent: len(t.calls), Reasons: make(map[string]int)}
	for _, c := range t.calls {
		if c.resent {
			r.Resent++
		}
	}
	var latencies []time.Duration
	for _, c := range t.calls {
		switch c.outcome {
		case outcomeAnswered:
			r.Answered++
			latencies = append(latencies, c.latency)
		case outcomeNotRun:
			r.Refused++
		default:
			r.Unknown++
		}
		if c.outcome == "" {
			r.Cut++
		}
		if c.reason != "" {
			r.Reasons[c.reason]++
		}
		if c.wrong(runs[c.id]) {
			r.Wrong++
		}
	}
	return r, quantiles(latencies)
}

func (c call) wrong(runs int) bool {
	switch {
	case c.outcome == outcomeAnswered && !c.complete:
		return true
	case c.outcome == outcomeNotRun && runs > 0:
		return true
	default:
		return !c.idempotent && runs > 1
	}
}

// caller sends requests one after the other.
type caller struct {
	addresses addressSource
	client    *http.Client
	random    *rand.Rand
	tally     *tally
}

func newCaller(a addressSource, t *tally, seed uint64) *caller {
	return &caller{
		addresses: a,
		client:    &http.Client{Timeout: callerTimeout, Transport: &http.Transport{}},
		random:    rand.New(rand.NewPCG(seed, seed)),
		tally:     t,
	}
}

func (c *caller) run(ctx context.Context) {
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.client.CloseIdleConnections()
			return
		case <-ticker.C:
			c.request()
		}
	}
}

// request makes one request. A non-idempotent request whose outcome is unknown
// is sent once more under the same ID, to another host if there is one.
func (c *caller) request() {
	first, ok := c.pick("")
	if !ok {
		return
	}
	result := c.send(first)
	c.tally.add(result)
	if result.idempotent || result.isFinal() {
		return
	}
	if other, ok := c.pick(first); ok {
		c.tally.add(c.exchange(other, call{id: result.id, resent: true}))
	}
}

// pick returns a random address, other than avoid if there is another.
func (c *caller) pick(avoid string) (string, bool) {
	known := c.addresses()
	if len(known) == 0 {
		return "", false
	}
	i := c.random.IntN(len(known))
	if known[i] == avoid {
		i = (i + 1) % len(known)
	}
	return known[i], true
}

// isFinal reports whether the outcome says if the request was run.
func (c call) isFinal() bool { return c.outcome == outcomeAnswered || c.outcome == outcomeNotRun }

// send sends one request under a new ID.
func (c *caller) send(address string) call {
	id, err := uuid.NewV7()
	if err != nil {
		return call{}
	}
	return c.exchange(address, call{id: id.String(), idempotent: c.random.IntN(100) >= nonIdempotentPct})
}

// exchange sends a request and returns it with its result. It is not cancelled
// when the load ends, so that the verdict covers completed exchanges only.
func (c *caller) exchange(address string, result call) call {
	body := fmt.Sprintf("invoice %s", result.id)
	url := fmt.Sprintf("http://%s/svc/%s/check", address, serviceName)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return result
	}
	req.GetBody = nil // keeps the transport from retrying
	req.Header.Set(headerRequestID, result.id)
	req.Header.Set(headerIdempotent, fmt.Sprint(result.idempotent))
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return result
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return result
	}
	result.latency = time.Since(start)
	result.outcome = resp.Header.Get(headerOutcome)
	result.reason = resp.Header.Get(headerReason)
	want := fmt.Sprintf(" request=%s body=%s\n", result.id, body)
	result.complete = strings.HasPrefix(string(text), "server=") && strings.HasSuffix(string(text), want)
	return result
}
