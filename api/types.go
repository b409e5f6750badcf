package api

import (
	"encoding/json"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// SettingsValue is a part of the settings in force on the host that serves the
// call.
type SettingsValue struct {
	Revision    store.Revision  `json:"revision"`
	ConfirmedAt time.Time       `json:"confirmed_at,omitzero"` // when the store last confirmed Revision as the newest
	Path        string          `json:"path,omitempty"`        // empty: the whole tree
	Value       json.RawMessage `json:"value"`
}

// SetRequest sets the value at a path: PUT /v1/settings.
type SetRequest struct {
	ID     string          `json:"id"` // change ID, a UUIDv7; a repeated change keeps its ID
	Path   string          `json:"path"`
	Value  json.RawMessage `json:"value"`
	Expect store.Revision  `json:"expect,omitempty"` // 0: whichever revision is the newest
}

// UnsetRequest removes the value at a path: POST /v1/settings/unset.
type UnsetRequest struct {
	ID     string         `json:"id"`
	Path   string         `json:"path"`
	Expect store.Revision `json:"expect,omitempty"`
}

// StateRequest puts a data centre in or out of service:
// PUT /v1/data_centres/{name}/state.
type StateRequest struct {
	ID     string                   `json:"id"`
	State  settings.DataCentreState `json:"state"`
	Expect store.Revision           `json:"expect,omitempty"`
}

// Explanation lists the values in force at a leaf.
type Explanation struct {
	Revision store.Revision `json:"revision"`
	settings.Leaf
	Values []settings.Origin `json:"values"`
}

// Validation is the response for a valid settings tree.
type Validation struct {
	Valid bool `json:"valid"`
}

// History lists audit records, newest first.
type History struct {
	Records []settings.Record `json:"records"`
	Next    store.Revision    `json:"next,omitempty"` // value of before for the next page; 0: no more
}

// HostRevision is the revision of the settings in force on a host.
type HostRevision struct {
	Host     fleet.HostID   `json:"host"`
	Revision store.Revision `json:"revision"` // 0: unknown
}

// WaitResult reports whether a revision or a higher one is in force on all hosts.
type WaitResult struct {
	Revision store.Revision `json:"revision"`
	InForce  bool           `json:"in_force"`
	Hosts    int            `json:"hosts"`
	Laggards []HostRevision `json:"laggards"`
}

// DataCentre is a data centre in the settings in force.
type DataCentre struct {
	Name fleet.DataCentre `json:"name"`
	settings.DataCentre
}

// DataCentres lists the data centres.
type DataCentres struct {
	Revision    store.Revision `json:"revision"`
	DataCentres []DataCentre   `json:"data_centres"`
}

// Host is the state of an entry host as the serving host knows it.
type Host struct {
	member.Host
	Known    bool           `json:"known"` // a summary of this incarnation was received
	Settings store.Revision `json:"settings"`
	StoreOK  bool           `json:"store_ok"`
	Draining bool           `json:"draining"`
	Shards   int            `json:"shards"` // owned
	Slots    int            `json:"slots"`  // of backend servers
	Free     int            `json:"free"`
	Waiting  int            `json:"waiting"` // requests
	Cells    int            `json:"cells"`   // owned, included in Shards
	Tasks    int            `json:"tasks"`   // waiting in those cells
}

// Hosts lists the entry hosts.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// Shard is a shard with its owner.
type Shard struct {
	ID    shard.ID     `json:"id"`
	Owner *shard.Owner `json:"owner,omitempty"` // nil: this host knows of no owner
}

// Shards lists the shards.
type Shards struct {
	Shards []Shard `json:"shards"`
}

// Service is the load of one service over all hosts.
type Service struct {
	Name    fleet.Service `json:"name"`
	Hosts   int           `json:"hosts"` // that own backend servers of the service
	Slots   int           `json:"slots"`
	Free    int           `json:"free"`
	Waiting int           `json:"waiting"`
}

// Services lists the services.
type Services struct {
	Services []Service `json:"services"`
}

// Status is the state of the system as one host knows it.
type Status struct {
	Host        fleet.HostID   `json:"host"` // that serves the call
	Ready       bool           `json:"ready"`
	Reason      string         `json:"reason,omitempty"` // why the host is not ready
	Revision    store.Revision `json:"revision"`
	ConfirmedAt time.Time      `json:"confirmed_at,omitzero"`
	Hosts       []Host         `json:"hosts"`
	DataCentres []DataCentre   `json:"data_centres"`
	Unowned     int            `json:"unowned"` // shards without a known owner
}
