package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/platform"
)

const (
	// reportWait is how long a renewal waits for an end. Source: the gauge of
	// a serving task covers half a second.
	reportWait = 600 * time.Millisecond
	// commitUsual is how long a commit takes at most on a calm day.
	commitUsual = 15 * time.Millisecond
	// renewRetry follows a renewal that failed.
	renewRetry = 150 * time.Millisecond
	// clockRate is the slowest a worker's clock may run.
	clockRate = 0.98
	// clockBack, in ms, is more than two answers of one life can overtake each
	// other by.
	clockBack = 3000
	// leastLeft is the least lease left on a worker for a start.
	leastLeft = time.Second
)

// workerLoop renews the lease of one worker and knows its clock.
type workerLoop struct {
	id      fleet.WorkerID
	address string
	client  *platform.WorkerClient
	cancel  context.CancelFunc

	mu       sync.Mutex
	clockMS  int64         // of the worker
	clockAt  time.Duration // when clockMS was received
	deadline int64         // newest deadline sent, on the worker's clock
	answered bool          // a renewal with the newest deadline was answered
	bornMS   int64         // of the life that answered last
	// token is the newest fencing token of orders to it. It rises with each
	// life, so that an order to the life before that comes late is refused:
	// it would meet a clock that has started anew.
	token int64
}

// tokensPerTerm separates the tokens of two owners.
const tokensPerTerm = 1000

// syncWorkers keeps a loop for each worker. r.mu is held.
func (r *reign) syncWorkers(ctx context.Context) {
	addresses := r.machine.Addresses()
	for id, w := range r.workers {
		if addresses[id] != w.address {
			w.cancel()
			w.client.Close()
			delete(r.workers, id)
		}
	}
	for id, address := range addresses {
		if _, ok := r.workers[id]; ok {
			continue
		}
		loopCtx, cancel := context.WithCancel(ctx)
		w := &workerLoop{id: id, address: address, client: platform.NewWorkerClient(id, address), cancel: cancel, answered: true, token: int64(r.term) * tokensPerTerm}
		r.workers[id] = w
		go r.renewWorker(loopCtx, w)
	}
}

// noteClock takes in the worker's clock from an answer.
func (w *workerLoop) noteClock(clockMS int64, now time.Duration) {
	if clockMS == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if clockMS < w.clockMS-clockBack {
		// Another life: its clock starts anew, and no deadline of before holds.
		w.deadline, w.answered = 0, true
	}
	w.clockMS, w.clockAt = clockMS, now
}

// noteLife takes in which life has answered, and reports whether it is a new
// one.
func (w *workerLoop) noteLife(bornMS int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	reborn := bornMS > w.bornMS && w.bornMS != 0
	if reborn {
		w.token++
		w.clockMS, w.deadline, w.answered = 0, 0, true
	}
	w.bornMS = max(w.bornMS, bornMS)
	return reborn
}

// newestToken returns the token for an order.
func (w *workerLoop) newestToken() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.token
}

// clock is the least that the worker's clock shows now. w.mu is held.
func (w *workerLoop) clock(now time.Duration) int64 {
	if w.clockMS == 0 {
		return 0
	}
	return w.clockMS + int64(clockRate*float64((now-w.clockAt).Milliseconds()))
}

// nextDeadline returns the deadline for a renewal: a later one only if the
// last was answered, so that a silent worker's lease ends at a known time.
func (w *workerLoop) nextDeadline(now, lease time.Duration) (deadline int64, extended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answered && w.clockMS != 0 {
		w.deadline, w.answered, extended = w.clock(now)+lease.Milliseconds(), false, true
	}
	return w.deadline, extended
}

// renewWorker renews until ctx ends.
func (r *reign) renewWorker(ctx context.Context, w *workerLoop) {
	pause := time.Duration(0)
	for wait.For(ctx, pause) == nil {
		pause = renewRetry
		if !r.authorised(steady.Now()) {
			continue
		}
		if err := r.renewOnce(w, reportWait); err == nil {
			pause = r.endsPause(w.id)
		}
	}
}

// endsPause is how long the next renewal waits: one that is sent before the
// ends of the last are durable is answered at once with the same ends.
func (r *reign) endsPause(id fleet.WorkerID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.machine.HasUnacknowledgedEnds(id) {
		return commitInterval + commitUsual
	}
	return 0
}

