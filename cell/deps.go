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
	// Serve runs the shard until ctx ends or the journal is lost to another
	// owner; then it returns a *wal.StoppedError.
	Serve(ctx context.Context) error
}

// OpenFunc opens a cell's journal for owner: it recovers the state into m and
// appends the first entry, which fences every owner before.
type OpenFunc func(ctx context.Context, id shard.ID, owner shard.Owner, m wal.Machine) (Journal, error)

// Deps is what a Server works with. All fields but Latencies and Members are
// required.
type Deps struct {
	Open      OpenFunc
	Workers   inventory.WorkerControl
	Hosts     inventory.View
	Settings  settings.View
	Directory shard.Directory
	Members   member.Directory // nil: no process is known to have ended by its successor
	Peers     peer.Caller
	Registry  peer.Registry
	Latencies LatencySource // nil: no task is throttled or evicted for a service
	Logger    log.Logger
}

// FencedError reports that a worker has seen the token of a later owner of
// the cell.
type FencedError struct {
	Worker fleet.WorkerID
	Token  fleet.Epoch
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("cell: worker %s has token %d of a later owner", e.Worker, e.Token)
}

// InvalidShardError reports a shard ID that does not name a cell.
type InvalidShardError struct{ ID shard.ID }

func (e *InvalidShardError) Error() string {
	return fmt.Sprintf("cell: %q is not a cell", string(e.ID))
}

// JournalStoppedError reports that the journal of a cell stopped.
type JournalStoppedError struct{ ID shard.ID }

func (e *JournalStoppedError) Error() string {
	return fmt.Sprintf("cell: journal of %s stopped", string(e.ID))
}

// NoOwnerError reports that no host is known to own a queue.
type NoOwnerError struct{ Queue shard.ID }

func (e *NoOwnerError) Error() string {
	return fmt.Sprintf("cell: nobody owns %s", string(e.Queue))
}
