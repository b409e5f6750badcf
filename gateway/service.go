package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fuchsiahill/fuchsiahill/backend"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/route"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

const (
	latencyWindows = 4
	latencyMin     = 10       // µs
	latencyMax     = 60 * 1e6 // µs
	latencyDigits  = 2        // significant
)

// service is the state of one service on this host.
//
// Invariant: a running ticket of the limiter belongs to a request that is about
// to pick a server, or to one slot in use of a pool.
type service struct {
	name fleet.Service

	mu      sync.Mutex
	values  settings.Resolved // for this host's data centre
	picker  *route.Picker
	limiter *route.Limiter
	budget  route.RetryBudget
	servers map[fleet.ServerID]*server // the candidates of picker
	window  *hdrhistogram.WindowedHistogram
}

func newService(name fleet.Service, now time.Time) *service {
	return &service{
		name:    name,
		picker:  route.NewPicker(newRand()),
		limiter: route.NewLimiter(now, route.Limits{}),
		servers: make(map[fleet.ServerID]*server),
		window:  hdrhistogram.NewWindowed(latencyWindows, latencyMin, latencyMax, latencyDigits),
	}
}

// update replaces the settings and the servers of the service.
func (s *service) update(now time.Time, values settings.Resolved, servers map[fleet.ServerID]*server, localDataCentre fleet.DataCentre) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = values
	s.servers = servers
	candidates := make([]route.Candidate, 0, len(servers))
	for id, srv := range servers {
		candidates = append(candidates, route.Candidate{
			ID:    id,
			Local: srv.info.DataCentre == localDataCentre,
			Slots: srv.info.Slots,
		})
	}
	s.picker.Update(now, candidates)
	s.syncLimits(now)
}

// syncLimits lets as many requests run as the candidates have slots, in addition
// to those that still use slots of other servers.
func (s *service) syncLimits(now time.Time) {
	slots := 0
	if s.picker.Capacity() > 0 {
		slots = s.picker.Capacity() + s.picker.Stranded()
	}
	s.limiter.SetLimits(now, route.Limits{
		Concurrency: min(s.values.Concurrency, slots),
		Queue:       s.values.QueueLength,
	})
}

func (s *service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncLimits(now)
	s.limiter.Expire(now)
}

func (s *service) rotate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.Rotate()
	for _, srv := range s.servers {
		srv.recent.rotate()
	}
}

func (s *service) load() member.ServiceLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return member.ServiceLoad{
		Slots:   s.picker.Capacity(),
		Free:    s.limiter.Free(),
		Waiting: s.limiter.Waiting(),
	}
}

func (s *service) latency() Latency {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.window.Merge()
	return Latency{
		P50:     time.Duration(h.ValueAtQuantile(50)) * time.Microsecond,
		P99:     time.Duration(h.ValueAtQuantile(99)) * time.Microsecond,
		Samples: h.TotalCount(),
	}
}

func (s *service) ejectedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.EjectedCount()
}

func (s *service) recordLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := min(max(d.Microseconds(), latencyMin), latencyMax)
	_ = s.window.Current.RecordValue(v) // in range
}

func (s *service) settings() settings.Resolved {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values
}

// tryAdmit admits a request if it can run without waiting.
func (s *service) tryAdmit(class route.Class) (*route.Ticket, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.TryAdmit(time.Now(), class)
}

// queueFullError returns the error for a request that can't be admitted.
func (s *service) queueFullError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &route.RefusedError{Reason: route.RefusedQueueFull, RetryAfter: s.limiter.RetryAfter(time.Now())}
}

// admit waits until a request may run. Errors are *route.RefusedError.
func (s *service) admit(ctx context.Context, class route.Class, deadline time.Time) (*route.Ticket, error) {
	s.mu.Lock()
	t := s.limiter.Admit(time.Now(), class, deadline)
	s.mu.Unlock()
	if err := s.wait(ctx, t, deadline); err != nil {
		return nil, err
	}
	if refusal := t.Refusal(); refusal != nil {
		return nil, refusal
	}
	return t, nil
}

// wait waits for the decision about a ticket, until ctx ends or the deadline
// passes.
func (s *service) wait(ctx context.Context, t *route.Ticket, deadline time.Time) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-t.Decided():
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	return s.cancelWait(t)
}

