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
	// Run runs shard id under owner (this process). It returns when ctx has
	// ended and nothing of the shard is in progress any more, or when the
	// shard can't go on (for example with a *journal.StoppedError). The
	// manager releases the claim only after Run has returned; it runs the
	// shard again if it still holds the claim.
	Run(ctx context.Context, id ID, owner Owner) error
}

// SendRights tells which fronts this process may send requests for. It is safe
// for concurrent use and cheap enough to ask before every request.
type SendRights interface {
	// MaySend reports whether this process may at this moment begin a request
	// to a backend server of the front. It turns false before any other host
	// may send.
	MaySend(front ID) bool
}

// CellNumber returns which of the cells (and fronts) of its data centre, 0 to
// cells-1, a worker and the backend servers on it belong to.
func CellNumber(worker fleet.WorkerID, cells int) int {
	nodes := make([]string, cells)
	for i := range nodes {
		nodes[i] = strconv.Itoa(i)
	}
	r := rendezvous.New(nodes, xxhash.Sum64String)
	n, err := strconv.Atoi(r.Lookup(string(worker)))
	if err != nil {
		return 0 // only without cells, which settings refuse
	}
	return n
}
