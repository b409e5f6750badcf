package cell

import (
	"context"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/peer"
)

// maxWaiting is how many accepted attempts may wait for a worker. A cell that
// holds more than it can place soon keeps other cells from them. Urgent and
// guaranteed ones are accepted beyond it.
const maxWaiting = 200

// maxOfferBytes bounds the tasks that one record accepts, far below what the
// journal takes. The rest of an offer stays unanswered and is repeated.
const maxOfferBytes = 256 << 10

// taskBytes is about what a task takes in a record besides its texts.
const taskBytes = 200

// offer decides on tasks and answers once the decision is durable. Tasks that
// fit are placed in the same transaction.
func (s *session) offer(ctx context.Context, offer delegation.Offer) (delegation.OfferReply, error) {
	var reply delegation.OfferReply
	late := false
	mark := offerMark{Queue: offer.Queue, Epoch: offer.Epoch, Sequence: offer.Sequence}
	accept := func() *record {
		if late = s.machine.isLate(mark); late {
			return nil
		}
		var r *record
		if r, reply = s.decideOffer(offer.Tasks); r != nil {
			r.Marks = []offerMark{mark}
		}
		return r
	}
	if err := s.commit(ctx, accept, s.placeWaiting, s.makeRoomNow, s.takeBackLent); err != nil {
		return delegation.OfferReply{}, err
	}
	if late {
		return delegation.OfferReply{}, &peer.RemoteError{Kind: peer.KindRefused, Reason: reasonLateOffer, Message: "a later offer was seen"}
	}
	reply.Load = s.load()
	return reply, nil
}

// decideOffer returns the record and the reply for an offer. An attempt seen
// before gets the same answer again.
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
			s.answerKnown(t.AttemptRef, &reply)
			continue
		}
		if reason := s.refusal(&t, waiting); reason != "" {
			refusal := delegation.Refusal{AttemptRef: t.AttemptRef, Reason: reason}
			r.Refuse = append(r.Refuse, refusal)
			reply.Refused = append(reply.Refused, refusal)
			continue
		}
		size += taskBytes + len(t.Command) + len(t.Checkpoint)
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

// answerKnown answers for an attempt that was decided on before. An older
// attempt than the known one needs no answer that matters: its outcome is
// with the queue.
func (s *session) answerKnown(ref inventory.AttemptRef, reply *delegation.OfferReply) {
	c, isClosed := s.machine.state.Closed[ref.Task]
	if s.machine.find(ref) == nil && isClosed && c.Attempt == ref.Attempt && c.Refused != "" {
		reply.Refused = append(reply.Refused, delegation.Refusal{AttemptRef: ref, Reason: c.Refused})
		return
	}
	reply.Accepted = append(reply.Accepted, ref)
}

// refusal returns why a new task is refused, or "".
func (s *session) refusal(t *delegation.Task, waiting int) string {
	switch {
	case !s.isIn():
		return reasonOut
	case waiting >= maxWaiting && !isUrgent(t.Priority) && !s.isOwed(t):
		return reasonBacklog
	case !s.couldHold(t):
		return reasonTooLarge
	default:
		return ""
	}
}

// couldHold reports whether some worker of the cell, empty, holds the task. A
// cell without workers can't tell.
func (s *session) couldHold(t *delegation.Task) bool {
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

// cancel journals that attempts are to stop. One that the cell does not hold
// is refused from now on, in case its offer is still under way.
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

// endWaiting is a commit step: it ends attempts that need no worker to end.
func (s *session) endWaiting() *record {
	r := &record{}
	now := time.Now()
	for _, a := range s.machine.inPhase(phaseWaiting) {
		if reason := s.waitOver(a, now); reason != "" {
			r.End = append(r.End, notRun(a, &run{}, reason))
		}
	}
	if len(r.End) == 0 {
		return nil
	}
	return r
}

// waitOver returns why an attempt is not to wait for a worker any longer, or
// "". A new owner gives each its time again: it knows only later for which
// room is being made.
func (s *session) waitOver(a *attempt, now time.Time) string {
	switch {
	case a.Cancelled:
		return reasonCancelled
	case !s.isIn():
		return reasonOut
	case now.UnixMilli()-max(a.AcceptedMS, s.openedAt.UnixMilli()) > s.waitLimit(a).Milliseconds():
		return reasonNoCapacity
	default:
		return ""
	}
}
