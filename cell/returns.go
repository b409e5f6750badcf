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
	returnTimeout  = 5 * time.Second // of the calls for one batch
	returnBackoff  = 500 * time.Millisecond
	returnBatch    = 500 // maximum number of outcomes in one call
)

// returnLoop sends durable outcomes to the owners of their queues and repeats
// each until it is acknowledged.
func (s *session) returnLoop(ctx context.Context) error {
	ticker := time.NewTicker(returnInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		for queue, b := range s.nextBatches(time.Now()) {
			s.returnsInFlight[queue] = true
			s.calls.Go(func() { s.sendBatch(ctx, queue, b) })
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// batch holds the outcomes and start notices to send to one queue.
type batch struct {
	outcomes []delegation.Outcome
	started  []inventory.AttemptRef
}

// nextBatches returns the batches that are due, for queues without a call in
// flight.
func (s *session) nextBatches(now time.Time) map[shard.ID]batch {
	due := make(map[shard.ID]batch)
	isDue := func(queue shard.ID) bool {
		return !s.returnsInFlight[queue] && !now.Before(s.retryAt[queue])
	}
	for _, ret := range s.pendingReturns {
		b := due[ret.queue]
		if isDue(ret.queue) && len(b.outcomes) < returnBatch {
			b.outcomes = append(b.outcomes, ret.outcome)
			due[ret.queue] = b
		}
	}
	for queue, refs := range s.pendingStarts {
		if b := due[queue]; isDue(queue) {
			b.started = refs
			due[queue] = b
			delete(s.pendingStarts, queue)
		}
	}
	return due
}

// sendBatch makes the calls for one batch. Start notices only serve to report
// status, so a lost notice is not repeated.
func (s *session) sendBatch(ctx context.Context, queue shard.ID, b batch) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	reply, err := s.callQueue(ctx, queue, b)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.returnsInFlight, queue)
	if err != nil {
		s.retryAt[queue] = time.Now().Add(returnBackoff)
		s.logger.Log("event", "return_failed", "queue", queue, "outcomes", len(b.outcomes), "err", err)
		return
	}
	delete(s.retryAt, queue)
	position := offerPosition{Queue: queue, Epoch: reply.Epoch, Sequence: reply.Sequence}
	if s.ackedOffers[queue].precedes(position) {
		s.ackedOffers[queue] = position
	}
	for _, o := range b.outcomes {
		delete(s.pendingReturns, o.AttemptRef)
		s.pendingAcks = append(s.pendingAcks, o.AttemptRef)
	}
}

func (s *session) callQueue(ctx context.Context, queue shard.ID, b batch) (delegation.ReturnReply, error) {
	var reply delegation.ReturnReply
	owner, ok := s.deps.Shards.Owner(queue)
	if !ok {
		return reply, &NoOwnerError{Queue: queue}
	}
	if len(b.started) > 0 {
		started := delegation.Started{Queue: queue, Tasks: b.started}
		if err := s.deps.Peers.Call(ctx, owner.Host, delegation.MethodStarted, started, &delegation.StartedReply{}); err != nil {
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
