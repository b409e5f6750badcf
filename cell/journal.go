package cell

import (
	"context"
	"time"
)

// waitLimit is how long an accepted attempt waits for a worker before it goes
// back to its queue, which may know a better cell.
const waitLimit = 5 * time.Second

// journalLoop makes decisions durable, one transaction at a time.
func (s *session) journalLoop(ctx context.Context) error {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		case <-ticker.C:
		}
		if !s.hasWork() {
			continue
		}
		if err := s.commit(ctx, s.changeGate, s.endDecided, s.takeBackLent, s.endWaiting, s.placeWaiting, s.hold); err != nil {
			return err
		}
	}
}

// hasWork reports whether a step of the journal loop may have something to do.
func (s *session) hasWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ends)+len(s.acked)+s.machine.waiting() > 0 || s.gateSeen != nil || s.isHoldDue()
}

func (s *session) isHoldDue() bool { return time.Since(s.durableAt) >= holdInterval }

// endDecided is a commit step: it journals the ends that were decided and the
// returns that were acknowledged.
func (s *session) endDecided() *record {
	r := &record{Acked: s.acked, Ran: s.ran}
	s.acked = nil
	s.ran = nil
	// The offers of what is forgotten are out of date from the same record on.
	for queue, mark := range s.marks {
		r.Marks = append(r.Marks, mark)
		delete(s.marks, queue)
	}
	for ref, o := range s.ends {
		delete(s.ends, ref)
		if a := s.machine.find(ref); a != nil && a.Phase != phaseEnded {
			r.End = append(r.End, o)
		}
	}
	if len(r.End)+len(r.Acked) == 0 {
		return nil
	}
	return r
}

// changeGate is a commit step: it journals when the data centre's state was
// seen to change.
func (s *session) changeGate() *record {
	if s.gateSeen == nil {
		return nil
	}
	r := &record{Gate: s.gateSeen}
	s.gateSeen = nil
	return r
}

// hold is a commit step: it proves from time to time that this owner still
// holds the cell, which allows it to go on renewing.
func (s *session) hold() *record {
	if !s.isHoldDue() {
		return nil
	}
	return &record{}
}
