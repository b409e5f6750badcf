package cell

import (
	"context"
	"fmt"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

// Journal is the open journal of one cell.
type Journal interface {
	wal.Committer
	// Serve runs the journal until ctx ends or another owner takes it over.
	// In the latter case it returns a *wal.StoppedError.
	Serve(ctx context.Context) error
}

// OpenFunc opens a cell's journal for owner: it recovers the state into m and
// appends the first entry, which fences every earlier owner.
type OpenFunc func(ctx context.Context, id shard.ID, owner shard.Owner, m wal.Machine) (Journal, error)

// Deps holds the dependencies of a Server. All fields except Latencies and
// Members are required.
type Deps struct {
	Open      OpenFunc
	Workers   inventory.WorkerControl
	Hosts     inventory.View
	Settings  settings.View
	Directory shard.Directory
	Members   member.Directory // nil: a newer incarnation of a host does not prove that an owner has ended
	Peers     peer.Caller
	Registry  peer.Registry
	Latencies LatencySource // nil: no task is throttled or evicted to protect a service
	Logger    log.Logger
}

// FencedError reports that a worker has accepted the fencing token of a later
// owner of the cell.
type FencedError struct {
	Worker fleet.WorkerID
	Token  fleet.Epoch
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("cell: worker %s has token %d of a later owner", e.Worker, e.Token)
}

// NotCellError reports a shard ID that does not name a cell.
type NotCellError struct{ ID shard.ID }

func (e *NotCellError) Error() string { return fmt.Sprintf("cell: %q is not a cell", string(e.ID)) }

// JournalError reports that the journal of a cell has stopped.
type JournalError struct{ ID shard.ID }

func (e *JournalError) Error() string {
	return fmt.Sprintf("cell: journal of %s stopped", string(e.ID))
}

// NoOwnerError reports that no host is known to own a queue.
type NoOwnerError struct{ Queue shard.ID }

func (e *NoOwnerError) Error() string {
	return fmt.Sprintf("cell: %s has no known owner", string(e.Queue))
}
