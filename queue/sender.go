package queue

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

const (
	// maxMessageTasks bounds the offers, and also the cancels, of one message
	// to a cell.
	maxMessageTasks = 256
	// sendInterval is how often the sender checks for pending messages without
	// being woken.
	sendInterval       = time.Second
	sendTimeout        = 5 * time.Second
	sendBackoffInitial = 100 * time.Millisecond
	sendBackoffMax     = 3 * time.Second
)

// sender sends offers of delegated tasks and cancels to cells until they have
// answered. It sends one message to each cell at a time.
type sender struct {
	shard  *ownedShard
	wakeup chan struct{}

	mu    sync.Mutex
	links map[shard.ID]*link
}

// link is the sender's state for one cell.
type link struct {
	busy    bool      // a message is being sent
	retryAt time.Time // after a failure, the earliest time of the next message
	backoff *backoff.ExponentialBackOff
}

// message holds the offers and cancels that go to one cell together.
type message struct {
	cell     shard.ID
	sequence uint64
	offers   []delegation.Task
	cancels  []inventory.AttemptRef
}

// addressMessage sets the sequence of the message and the queue to which the
// outcomes of its offers go. It runs in the transaction that collects the
// offers, so that a message with a higher sequence reflects a later state.
func (q *ownedShard) addressMessage(m *message) {
	q.offerSequence++
	m.sequence = q.offerSequence
	for i := range m.offers {
		m.offers[i].Queue = q.id
	}
}

func newSender(q *ownedShard) *sender {
	return &sender{
		shard:  q,
		wakeup: make(chan struct{}, 1),
		links:  make(map[shard.ID]*link),
	}
}

// wake makes loop check for pending messages.
func (s *sender) wake() { notify(s.wakeup) }

// loop sends pending messages until ctx ends or the journal fails, and returns
// why.
func (s *sender) loop(ctx context.Context) error {
	var sends sync.WaitGroup
	defer sends.Wait()
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wakeup:
		case <-ticker.C:
		}
		messages, err := s.collect(ctx)
		if err != nil {
			return err
		}
		for _, m := range messages {
			sends.Go(func() { s.send(ctx, m) })
		}
	}
}

// collect returns the pending messages to cells that are not busy. It first
// waits until the state they reflect is durable, so that nothing is sent that
// could still be lost.
func (s *sender) collect(ctx context.Context) ([]message, error) {
	var messages []message
	err := s.shard.journal.Do(ctx, func(wal.Tx) error {
		now := time.Now()
		messages = s.shard.machine.pendingMessages(func(cell shard.ID) bool { return s.beginSend(cell, now) })
		for i := range messages {
			s.shard.addressMessage(&messages[i])
		}
		return nil
	})
	return messages, err
}

// beginSend marks the link to a cell as busy. It reports false if the link is
// busy already or backing off after a failure.
func (s *sender) beginSend(cell shard.ID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[cell]
	if l == nil {
		l = &link{backoff: newBackoff()}
		s.links[cell] = l
	}
	if l.busy || now.Before(l.retryAt) {
		return false
	}
	l.busy = true
	return true
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = sendBackoffInitial
	b.MaxInterval = sendBackoffMax
	return b
}

// endSend marks the link to a cell as idle and wakes the sender, after a backoff
// if the message failed.
func (s *sender) endSend(cell shard.ID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[cell]
	l.busy = false
	if err == nil {
		l.backoff.Reset()
		s.wake()
		return
	}
	pause := l.backoff.NextBackOff()
	l.retryAt = time.Now().Add(pause)
	time.AfterFunc(pause, s.wake)
}

// send sends a message and logs and counts a failure.
func (s *sender) send(ctx context.Context, m message) {
	err := s.sendAll(ctx, m)
	if err != nil {
		s.shard.server.vars.Add(varFailures, 1)
		s.shard.logger.Log("event", "send_failed", "cell", m.cell, "err", err)
	}
	s.endSend(m.cell, err)
}

