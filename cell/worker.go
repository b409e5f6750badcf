package cell

import (
	"context"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

const (
	repeatInterval = time.Second            // between two stops or throttles of one attempt
	resolveDelay   = 500 * time.Millisecond // from a call without answer to the next renewal
	agentInterval  = 250 * time.Millisecond // longest time between two looks at the state
)

// worker is what the session knows of one worker, besides the journal.
type worker struct {
	id       fleet.WorkerID
	address  string
	hasAgent bool
	lease    lease
	used     fleet.Resources               // as last reported
	forget   map[inventory.AttemptRef]bool // durable ends
	foreign  map[inventory.AttemptRef]bool // running there, not in the journal
	probeAt  time.Time                     // next probe while silent
	silent   bool                          // the last call was not answered
	wake     chan struct{}
}

func newWorker(id fleet.WorkerID, now, others time.Time) *worker {
	return &worker{
		id:      id,
		lease:   newLease(now, others),
		forget:  make(map[inventory.AttemptRef]bool),
		foreign: make(map[inventory.AttemptRef]bool),
		wake:    make(chan struct{}, 1),
	}
}

// wakeWorker makes the worker's agent look at the state now.
func (s *session) wakeWorker(id fleet.WorkerID) {
	w := s.workers[id]
	if w == nil {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// agent makes the calls to one worker, one at a time, until ctx ends. Since
// calls do not overlap, reports arrive in the order in which their calls were
// sent.
func (s *session) agent(ctx context.Context, w *worker) {
	ticker := time.NewTicker(agentInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if s.step(ctx, w) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-w.wake:
		}
	}
}

// step makes the next call that is due and reports whether there was one.
func (s *session) step(ctx context.Context, w *worker) bool {
	s.mu.Lock()
	c := s.nextCall(w, time.Now())
	address := w.address
	s.mu.Unlock()
	if c == nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.vars.Add(varCalls, 1)
	sentAt := time.Now()
	report, err := c.do(callCtx, s.deps.Workers, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered(w, c, report, err, sentAt, time.Now())
	return true
}

// call is one call to a worker; exactly one request is set.
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

// nextCall decides which call to w is due at now and notes it as sent, or
// returns nil. A due renewal goes first, so that no lease lapses behind other
// calls.
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
	confirmed := now.Sub(s.durableAt) < MaxUnconfirmedOwnership
	if !hasTasks && !s.members.isCallable(w.id) {
		return nil
	}
	if !confirmed || !w.lease.mayRenew(now, ttl, hasTasks) {
		return nil
	}
	if now.Before(w.lease.nextRenewal) && !s.isLookDue(w, now, ttl, placed) {
		return nil
	}
	req := &inventory.RenewRequest{
		Cell:    string(s.id),
		Token:   s.owner.Epoch,
		LeaseMS: ttl.Milliseconds(),
	}
	req.DeadlineMS = w.lease.renewing(now, ttl).UnixMilli()
	for ref := range w.forget {
		req.Forget = append(req.Forget, ref)
	}
	return &call{renew: req}
}

// nextProbe asks a silent worker for a sign of life by a call that extends no
// lease: it sets the throttle of a task to what it is.
func (s *session) nextProbe(w *worker, now time.Time, ttl time.Duration, placed []*attempt) *call {
	if len(placed) == 0 || w.lease.mayRenew(now, ttl, true) || now.Before(w.probeAt) {
		return nil
	}
	w.probeAt = now.Add(ttl / renewFraction)
	a := placed[0]
	share := 1.0
	if r := s.runs[a.Task.AttemptRef]; r != nil && !r.seen.IsZero() {
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
	for ref := range w.foreign {
		delete(w.foreign, ref) // the next report tells whether it has to be repeated
		return s.stopCall(ref, false)
	}
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || !r.stopping || r.seen.IsZero() || now.Sub(r.stopSent) < repeatInterval || s.isDecided(a.Task.AttemptRef) {
			continue
		}
		r.stopSent = now
		withinGrace := now.Before(r.stopBy)
		return s.stopCall(a.Task.AttemptRef, withinGrace && !a.Cancelled)
	}
	return nil
}

// isDecided reports whether the attempt has ended and only its journal entry
// is missing or under way.
func (s *session) isDecided(ref inventory.AttemptRef) bool {
	if r := s.runs[ref]; r != nil && r.decided {
		return true
	}
	_, decided := s.ends[ref]
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

// nextStart returns the start of an attempt that this owner placed. The state
// of the data centre is looked at here, at the moment of sending, and the
// deadline bounds how long that look counts.
func (s *session) nextStart(w *worker, now time.Time, ttl time.Duration, placed []*attempt) *call {
	// The time of confirmation is read before the settings that it confirms.
	confirmed := s.deps.Settings.ConfirmedAt()
	if !s.isIn() {
		return nil
	}
	for _, a := range placed {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || !r.own || !r.durable || r.sent || r.stopping {
			continue
		}
		deadline, ok := startDeadline(now, confirmed, time.UnixMilli(a.Placement.StartByMS))
		if !ok {
			continue
		}
		r.sent = true
		r.deadline = deadline
		w.lease.sent(deadline, ttl)
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
		if r == nil || r.wantShare == 0 || r.seen.IsZero() || r.stopping || s.isDecided(a.Task.AttemptRef) {
			continue
		}
		if r.wantShare == r.status.Share || now.Sub(r.shareSent) < repeatInterval {
			continue
		}
		r.shareSent = now
		return s.throttleCall(a, r.wantShare)
	}
	return nil
}
