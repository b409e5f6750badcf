// Package settings implements the tree of settings that operators change: its
// types, validation, inheritance and audit trail, and the view of it in force
// on each host.
package settings

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// Resolved is the complete set of values in force at one leaf of the tree,
// after inheritance. The JSON name of each value is its name in the tree.
type Resolved struct {
	// Requests.
	RequestTimeoutMS   int64   `json:"request_timeout_ms"`   // whole exchange, if the caller sets no deadline
	ObjectiveMS        int64   `json:"objective_ms"`         // latency objective at the 99th percentile
	Concurrency        int     `json:"concurrency"`          // concurrent requests per service and entry host
	QueueLength        int     `json:"queue_length"`         // requests waiting per service and entry host
	RetryBudgetPercent float64 `json:"retry_budget_percent"` // of recent requests
	FirstByteTimeoutMS int64   `json:"first_byte_timeout_ms"`
	IdleTimeoutMS      int64   `json:"idle_timeout_ms"` // maximum time without data within a body
	DialTimeoutMS      int64   `json:"dial_timeout_ms"`
	BufferBytes        int64   `json:"buffer_bytes"` // responses up to this size are buffered whole

	// Batch.
	Priority           int     `json:"priority"` // 0 to 100, higher first; urgent is 90 and above
	MaxAttempts        int     `json:"max_attempts"`
	TerminationGraceMS int64   `json:"grace_ms"`         // for a checkpoint before a task is stopped
	WorkerLeaseMS      int64   `json:"worker_lease_ms"`  // lease of tasks on a worker
	EvictionsPerMinute int     `json:"evictions_minute"` // limit per cell
	ThrottleFloor      float64 `json:"throttle_floor"`   // minimum share of a throttled task
	AgingPerMinute     float64 `json:"aging_per_minute"` // priority gained per minute by a waiting job

	// Sharing between organisations.
	Guarantee         Guarantees `json:"guarantee_percent"` // of each cell's batch capacity, for an organisation
	ReclaimDeadlineMS int64      `json:"take_back_ms"`      // within which lent capacity is reclaimed
}

// DataCentreState is whether operators have a data centre in service. Out of
// service, it is given no work.
type DataCentreState string

// Data centre states.
const (
	DataCentreInService    DataCentreState = "in"
	DataCentreOutOfService DataCentreState = "out"
)

// DataCentre is the entry of one data centre.
type DataCentre struct {
	Region fleet.Region    `json:"region" validate:"required"`
	State  DataCentreState `json:"state" validate:"oneof=in out"`
	Cells  int             `json:"cells" validate:"gte=1,lte=64"` // number of cells; can't change after creation
}

// Team is the entry of one team: its organisation, home region and quota.
type Team struct {
	Organisation fleet.Organisation `json:"organisation" validate:"required"`
	Region       fleet.Region       `json:"region" validate:"required"` // whose hosts own the team's queue shards
	Quota        fleet.Resources    `json:"quota"`
	Shards       int                `json:"shards" validate:"gte=1,lte=16"` // queue shards that share the quota
}

// Snapshot is the tree at one revision, resolved for lookups. It is immutable.
type Snapshot interface {
	Revision() store.Revision
	DataCentres() map[fleet.DataCentre]DataCentre
	Teams() map[fleet.Team]Team
	// Service returns the values for a service of an organisation in a data
	// centre. Unknown names inherit from the level above. For an empty data
	// centre it returns the values that apply where no data centre's level
	// overrides them.
	Service(fleet.Organisation, fleet.DataCentre, fleet.Service) Resolved
	// JobClass returns the values for a job class in the same way as Service.
	JobClass(fleet.Organisation, fleet.DataCentre, fleet.JobClass) Resolved
}

// View provides the settings in force on this host. It is safe for concurrent
// use.
type View interface {
	// Current returns the snapshot in force. Its revision never decreases.
	Current() Snapshot
	// ConfirmedAt returns the time at which Current was last known to be the
	// newest snapshot in the store. Tasks may be started only until 2 s after
	// that time.
	ConfirmedAt() time.Time
}
