package intake

import (
	"encoding/json"
	"strings"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Keys in the store. Every host follows those under SharedPrefix; only the
// dispatcher uses the others.
const (
	SharedPrefix     = "f/"
	StatePrefix      = SharedPrefix + "j/" // state of each job
	OwnerKey         = SharedPrefix + "owner"
	LoadKey          = SharedPrefix + "load"
	TermKey          = "t"  // claim of the newest owner, with its term number
	EstimatesKey     = "l"  // learned estimates, as dispatch.Estimates
	SubmissionPrefix = "s/" // submission of each job that has not ended
	ProgressPrefix   = "p/" // task progress of each job that has not ended
	WavePrefix       = "u/" // progress of each wave of machine maintenance
	WorkerPrefix     = "w/" // workers known to the owner, as dispatch.WorkerRecord
)

// Record is the durable state of a job.
type Record struct {
	Queue      string         `json:"q"`
	State      workload.State `json:"s"`
	AcceptedMS int64          `json:"a"`
	EndedMS    int64          `json:"e,omitempty"`
	Workspace  string         `json:"w,omitempty"` // that submitted it; empty: its queue asked for no key
	// Bytes is the memory that the job takes of its owner until it has ended, and Source whom
	// that counts to.
	Bytes  int64  `json:"b,omitempty"`
	Source uint32 `json:"o,omitempty"`
}

// Encode returns the stored value of r.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("intake: record: " + err.Error()) // strings and numbers always encode
	}
	return data
}

// DecodeRecord decodes the value of a state key.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(data, &r)
	return r, err
}

// JobIDFromKey returns the job ID in a state key, and whether key is one.
func JobIDFromKey(key string) (fleet.JobID, bool) {
	id, ok := strings.CutPrefix(key, StatePrefix)
	return fleet.JobID(id), ok
}
