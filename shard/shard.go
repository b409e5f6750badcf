// Package shard decides which entry host owns which shard, and makes that
// ownership safe over restarts, pauses and outages of the store.
package shard

import (
	"fmt"
	"strings"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Kind is the kind of a shard.
type Kind string

// Kinds of shards. Ownership of queues and cells passes when the owner's
// store lease lapses, since journal and fencing tokens make that safe.
// Ownership of fronts (the sole right to send requests to the backend servers
// of a cell) outlives outages of the store.
const (
	KindQueue Kind = "queue"
	KindCell  Kind = "cell"
	KindFront Kind = "front"
)

// ID names a shard: "queue/<team>/<n>", "cell/<data centre>/<n>" or
// "front/<data centre>/<n>".
type ID string

// Kind returns the part of the ID before the first slash.
func (id ID) Kind() Kind {
	kind, _, _ := strings.Cut(string(id), "/")
	return Kind(kind)
}

// NewID builds the ID of shard n under a scope (team or data centre).
func NewID(kind Kind, scope string, n int) ID {
	return ID(fmt.Sprintf("%s/%s/%d", kind, scope, n))
}

// Owner is the holder of a shard, as its claim in the store says.
type Owner struct {
	Host        fleet.HostID      `json:"host"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Epoch       fleet.Epoch       `json:"epoch"`
}

// Directory tells who owns a shard. It is safe for concurrent use.
type Directory interface {
	// Owner returns the present owner of id and true, or false if nobody
	// owns it as far as this host knows.
	Owner(id ID) (Owner, bool)
}
