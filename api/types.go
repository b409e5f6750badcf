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

// SettingsValue is a part of the tree in force on the host that answers.
type SettingsValue struct {
	Revision    store.Revision  `json:"revision"`
	ConfirmedAt time.Time       `json:"confirmed_at,omitzero"` // the store last confirmed Revision as the newest
	Path        string          `json:"path,omitempty"`        // empty: the whole tree
	Value       json.RawMessage `json:"value"`
}

// SetRequest sets a path: PUT /v1/settings.
type SetRequest struct {
	ID     string          `json:"id"` // change ID, a UUIDv7; repeat a change under the same one
	Path   string          `json:"path"`
	Value  json.RawMessage `json:"value"`
	Expect store.Revision  `json:"expect,omitempty"` // 0: the newest revision
}

// UnsetRequest unsets a path: POST /v1/settings/unset.
type UnsetRequest struct {
	ID     string         `json:"id"`
	Path   string         `json:"path"`
	Expect store.Revision `json:"expect,omitempty"`
}

// StateRequest takes a data centre in or out: PUT /v1/data_centres/{name}/state.
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

// Validation is the answer for a tree that is valid.
type Validation struct {
	Valid bool `json:"valid"`
}

// History lists audit records, newest first.
type History struct {
	Records []settings.Record `json:"records"`
	Next    store.Revision    `json:"next,omitempty"` // pass as before for the next page
}

// HostRevision is the revision of the settings in force on a host.
type HostRevision struct {
	Host     fleet.HostID   `json:"host"`
	Revision store.Revision `json:"revision"` // 0: not known
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

// Host is what is known of an entry host.
type Host struct {
	member.Host
	Known    bool           `json:"known"` // a summary of this incarnation was received
	Settings store.Revision `json:"settings"`
	StoreOK  bool           `json:"store_ok"`
	Draining bool           `json:"draining"`
	Shards   int            `json:"shards"` // held
	Slots    int            `json:"slots"`  // of backend servers
	Free     int            `json:"free"`
	Waiting  int            `json:"waiting"` // requests
	Cells    int            `json:"cells"`   // held, of Shards
	Tasks    int            `json:"tasks"`   // waiting in those cells
}

// Hosts lists the entry hosts.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// Shard is a shard with its owner.
type Shard struct {
	ID    shard.ID     `json:"id"`
	Owner *shard.Owner `json:"owner,omitempty"` // nil: nobody, as far as this host knows
}

// Shards lists the shards.
type Shards struct {
	Shards []Shard `json:"shards"`
}

// Service is the load of one service over all hosts.
type Service struct {
	Name    fleet.Service `json:"name"`
	Hosts   int           `json:"hosts"` // that own backend servers of it
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
	Host        fleet.HostID   `json:"host"` // that answers
	Ready       bool           `json:"ready"`
	Reason      string         `json:"reason,omitempty"` // for not being ready
	Revision    store.Revision `json:"revision"`
	ConfirmedAt time.Time      `json:"confirmed_at,omitzero"`
	Hosts       []Host         `json:"hosts"`
	DataCentres []DataCentre   `json:"data_centres"`
	Unowned     int            `json:"unowned"` // shards without a known owner
}
