package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// TreeKey is the store key of the tree with its newest audit records.
	TreeKey = "settings/tree"
	// auditPrefix is the prefix of the keys that hold older audit records.
	auditPrefix = "settings/audit/"

	// chunkRecords is the number of records that one audit key holds.
	chunkRecords = 32
	// maxRecords is the maximum number of records in the document. Beyond it
	// the oldest chunkRecords are moved to an audit key.
	maxRecords = 96
	// maxDocumentBytes is the size of the encoded document above which records
	// are moved to an audit key before there are maxRecords of them.
	maxDocumentBytes = store.MaxValueBytes / 2
	// MaxChangeBytes is the maximum size of the JSON that one change sets or
	// replaces. It keeps the size of a chunk below store.MaxValueBytes.
	MaxChangeBytes = 15 << 10
)

// Record is the audit record of one accepted change. It is immutable.
type Record struct {
	ID          string          `json:"id"` // change ID
	Actor       string          `json:"who"`
	Time        time.Time       `json:"when"`
	Path        string          `json:"path"`
	Old         json.RawMessage `json:"old,omitempty"`         // absent: was not set
	New         json.RawMessage `json:"new,omitempty"`         // absent: unset by this change
	Predecessor store.Revision  `json:"predecessor,omitempty"` // revision that the change was applied to
	// Revision is the revision that the change created. The store assigns it
	// when it accepts the document with this record, so the stored record holds
	// it only from the next change on. Until then it is filled in on reading.
	Revision store.Revision `json:"revision,omitempty"`
}

func valueText(value json.RawMessage) string {
	if len(value) == 0 {
		return "unset"
	}
	return string(value)
}

// document is the value stored at TreeKey.
//
// Invariants: Records are in order of acceptance, and the Predecessor of each
// is the Revision of the one before it. A record is removed from Records only
// after it has been written to the chunk at Older.
type document struct {
	Tree    *Tree    `json:"tree"`
	Records []Record `json:"records,omitempty"` // oldest first
	Older   string   `json:"older,omitempty"`   // key of the newest chunk
}

// chunk is the value of an audit key. It is written once and links to the
// chunk before it.
type chunk struct {
	Records []Record `json:"records"` // oldest first
	Older   string   `json:"older,omitempty"`
}

// chunkKey returns the key of the chunk whose first record is rec. Editors that
// archive the same records concurrently write the same value to the same key.
func chunkKey(rec Record) string {
	return fmt.Sprintf("%s%020d-%s", auditPrefix, rec.Predecessor, rec.ID)
}

// decodeDocument decodes the value of TreeKey at a revision. The error is a
// *CorruptError.
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

// find returns the record of a change ID, if the document holds it.
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

// newest returns the newest record, or a zero Record if there is none.
func (d *document) newest() Record {
	if len(d.Records) == 0 {
		return Record{}
	}
	return d.Records[len(d.Records)-1]
}
