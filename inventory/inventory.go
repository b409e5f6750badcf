// Package inventory defines the platform's protocols for hosts and workers: the
// host list, which lags behind the actual state, and the worker control
// interface. docs/PLATFORM.md lists the assumptions about both.
//
// The types are the JSON bodies on the wire. The names of durations and times
// include their unit.
package inventory

import (
	"context"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// MaxLag is the maximum age of the host list: each entry was correct at some
// time within the last MaxLag.
const MaxLag = time.Minute

// HostState is the state that the platform reports for a worker, backend server
// or entry host.
type HostState string

// Host states.
const (
	StateLive    HostState = "live"    // accepts new work
	StateLeaving HostState = "leaving" // accepts no new work, completes the work that it has
	StateGone    HostState = "gone"    // its processes have ended
)

// Worker is a worker host in the host list.
type Worker struct {
	ID         fleet.WorkerID   `json:"id"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	Rack       fleet.Rack       `json:"rack"`
	Address    string           `json:"address"` // host:port of the worker's control interface
	Capacity   fleet.Resources  `json:"capacity"`
	State      HostState        `json:"state"`
}

// Server is a backend server in the host list.
type Server struct {
	ID           fleet.ServerID     `json:"id"`
	Service      fleet.Service      `json:"service"`
	Organisation fleet.Organisation `json:"organisation"`
	DataCentre   fleet.DataCentre   `json:"data_centre"`
	Worker       fleet.WorkerID     `json:"worker"`
	Address      string             `json:"address"`     // host:port, HTTP/1.1
	Slots        int                `json:"slots"`       // maximum number of concurrent requests
	Connections  int                `json:"connections"` // maximum number of connections
	Reserved     fleet.Resources    `json:"reserved"`    // deducted from its worker's capacity
	State        HostState          `json:"state"`
}

// EntryHost is an entry host in the host list. A process that the platform
// reports as gone is guaranteed to have ended.
type EntryHost struct {
	ID          fleet.HostID      `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"` // 0: all incarnations
	State       HostState         `json:"state"`
}

// HostList is one version of the platform's host list. It lags behind the actual
// state.
type HostList struct {
	Version    int64       `json:"version"`         // never decreases
	Since      int64       `json:"since,omitempty"` // if not 0, the list holds only entries changed after this version
	Workers    []Worker    `json:"workers"`
	Servers    []Server    `json:"servers"`
	EntryHosts []EntryHost `json:"entry_hosts"`
}

// HostLister reads the host list.
type HostLister interface {
	// Hosts returns true and either the whole list or its changes since version
	// known, if the list has a higher version than known, and false otherwise. A
	// changed entry replaces the one with the same ID. Changes never remove
	// entries; they set their state to gone.
	Hosts(ctx context.Context, known int64) (HostList, bool, error)
}

// View provides the newest host list that this host has received. It is safe for
// concurrent use.
type View interface {
	// Hosts returns the newest list received; its version never decreases. The
	// caller must not modify it.
	Hosts() *HostList
	// Changed returns a channel that is closed when a newer list is received.
	Changed() <-chan struct{}
}
