package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// TreeKey holds the tree with its newest audit records.
	TreeKey = "settings/tree"
	// auditPrefix is before the keys of the older audit records.
	auditPrefix = "settings/audit/"

	// chunkRecords is how many records one audit key holds.
	chunkRecords = 32
	// maxRecords is how many records the tree's value holds before the oldest
	// chunkRecords are rolled to an audit key.
	maxRecords = 96
	// maxDocumentBytes is the size of the tree's value above which records are
	// rolled earlier.
	maxDocumentBytes = store.MaxValueBytes / 2
	// MaxChangeBytes limits the JSON that one change sets or replaces. With
	// it a chunk stays below store.MaxValueBytes.
	MaxChangeBytes = 15 << 10
)

// Record is the audit record of one accepted change. Records are immutable.
type Record struct {
	ID          string          `json:"id"` // change ID
	Actor       string          `json:"who"`
	Time        time.Time       `json:"when"`
	Path        string          `json:"path"`
	Old         json.RawMessage `json:"old,omitempty"`         // absent: was not set
	New         json.RawMessage `json:"new,omitempty"`         // absent: unset by this change
	Predecessor store.Revision  `json:"predecessor,omitempty"` // revision that the change was made against
	// Revision is the revision that the change made. The store assigns it at
	// the write that holds the record, so it is filled in when the record is
	// read and from the next write on.
	Revision store.Revision `json:"revision,omitempty"`
}

func valueText(value json.RawMessage) string {
	if len(value) == 0 {
		return "unset"
	}
	return string(value)
}

// document is the value at TreeKey.
//
// Invariants: Records are in order of acceptance, each one's Predecessor is
// the Revision of the one before; a record leaves Records only after the
// chunk at Older holds it.
type document struct {
	Tree    *Tree    `json:"tree"`
	Records []Record `json:"records,omitempty"` // oldest first
	Older   string   `json:"older,omitempty"`   // key of the newest chunk
}

// chunk is the value of an audit key, written once.
type chunk struct {
	Records []Record `json:"records"` // oldest first
	Older   string   `json:"older,omitempty"`
}

// chunkKey names the chunk that begins with rec. Writers that race to roll
// the same records meet at the same key with the same value.
func chunkKey(rec Record) string {
	return fmt.Sprintf("%s%020d-%s", auditPrefix, rec.Predecessor, rec.ID)
}

// decodeDocument decodes the value at TreeKey of a revision.
func decodeDocument(value []byte, revision store.Revision) (*document, error) {
	var raw struct {
		Tree    json.RawMessage `json:"tree"`
		Records []Record        `json:"records"`
		Older   string          `json:"older"`
	}
	if err := json.Unmarshal(value, &raw); err != nil {
		return nil, corrupt(TreeKey, revision, err)
	}
	tree, err := Decode(raw.Tree)
	if err != nil {
		return nil, corrupt(TreeKey, revision, err)
	}
	d := &document{Tree: tree, Records: raw.Records, Older: raw.Older}
	if n := len(d.Records); n > 0 {
		d.Records[n-1].Revision = revision
	}
	return d, nil
}

func corrupt(key string, revision store.Revision, cause error) error {
	return eris.Wrap(&CorruptError{Key: key, Revision: revision, Cause: cause}, "settings")
}

func (d *document) encode() ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(&InvalidError{Reason: err.Error()}, "encode")
	}
	return data, nil
}

// find returns the record of a change ID.
func (d *document) find(id string) (Record, bool) {
	return findRecord(d.Records, id)
}

func findRecord(records []Record, id string) (Record, bool) {
	for _, r := range records {
		if r.ID == id {
			return r, true
		}
	}
	return Record{}, false
}

// newest returns the newest record, or a zero one.
func (d *document) newest() Record {
	if len(d.Records) == 0 {
		return Record{}
	}
	return d.Records[len(d.Records)-1]
}
