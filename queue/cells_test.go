package queue

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// fakeCells implements the cells' side of delegation: it recognises the attempts
// that it holds, repeats the return of each until the queue acknowledges it, and
// then forgets it. It also records violations of the protocol for check.
type fakeCells struct {
	net *network

	mu            sync.Mutex
	newest        map[shard.ID]delegation.Offer // newest offer to each cell
	stale         int                           // offers refused as stale
	attempts      map[inventory.AttemptRef]*fakeAttempt
	running       map[fleet.TaskID]inventory.AttemptRef
	finished      map[fleet.TaskID]int
	attemptCounts map[fleet.TaskID]int   // attempts offered
	duplicates    []inventory.AttemptRef // offered while another attempt ran or after the task finished
	runtime       func(delegation.Task) time.Duration
	end           func(delegation.Task) delegation.Outcome // outcome of an attempt; nil: finished
	refuse        func(shard.ID, delegation.Task) string   // reason to refuse, "" to accept
}

type fakeAttempt struct {
	cell    shard.ID
	task    delegation.Task
	outcome *delegation.Outcome
	refusal string // reason, "" if accepted
}

func newFakeCells(net *network) *fakeCells {
	c := &fakeCells{
		net:           net,
		newest:        make(map[shard.ID]delegation.Offer),
		attemptCounts: make(map[fleet.TaskID]int),
		attempts:      make(map[inventory.AttemptRef]*fakeAttempt),
		running:       make(map[fleet.TaskID]inventory.AttemptRef),
		finished:      make(map[fleet.TaskID]int),
		runtime:       func(delegation.Task) time.Duration { return time.Second },
	}
	peer.Register(net, delegation.MethodOffer, c.offer)
	peer.Register(net, delegation.MethodCancel, c.cancel)
	return c
}

func (c *fakeCells) update(change func(*fakeCells)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

func (c *fakeCells) offer(_ context.Context, _ fleet.HostID, o delegation.Offer) (delegation.OfferReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reply delegation.OfferReply
	if !newer(o, c.newest[o.Cell]) {
		c.stale++
		return reply, &peer.RemoteError{Kind: peer.KindRefused, Reason: "stale"}
	}
	c.newest[o.Cell] = o
	for _, task := range o.Tasks {
		a := c.attempts[task.AttemptRef]
		if a == nil {
			a = c.addAttempt(o.Cell, task)
		}
		if a.refusal != "" {
			reply.Refused = append(reply.Refused, delegation.Refusal{AttemptRef: task.AttemptRef, Reason: a.refusal})
		} else {
			reply.Accepted = append(reply.Accepted, task.AttemptRef)
		}
	}
	return reply, nil
}

// addAttempt accepts or refuses a new attempt and runs it if accepted.
func (c *fakeCells) addAttempt(cell shard.ID, task delegation.Task) *fakeAttempt {
	a := &fakeAttempt{cell: cell, task: task}
	c.attempts[task.AttemptRef] = a
	c.attemptCounts[task.Task]++
	if _, busy := c.running[task.Task]; busy || c.finished[task.Task] > 0 {
		c.duplicates = append(c.duplicates, task.AttemptRef)
	}
	if c.refuse != nil {
		a.refusal = c.refuse(cell, task)
	}
	if a.refusal == "" {
		c.running[task.Task] = task.AttemptRef
		c.net.after(c.runtime(task), func() { c.finish(a) })
	}
	return a
}

func (c *fakeCells) finish(a *fakeAttempt) {
	out := delegation.Outcome{AttemptRef: a.task.AttemptRef, Kind: delegation.OutcomeFinished}
	if c.end != nil {
		out = c.end(a.task)
		out.AttemptRef = a.task.AttemptRef
	}
	c.conclude(a, out)
}

// conclude ends an attempt with an outcome unless it has ended.
func (c *fakeCells) conclude(a *fakeAttempt, out delegation.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.outcome != nil {
		return
	}
	a.outcome = &out
	delete(c.running, a.task.Task)
	if out.Kind == delegation.OutcomeFinished {
		c.finished[a.task.Task]++
	}
	go c.returnOutcome(a)
}

// returnOutcome repeats the return of an outcome until the queue has
// acknowledged it.
func (c *fakeCells) returnOutcome(a *fakeAttempt) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		req := delegation.Return{Queue: a.task.Queue, Cell: a.cell, Outcomes: []delegation.Outcome{*a.outcome}}
		var reply delegation.ReturnReply
		err := c.net.Call(ctx, testHost, delegation.MethodReturn, req, &reply)
		cancel()
		if err == nil {
			c.forget(a, reply)
			return
		}
		select {
		case <-c.net.done:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (c *fakeCells) cancel(_ context.Context, _ fleet.HostID, req delegation.Cancel) (delegation.CancelReply, error) {
	c.mu.Lock()
	var stop []*fakeAttempt
	for _, ref := range req.Tasks {
		if a := c.attempts[ref]; a != nil && a.outcome == nil {
			stop = append(stop, a)
		}
	}
	c.mu.Unlock()
	for _, a := range stop {
		c.conclude(a, delegation.Outcome{AttemptRef: a.task.AttemptRef, Kind: delegation.OutcomeStopped})
	}
	return delegation.CancelReply{}, nil
}

// forget removes an attempt that the queue has taken back. Older offers, which
// may contain it, are refused from now on.
func (c *fakeCells) forget(a *fakeAttempt, reply delegation.ReturnReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := delegation.Offer{Epoch: reply.Epoch, Sequence: reply.Sequence}
	if newer(at, c.newest[a.cell]) {
		c.newest[a.cell] = at
	}
	delete(c.attempts, a.task.AttemptRef)
}

func newer(a, b delegation.Offer) bool {
	return a.Epoch > b.Epoch || a.Epoch == b.Epoch && a.Sequence > b.Sequence
}

// restart returns again every outcome that the queue has not acknowledged, as a
// cell's new owner does.
func (c *fakeCells) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if a.outcome != nil {
			go c.returnOutcome(a)
		}
	}
}

// check fails the test if two attempts of a task ran at the same time or a task
// finished twice.
func (c *fakeCells) check(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.duplicates) > 0 {
		t.Errorf("offered twice: %v", c.duplicates)
	}
	for task, n := range c.finished {
		if n > 1 {
			t.Errorf("%s finished %d times", task, n)
		}
	}
}

// finishedTasks returns the tasks that have finished, sorted.
func (c *fakeCells) finishedTasks() []fleet.TaskID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []fleet.TaskID
	for id := range c.finished {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
