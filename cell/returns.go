package cell

import (
	"context"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

const (
	returnInterval = 100 * time.Millisecond
	returnTimeout  = 5 * time.Second // of one call to a queue's owner
	returnBackoff  = 500 * time.Millisecond
	returnBatch    = 500 // outcomes in one call
)

// returnLoop gives durable outcomes to the owners of their queues, again and
// again until each is acknowledged.
func (s *session) returnLoop(ctx context.Context) error {
	ticker := time.NewTicker(returnInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		for queue, b := range s.nextBatches(time.Now()) {
			s.calling[queue] = true
			s.calls.Go(func() { s.deliver(ctx, queue, b) })
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// batch is what is to be told to one queue.
type batch struct {
	outcomes []delegation.Outcome
	started  []inventory.AttemptRef
}

// nextBatches returns what is due for each queue without a call under way.
func (s *session) nextBatches(now time.Time) map[shard.ID]batch {
	due := make(map[shard.ID]batch)
	isDue := func(queue shard.ID) bool {
		return !s.calling[queue] && !now.Before(s.retryAt[queue])
	}
	for _, ret := range s.returns {
		b := due[ret.queue]
		if isDue(ret.queue) && len(b.outcomes) < returnBatch {
			b.outcomes = append(b.outcomes, ret.outcome)
			due[ret.queue] = b
		}
	}
	for queue, refs := range s.started {
		if b := due[queue]; isDue(queue) {
			b.started = refs
			due[queue] = b
			delete(s.started, queue)
		}
	}
	return due
}

// deliver makes the calls for one batch. Notices of starts are for status
// only: a lost one is not repeated.
func (s *session) deliver(ctx context.Context, queue shard.ID, b batch) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	reply, err := s.callQueue(ctx, queue, b)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calling, queue)
	if err != nil {
		s.retryAt[queue] = time.Now().Add(returnBackoff)
		s.logger.Log("event", "return_failed", "queue", queue, "outcomes", len(b.outcomes), "err", err)
		return
	}
	delete(s.retryAt, queue)
	mark := offerMark{Queue: queue, Epoch: reply.Epoch, Sequence: reply.Sequence}
	if s.marks[queue].precedes(mark) {
		s.marks[queue] = mark
	}
	for _, o := range b.outcomes {
		delete(s.returns, o.AttemptRef)
		s.acked = append(s.acked, o.AttemptRef)
	}
}

func (s *session) callQueue(ctx context.Context, queue shard.ID, b batch) (delegation.ReturnReply, error) {
	var reply delegation.ReturnReply
	owner, ok := s.deps.Directory.Owner(queue)
	if !ok {
		return reply, &NoOwnerError{Queue: queue}
	}
	if len(b.started) > 0 {
		started := delegation.Started{Queue: queue, Tasks: b.started}
		if err := s.deps.Peers.Call(ctx, owner.Host, delegation.MethodStart, started, &delegation.StartedReply{}); err != nil {
			s.logger.Log("event", "start_notice_failed", "queue", queue, "err", err)
		}
	}
	if len(b.outcomes) == 0 {
		return reply, nil
	}
	ret := delegation.Return{Queue: queue, Cell: s.id, Outcomes: b.outcomes, Load: s.load()}
	err := s.deps.Peers.Call(ctx, owner.Host, delegation.MethodReturn, ret, &reply)
	return reply, err
}
