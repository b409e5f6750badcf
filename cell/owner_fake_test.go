package cell

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

// owner is one term of ownership, with its own connection to the workers.
type owner struct {
	harness  *harness
	server   *Server
	journal  *memJournal
	handlers handlers
	cancel   context.CancelFunc
	done     chan struct{}
	err      error

	mu                 sync.Mutex
	dead               bool
	storeUnreachable   bool                     // the owner can't reach the store
	unreachableWorkers map[fleet.WorkerID]bool  // the owner can't reach these workers
	resume             chan struct{}            // closed when the pause ends; nil if not paused
	delays             map[string]time.Duration // of calls to workers, by op
	delayedAddress     string                   // address of the only worker with delays; "" if all have them
}

func (o *owner) isSet(flag *bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return *flag
}

func (o *owner) set(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
}

// waitWhilePaused blocks while the owner is paused.
func (o *owner) waitWhilePaused() {
	o.mu.Lock()
	resume := o.resume
	o.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

// pause holds back the owner's calls and writes for d, after they were decided
// and before they are sent.
func (o *owner) pause(d time.Duration) {
	resume := make(chan struct{})
	o.set(func() { o.resume = resume })
	time.AfterFunc(d, func() {
		o.set(func() { o.resume = nil })
		close(resume)
	})
}

// call makes one call to a worker, if the owner can reach it.
func (o *owner) call(ctx context.Context, address, op string, do func(context.Context) (inventory.WorkerReport, error)) (inventory.WorkerReport, error) {
	o.waitWhilePaused()
	unanswered := &inventory.UnknownOutcomeError{Op: op, Cause: context.DeadlineExceeded}
	o.mu.Lock()
	unreachable := o.dead
	for _, w := range o.harness.workers {
		unreachable = unreachable || w.Info().Address == address && o.unreachableWorkers[w.Info().ID]
	}
	o.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return inventory.WorkerReport{}, unanswered
	}
	o.harness.queue.mu.Lock()
	o.harness.calls++
	n, hook := o.harness.calls, o.harness.hook
	o.harness.queue.mu.Unlock()
	if hook != nil {
		hook(n, false)
		if o.isSet(&o.dead) {
			return inventory.WorkerReport{}, unanswered
		}
	}
	report, err := o.deliver(ctx, address, op, do)
	if hook != nil {
		hook(n, true)
	}
	if o.isSet(&o.dead) {
		return inventory.WorkerReport{}, unanswered
	}
	return report, err
}

// deliver makes the call after the delay for its op. The call arrives even if
// the caller has given up in the meantime.
func (o *owner) deliver(ctx context.Context, address, op string, do func(context.Context) (inventory.WorkerReport, error)) (inventory.WorkerReport, error) {
	o.mu.Lock()
	delay := o.delays[op]
	if o.delayedAddress != "" && o.delayedAddress != address {
		delay = 0
	}
	o.mu.Unlock()
	sent, cancel := context.WithTimeout(context.WithoutCancel(ctx), delay+callTimeout)
	if delay < callTimeout {
		defer cancel()
		time.Sleep(delay)
		return do(sent)
	}
	time.AfterFunc(delay, func() {
		defer cancel()
		_, _ = do(sent)
	})
	<-ctx.Done()
	return inventory.WorkerReport{}, &inventory.UnknownOutcomeError{Op: op, Cause: ctx.Err()}
}

func (o *owner) Start(ctx context.Context, address string, req inventory.StartRequest) (inventory.WorkerReport, error) {
	return o.call(ctx, address, "start", func(ctx context.Context) (inventory.WorkerReport, error) {
		return o.harness.control.Start(ctx, address, req)
	})
}

func (o *owner) Renew(ctx context.Context, address string, req inventory.RenewRequest) (inventory.WorkerReport, error) {
	return o.call(ctx, address, "renew", func(ctx context.Context) (inventory.WorkerReport, error) {
		return o.harness.control.Renew(ctx, address, req)
	})
}

func (o *owner) Stop(ctx context.Context, address string, req inventory.StopRequest) (inventory.WorkerReport, error) {
	return o.call(ctx, address, "stop", func(ctx context.Context) (inventory.WorkerReport, error) {
		return o.harness.control.Stop(ctx, address, req)
	})
}

func (o *owner) Throttle(ctx context.Context, address string, req inventory.ThrottleRequest) (inventory.WorkerReport, error) {
	o.harness.queue.mu.Lock()
	o.harness.shares = append(o.harness.shares, req.Share)
	o.harness.queue.mu.Unlock()
	return o.call(ctx, address, "throttle", func(ctx context.Context) (inventory.WorkerReport, error) {
		return o.harness.control.Throttle(ctx, address, req)
	})
}

// crash ends the owner's process: nothing that it journals or sends afterwards
// takes effect.
func (o *owner) crash() {
	o.set(func() {
		o.dead = true
		if o.journal != nil {
			o.journal.stop()
		}
	})
	o.cancel()
}

func (o *owner) open(ctx context.Context, id shard.ID, claim shard.Owner, m wal.Machine) (Journal, error) {
	if o.harness.open != nil {
		return o.harness.open(ctx, id, claim, m)
	}
	j, err := o.harness.log.open(ctx, id, claim, m)
	if err != nil {
		return nil, err
	}
	j.owner = o
	o.set(func() { o.journal = j })
	return j, nil
}

func (o *owner) stop() {
	o.cancel()
	<-o.done
}

// offer offers the pending tasks of the queue, as a queue shard would.
func (o *owner) offer() {
	if tasks := o.harness.queue.pending(); len(tasks) > 0 {
		o.harness.queue.handleReply(o.send(tasks))
	}
}

// send offers tasks. If the offer fails, the reply is empty.
func (o *owner) send(tasks []delegation.Task) delegation.OfferReply {
	return o.sendOffer(o.harness.queue.offerOf(tasks))
}

func (o *owner) sendOffer(offer delegation.Offer) delegation.OfferReply {
	reply, err := o.handle(delegation.MethodOffer, offer)
	if err != nil {
		return delegation.OfferReply{}
	}
	return reply.(delegation.OfferReply)
}

func (o *owner) cancelTasks(tasks []delegation.Task) {
	c := delegation.Cancel{Cell: testCell}
	for _, t := range tasks {
		c.Tasks = append(c.Tasks, t.AttemptRef)
	}
	if _, err := o.handle(delegation.MethodCancel, c); err != nil {
		o.harness.t.Error(err)
	}
}

func (o *owner) handle(method string, request any) (any, error) {
	params, err := json.Marshal(request)
	if err != nil {
		o.harness.t.Fatal(err)
	}
	return o.handlers[method](context.Background(), "queue-host", params)
}

// offerUntilDone repeats offers until every task is done or limit has passed. It
// reports whether every task is done.
func (o *owner) offerUntilDone(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		o.offer()
		if o.harness.queue.isDone() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
