package shard

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Runner runs the shards of one kind that this host owns.
type Runner interface {
	// Run runs shard id; owner is this process with the epoch of its claim. It
	// returns once ctx has ended and no work of the shard is in progress, or
	// when the shard can't continue (for example with a
	// *wal.StoppedError). The manager releases the claim only after Run
	// has returned. If Run returns while the claim is still held, the manager
	// runs the shard again after a delay.
	Run(ctx context.Context, id ID, owner Owner) error
}

// SendRights reports which fronts this process may send requests for.
// Implementations are safe for concurrent use and cheap enough to be called
// before every request.
type SendRights interface {
	// MaySend reports whether this process may start a request to a backend
	// server of the front now. It becomes false before any other host may
	// send.
	MaySend(front ID) bool
}

// CellNumber returns the number, from 0 to cells-1, of the cell (and front) of
// its data centre that a worker and its backend servers belong to.
func CellNumber(worker fleet.WorkerID, cells int) int {
	nodes := make([]string, cells)
	for i := range nodes {
		nodes[i] = strconv.Itoa(i)
	}
	r := rendezvous.New(nodes, xxhash.Sum64String)
	n, err := strconv.Atoi(r.Lookup(string(worker)))
	if err != nil {
		return 0 // happens only if cells is 0, which the settings reject
	}
	return n
}
