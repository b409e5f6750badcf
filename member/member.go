// Package member tracks the entry hosts: their incarnations, their addresses and the
// load that each reports.
package member

import (
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// Host is the record of an entry host in the store, attached to the host's lease.
type Host struct {
	ID          fleet.HostID      `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Region      fleet.Region      `json:"region"`
	DataCentre  fleet.DataCentre  `json:"data_centre"`
	HTTPAddress string            `json:"http_address"` // host:port for callers and operators
	PeerAddress string            `json:"peer_address"` // host:port for JSON-RPC
	// Ended means that the process has released its shards and is about to exit. A
	// Directory never returns such a record.
	Ended bool `json:"ended,omitempty"`
}

// Summary is the load that a host reports. Peers exchange summaries that have
// changed.
type Summary struct {
	Host        fleet.HostID                  `json:"host"`
	Incarnation fleet.Incarnation             `json:"incarnation"`
	Sequence    uint64                        `json:"sequence"` // of this incarnation; never decreases
	Settings    store.Revision                `json:"settings"` // revision of the settings in force
	Services    map[fleet.Service]ServiceLoad `json:"services,omitempty"`
	Cells       map[string]CellLoad           `json:"cells,omitempty"` // by shard ID
	StoreOK     bool                          `json:"store_ok"`
	Draining    bool                          `json:"draining,omitempty"`
}

// ServiceLoad is a host's spare capacity for one service.
type ServiceLoad struct {
	Slots   int `json:"slots"` // total of the backend servers that this host owns
	Free    int `json:"free"`
	Waiting int `json:"waiting"`
}

// CellLoad is the load of one cell. Loads of a cell are ordered by Epoch, then by
// Sequence; the highest is the newest.
type CellLoad struct {
	Epoch         fleet.Epoch      `json:"epoch"`    // of the owner
	Sequence      uint64           `json:"sequence"` // counts the changes of the load under this owner
	DataCentre    fleet.DataCentre `json:"data_centre"`
	Capacity      fleet.Resources  `json:"capacity"`
	Free          fleet.Resources  `json:"free"`
	LargestFit    fleet.Resources  `json:"largest_fit"`    // free capacity of the worker that has most free
	LargestWorker fleet.Resources  `json:"largest_worker"` // capacity of the largest worker that accepts tasks
	Waiting       int              `json:"waiting"`        // number of waiting tasks
	Queued        fleet.Resources  `json:"queued"`         // total resources of the waiting tasks
	// UnusedGuarantees is how much more each organisation may get under its
	// guarantee. Organisations that may get nothing are left out.
	UnusedGuarantees map[fleet.Organisation]fleet.Resources `json:"owed,omitempty"`
}

// NewerThan reports whether l is newer than o.
func (l CellLoad) NewerThan(o CellLoad) bool {
	return l.Epoch > o.Epoch || l.Epoch == o.Epoch && l.Sequence > o.Sequence
}

// Directory provides the known hosts. Implementations are safe for concurrent use.
type Directory interface {
	// Hosts returns the hosts whose lease in the store was valid when last seen,
	// ordered by ID.
	Hosts() []Host
	// Host returns the host with the given ID, and false if it is not one of them.
	Host(id fleet.HostID) (Host, bool)
	// Summary returns the newest known summary of a host, and false if there is
	// none.
	Summary(id fleet.HostID) (Summary, bool)
}
