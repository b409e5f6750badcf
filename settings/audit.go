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

// idClockMargin is the greatest clock difference assumed between the host
// that created a change ID and the hosts that write audit records.
const idClockMargin = 10 * time.Minute

// appendRecord returns the encoded document that replaces cur, with tree as
// its tree and rec as its newest record. If the document is full, it first
// moves the oldest records to audit keys. If the change is then not accepted,
// those records are stored twice, which is harmless: no document refers to the
// audit key yet, and the next change writes it with the same value.
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

// isFull reports whether the oldest records of d must be archived, given the
// size of the encoded document in bytes.
func (d *document) isFull(size int) bool {
	if len(d.Records) <= chunkRecords {
		return false
	}
	return len(d.Records) > maxRecords || size > maxDocumentBytes
}

// archiveOldest moves the oldest chunkRecords records of d to an audit key.
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

// writeOnce writes a key that never changes afterwards. It succeeds if the key
// already holds value. After any error the current change was not applied.
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

// WriteOnceConflictError reports that a write-once key already holds a value
// other than the one to be written.
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

// findApplied returns the audit record of c if c was applied before. It
// returns a *ReusedIDError if the ID of c belongs to a different change.
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

// mayBeArchived reports whether the record of a change ID may have been moved
// from the document to an audit key.
func mayBeArchived(id string, d *document) bool {
	createdAt, ok := idTime(id)
	return ok && d.Older != "" && createdAt.Add(-idClockMargin).Before(d.Records[0].Time)
}

// idTime returns the creation time held in a change ID, which must be a
// UUIDv7.
func idTime(id string) (time.Time, bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// searchChunks searches the archived records for a change ID, from the chunk
// at key back to the time at which the ID was created. It returns a zero
// Record if there is none.
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

// History returns at most limit audit records, newest first, of those with a
// revision below before; 0 is no bound. Errors are *UnavailableError or
// *CorruptError.
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
