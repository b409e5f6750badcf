package cell

import (
	"errors"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// answered takes the result of a call that was sent at sentAt.
func (s *session) answered(w *worker, c *call, report inventory.WorkerReport, err error, sentAt, now time.Time) {
	var refused *inventory.RefusedError
	defer s.logReturn(w, w.silent)
	switch {
	case errors.As(err, &refused):
		s.refused(w, c, refused, sentAt, now)
	case err != nil || report.Worker != w.id:
		// No word from this worker: whether the call took effect shows in a
		// later report.
		s.unanswered(w, c, now)
	default:
		w.silent = false
		w.lease.answer(sentAt, now)
		if c.renew != nil {
			for _, ref := range c.renew.Forget {
				delete(w.forget, ref)
			}
		}
		s.takeReport(w, report, sentAt)
	}
}

// logReturn logs that a silent worker has answered.
func (s *session) logReturn(w *worker, wasSilent bool) {
	if wasSilent && !w.silent {
		s.logger.Log("event", "worker_answers", "worker", w.id)
	}
}

func (s *session) unanswered(w *worker, c *call, now time.Time) {
	s.vars.Add(varUnanswered, 1)
	if !w.silent {
		w.silent = true
		s.logger.Log("event", "worker_silent", "worker", w.id, "op", c.op())
	}
	if next := now.Add(resolveDelay); next.Before(w.lease.nextRenewal) {
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

// refused takes a refusal. It is an answer of the worker under this owner's
// token, unless the worker knows a later owner.
func (s *session) refused(w *worker, c *call, refused *inventory.RefusedError, sentAt, now time.Time) {
	if refused.Reason == inventory.RefusedFenced {
		if refused.Token > s.owner.Epoch {
			s.fence(&FencedError{Worker: w.id, Token: refused.Token})
		}
		return
	}
	w.silent = false
	w.lease.answer(sentAt, now)
	if c.start != nil {
		s.startRefused(c.start, refused.Reason)
		return
	}
	if c.renew == nil && w.lease.nextRenewal.After(now) {
		w.lease.nextRenewal = now // its report tells what the worker has
	}
}

func (s *session) startRefused(req *inventory.StartRequest, reason inventory.RefusalReason) {
	ref := inventory.AttemptRef{Task: req.Task, Attempt: req.Attempt}
	a, r := s.machine.find(ref), s.runs[ref]
	if a == nil || r == nil || a.Phase != phasePlaced {
		return
	}
	s.decide(notRun(a, r, string(reason)))
}

func (s *session) fence(err *FencedError) {
	select {
	case s.fenced <- err:
	default:
	}
}

// takeReport takes the report of a call that was sent at sentAt.
func (s *session) takeReport(w *worker, report inventory.WorkerReport, sentAt time.Time) {
	w.used = report.Used
	listed := make(map[inventory.AttemptRef]bool, len(report.Tasks))
	for _, st := range report.Tasks {
		listed[st.AttemptRef] = true
		s.takeStatus(w, st, sentAt)
	}
	for _, a := range s.machine.onWorker(w.id) {
		r := s.runs[a.Task.AttemptRef]
		if r == nil || listed[a.Task.AttemptRef] {
			continue
		}
		if report.Partial {
			r.running = sentAt // else its end would be listed
			continue
		}
		if r.own && !r.sent {
			continue
		}
		if o, ended := judgeMissing(a, r, sentAt); ended {
			s.decide(o)
		}
	}
}

func (s *session) takeStatus(w *worker, st inventory.TaskStatus, sentAt time.Time) {
	ref := st.AttemptRef
	a := s.machine.find(ref)
	if a == nil || a.Phase == phaseWaiting || a.Placement.Worker != w.id {
		s.takeForeign(w, st)
		return
	}
	r := s.runs[ref]
	if a.Phase != phasePlaced || r == nil {
		return // ended; the worker is told to forget it once that is durable
	}
	first := r.seen.IsZero()
	r.note(st, sentAt)
	if st.State.Final() {
		o := judgeListed(a, r, st)
		if o.End == delegation.EndFinished && !first && !s.isDecided(a.Task.AttemptRef) {
			s.learnRunTime(a, r, sentAt)
		}
		s.decide(o)
		return
	}
	if first {
		s.started[a.Task.Queue] = append(s.started[a.Task.Queue], ref)
	}
}

// takeForeign takes an attempt that the journal does not know: it is stopped
// and forgotten.
func (s *session) takeForeign(w *worker, st inventory.TaskStatus) {
	if st.State.Final() {
		delete(w.foreign, st.AttemptRef)
		w.forget[st.AttemptRef] = true
		return
	}
	w.foreign[st.AttemptRef] = true
	s.logger.Log("event", "unknown_attempt", "worker", w.id, "task", st.Task, "attempt", st.Attempt)
}
