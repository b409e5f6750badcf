package cell

import (
	"context"

	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

// OpenJournal returns an OpenFunc that keeps cells in the platform's store.
func OpenJournal(deps wal.Deps) OpenFunc {
	return func(ctx context.Context, id shard.ID, owner shard.Owner, m wal.Machine) (Journal, error) {
		return wal.Open(ctx, deps, string(id), wal.Owner(owner), m)
	}
}