// sendAll sends the offers, then the cancels of a message.
func (s *sender) sendAll(ctx context.Context, m message) error {
	if len(m.offers) > 0 {
		if err := s.offer(ctx, m); err != nil {
			return err
		}
	}
	if len(m.cancels) > 0 {
		return s.cancel(ctx, m)
	}
	return nil
}

// call calls the owner of a cell. It returns a *NoOwnerError if there is none.
func (s *sender) call(ctx context.Context, cell shard.ID, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	deps := s.shard.server.deps
	owner, ok := deps.Shards.Owner(cell)
	if !ok {
		return &NoOwnerError{Shard: cell}
	}
	s.shard.server.vars.Add(varOffers, 1)
	return deps.Peers.Call(ctx, owner.Host, method, request, reply)
}

// NoOwnerError reports a shard that has no owner at the moment.
type NoOwnerError struct{ Shard shard.ID }

func (e *NoOwnerError) Error() string { return "queue: no owner for shard " + string(e.Shard) }

// offer offers the tasks of a message to the cell and records its answer.
func (s *sender) offer(ctx context.Context, m message) error {
	var reply delegation.OfferReply
	request := delegation.Offer{
		Cell:     m.cell,
		Queue:    s.shard.id,
		Epoch:    s.shard.journal.Owner().Epoch,
		Sequence: m.sequence,
		Tasks:    m.offers,
	}
	if err := s.call(ctx, m.cell, delegation.MethodOffer, request, &reply); err != nil {
		return err
	}
	q := s.shard
	sizes := make([]fleet.Resources, 0, len(m.offers))
	for _, t := range m.offers {
		sizes = append(sizes, t.Resources)
	}
	if len(reply.Refused) == 0 {
		return q.journal.View(ctx, func() {
			q.sent.recordAnswer(m.cell, sizes, reply.Load)
			q.recordAccepted(m.cell, reply.Accepted)
		})
	}
	return q.journal.Do(ctx, func(tx wal.Tx) error {
		q.sent.recordAnswer(m.cell, sizes, reply.Load)
		q.recordAccepted(m.cell, reply.Accepted)
		q.recordRefused(tx, m.cell, reply.Refused)
		return nil
	})
}

// recordAccepted records attempts that a cell has accepted.
func (q *ownedShard) recordAccepted(cell shard.ID, refs []inventory.AttemptRef) {
	if len(refs) > 0 {
		q.machine.markAccepted(cell, refs)
		q.sent.clearRefusal(cell)
	}
}

// recordRefused ends the attempts that a cell has refused and keeps tasks of
// their size from the cell for a while.
func (q *ownedShard) recordRefused(tx wal.Tx, cell shard.ID, refusals []delegation.Refusal) {
	outcomes := make([]delegation.Outcome, 0, len(refusals))
	now := time.Now()
	for _, r := range refusals {
		key, ok := q.machine.findHeld(cell, r.Task, r.Attempt)
		if !ok {
			continue
		}
		q.sent.recordRefusal(cell, key.job.Resources, now)
		key.job.waitReason = r.Reason
		outcomes = append(outcomes, delegation.Outcome{AttemptRef: r.AttemptRef, Kind: delegation.OutcomeNotRun})
	}
	q.server.vars.Add(varRefused, int64(len(outcomes)))
	q.journalOutcomes(tx, cell, outcomes)
}

// cancel cancels the tasks of a message at the cell and records its answer.
func (s *sender) cancel(ctx context.Context, m message) error {
	request := delegation.Cancel{Cell: m.cell, Tasks: m.cancels}
	if err := s.call(ctx, m.cell, delegation.MethodCancel, request, &delegation.CancelReply{}); err != nil {
		return err
	}
	q := s.shard
	return q.journal.View(ctx, func() { q.machine.markCancelAcknowledged(m.cell, m.cancels) })
}
