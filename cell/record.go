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

// recordVersion is the version of the encoding of record and state.
const recordVersion = 1

// record is one journal record. Machine.apply defines the order in which its
// parts take effect.
type record struct {
	Version        uint8                  `cbor:"1,keyasint"`
	AtMS           int64                  `cbor:"2,keyasint"` // owner's clock, Unix time
	Open           *ownerRecord           `cbor:"3,keyasint,omitempty"`
	Accept         []delegation.Task      `cbor:"4,keyasint,omitempty"`
	Refuse         []delegation.Refusal   `cbor:"5,keyasint,omitempty"`
	Place          []placement            `cbor:"6,keyasint,omitempty"`
	Cancel         []inventory.AttemptRef `cbor:"7,keyasint,omitempty"`
	TakeBack       []inventory.AttemptRef `cbor:"14,keyasint,omitempty"`
	End            []delegation.Outcome   `cbor:"8,keyasint,omitempty"`
	RunTimes       []runTimeRecord        `cbor:"12,keyasint,omitempty"`
	Acked          []inventory.AttemptRef `cbor:"9,keyasint,omitempty"`
	OfferPositions []offerPosition        `cbor:"11,keyasint,omitempty"`
	DCState        *dcStateRecord         `cbor:"13,keyasint,omitempty"`
	Release        bool                   `cbor:"10,keyasint,omitempty"` // the current owner sends no further calls to workers
}

// ownerRecord identifies one term of an owner of the cell.
type ownerRecord struct {
	Host        fleet.HostID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Epoch       fleet.Epoch       `cbor:"3,keyasint"`
	// EndMS is when the next owner opened the journal, Unix time; the owner's
	// last durable entry is older. 0 for the current owner.
	EndMS    int64 `cbor:"4,keyasint,omitempty"`
	Released bool  `cbor:"5,keyasint,omitempty"`
}

// dcStateRecord is a change of the data centre's state as seen by an owner.
type dcStateRecord struct {
	Out      bool           `cbor:"1,keyasint,omitempty"`
	SinceMS  int64          `cbor:"2,keyasint"` // when the change was seen, Unix time
	Revision store.Revision `cbor:"3,keyasint"` // of the settings that contain the change
}

// offerPosition is a position in the sequence of a queue's offers to this cell.
type offerPosition struct {
	Queue    shard.ID    `cbor:"1,keyasint"`
	Epoch    fleet.Epoch `cbor:"2,keyasint"`
	Sequence uint64      `cbor:"3,keyasint"`
}

// precedes reports whether p is before o.
func (p offerPosition) precedes(o offerPosition) bool {
	return cmp.Or(cmp.Compare(p.Epoch, o.Epoch), cmp.Compare(p.Sequence, o.Sequence)) < 0
}

// placement assigns an accepted attempt to a worker.
type placement struct {
	inventory.AttemptRef
	Worker    fleet.WorkerID  `cbor:"3,keyasint"`
	Size      fleet.Resources `cbor:"4,keyasint"`
	StartByMS int64           `cbor:"5,keyasint"` // upper limit of the deadline of start calls, Unix time
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

// VersionError reports a record or snapshot of an unsupported version.
type VersionError struct{ Version uint8 }

func (e *VersionError) Error() string { return fmt.Sprintf("cell: version %d not known", e.Version) }

// ContradictionError reports a record that can't be applied to the current
// state.
type ContradictionError struct {
	inventory.AttemptRef
	Record string
}

func (e *ContradictionError) Error() string {
	return fmt.Sprintf("cell: record %q contradicts the state of %s attempt %d", e.Record, e.Task, e.Attempt)
}

// codec is the CBOR encoding of records and snapshots. Map keys are sorted, so
// that equal states have equal encodings; unknown fields are an error.
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
		panic("cell: invalid CBOR options") // the options above are constant
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
