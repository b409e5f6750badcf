// Package inventory describes the platform's protocols for hosts and workers
// as the scheduler meets them: the lagging host list and the worker control
// interface. docs/PLATFORM.md lists the assumptions.
//
// The types are the JSON bodies on the wire. Durations and times carry their
// unit in their name.
package inventory

import (
	"context"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// MaxLag bounds how old the host list may be: what it shows was true at some
// moment within MaxLag.
const MaxLag = time.Minute

// HostState is the platform's word on a worker, backend server or entry host.
type HostState string

// Host states.
const (
	StateLive    HostState = "live"    // takes new work
	StateLeaving HostState = "leaving" // takes no new work, finishes what it has
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
	Address      string             `json:"address"` // host:port, HTTP/1.1
	Slots        int                `json:"slots"`   // concurrent requests
	Connections  int                `json:"connections"`
	Reserved     fleet.Resources    `json:"reserved"` // taken from its worker's capacity
	State        HostState          `json:"state"`
}

// EntryHost is an entry host in the host list. A process that the platform
// reports as gone has surely ended.
type EntryHost struct {
	ID          fleet.HostID      `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"` // 0: every incarnation
	State       HostState         `json:"state"`
}

// HostList is the platform's view at one version. It lags behind the truth.
type HostList struct {
	Version    int64       `json:"version"`         // never decreases
	Since      int64       `json:"since,omitempty"` // not 0: only what has changed after this version
	Workers    []Worker    `json:"workers"`
	Servers    []Server    `json:"servers"`
	EntryHosts []EntryHost `json:"entry_hosts"`
}

// HostLister reads the host list.
type HostLister interface {
	// Hosts returns true and the list, or what has changed in it since known,
	// if its version is above known, else false. An entry that has changed
	// replaces the one with its ID; entries are never removed by a change,
	// only shown as gone.
	Hosts(ctx context.Context, known int64) (HostList, bool, error)
}

// View is the host list as this host last saw it. It is safe for concurrent
// use.
type View interface {
	// Hosts returns the newest list seen; its version never decreases. The
	// caller must not change it.
	Hosts() *HostList
	// Changed returns a channel that is closed when a newer list is seen.
	Changed() <-chan struct{}
}
