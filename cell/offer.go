package cell

import (
	"context"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/peer"
)

// maxWaiting is the maximum number of accepted attempts that wait for a worker.
// A cell that accepts more than it can place soon keeps them from other cells.
// Urgent and guaranteed attempts are accepted beyond it.
const maxWaiting = 200

// maxOfferBytes is the maximum size of the tasks that one record accepts, far
// below the limit of the journal. The rest of an offer stays unanswered, and
// the queue repeats it.
const maxOfferBytes = 256 << 10

// taskOverheadBytes is the approximate size of a task in a record, besides its
// command and checkpoint.
const taskOverheadBytes = 200

// offer accepts or refuses tasks and replies once the decision is durable.
// Tasks that fit are placed in the same transaction.
func (s *session) offer(ctx context.Context, offer delegation.Offer) (delegation.OfferReply, error) {
	var reply delegation.OfferReply
	stale := false
	position := offerPosition{Queue: offer.Queue, Epoch: offer.Epoch, Sequence: offer.Sequence}
	accept := func() *record {
		if stale = s.machine.isStale(position); stale {
			return nil
		}
		var r *record
		if r, reply = s.decideOffer(offer.Tasks); r != nil {
			r.OfferPositions = []offerPosition{position}
		}
		return r
	}
	if err := s.commit(ctx, accept, s.placeWaiting, s.preemptForUrgentNow, s.takeBackLent); err != nil {
		return delegation.OfferReply{}, err
	}
	if stale {
		return delegation.OfferReply{}, &peer.RemoteError{Kind: peer.KindRefused, Reason: reasonLateOffer, Message: "a later offer was seen"}
	}
	reply.Load = s.load()
	return reply, nil
}

// decideOffer returns the record and the reply for an offer. An attempt that
// was decided before gets the same reply again.
func (s *session) decideOffer(tasks []delegation.Task) (*record, delegation.OfferReply) {
	var reply delegation.OfferReply
	r := &record{}
	waiting := s.machine.waiting()
	size := 0
	seen := make(map[inventory.AttemptRef]bool, len(tasks))
	for _, t := range tasks {
		if seen[t.AttemptRef] {
			continue
		}
		seen[t.AttemptRef] = true
		if !s.machine.canAccept(t.AttemptRef) {
			s.replyKnown(t.AttemptRef, &reply)
			continue
		}
		if reason := s.refusalReason(&t, waiting); reason != "" {
			refusal := delegation.Refusal{AttemptRef: t.AttemptRef, Reason: reason}
			r.Refuse = append(r.Refuse, refusal)
			reply.Refused = append(reply.Refused, refusal)
			continue
		}
		size += taskOverheadBytes + len(t.Command) + len(t.Checkpoint)
		if size > maxOfferBytes {
			break
		}
		waiting++
		r.Accept = append(r.Accept, t)
		reply.Accepted = append(reply.Accepted, t.AttemptRef)
	}
	if len(r.Accept)+len(r.Refuse) == 0 {
		return nil, reply
	}
	return r, reply
}

// replyKnown adds the reply for an attempt that was decided before. The reply
// for an attempt older than the known one does not matter, since the queue
// already has its outcome.
func (s *session) replyKnown(ref inventory.AttemptRef, reply *delegation.OfferReply) {
	c, isClosed := s.machine.state.Closed[ref.Task]
	if s.machine.find(ref) == nil && isClosed && c.Attempt == ref.Attempt && c.Refused != "" {
		reply.Refused = append(reply.Refused, delegation.Refusal{AttemptRef: ref, Reason: c.Refused})
		return
	}
	reply.Accepted = append(reply.Accepted, ref)
}

// refusalReason returns why a new task is refused, or "" if it is accepted.
func (s *session) refusalReason(t *delegation.Task, waiting int) string {
	switch {
	case !s.isDataCentreIn():
		return reasonDataCentreOut
	case waiting >= maxWaiting && !isUrgent(t.Priority) && !s.isGuaranteed(t):
		return reasonBacklog
	case !s.fitsAnyWorker(t):
		return reasonTooLarge
	default:
		return ""
	}
}

// fitsAnyWorker reports whether the task would fit on some worker of the cell if
// that were empty. It returns true if no workers are known.
func (s *session) fitsAnyWorker(t *delegation.Task) bool {
	if len(s.members.workers) == 0 {
		return true
	}
	for id := range s.members.workers {
		if !s.members.isGone(id) && t.Resources.Fits(s.members.capacity(id)) {
			return true
		}
	}
	return false
}

// cancel journals that attempts are to be stopped. An attempt that the cell does
// not hold is refused from now on, in case its offer is still in flight.
func (s *session) cancel(ctx context.Context, refs []inventory.AttemptRef) error {
	return s.commit(ctx, func() *record {
		r := &record{}
		for _, ref := range refs {
			switch {
			case s.machine.find(ref) != nil:
				r.Cancel = append(r.Cancel, ref)
			case s.machine.canAccept(ref):
				r.Refuse = append(r.Refuse, delegation.Refusal{AttemptRef: ref, Reason: reasonCancelled})
			}
		}
		if len(r.Cancel)+len(r.Refuse) == 0 {
			return nil
		}
		return r
	}, s.endWaiting)
}

// endWaiting is a commit step that ends the waiting attempts that must not wait
// any longer.
func (s *session) endWaiting() *record {
	r := &record{}
	now := time.Now()
	for _, a := range s.machine.inPhase(phaseWaiting) {
		if reason := s.waitEndReason(a, now); reason != "" {
			r.End = append(r.End, notRunOutcome(a, &run{}, reason))
		}
	}
	if len(r.End) == 0 {
		return nil
	}
	return r
}

// waitEndReason returns why an attempt must not wait for a worker any longer, or
// "". Under a new owner the wait starts again, since the owner does not know yet
// for which attempts capacity is being taken back.
func (s *session) waitEndReason(a *attempt, now time.Time) string {
	switch {
	case a.Cancelled:
		return reasonCancelled
	case !s.isDataCentreIn():
		return reasonDataCentreOut
	case now.UnixMilli()-max(a.AcceptedMS, s.openedAt.UnixMilli()) > s.waitLimit(a).Milliseconds():
		return reasonNoCapacity
	default:
		return ""
	}
}
