package cell

import (
	"context"
	"time"
)

// waitLimit is how long an accepted attempt waits for a worker before it is
// returned to its queue, which may know a better cell.
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
		if err := s.commit(ctx, s.recordDCState, s.recordEnds, s.reclaimLent, s.endWaiting, s.placeWaiting, s.confirmOwnership); err != nil {
			return err
		}
	}
}

// hasWork reports whether a step of the journal loop may have something to do.
func (s *session) hasWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pendingEnds)+len(s.pendingAcks)+s.machine.waiting() > 0 || s.pendingDCState != nil || s.isConfirmDue()
}

func (s *session) isConfirmDue() bool { return time.Since(s.lastDurableAt) >= confirmInterval }

// recordEnds is a commit step that journals the decided ends and the
// acknowledged returns.
func (s *session) recordEnds() *record {
	r := &record{Acked: s.pendingAcks, RunTimes: s.pendingRunTimes}
	s.pendingAcks = nil
	s.pendingRunTimes = nil
	// The record that removes acknowledged attempts also marks their offers as
	// out of date.
	for queue, position := range s.ackedOffers {
		r.OfferPositions = append(r.OfferPositions, position)
		delete(s.ackedOffers, queue)
	}
	for ref, o := range s.pendingEnds {
		delete(s.pendingEnds, ref)
		if a := s.machine.find(ref); a != nil && a.Phase != phaseEnded {
			r.End = append(r.End, o)
		}
	}
	if len(r.End)+len(r.Acked) == 0 {
		return nil
	}
	return r
}

// recordDCState is a commit step that journals a change of the data centre's
// state and when it was seen.
func (s *session) recordDCState() *record {
	if s.pendingDCState == nil {
		return nil
	}
	r := &record{DCState: s.pendingDCState}
	s.pendingDCState = nil
	return r
}

// confirmOwnership is a commit step that writes an empty record if no record
// became durable for a while. Its success shows that this owner still holds the
// cell and may continue to renew leases.
func (s *session) confirmOwnership() *record {
	if !s.isConfirmDue() {
		return nil
	}
	return &record{}
}
