package cell

import (
	"context"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

const (
	repeatInterval       = time.Second            // between two stop or throttle calls for one attempt
	unansweredRetryDelay = 500 * time.Millisecond // from an unanswered call to the next renewal
	agentInterval        = 250 * time.Millisecond // longest time between two checks for a due call
)

// worker is the session's state of one worker, beyond what the journal holds.
type worker struct {
	id           fleet.WorkerID
	address      string
	hasAgent     bool
	lease        lease
	used         fleet.Resources               // as last reported
	forget       map[inventory.AttemptRef]bool // attempts that have durably ended; the worker may forget them
	unknown      map[inventory.AttemptRef]bool // attempts running there that are not in the journal
	probeAt      time.Time                     // time of the next probe while the worker does not answer
	unresponsive bool                          // the last call was not answered
	wake         chan struct{}
}

func newWorker(id fleet.WorkerID, now, predecessorsStopAt time.Time) *worker {
	return &worker{
		id:      id,
		lease:   newLease(now, predecessorsStopAt),
		forget:  make(map[inventory.AttemptRef]bool),
		unknown: make(map[inventory.AttemptRef]bool),
		wake:    make(chan struct{}, 1),
	}
}

// wakeAgent makes the worker's agent check for a due call now.
func (s *session) wakeAgent(id fleet.WorkerID) {
	w := s.workers[id]
	if w == nil {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// agent makes the calls to one worker until ctx ends. Calls do not overlap, so
// reports arrive in the order in which the calls were sent.
func (s *session) agent(ctx context.Context, w *worker) {
	ticker := time.NewTicker(agentInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if s.makeNextCall(ctx, w) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-w.wake:
		}
	}
}

// makeNextCall makes the next due call and reports whether there was one.
func (s *session) makeNextCall(ctx context.Context, w *worker) bool {
	s.mu.Lock()
	c := s.nextCall(w, time.Now())
	address := w.address
	s.mu.Unlock()
	if c == nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.vars.Add(varWorkerCalls, 1)
	sentAt := time.Now()
	report, err := c.do(callCtx, s.deps.Workers, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handleResult(w, c, report, err, sentAt, time.Now())
	return true
}

// call is one call to a worker. Exactly one request is set.
type call struct {
	start    *inventory.StartRequest
	renew    *inventory.RenewRequest
	stop     *inventory.StopRequest
	throttle *inventory.ThrottleRequest
}

func (c *call) do(ctx context.Context, control inventory.WorkerControl, address string) (inventory.WorkerReport, error) {
	switch {
	case c.start != nil:
		return control.Start(ctx, address, *c.start)
	case c.renew != nil:
		return control.Renew(ctx, address, *c.renew)
	case c.stop != nil:
		return control.Stop(ctx, address, *c.stop)
	default:
		return control.Throttle(ctx, address, *c.throttle)
	}
}

// nextCall returns the call to w that is due at now and records it as sent, or
// returns nil. A due renewal goes first, so that no lease expires while other
// calls are made.
func (s *session) nextCall(w *worker, now time.Time) *call {
	placed := s.machine.onWorker(w.id)
	ttl := s.leaseTTL(placed)
	if c := s.nextRenewal(w, now, ttl, placed); c != nil {
		return c
	}
	if !w.lease.isReachable(now, ttl) {
		return s.nextProbe(w, now, ttl, placed)
	}
	if c := s.nextStart(w, now, ttl, placed); c != nil {
		return c
	}
	if c := s.nextStop(w, now, placed); c != nil {
		return c
	}
	return s.nextThrottle(now, placed)
}

func (s *session) nextRenewal(w *worker, now time.Time, ttl time.Duration, placed []*attempt) *call {
	hasTasks := len(placed) > 0
	confirmed := now.Sub(s.lastDurableAt) < MaxUnconfirmedOwnership
	if !hasTasks && !s.members.isCallable(w.id) {
		return nil
	}
	if !confirmed || !w.lease.mayRenew(now, ttl, hasTasks) {
		return nil
	}
	if now.Before(w.lease.nextRenewal) && !s.isPollDue(w, now, ttl, placed) {
		return nil
	}
	req := &inventory.RenewRequest{
		Cell:    string(s.id),
		Token:   s.owner.Epoch,
		LeaseMS: ttl.Milliseconds(),
	}
	req.DeadlineMS = w.lease.recordRenewal(now, ttl).UnixMilli()
	for ref := range w.forget {
		req.Forget = append(req.Forget, ref)
	}
	return &call{renew: req}
}

// nextProbe returns a call that probes a worker that does not answer without
// extending a lease: it sets the throttle of a task to its current value.
func (s *session) nextProbe(w *worker, now time.Time, ttl time.Duration, placed []*attempt) *call {
	if len(placed) == 0 || w.lease.mayRenew(now, ttl, true) || now.Before(w.probeAt) {
		return nil
	}
	w.probeAt = now.Add(ttl / renewFraction)
	a := placed[0]
	share := 1.0
	if r := s.runs[a.Task.AttemptRef]; r != nil && !r.firstSeenAt.IsZero() {
		share = r.status.Share
	}
	return s.throttleCall(a, share)
}

func (s *session) throttleCall(a *attempt, share float64) *call {
	return &call{throttle: &inventory.ThrottleRequest{
		AttemptRef: a.Task.AttemptRef,
		Cell:       string(s.id),
		Token:      s.owner.Epoch,
		Share:      share,
	}}
}

func (s *session) nextStop(w *worker, now time.Time, placed []*attempt) *call {
	for ref := range w.unknown {
		delete(w.unknown, ref) // the next report shows whether the stop has to be repeated
		return s.stopCall(ref, false)
	}
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || !r.stopping || r.firstSeenAt.IsZero() || now.Sub(r.stopSentAt) < repeatInterval || s.isEndDecided(a.Task.AttemptRef) {
			continue
		}
		r.stopSentAt = now
		withinGrace := now.Before(r.stopBy)
		return s.stopCall(a.Task.AttemptRef, withinGrace && !a.Cancelled)
	}
	return nil
}

// isEndDecided reports whether the end of the attempt is decided, even if its
// journal entry is still missing or in progress.
func (s *session) isEndDecided(ref inventory.AttemptRef) bool {
	if r := s.runs[ref]; r != nil && r.endDecided {
		return true
	}
	_, decided := s.pendingEnds[ref]
	return decided
}

func (s *session) stopCall(ref inventory.AttemptRef, checkpoint bool) *call {
	return &call{stop: &inventory.StopRequest{
		AttemptRef: ref,
		Cell:       string(s.id),
		Token:      s.owner.Epoch,
		Checkpoint: checkpoint,
	}}
}

// nextStart returns the start call of an attempt that this owner placed. The
// state of the data centre is checked here, immediately before sending, and the
// deadline limits how long that check remains valid.
func (s *session) nextStart(w *worker, now time.Time, ttl time.Duration, placed []*attempt) *call {
	// The time of confirmation must be read before the settings that it
	// confirms.
	confirmed := s.deps.Settings.ConfirmedAt()
	if !s.isInService() {
		return nil
	}
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || !r.placedHere || !r.durable || r.startSent || r.stopping {
			continue
		}
		deadline, ok := startDeadline(now, confirmed, time.UnixMilli(a.Placement.StartByMS))
		if !ok {
			continue
		}
		r.startSent = true
		r.startDeadline = deadline
		w.lease.recordSent(deadline, ttl)
		return s.startCall(a, deadline, ttl)
	}
	return nil
}

func (s *session) startCall(a *attempt, deadline time.Time, ttl time.Duration) *call {
	return &call{start: &inventory.StartRequest{
		Task:       a.Task.Task,
		Attempt:    a.Task.Attempt,
		Cell:       string(s.id),
		Token:      s.owner.Epoch,
		DeadlineMS: deadline.UnixMilli(),
		LeaseMS:    ttl.Milliseconds(),
		Class:      a.Task.Class,
		Resources:  a.Placement.Size,
		Command:    a.Task.Command,
		Checkpoint: a.Task.Checkpoint,
	}}
}

func (s *session) nextThrottle(now time.Time, placed []*attempt) *call {
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || r.targetShare == 0 || r.firstSeenAt.IsZero() || r.stopping || s.isEndDecided(a.Task.AttemptRef) {
			continue
		}
		if r.targetShare == r.status.Share || now.Sub(r.throttleSentAt) < repeatInterval {
			continue
		}
		r.throttleSentAt = now
		return s.throttleCall(a, r.targetShare)
	}
	return nil
}