// renewOnce sends one renewal and takes in the report.
func (r *reign) renewOnce(w *workerLoop, most time.Duration) error {
	lease := min(time.Duration(leaseShare*float64(r.deps.Settings.MaxTaskLease)), leaseMost)
	sent := steady.Now()
	deadline, extended := w.nextDeadline(sent, lease)
	r.mu.Lock()
	seen := r.machine.AcknowledgedEnd(w.id)
	if extended {
		r.machine.RenewalSent(w.id, sent)
	}
	r.mu.Unlock()
	if deadline == 0 {
		most = 0 // the first only learns the worker's clock
	}
	token := w.newestToken()
	report, err := w.client.Renew(token, seen, deadline, most)
	now := steady.Now()
	if err != nil {
		r.renewalFailed(w, token, err)
		return err
	}
	reborn := w.noteLife(report.StartedMS)
	w.noteClock(report.ClockMS, now)
	w.mu.Lock()
	w.answered = true
	w.mu.Unlock()
	r.mu.Lock()
	r.machine.WorkerReported(w.id, report, sent, now)
	r.mu.Unlock()
	r.wake()
	if reborn {
		// The new life learns the new token at once, before an order to the
		// life before can reach it.
		return r.renewOnce(w, 0)
	}
	return nil
}

func (r *reign) renewalFailed(w *workerLoop, token int64, err error) {
	r.deps.Log("worker_renewal_failed", "worker", w.id, "term", r.term, "err", err)
	r.deps.Metrics.Count("worker_renewals_failed", 1)
	var refused *platform.RefusedError
	if !errors.As(err, &refused) {
		return
	}
	switch refused.Reason {
	case platform.RefusedStaleToken:
		if token == w.newestToken() {
			r.end("a worker has seen a later owner")
		}
	case platform.RefusedIncarnation:
		w.mu.Lock()
		w.clockMS, w.answered = 0, true
		w.mu.Unlock()
	}
}

// send carries out orders, each on its own, since a worker may not answer.
func (r *reign) send(orders []dispatch.Order) {
	for _, o := range orders {
		r.mu.Lock()
		w, ok := r.workers[o.Worker]
		r.mu.Unlock()
		if !ok {
			r.answered(o, dispatch.Refused)
			continue
		}
		go r.carryOut(w, o)
	}
}

func (r *reign) carryOut(w *workerLoop, o dispatch.Order) {
	now := steady.Now()
	if !r.authorised(now) {
		r.answered(o, dispatch.Refused)
		return
	}
	var clockMS int64
	var err error
	token := w.newestToken()
	switch o.Kind {
	case dispatch.OrderStart:
		w.mu.Lock()
		deadline, left := w.deadline, time.Duration(w.deadline-w.clock(now))*time.Millisecond
		w.mu.Unlock()
		if left < leastLeft {
			r.answered(o, dispatch.Refused)
			return
		}
		clockMS, err = w.client.Start(platform.StartRequest{
			Task: o.Task, Run: o.Run, Payload: o.Payload, DeadlineMS: deadline, Token: token, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		})
		r.deps.Metrics.Observe("start", steady.Now()-now)
	case dispatch.OrderStop:
		clockMS, err = w.client.Stop(o.Task, o.Run, token)
	case dispatch.OrderPace:
		clockMS, err = w.client.SetSpeed(o.Task, o.Run, o.Percent, token)
	case dispatch.OrderReport:
		// A failed look is made up for by the next renewal, which logs.
		_ = r.renewOnce(w, 0)
		return
	}
	w.noteClock(clockMS, steady.Now())
	outcome := outcomeOf(err)
	if outcome == dispatch.Superseded && token != w.newestToken() {
		outcome = dispatch.Refused // by this owner's newer token
	}
	if err != nil {
		r.deps.Log("order_failed", "kind", o.Kind, "job", o.Task.Job, "task", o.Task, "run", o.Run, "worker", o.Worker, "outcome", outcome, "took", steady.Now()-now, "err", err)
	}
	r.answered(o, outcome)
}

// outcomeOf sorts the answer to an order.
func outcomeOf(err error) dispatch.Outcome {
	var refused *platform.RefusedError
	var notSent *platform.NotSentError
	switch {
	case err == nil:
		return dispatch.Accepted
	case errors.As(err, &refused):
		switch refused.Reason {
		case platform.RefusedStaleToken:
			return dispatch.Superseded
		case platform.RefusedUnhealthy:
			return dispatch.Unhealthy
		default:
			return dispatch.Refused
		}
	case errors.As(err, &notSent):
		return dispatch.Refused
	default:
		return dispatch.NoAnswer
	}
}

func (r *reign) answered(o dispatch.Order, outcome dispatch.Outcome) {
	now := steady.Now()
	r.mu.Lock()
	switch o.Kind {
	case dispatch.OrderStart:
		r.machine.StartAnswered(o, outcome, now)
	case dispatch.OrderStop:
		r.machine.StopAnswered(o, outcome, now)
	case dispatch.OrderPace:
		r.machine.PaceAnswered(o, outcome)
	}
	r.mu.Unlock()
	if outcome != dispatch.Accepted || o.Kind == dispatch.OrderStop {
		r.wake()
	}
}
