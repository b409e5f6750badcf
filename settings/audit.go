package settings

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/store"
)

// idClockMargin is how far the clock that made a change ID may be off from
// the clocks of audit records.
const idClockMargin = 10 * time.Minute

// follow returns the value of the document that follows cur, with rec as its
// newest record. Before it drops the oldest records, it writes them to keys of
// their own. If the change is then not accepted, the records stand in both
// places, which does no harm: nothing points to the key yet, and the next
// change writes it with the same value.
func (e *Editor) appendRecord(ctx context.Context, cur state, tree *Tree, rec Record) ([]byte, error) {
	doc := &document{Tree: tree, Older: cur.doc.Older, Records: append(slices.Clone(cur.doc.Records), rec)}
	for {
		value, err := doc.encode()
		if err != nil || !doc.isFull(len(value)) {
			return value, err
		}
		if err := e.archiveOldest(ctx, doc); err != nil {
			return nil, err
		}
	}
}

// isFull reports whether the oldest records have to leave a document whose
// value has size bytes.
func (d *document) isFull(size int) bool {
	if len(d.Records) <= chunkRecords {
		return false
	}
	return len(d.Records) > maxRecords || size > maxDocumentBytes
}

// roll moves the oldest records of d to a key of their own.
func (e *Editor) archiveOldest(ctx context.Context, d *document) error {
	oldest := d.Records[:chunkRecords]
	key := chunkKey(oldest[0])
	value, err := json.Marshal(chunk{Records: oldest, Older: d.Older})
	if err != nil {
		return eris.Wrap(&InvalidError{Reason: err.Error()}, "roll")
	}
	if err := e.writeOnce(ctx, key, value); err != nil {
		return err
	}
	d.Records = d.Records[chunkRecords:]
	d.Older = key
	return nil
}

// writeOnce writes a key that never changes. Any failure means for the change
// under way that it was not applied.
func (e *Editor) writeOnce(ctx context.Context, key string, value []byte) error {
	_, err := e.store.CompareAndSwap(ctx, key, 0, value, 0)
	if err == nil {
		return nil
	}
	entry, readErr := e.store.Get(ctx, key)
	switch {
	case readErr != nil:
		return unavailable(err)
	case !bytes.Equal(entry.Value, value):
		return corrupt(key, entry.Revision, &WriteOnceConflictError{Key: key})
	}
	return nil
}

// WriteOnceConflictError reports a write-once key that holds another value
// than the one to be written.
type WriteOnceConflictError struct{ Key string }

func (e *WriteOnceConflictError) Error() string {
	return "settings: " + e.Key + " is written once and holds another value"
}

func (e *Editor) readChunk(ctx context.Context, key string) (chunk, error) {
	entry, err := e.store.Get(ctx, key)
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &missing):
		return chunk{}, corrupt(key, 0, err)
	case err != nil:
		return chunk{}, unavailable(err)
	}
	var c chunk
	if err := json.Unmarshal(entry.Value, &c); err != nil {
		return chunk{}, corrupt(key, entry.Revision, err)
	}
	return c, nil
}

// recognise finds the record of a change that was applied before.
func (e *Editor) findApplied(ctx context.Context, cur state, c Change) (Record, bool, error) {
	rec, ok := cur.doc.find(c.ID)
	if !ok && mayBeArchived(c.ID, cur.doc) {
		found, err := e.searchChunks(ctx, cur.doc.Older, c.ID)
		if err != nil {
			return Record{}, false, err
		}
		rec, ok = found, found.ID != ""
	}
	switch {
	case !ok:
		return Record{}, false, nil
	case !c.matches(rec):
		return Record{}, false, eris.Wrap(&ReusedIDError{First: rec}, "apply")
	}
	return rec, true, nil
}

// mayBeOlder reports whether a change ID could be that of a record that the
// document no longer holds.
func mayBeArchived(id string, d *document) bool {
	createdAt, ok := idTime(id)
	return ok && d.Older != "" && createdAt.Add(-idClockMargin).Before(d.Records[0].Time)
}

// timeOf returns the time in a UUIDv7.
func idTime(id string) (time.Time, bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// searchChunks looks for a change ID in the older records, back to the time
// at which the ID was made.
func (e *Editor) searchChunks(ctx context.Context, key, id string) (Record, error) {
	createdAt, _ := idTime(id)
	for key != "" {
		c, err := e.readChunk(ctx, key)
		if err != nil {
			return Record{}, err
		}
		if rec, ok := findRecord(c.Records, id); ok {
			return rec, nil
		}
		if len(c.Records) > 0 && c.Records[0].Time.Before(createdAt.Add(-idClockMargin)) {
			break
		}
		key = c.Older
	}
	return Record{}, nil
}

// History returns the newest audit records, newest first, at most limit of
// those with a revision below before (0: all).
func (e *Editor) History(ctx context.Context, before store.Revision, limit int) ([]Record, error) {
	cur, err := e.load(ctx, 0)
	if err != nil {
		return nil, err
	}
	var found []Record
	part := chunk{Records: cur.doc.Records, Older: cur.doc.Older}
	for {
		for _, rec := range slices.Backward(part.Records) {
			if before != 0 && rec.Revision >= before {
				continue
			}
			if len(found) == limit {
				return found, nil
			}
			found = append(found, rec)
		}
		if part.Older == "" || len(found) == limit {
			return found, nil
		}
		if part, err = e.readChunk(ctx, part.Older); err != nil {
			return nil, err
		}
	}
}
