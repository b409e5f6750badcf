package dedupe

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

// recordBytes is the size of an ID and its token in an image.
const recordBytes = 16 + 8

// image is a memory as it passes to the next owner.
type image struct {
	floor   time.Time // IDs created earlier can't be vouched for
	records []byte    // recordBytes for each ID
}

// image returns the memory in the form in which it passes on. The floor is
// rounded up to the resolution of the time in an ID.
func (h *History) image() *image {
	im := &image{floor: h.floor.Add(time.Millisecond - time.Nanosecond).Truncate(time.Millisecond)}
	im.records = make([]byte, 0, h.count*recordBytes)
	for _, ids := range h.buckets {
		for id, token := range ids {
			im.records = append(im.records, id[:]...)
			im.records = binary.BigEndian.AppendUint64(im.records, uint64(token))
		}
	}
	return im
}

// len returns the number of IDs.
func (im *image) len() int { return len(im.records) / recordBytes }

// record returns an ID and the send that claimed it.
func (im *image) record(n int) (uuid.UUID, Token) {
	r := im.records[n*recordBytes:][:recordBytes]
	return uuid.UUID(r[:16]), Token(binary.BigEndian.Uint64(r[16:]))
}

// page returns up to pageIDs records from number from on.
func (im *image) page(from int) (memoryPage, error) {
	if from < 0 || from > im.len() {
		return memoryPage{}, &PageError{From: from}
	}
	until := min(from+pageIDs, im.len())
	return memoryPage{
		FloorMS: im.floor.UnixMilli(),
		Total:   im.len(),
		Records: im.records[from*recordBytes : until*recordBytes],
	}, nil
}

// append adds the next page. It reports whether the page brings what is
// missing and no more.
func (im *image) append(p memoryPage) bool {
	im.floor = time.UnixMilli(p.FloorMS)
	im.records = append(im.records, p.Records...)
	whole := len(p.Records)%recordBytes == 0
	progress := len(p.Records) > 0 || im.len() == p.Total
	return whole && progress && im.len() <= p.Total
}

// merge adds the memory of the owner right before. It moves the floor down
// only if this memory has dropped nothing since it began.
func (h *History) merge(now time.Time, former *image) {
	if h.floor.Equal(h.begun) && former.floor.Before(h.floor) {
		h.floor = former.floor
		h.oldest = bucketOf(h.floor)
	}
	h.raise(now.Add(-Window))
	for n := range former.len() {
		id, token := former.record(n)
		h.remember(id, token)
	}
}

// remember adds an ID that was claimed at a former owner.
func (h *History) remember(id uuid.UUID, token Token) {
	created := Created(id)
	b := bucketOf(created)
	_, known := h.buckets[b][id]
	if known || created.Before(h.floor) || !h.makeRoom(created) {
		return
	}
	h.add(b, id, token)
}
