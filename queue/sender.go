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
	// maxOffer bounds the tasks of one message to a cell.
	maxOffer = 256
	// sendInterval is how often untold cells are looked for.
	sendInterval = time.Second
	sendTimeout  = 5 * time.Second
	sendInitial  = 100 * time.Millisecond
	sendMaximum  = 3 * time.Second
)

// sender tells cells what was delegated to them and cancelled, one message
// to each cell at a time, until they have answered.
type sender struct {
	shard  *ownedShard
	kicked chan struct{}

	mu    sync.Mutex
	links map[shard.ID]*link
}

// link is the sender's state for one cell.
type link struct {
	busy    bool
	notYet  time.Time // after a failure
	backoff *backoff.ExponentialBackOff
}

// message is what one cell is to be told.
type message struct {
	cell     shard.ID
	sequence uint64
	offers   []delegation.Task
	cancels  []inventory.AttemptRef
}

// address names the queue to which the outcomes go and numbers the message.
// It runs in the transaction that collects the offers, so that a message with
// a higher sequence is collected from a later state.
func (q *ownedShard) address(m *message) {
	q.offers++
	m.sequence = q.offers
	for i := range m.offers {
		m.offers[i].Queue = q.id
	}
}

func newSender(q *ownedShard) *sender {
	return &sender{
		shard:  q,
		kicked: make(chan struct{}, 1),
		links:  make(map[shard.ID]*link),
	}
}

func (s *sender) kick() { kick(s.kicked) }

func (s *sender) loop(ctx context.Context) error {
	var sends sync.WaitGroup
	defer sends.Wait()
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.kicked:
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

// collect takes what has to be said to cells that are not busy. It waits
// until that is durable: nothing is sent before.
func (s *sender) collect(ctx context.Context) ([]message, error) {
	var messages []message
	err := s.shard.journal.Do(ctx, func(wal.Tx) error {
		now := time.Now()
		messages = s.shard.machine.messages(func(cell shard.ID) bool { return s.begin(cell, now) })
		for i := range messages {
			s.shard.address(&messages[i])
		}
		return nil
	})
	return messages, err
}

// begin claims the link to a cell.
func (s *sender) begin(cell shard.ID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[cell]
	if l == nil {
		l = &link{backoff: newBackoff()}
		s.links[cell] = l
	}
	if l.busy || now.Before(l.notYet) {
		return false
	}
	l.busy = true
	return true
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = sendInitial
	b.MaxInterval = sendMaximum
	return b
}

// end frees the link to a cell and looks for more to say, after a pause if
// the message failed.
func (s *sender) end(cell shard.ID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[cell]
	l.busy = false
	if err == nil {
		l.backoff.Reset()
		s.kick()
		return
	}
	pause := l.backoff.NextBackOff()
	l.notYet = time.Now().Add(pause)
	time.AfterFunc(pause, s.kick)
}

func (s *sender) send(ctx context.Context, m message) {
	err := s.sendAll(ctx, m)
	if err != nil {
		s.shard.server.vars.Add(varFailures, 1)
		s.shard.logger.Log("event", "send_failed", "cell", m.cell, "err", err)
	}
	s.end(m.cell, err)
}

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

// call calls the owner of a cell.
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

// NoOwnerError reports a shard that nobody owns at the moment.
type NoOwnerError struct{ Shard shard.ID }

func (e *NoOwnerError) Error() string { return "queue: nobody owns " + string(e.Shard) }

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
			q.sent.answered(m.cell, sizes, reply.Load)
			q.accepted(m.cell, reply.Accepted)
		})
	}
	return q.journal.Do(ctx, func(tx wal.Tx) error {
		q.sent.answered(m.cell, sizes, reply.Load)
		q.accepted(m.cell, reply.Accepted)
		q.refused(tx, m.cell, reply.Refused)
		return nil
	})
}

func (q *ownedShard) accepted(cell shard.ID, refs []inventory.AttemptRef) {
	if len(refs) > 0 {
		q.machine.accept(cell, refs)
		q.sent.accept(cell)
	}
}

// refused ends the attempts that a cell has refused and keeps tasks of their
// size from it for a while.
func (q *ownedShard) refused(tx wal.Tx, cell shard.ID, refusals []delegation.Refusal) {
	outcomes := make([]delegation.Outcome, 0, len(refusals))
	now := time.Now()
	for _, r := range refusals {
		key, ok := q.machine.held(cell, r.Task, r.Attempt)
		if !ok {
			continue
		}
		q.sent.refuse(cell, key.job.Resources, now)
		key.job.waiting = r.Reason
		outcomes = append(outcomes, delegation.Outcome{AttemptRef: r.AttemptRef, End: delegation.EndNotRun})
	}
	q.server.vars.Add(varRefused, int64(len(outcomes)))
	q.end(tx, cell, outcomes)
}

func (s *sender) cancel(ctx context.Context, m message) error {
	request := delegation.Cancel{Cell: m.cell, Tasks: m.cancels}
	if err := s.call(ctx, m.cell, delegation.MethodCancel, request, &delegation.CancelReply{}); err != nil {
		return err
	}
	q := s.shard
	return q.journal.View(ctx, func() { q.machine.cancelTold(m.cell, m.cancels) })
}
