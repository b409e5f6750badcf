package queue

import (
	"fmt"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

const formatVersion = 1

// record is one journal record. Exactly one of the pointers is set.
type record struct {
	Version   uint       `cbor:"1,keyasint"`
	Submitted *submitted `cbor:"2,keyasint,omitempty"`
	Delegated *delegated `cbor:"3,keyasint,omitempty"`
	Returned  *returned  `cbor:"4,keyasint,omitempty"`
	Cancelled *cancelled `cbor:"5,keyasint,omitempty"`
	Expired   *expired   `cbor:"6,keyasint,omitempty"`
}

// submitted is the admission of a job.
type submitted struct {
	ID           fleet.JobID        `cbor:"1,keyasint"`
	Organisation fleet.Organisation `cbor:"2,keyasint"`
	Team         fleet.Team         `cbor:"3,keyasint"`
	Class        fleet.JobClass     `cbor:"4,keyasint"`
	Tasks        int                `cbor:"5,keyasint"`
	Resources    fleet.Resources    `cbor:"6,keyasint"`
	Command      string             `cbor:"7,keyasint,omitempty"`
	Declared     *int               `cbor:"8,keyasint,omitempty"` // priority given in the submission
	DataCentres  []fleet.DataCentre `cbor:"9,keyasint,omitempty"`
	Priority     int                `cbor:"10,keyasint"`           // in force
	Aging        float64            `cbor:"11,keyasint,omitempty"` // priority gained per minute
	At           int64              `cbor:"12,keyasint"`           // Unix time in milliseconds
}

// newSubmitted returns the record that admits a job. Priority and aging come
// from the resolved settings of its class unless the spec has a priority.
func newSubmitted(spec job.Spec, values settings.Resolved, now time.Time) submitted {
	s := submitted{
		ID:           spec.ID,
		Organisation: spec.Organisation,
		Team:         spec.Team,
		Class:        spec.Class,
		Tasks:        spec.Tasks,
		Resources:    spec.Resources,
		Command:      spec.Command,
		Declared:     spec.Priority,
		DataCentres:  spec.DataCentres,
		Priority:     values.Priority,
		Aging:        values.AgingPerMinute,
		At:           now.UnixMilli(),
	}
	if spec.Priority != nil {
		s.Priority = *spec.Priority
	}
	return s
}

// delegated is the delegation of queued tasks to cells, which begins their next
// attempt.
type delegated struct {
	Runs []delegatedRun `cbor:"1,keyasint"`
}

// delegatedRun is a run of Count tasks of a job from index From.
type delegatedRun struct {
	Job   fleet.JobID `cbor:"1,keyasint"`
	From  int         `cbor:"2,keyasint,omitempty"`
	Count int         `cbor:"3,keyasint"`
	Cell  shard.ID    `cbor:"4,keyasint"`
}

// returned is the end of attempts whose outcome a cell has returned.
type returned struct {
	At   int64         `cbor:"1,keyasint"` // Unix time in milliseconds
	Runs []returnedRun `cbor:"2,keyasint"`
}

// returnedRun is a run of Count tasks of a job from index From whose attempts
// have the same number and the same outcome.
type returnedRun struct {
	Job        fleet.JobID            `cbor:"1,keyasint"`
	From       int                    `cbor:"2,keyasint,omitempty"`
	Count      int                    `cbor:"3,keyasint"`
	Attempt    fleet.Attempt          `cbor:"4,keyasint"`
	End        delegation.OutcomeKind `cbor:"5,keyasint"`
	Final      bool                   `cbor:"6,keyasint,omitempty"` // no further attempt follows
	Checkpoint string                 `cbor:"7,keyasint,omitempty"`
	Progress   float64                `cbor:"8,keyasint,omitempty"` // at the checkpoint
	Error      string                 `cbor:"9,keyasint,omitempty"`
}

// cancelled is the cancellation of jobs.
type cancelled struct {
	At   int64         `cbor:"1,keyasint"` // Unix time in milliseconds
	Jobs []fleet.JobID `cbor:"2,keyasint"`
}

// expired is the removal of the jobs that ended before a time.
type expired struct {
	Before int64 `cbor:"1,keyasint"` // Unix time in milliseconds
}

// VersionError reports a record or snapshot whose format version this release
// does not support.
type VersionError struct{ Version uint }

func (e *VersionError) Error() string {
	return fmt.Sprintf("queue: format version %d is not known", e.Version)
}

// ContradictionError reports a record that does not fit the state, or a snapshot
// that contradicts itself.
type ContradictionError struct {
	Job    fleet.JobID
	Index  int
	Reason string
}

func (e *ContradictionError) Error() string {
	return fmt.Sprintf("queue: record contradicts job %s task %d: %s", e.Job, e.Index, e.Reason)
}

func (r record) encode() []byte {
	r.Version = formatVersion
	data, err := wal.Encode(r)
	if err != nil {
		panic(err) // a record holds only encodable types
	}
	return data
}

func decodeRecord(data []byte) (record, error) {
	var r record
	if err := wal.Decode(data, &r); err != nil {
		return record{}, err
	}
	if r.Version != formatVersion {
		return record{}, &VersionError{Version: r.Version}
	}
	return r, nil
}
