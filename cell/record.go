package cell

import (
	"cmp"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// recordVersion is the version of record and state on the wire.
const recordVersion = 1

// record is one journal record. Its parts apply in the order of the fields.
type record struct {
	Version  uint8                  `cbor:"1,keyasint"`
	AtMS     int64                  `cbor:"2,keyasint"` // owner's clock, Unix time
	Open     *ownerRecord           `cbor:"3,keyasint,omitempty"`
	Accept   []delegation.Task      `cbor:"4,keyasint,omitempty"`
	Refuse   []delegation.Refusal   `cbor:"5,keyasint,omitempty"`
	Place    []placement            `cbor:"6,keyasint,omitempty"`
	Cancel   []inventory.AttemptRef `cbor:"7,keyasint,omitempty"`
	TakeBack []inventory.AttemptRef `cbor:"14,keyasint,omitempty"`
	End      []delegation.Outcome   `cbor:"8,keyasint,omitempty"`
	Ran      []ranRecord            `cbor:"12,keyasint,omitempty"`
	Acked    []inventory.AttemptRef `cbor:"9,keyasint,omitempty"`
	Marks    []offerMark            `cbor:"11,keyasint,omitempty"`
	Gate     *gateRecord            `cbor:"13,keyasint,omitempty"`
	Release  bool                   `cbor:"10,keyasint,omitempty"` // the present owner sends no call to a worker any more
}

// ownerRecord is an owner of the cell.
type ownerRecord struct {
	Host        fleet.HostID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Epoch       fleet.Epoch       `cbor:"3,keyasint"`
	// EndMS is when the next owner opened the journal; the owner's last
	// durable entry is older. 0 for the present owner.
	EndMS    int64 `cbor:"4,keyasint,omitempty"`
	Released bool  `cbor:"5,keyasint,omitempty"`
}

// gateRecord is a change of the data centre's state that an owner saw.
type gateRecord struct {
	Out      bool           `cbor:"1,keyasint,omitempty"`
	SinceMS  int64          `cbor:"2,keyasint"` // when it was seen, Unix time
	Revision store.Revision `cbor:"3,keyasint"` // of the settings that showed it
}

// offerMark is a place in the order of a queue's offers to this cell.
type offerMark struct {
	Queue    shard.ID    `cbor:"1,keyasint"`
	Epoch    fleet.Epoch `cbor:"2,keyasint"`
	Sequence uint64      `cbor:"3,keyasint"`
}

// precedes reports whether m is before o.
func (m offerMark) precedes(o offerMark) bool {
	return cmp.Or(cmp.Compare(m.Epoch, o.Epoch), cmp.Compare(m.Sequence, o.Sequence)) < 0
}

// placement gives an accepted attempt to a worker.
type placement struct {
	inventory.AttemptRef
	Worker    fleet.WorkerID  `cbor:"3,keyasint"`
	Size      fleet.Resources `cbor:"4,keyasint"`
	StartByMS int64           `cbor:"5,keyasint"` // no start call has a later deadline; Unix time
}

// DecodeError reports a journal record or snapshot that this version can't
// read.
type DecodeError struct {
	What  string
	Cause error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("cell: %s not decoded: %v", e.What, e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// VersionError reports a record or snapshot of another version.
type VersionError struct{ Version uint8 }

func (e *VersionError) Error() string { return fmt.Sprintf("cell: version %d not known", e.Version) }

// ContradictionError reports a record that does not follow from the state.
type ContradictionError struct {
	inventory.AttemptRef
	Record string
}

func (e *ContradictionError) Error() string {
	return fmt.Sprintf("cell: record %q contradicts the state of %s attempt %d", e.Record, e.Task, e.Attempt)
}

// codec is the CBOR encoding of records and snapshots. Maps are sorted, so
// that equal states have equal bytes; unknown fields are refused.
type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

func newCodec() codec {
	enc, encErr := cbor.CanonicalEncOptions().EncMode()
	dec, decErr := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements:  1 << 20,
		MaxMapPairs:       1 << 20,
	}.DecMode()
	if encErr != nil || decErr != nil {
		panic("cell: CBOR options") // constants above
	}
	return codec{enc: enc, dec: dec}
}

func (c codec) encode(v any) ([]byte, error) { return c.enc.Marshal(v) }

func (c codec) decodeRecord(data []byte) (record, error) {
	var r record
	if err := c.dec.Unmarshal(data, &r); err != nil {
		return r, eris.Wrap(&DecodeError{What: "record", Cause: err}, "journal")
	}
	if r.Version != recordVersion {
		return r, eris.Wrap(&VersionError{Version: r.Version}, "journal")
	}
	return r, nil
}
