package dedupe

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

// recordBytes is the size of an ID and its token in a snapshot.
const recordBytes = 16 + 8

// snapshot is an encoded history for the next owner.
type snapshot struct {
	floor   time.Time // IDs created earlier can't be verified
	records []byte    // recordBytes for each ID
}

// snapshot encodes the history. The floor is rounded up to a millisecond, the
// resolution of the time in an ID.
func (h *History) snapshot() *snapshot {
	s := &snapshot{floor: h.floor.Add(time.Millisecond - time.Nanosecond).Truncate(time.Millisecond)}
	s.records = make([]byte, 0, h.count*recordBytes)
	for _, ids := range h.buckets {
		for id, token := range ids {
			s.records = append(s.records, id[:]...)
			s.records = binary.BigEndian.AppendUint64(s.records, uint64(token))
		}
	}
	return s
}

// len returns the number of IDs.
func (s *snapshot) len() int { return len(s.records) / recordBytes }

// record returns ID number n and the send that claimed it.
func (s *snapshot) record(n int) (uuid.UUID, Token) {
	r := s.records[n*recordBytes:][:recordBytes]
	return uuid.UUID(r[:16]), Token(binary.BigEndian.Uint64(r[16:]))
}

// page returns up to maxPageIDs records, starting with number from.
func (s *snapshot) page(from int) (historyPage, error) {
	if from < 0 || from > s.len() {
		return historyPage{}, &PageError{From: from}
	}
	until := min(from+maxPageIDs, s.len())
	return historyPage{
		FloorMS: s.floor.UnixMilli(),
		Total:   s.len(),
		Records: s.records[from*recordBytes : until*recordBytes],
	}, nil
}

// append adds the next page. It reports whether the page is valid: it consists of
// complete records, adds at least one unless the snapshot is complete, and does not
// exceed the total.
func (s *snapshot) append(p historyPage) bool {
	s.floor = time.UnixMilli(p.FloorMS)
	s.records = append(s.records, p.Records...)
	aligned := len(p.Records)%recordBytes == 0
	progress := len(p.Records) > 0 || s.len() == p.Total
	return aligned && progress && s.len() <= p.Total
}

// merge adds the history of the owner of the previous epoch. It lowers the floor
// only if this history has dropped nothing since it started.
func (h *History) merge(now time.Time, former *snapshot) {
	if h.floor.Equal(h.initialFloor) && former.floor.Before(h.floor) {
		h.floor = former.floor
		h.oldestBucket = bucketOf(h.floor)
	}
	h.raiseFloor(now.Add(-Window))
	for n := range former.len() {
		id, token := former.record(n)
		h.addFormer(id, token)
	}
}

// addFormer adds an ID that was claimed at the former owner.
func (h *History) addFormer(id uuid.UUID, token Token) {
	created := Created(id)
	b := bucketOf(created)
	_, known := h.buckets[b][id]
	if known || created.Before(h.floor) || !h.evictFor(created) {
		return
	}
	h.add(b, id, token)
}
