package cell

import (
	"errors"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// handleResult processes the result of a call that was sent at sentAt and whose
// answer arrived, or whose timeout expired, at now.
func (s *session) handleResult(w *worker, c *call, report inventory.WorkerReport, err error, sentAt, now time.Time) {
	var refused *inventory.RefusedError
	defer s.logRecovered(w, w.unresponsive)
	switch {
	case errors.As(err, &refused):
		s.handleRefusal(w, c, refused, sentAt, now)
	case err != nil || report.Worker != w.id:
		// This worker did not answer. A later report shows whether the call
		// took effect.
		s.handleNoAnswer(w, c, now)
	default:
		w.unresponsive = false
		w.lease.recordAnswer(sentAt, now)
		if c.renew != nil {
			for _, ref := range c.renew.Forget {
				delete(w.forget, ref)
			}
		}
		s.handleReport(w, report, sentAt)
	}
}

// logRecovered logs that a worker answers again.
func (s *session) logRecovered(w *worker, wasUnresponsive bool) {
	if wasUnresponsive && !w.unresponsive {
		s.logger.Log("event", "worker_answers", "worker", w.id)
	}
}

func (s *session) handleNoAnswer(w *worker, c *call, now time.Time) {
	s.vars.Add(varWorkerCallsUnanswered, 1)
	if !w.unresponsive {
		w.unresponsive = true
		s.logger.Log("event", "worker_silent", "worker", w.id, "op", c.op())
	}
	if next := now.Add(unansweredRetryDelay); next.Before(w.lease.nextRenewal) {
		w.lease.nextRenewal = next
	}
}

func (c *call) op() string {
	switch {
	case c.start != nil:
		return "start"
	case c.renew != nil:
		return "renew"
	case c.stop != nil:
		return "stop"
	default:
		return "throttle"
	}
}

// handleRefusal processes a refusal. It counts as an answer of the worker to
// this owner's token, unless the worker has accepted a higher token.
func (s *session) handleRefusal(w *worker, c *call, refused *inventory.RefusedError, sentAt, now time.Time) {
	if refused.Reason == inventory.RefusedFenced {
		if refused.Token > s.owner.Epoch {
			s.reportFenced(&FencedError{Worker: w.id, Token: refused.Token})
		}
		return
	}
	w.unresponsive = false
	w.lease.recordAnswer(sentAt, now)
	if c.start != nil {
		s.handleStartRefusal(c.start, refused.Reason)
		return
	}
	if c.renew == nil && w.lease.nextRenewal.After(now) {
		w.lease.nextRenewal = now // its report shows which attempts the worker has
	}
}

func (s *session) handleStartRefusal(req *inventory.StartRequest, reason inventory.RefusalReason) {
	ref := inventory.AttemptRef{Task: req.Task, Attempt: req.Attempt}
	a, r := s.machine.find(ref), s.runs[ref]
	if a == nil || r == nil || a.Phase != phasePlaced {
		return
	}
	s.decideEnd(notRunOutcome(a, r, string(reason)))
}

func (s *session) reportFenced(err *FencedError) {
	select {
	case s.fenced <- err:
	default:
	}
}

// handleReport processes the report in the answer to a call that was sent at
// sentAt.
func (s *session) handleReport(w *worker, report inventory.WorkerReport, sentAt time.Time) {
	w.used = report.Used
	listed := make(map[inventory.AttemptRef]bool, len(report.Tasks))
	for _, st := range report.Tasks {
		listed[st.AttemptRef] = true
		s.handleStatus(w, st, sentAt)
	}
	for _, a := range s.machine.onWorker(w.id) {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || listed[a.Task.AttemptRef] {
			continue
		}
		if report.Partial {
			r.lastRunningAt = sentAt // a partial report lists every end
			continue
		}
		if r.placedHere && !r.startSent {
			continue
		}
		if o, ended := unlistedOutcome(a, r, sentAt); ended {
			s.decideEnd(o)
		}
	}
}

func (s *session) handleStatus(w *worker, st inventory.TaskStatus, sentAt time.Time) {
	ref := st.AttemptRef
	a := s.machine.find(ref)
	if a == nil || a.Phase == phaseWaiting || a.Placement.Worker != w.id {
		s.handleUnknownAttempt(w, st)
		return
	}
	r := s.runs[ref]
	if a.Phase != phasePlaced || r == nil {
		return // ended; the next renewal tells the worker to forget it once the end is durable
	}
	first := r.firstSeenAt.IsZero()
	r.observe(st, sentAt)
	if st.State.Final() {
		o := reportedOutcome(a, r, st)
		if o.Kind == delegation.OutcomeFinished && !first && !s.isEndDecided(a.Task.AttemptRef) {
			s.recordRunTime(a, r, sentAt)
		}
		s.decideEnd(o)
		return
	}
	if first {
		s.pendingStarts[a.Task.Queue] = append(s.pendingStarts[a.Task.Queue], ref)
	}
}

// handleUnknownAttempt processes an attempt that a worker lists and the journal
// does not contain for this worker: it is stopped and then forgotten.
func (s *session) handleUnknownAttempt(w *worker, st inventory.TaskStatus) {
	if st.State.Final() {
		delete(w.unknown, st.AttemptRef)
		w.forget[st.AttemptRef] = true
		return
	}
	w.unknown[st.AttemptRef] = true
	s.logger.Log("event", "unknown_attempt", "worker", w.id, "task", st.Task, "attempt", st.Attempt)
}
