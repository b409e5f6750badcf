package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// unansweredStart is a start that got no answer and may still be executed.
//
// Invariant: until it can't be any more, its task starts on its worker only, and the worker
// is not allowed to forget how runs of the task have ended. The incarnation that has answered a stop refuses
// the late start. A later one may execute it before it knows a fencing token, but then
// everything has ended with the earlier one: the run that took the place of the late one, and
// the ends that nobody has acknowledged.
type unansweredStart struct {
	task   *task
	worker fleet.WorkerID
	run    int // 0: one that a former owner has started
	until  time.Duration
}

// unansweredMarkStep is the step in which the time up to which a worker's record covers
// unanswered starts grows, to save writes.
const unansweredMarkStep = 4 * time.Second

// UnansweredEnd is when starts of former owners without an answer are not executed any more, in
// milliseconds after the claim of a term was made.
type UnansweredEnd struct {
	Term    int   `json:"Term"`
	AfterMS int64 `json:"AfterMS"`
}

// isAfter reports whether an end is later than another one of the same or an earlier term.
func (e UnansweredEnd) isAfter(o UnansweredEnd) bool {
	return e.Term > o.Term || e.Term == o.Term && e.AfterMS > o.AfterMS
}

// recordUnanswered records that a start may be executed until a time although it got no answer. Copies
// of a speculative step may run beside each other.
func (m *Machine) recordUnanswered(t *task, w *worker, number int, until, now time.Duration) {
	if t.step.Speculative || now >= until || w.isGone(m.startedAt, now) {
		return
	}
	u := &unansweredStart{task: t, worker: w.ID, run: number, until: until}
	t.unanswered = append(t.unanswered, u)
	w.unanswered = append(w.unanswered, u)
	if t.step.Gang {
		t.step.unansweredUntil = max(t.step.unansweredUntil, until)
	}
	m.emit("start_may_be_late", t.job.ID, "task", t.name, "run", number, "worker", w.ID, "for", until-now)
}

// settle records that a worker has executed a start, so that it is not executed later.
func (t *task) settle(id fleet.WorkerID, number int) {
	t.unanswered = slices.DeleteFunc(t.unanswered, func(u *unansweredStart) bool {
		settled := u.worker == id && u.run == number
		if settled {
			u.until = 0
		}
		return settled
	})
}

// mayStartOn reports whether no unanswered start of the task may be executed on another worker.
func (t *task) mayStartOn(id fleet.WorkerID) bool {
	return !slices.ContainsFunc(t.unanswered, func(u *unansweredStart) bool { return u.worker != id })
}

// mayReplaceUnanswered reports whether a run that takes the place of unanswered starts of a task
// may start on their worker: the next owner has to know of them.
func (m *Machine) mayReplaceUnanswered(t *task, w *worker) bool {
	if !t.mayStartOn(w.ID) {
		return false
	}
	recorded := m.unansweredEnd(w.record.stored)
	return !slices.ContainsFunc(t.unanswered, func(u *unansweredStart) bool { return u.until > recorded })
}

// isBound reports whether an unanswered start of a task may be executed on its worker, whose record says
// until when.
func (m *Machine) isBound(t *task) bool {
	if len(t.unanswered) == 0 {
		return false
	}
	w, ok := m.workers[t.worker()]
	return ok && m.mayReplaceUnanswered(t, w)
}

// boundNeed returns the resources kept free on the worker for the waiting tasks, other than t, that may start
// nowhere else.
func (w *worker) boundNeed(t *task) fleet.Resources {
	var sum fleet.Resources
	for _, u := range w.unanswered {
		o := u.task
		if o == t || o.done || len(o.runs) > 0 || o.job.state.Final() || len(o.unanswered) == 0 || o.unanswered[0] != u {
			continue
		}
		need := o.step.Need
		if o.step.BestEffort {
			need.MilliCores = 0
		}
		sum = sum.Add(need)
	}
	return sum
}

