package owner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// renewalLongPoll is how long a worker may hold a renewal until a task
	// ends. The gauge of a serving task covers 0.5 s.
	renewalLongPoll = 600 * time.Millisecond
	// usualCommitLatency is the maximum latency of a commit under normal load.
	usualCommitLatency = 15 * time.Millisecond
	// withheldRenewInterval is the delay before the next renewal of a worker that lists an end
	// which it must not forget yet: it answers at once.
	withheldRenewInterval = 200 * time.Millisecond
	// renewRetryDelay is the delay after a failed renewal.
	renewRetryDelay = 150 * time.Millisecond
	// minClockRate is the slowest rate of a worker's clock relative to ours.
	minClockRate = 0.98
)

// workerLoop renews the lease of one worker and tracks its clock.
type workerLoop struct {
	id      fleet.WorkerID
	address string
	client  *platform.WorkerClient
	cancel  context.CancelFunc
	reports atomic.Int64 // requested ones under way
	orders  orderQueue   // guarded by the dispatcher's mu

	mu          sync.Mutex
	clockMS     int64         // clock of the worker, in ms
	clockAt     time.Duration // when clockMS was received
	deadline    int64         // latest deadline sent, on the worker's clock, in ms
	answered    bool          // a renewal with the latest deadline was answered
	incarnation int64         // newest known one: start time of the worker process, in ms
	// failedAt is when a call last failed, if no renewal sent after it has been
	// answered: the worker may have restarted since. 0: none.
	failedAt time.Duration
	// token is the current fencing token for orders to the worker. It increases
	// with each incarnation, so that a delayed order to the previous one is
	// refused: its deadline is meaningless on the restarted clock. So it does with a start that
	// takes the place of an unanswered one.
	token int64
}

// tokensPerTerm separates the token ranges of successive owners.
const tokensPerTerm = 1000

// syncWorkers starts and stops renewal loops so that each worker has one. d.mu
// is held.
func (d *dispatcher) syncWorkers(ctx context.Context) {
	if !d.calling {
		d.calling = true
		d.machine.CallsStarted(steady.Now())
	}
	addresses := d.machine.Addresses()
	for id, w := range d.workers {
		if addresses[id] != w.address {
			w.cancel()
			w.client.Close()
			delete(d.workers, id)
			d.lastTokens[id] = w.currentToken()
		}
	}
	for id, address := range addresses {
		if _, ok := d.workers[id]; ok {
			continue
		}
		loopCtx, cancel := context.WithCancel(ctx)
		w := &workerLoop{id: id, address: address, client: platform.NewWorkerClient(id, address, d.connections), cancel: cancel, answered: true, token: d.firstToken(id)}
		d.workers[id] = w
		go d.renewWorker(loopCtx, w)
	}
}

// firstToken returns the fencing token of a new renewal loop, which is above those
// of earlier loops of the worker in this term: one that was forgotten and returns
// may be a new incarnation, which an order to the earlier one must not reach. d.mu
// is held.
func (d *dispatcher) firstToken(id fleet.WorkerID) int64 {
	if last, ok := d.lastTokens[id]; ok {
		return last + 1
	}
	return int64(d.term) * tokensPerTerm
}

// recordClock records the clock of an incarnation from its report to a renewal. Answers
// to orders do not tell which incarnation gave them, and the clocks of two are
// unrelated. w.mu is held.
func (w *workerLoop) recordClock(incarnation, clockMS int64, sent, now time.Duration) {
	if clockMS == 0 || incarnation < w.incarnation {
		return
	}
	w.clockMS, w.clockAt, w.answered = clockMS, now, true
	if sent > w.failedAt {
		w.failedAt = 0
	}
}

// recordIncarnation records the newest known incarnation, and reports whether the
// worker has restarted since the last one. w.mu is held.
func (w *workerLoop) recordIncarnation(incarnation int64) bool {
	restarted := incarnation > w.incarnation && w.incarnation != 0
	if restarted {
		w.token++
		w.clockMS, w.deadline, w.answered = 0, 0, true
	}
	w.incarnation = max(w.incarnation, incarnation)
	return restarted
}

// restartedAs records an incarnation that the worker's entry shows, and reports whether
// it is a newer one.
func (w *workerLoop) restartedAs(incarnation int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.recordIncarnation(incarnation)
}

// recordFailure records that a call to the worker has failed.
func (w *workerLoop) recordFailure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failedAt = steady.Now()
}

// isLeased reports whether the worker's present incarnation has been sent a lease.
func (w *workerLoop) isLeased() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.deadline > 0
}

// currentToken returns the fencing token for an order.
func (w *workerLoop) currentToken() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.token
}

// raiseToken returns a new fencing token, with which an order makes whatever incarnation executes it refuse
// the earlier ones. The last token of a term is not raised.
func (w *workerLoop) raiseToken() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if (w.token+1)%tokensPerTerm != 0 {
		w.token++
	}
	return w.token
}

// minClock returns a lower bound of the worker's clock at now, in ms, or 0 if the
// clock is not known. w.mu is held.
func (w *workerLoop) minClock(now time.Duration) int64 {
	if w.clockMS == 0 {
		return 0
	}
	return w.clockMS + int64(minClockRate*float64((now-w.clockAt).Milliseconds()))
}

// renewal is what one renewal carries.
type renewal struct {
	sent            time.Duration
	token           int64
	acknowledgedEnd int64
	deadlineMS      int64 // on the worker's clock; 0: not extended
	readOnly        bool  // it only reads the clock and the incarnation
}

