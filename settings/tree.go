package settings

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/strictjson"
)

// Values holds the values that one level of the tree sets. A nil value is
// inherited from the level above. The fields mirror those of Resolved; the
// validate tags define the allowed ranges.
type Values struct {
	// Requests.
	RequestTimeoutMS   *int64   `json:"request_timeout_ms,omitempty" validate:"omitempty,gte=10,lte=600000"`
	ObjectiveMS        *int64   `json:"objective_ms,omitempty" validate:"omitempty,gte=1,lte=600000"`
	Concurrency        *int     `json:"concurrency,omitempty" validate:"omitempty,gte=1,lte=100000"`
	QueueLength        *int     `json:"queue_length,omitempty" validate:"omitempty,gte=0,lte=100000"`
	RetryBudgetPercent *float64 `json:"retry_budget_percent,omitempty" validate:"omitempty,gte=0,lte=100"`
	FirstByteTimeoutMS *int64   `json:"first_byte_timeout_ms,omitempty" validate:"omitempty,gte=10,lte=600000"`
	IdleTimeoutMS      *int64   `json:"idle_timeout_ms,omitempty" validate:"omitempty,gte=10,lte=600000"`
	DialTimeoutMS      *int64   `json:"dial_timeout_ms,omitempty" validate:"omitempty,gte=10,lte=60000"`
	BufferBytes        *int64   `json:"buffer_bytes,omitempty" validate:"omitempty,gte=0,lte=16777216"`

	// Batch.
	Priority           *int     `json:"priority,omitempty" validate:"omitempty,gte=0,lte=100"`
	MaxAttempts        *int     `json:"max_attempts,omitempty" validate:"omitempty,gte=1,lte=1000"`
	TerminationGraceMS *int64   `json:"grace_ms,omitempty" validate:"omitempty,gte=0,lte=600000"`
	WorkerLeaseMS      *int64   `json:"worker_lease_ms,omitempty" validate:"omitempty,gte=3000,lte=60000"`
	EvictionsPerMinute *int     `json:"evictions_minute,omitempty" validate:"omitempty,gte=0,lte=10000"`
	ThrottleFloor      *float64 `json:"throttle_floor,omitempty" validate:"omitempty,gte=0.01,lte=1"`
	AgingPerMinute     *float64 `json:"aging_per_minute,omitempty" validate:"omitempty,gte=0,lte=100"`

	// Sharing between organisations.
	Guarantee         *Guarantees `json:"guarantee_percent,omitempty" validate:"omitempty,max=48,dive,keys,window,endkeys,gte=0,lte=100"`
	ReclaimDeadlineMS *int64      `json:"take_back_ms,omitempty" validate:"omitempty,gte=10000,lte=3600000"`
}

// Tree is the whole tree of settings. Operators see it as JSON; paths in the
// tree are the JSON names joined by dots.
type Tree struct {
	Values        Values                               `json:"values,omitzero"`
	Organisations map[fleet.Organisation]*Organisation `json:"organisations,omitempty" validate:"max=64,dive,keys,name,endkeys,required"`
	DataCentres   map[fleet.DataCentre]*DataCentre     `json:"data_centres,omitempty" validate:"max=64,dive,keys,name,endkeys,required"`
	Teams         map[fleet.Team]*Team                 `json:"teams,omitempty" validate:"max=1000,dive,keys,name,endkeys,required"`
}

// Leaves holds the values of single services and job classes. They override
// the values of all levels above, including those of a data centre.
type Leaves struct {
	Services   map[fleet.Service]*Values  `json:"services,omitempty" validate:"max=1000,dive,keys,name,endkeys,required"`
	JobClasses map[fleet.JobClass]*Values `json:"job_classes,omitempty" validate:"max=1000,dive,keys,name,endkeys,required"`
}

// Organisation is an organisation's level of the tree. Its leaves apply in all
// data centres.
type Organisation struct {
	Values Values `json:"values,omitzero"`
	Leaves
	DataCentres map[fleet.DataCentre]*Location `json:"data_centres,omitempty" validate:"max=64,dive,keys,name,endkeys,required"`
}

// Location is an organisation's level for one data centre. Its leaves apply
// there only and inherit from those of the organisation.
type Location struct {
	Values Values `json:"values,omitzero"`
	Leaves
}

// DefaultTree returns the tree that is in force while the store holds none. It
// has no organisations, data centres or teams and leaves every value at its
// default.
func DefaultTree() *Tree { return &Tree{} }

// DefaultValues returns the values in force where no level sets them.
func DefaultValues() Resolved {
	return Resolved{
		RequestTimeoutMS:   10_000,
		ObjectiveMS:        100,
		Concurrency:        256,
		QueueLength:        256,
		RetryBudgetPercent: 10,
		FirstByteTimeoutMS: 5_000,
		IdleTimeoutMS:      5_000,
		DialTimeoutMS:      500,
		BufferBytes:        64 << 10,
		Priority:           50,
		MaxAttempts:        5,
		TerminationGraceMS: 2_000,
		WorkerLeaseMS:      10_000,
		EvictionsPerMinute: 30,
		ThrottleFloor:      0.1,
		AgingPerMinute:     1,
		Guarantee:          Guarantees{},
		ReclaimDeadlineMS:  60_000,
	}
}

// Decode decodes a tree from JSON and validates it. Errors are *InvalidError.
func Decode(data []byte) (*Tree, error) {
	t := &Tree{}
	if err := strictjson.Decode(data, t); err != nil {
		return nil, decodeError(err)
	}
	if err := t.Validate(); err != nil {
		return nil, err
	}
	return t, nil
}

// Encode returns the tree as JSON.
func (t *Tree) Encode() ([]byte, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, eris.Wrap(&InvalidError{Reason: err.Error()}, "encode")
	}
	return data, nil
}
