package intake

import (
	"encoding/json"
	"strings"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Keys of the product in the store. Those under SharedPrefix are followed by
// every host, the others by the dispatcher alone.
const (
	SharedPrefix     = "f/"
	StatePrefix      = SharedPrefix + "j/" // state of each job
	OwnerKey         = SharedPrefix + "owner"
	LoadKey          = SharedPrefix + "load"
	TermKey          = "t"  // number of the newest owner
	EstimatesKey     = "l"  // what owners have learned, as dispatch.Estimates
	SubmissionPrefix = "s/" // submission of each job that has not ended
	ProgressPrefix   = "p/" // of the tasks of each job that has not ended
	WavePrefix       = "u/" // what has been done of each wave of upkeep
	WorkerPrefix     = "w/" // workers that the owner has known, as workload.Worker
)

// Record is the durable state of a job.
type Record struct {
	Queue      string         `json:"q"`
	State      workload.State `json:"s"`
	AcceptedMS int64          `json:"a"`
	EndedMS    int64          `json:"e,omitempty"`
}

// Encode returns the value that holds r.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("intake: record: " + err.Error()) // strings and numbers always encode
	}
	return data
}

// DecodeRecord reads the value of a state key.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(data, &r)
	return r, err
}

// JobIDFromKey returns the job that a state key is about.
func JobIDFromKey(key string) (fleet.JobID, bool) {
	id, ok := strings.CutPrefix(key, StatePrefix)
	return fleet.JobID(id), ok
}