// nextRenewal returns the next renewal of a worker. It acknowledges ends and extends
// the lease only if it can reach no other incarnation than the one they belong to.
func (d *dispatcher) nextRenewal(w *workerLoop) renewal {
	lease := min(time.Duration(workerLeaseShare*float64(d.deps.Settings.MaxTaskLease)), maxWorkerLease)
	d.mu.Lock()
	defer d.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	r := renewal{sent: steady.Now(), token: w.token}
	known := d.early != nil || w.incarnation == d.machine.Incarnation(w.id)
	if w.failedAt > 0 || w.clockMS == 0 || !known || !d.machine.MayExtendLease(w.id) {
		r.readOnly = true
		return r
	}
	r.acknowledgedEnd = d.machine.AcknowledgedEnd(w.id)
	// The deadline moves on only if the last one was answered, so that the lease of an
	// unresponsive worker ends at a known time.
	if w.answered {
		w.deadline, w.answered = w.minClock(r.sent)+lease.Milliseconds(), false
		d.machine.RenewalSent(w.id, r.sent)
	}
	r.deadlineMS = w.deadline
	return r
}

// recordReport passes the report to a renewal on to the machine, and reports whether it
// shows a restart.
func (d *dispatcher) recordReport(w *workerLoop, r renewal, report workload.Report) (restarted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := steady.Now()
	restarted = w.recordIncarnation(report.StartedMS)
	w.recordClock(report.StartedMS, report.ClockMS, r.sent, now)
	if d.early != nil {
		d.early.add(w.id, report, r.sent)
	} else {
		d.machine.WorkerReported(w.id, report, r.sent, now)
	}
	return restarted
}

// renewWorker renews a worker's lease until ctx ends.
func (d *dispatcher) renewWorker(ctx context.Context, w *workerLoop) {
	pause := time.Duration(0)
	for wait.For(ctx, pause) == nil {
		pause = renewRetryDelay
		if !d.authorised(steady.Now()) {
			continue
		}
		if err := d.renewOnce(w, renewalLongPoll); err == nil {
			pause = d.renewDelay(w.id, w.isLeased())
		}
	}
}

// renewDelay returns the delay before the next renewal. A renewal that is sent
// before the task ends of the last report are durable would return at once with
// the same ends, and one that must not extend the lease yet does not wait. leased is
// whether the worker has been sent a lease.
func (d *dispatcher) renewDelay(id fleet.WorkerID, leased bool) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.early != nil && leased {
		return earlyRenewInterval
	}
	if !d.machine.MayExtendLease(id) {
		return d.storeDelay() + usualCommitLatency
	}
	if d.machine.WithholdsAcknowledgement(id) {
		return withheldRenewInterval
	}
	if d.machine.HasUnacknowledgedEnds(id) {
		return commitInterval + usualCommitLatency
	}
	return 0
}

// renewOnce sends one renewal and passes the report to the machine.
func (d *dispatcher) renewOnce(w *workerLoop, maxWait time.Duration) error {
	r := d.nextRenewal(w)
	if r.readOnly {
		maxWait = 0
	}
	report, err := w.client.Renew(r.token, r.acknowledgedEnd, r.deadlineMS, maxWait)
	if err != nil {
		d.handleRenewalError(w, r.token, err)
		return err
	}
	restarted := d.recordReport(w, r, report)
	d.requestPlan()
	if restarted {
		// Pass the new token to the new incarnation at once, before an order to
		// the previous one can reach it.
		return d.renewOnce(w, 0)
	}
	return nil
}

// renewRestarted renews a worker whose entry shows a new incarnation: first to read
// its clock and runs, then to extend its lease. The renewal in flight was sent to the
// earlier incarnation and may hang until it times out.
func (d *dispatcher) renewRestarted(w *workerLoop) {
	for range 2 {
		if !d.authorised(steady.Now()) {
			return
		}
		if err := d.renewOnce(w, 0); err != nil {
			return // logged by renewOnce; the renewal loop tries again
		}
	}
}

// isOwnNewerToken reports whether the refusal of a token as stale may be due to a newer
// one of this owner: of the same renewal loop, or of the one that has replaced it since
// its worker was forgotten and came back.
func (d *dispatcher) isOwnNewerToken(w *workerLoop, token int64) bool {
	d.mu.Lock()
	current := d.workers[w.id]
	d.mu.Unlock()
	return token != w.currentToken() || current != nil && current != w
}

// handleRenewalError logs a failed renewal and handles refusals.
func (d *dispatcher) handleRenewalError(w *workerLoop, token int64, err error) {
	d.deps.Log("worker_renewal_failed", "worker", w.id, "term", d.term, "err", err)
	d.deps.Metrics.Count("worker_renewals_failed", 1)
	if hasFailed(err) {
		w.recordFailure()
		d.mu.Lock()
		d.machine.CallFailed(w.id, steady.Now())
		d.mu.Unlock()
	}
	var refused *platform.RefusedError
	if !errors.As(err, &refused) {
		return
	}
	switch refused.Reason {
	case platform.RefusedStaleToken:
		if !d.isOwnNewerToken(w, token) {
			d.end("a worker has seen the token of a later owner")
		}
	case platform.RefusedIncarnation:
		d.mu.Lock()
		if d.early != nil {
			d.early.replaced = append(d.early.replaced, w.id)
		} else {
			d.machine.WorkerReplaced(w.id, steady.Now())
		}
		d.mu.Unlock()
		d.requestPlan()
	}
}
