// Package member knows the entry hosts: who exists, under which incarnation,
// at which addresses, and how loaded each says it is.
package member

import (
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// Host is the record of an entry host in the store, kept under its lease.
type Host struct {
	ID          fleet.HostID      `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Region      fleet.Region      `json:"region"`
	DataCentre  fleet.DataCentre  `json:"data_centre"`
	HTTPAddress string            `json:"http_address"` // host:port for callers and operators
	PeerAddress string            `json:"peer_address"` // host:port for JSON-RPC
	// Ended says that the process has released its shards and ends now. A
	// Directory never returns such a record.
	Ended bool `json:"ended,omitempty"`
}

// Summary is what a host says of its load. Peers exchange changed summaries.
type Summary struct {
	Host        fleet.HostID                  `json:"host"`
	Incarnation fleet.Incarnation             `json:"incarnation"`
	Sequence    uint64                        `json:"sequence"` // of this incarnation; never goes back
	Settings    store.Revision                `json:"settings"` // revision in force
	Services    map[fleet.Service]ServiceLoad `json:"services,omitempty"`
	Cells       map[string]CellLoad           `json:"cells,omitempty"` // by shard ID
	StoreOK     bool                          `json:"store_ok"`
	Draining    bool                          `json:"draining,omitempty"`
}

// ServiceLoad is a host's spare capacity for one service.
type ServiceLoad struct {
	Slots   int `json:"slots"` // of the servers this host owns
	Free    int `json:"free"`
	Waiting int `json:"waiting"`
}

// CellLoad is the load of one cell. Of two, the one with the higher Epoch,
// then the higher Sequence, is newer.
type CellLoad struct {
	Epoch         fleet.Epoch      `json:"epoch"`    // of the owner
	Sequence      uint64           `json:"sequence"` // of the owner's changes of the load
	DataCentre    fleet.DataCentre `json:"data_centre"`
	Capacity      fleet.Resources  `json:"capacity"`
	Free          fleet.Resources  `json:"free"`
	LargestFit    fleet.Resources  `json:"largest_fit"`    // free on the emptiest worker
	LargestWorker fleet.Resources  `json:"largest_worker"` // capacity of the largest worker that takes tasks
	Waiting       int              `json:"waiting"`
	Queued        fleet.Resources  `json:"queued"` // size of the waiting tasks
	// UnusedGuarantees is how much more each organisation may get under its
	// guarantee. Organisations that may get nothing are left out.
	UnusedGuarantees map[fleet.Organisation]fleet.Resources `json:"owed,omitempty"`
}

// NewerThan reports whether l describes a later moment than o.
func (l CellLoad) NewerThan(o CellLoad) bool {
	return l.Epoch > o.Epoch || l.Epoch == o.Epoch && l.Sequence > o.Sequence
}

// Directory tells the known hosts. It is safe for concurrent use.
type Directory interface {
	// Hosts returns the hosts whose store lease was last seen alive, ordered
	// by ID.
	Hosts() []Host
	// Host returns one of them.
	Host(id fleet.HostID) (Host, bool)
	// Summary returns the newest summary known of a host.
	Summary(id fleet.HostID) (Summary, bool)
}