// cancelWait cancels the ticket of a caller that disconnected or whose deadline
// passed.
func (s *service) cancelWait(t *route.Ticket) error {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Cancel(now, t)
	return &route.RefusedError{Reason: route.RefusedDeadline, RetryAfter: s.limiter.RetryAfter(now)}
}

// attempt is one exchange with a picked server, which uses one slot.
type attempt struct {
	service *service
	target  *route.Server
	server  *server
	ticket  *route.Ticket
	slot    backend.Slot
	gateway *Gateway
}

// MaySend implements backend.Gate.
func (a *attempt) MaySend() bool { return a.gateway.maySend(a.server) }

// pick picks a server other than avoid for a running ticket and acquires one of
// its slots. The error is *NoServerError.
func (s *service) pick(t *route.Ticket, avoid fleet.ServerID, g *Gateway) (*attempt, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	target, ok := s.picker.Pick(now, avoid)
	if !ok {
		s.limiter.Cancel(now, t)
		return nil, &NoServerError{Service: s.name}
	}
	a := &attempt{service: s, target: target, server: s.servers[target.ID()], ticket: t, gateway: g}
	slot, ok := a.server.pool.TryAcquire(a.onSlotFree)
	if !ok {
		s.picker.Release(target)
		s.limiter.Cancel(now, t)
		return nil, &NoServerError{Service: s.name}
	}
	a.slot = slot
	return a, nil
}

// onSlotFree is called by the pool once the slot is free.
func (a *attempt) onSlotFree() {
	now := time.Now()
	s := a.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Release(a.target)
	s.limiter.Release(now, a.ticket)
	s.syncLimits(now)
}

// recordResult reports the result of the exchange to the picker.
func (a *attempt) recordResult(latency time.Duration, resp *backend.Response, err error) {
	now := time.Now()
	s := a.service
	class := resultOK
	switch {
	case err != nil:
		class = s.classify(err, latency)
	case resp.Status >= minFailedStatus:
		class = resultServerFailed
	}
	if class == resultConnectionLost {
		// The connection may have been lost rather than the server: the next
		// exchange uses a new connection, and only its failure counts.
		a.server.pool.CloseIdle(now)
		return
	}
	if class == resultIgnored {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.RecordResult(now, a.target, latency, class == resultServerFailed)
	if class == resultOK {
		a.server.recent.record(latency)
	}
	s.syncLimits(now)
}

// minFailedStatus is the lowest status that counts as a failure of the server.
const minFailedStatus = 500

// resultClass is what the result of an exchange shows about its server.
type resultClass int

const (
	resultOK             resultClass = iota
	resultServerFailed               // the server failed
	resultConnectionLost             // a reused connection failed
	resultIgnored                    // shows nothing about the server
)

// classify returns what a failed exchange shows about its server.
func (s *service) classify(err error, latency time.Duration) resultClass {
	var notRun *backend.NotRunError
	var unknown *backend.UnknownOutcomeError
	switch {
	case errors.As(err, &notRun):
		if notRun.Reason == backend.ReasonDial {
			return resultServerFailed
		}
		return resultIgnored
	case errors.As(err, &unknown):
		return classifyUnknown(unknown, latency, s.settings())
	}
	return resultIgnored
}

func classifyUnknown(err *backend.UnknownOutcomeError, latency time.Duration, v settings.Resolved) resultClass {
	switch err.Reason {
	case backend.ReasonCancelled, backend.ReasonRequestBody:
		return resultIgnored
	case backend.ReasonDeadline:
		// A caller that stopped waiting before the latency objective shows nothing
		// about the server.
		if latency < time.Duration(v.ObjectiveMS)*time.Millisecond {
			return resultIgnored
		}
	}
	if err.Reused && (err.Timeout() || err.Reason == backend.ReasonClosed) {
		return resultConnectionLost
	}
	return resultServerFailed
}

// takeRetry takes a retry from the budget and reports whether there was one.
func (s *service) takeRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.TryRetry(time.Now(), s.values.RetryBudgetPercent)
}

// recordRequest counts a request of a caller for the retry budget.
func (s *service) recordRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordRequest(time.Now())
}