// unansweredEnd returns the time up to which marks cover unanswered starts, on this owner's clock.
func (m *Machine) unansweredEnd(marks WorkerMarks) time.Duration {
	end := marks.Unanswered
	after := time.Duration(end.AfterMS) * time.Millisecond
	switch end.Term {
	case 0:
		return 0
	case m.term:
		return m.claimedAt + after
	default:
		return min(m.afterClaim(end.Term, after), m.startedAt+maxOrderDelay+unansweredMarkStep)
	}
}

// markUnanswered returns the marks with a later UnansweredEnd if they don't cover all unanswered
// starts on a worker, and without it once it has passed: an owner that has not seen the claim of that
// term counts from its own start.
func (m *Machine) markUnanswered(w *worker, marks WorkerMarks, now time.Duration) WorkerMarks {
	var until time.Duration
	for _, u := range w.unanswered {
		until = max(until, u.until)
	}
	switch marked := m.unansweredEnd(marks); {
	case now >= max(until, marked):
		marks.Unanswered = UnansweredEnd{}
	case until > marked:
		steps := (until - m.claimedAt + unansweredMarkStep - 1) / unansweredMarkStep
		marks.Unanswered = UnansweredEnd{Term: m.term, AfterMS: (steps * unansweredMarkStep).Milliseconds()}
	}
	return marks
}

// expireUnanswered drops the starts on a worker that are not executed any more.
func (m *Machine) expireUnanswered(w *worker, now time.Duration) {
	if len(w.unanswered) == 0 {
		return
	}
	gone := w.isGone(m.startedAt, now)
	w.unanswered = slices.DeleteFunc(w.unanswered, func(u *unansweredStart) bool {
		if now < u.until && !gone {
			return false
		}
		u.until = 0
		t := u.task
		t.unanswered = slices.DeleteFunc(t.unanswered, func(o *unansweredStart) bool { return o == u })
		if !t.done && len(t.runs) == 0 {
			t.job.recordPlacementEnd(now) // it names the worker
		}
		return true
	})
}

// isGone reports whether a worker is gone for good, for an owner that started at a time.
func (w *worker) isGone(startedAt, now time.Duration) bool {
	return w.replaced || !w.listed && now >= w.goneAt(startedAt)
}

// goneAt returns when a worker without an entry is gone for good, for an owner that started at a time.
func (w *worker) goneAt(startedAt time.Duration) time.Duration {
	return max(w.unlistedAt, startedAt) + entryReturnTime
}

// withheldUntil returns until when a worker must not forget an end, or 0. t is nil for a job that the owner
// doesn't know. If a former one has stored that the job or the task has ended, nothing tells for
// which of the unanswered starts on the worker the end has to be kept.
func (w *worker) withheldUntil(t *task, e workload.EndedRun) time.Duration {
	if e.Outcome != workload.OutcomeDone && e.Outcome != workload.OutcomeFailed {
		return 0
	}
	if t == nil || t.done {
		return w.formerUnansweredEnd
	}
	if t.step.Speculative {
		return 0
	}
	var until time.Duration
	if t.step.Gang {
		until = max(until, t.step.unansweredUntil)
	}
	for _, u := range t.unanswered {
		until = max(until, u.until)
	}
	return until
}

// WithholdsAcknowledgement reports whether a worker must not forget the next end that it lists yet
// because the task may be started late.
func (m *Machine) WithholdsAcknowledgement(id fleet.WorkerID) bool {
	w, ok := m.workers[id]
	return ok && len(w.unacknowledged) > 0 && w.unacknowledged[0].withheldUntil > 0
}

// endWithholding allows a worker to forget the ends that were withheld until now.
func (w *worker) endWithholding(now time.Duration) {
	for i := range w.unacknowledged {
		if e := &w.unacknowledged[i]; now >= e.withheldUntil {
			e.withheldUntil = 0
		}
	}
}
