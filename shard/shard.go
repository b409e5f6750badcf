// Package shard assigns shards to entry hosts and keeps their ownership
// exclusive through restarts, process pauses and outages of the store.
package shard

import (
	"fmt"
	"strings"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Kind is what a shard holds.
type Kind string

// Kinds of shards. Queues and cells change owner when the owner's lease in the
// store expires, which the journal and fencing tokens make safe. A front is the
// exclusive right to send requests to the backend servers of a cell; its
// ownership outlasts outages of the store.
const (
	KindQueue Kind = "queue"
	KindCell  Kind = "cell"
	KindFront Kind = "front"
)

// ID identifies a shard: "queue/<team>/<n>", "cell/<data centre>/<n>" or
// "front/<data centre>/<n>".
type ID string

// Kind returns the part of the ID before the first slash.
func (id ID) Kind() Kind {
	kind, _, _ := strings.Cut(string(id), "/")
	return Kind(kind)
}

// NewID returns the ID of shard n of a scope (a team or data centre).
func NewID(kind Kind, scope string, n int) ID {
	return ID(fmt.Sprintf("%s/%s/%d", kind, scope, n))
}

// Owner is the process that owns a shard according to the claim in the store.
type Owner struct {
	Host        fleet.HostID      `json:"host"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Epoch       fleet.Epoch       `json:"epoch"`
}

// Directory looks up the owners of shards. Implementations are safe for
// concurrent use.
type Directory interface {
	// Owner returns the current owner of id, or false if this host knows of
	// none.
	Owner(id ID) (Owner, bool)
}
