package cell

import (
	"context"

	"github.com/fuchsiahill/fuchsiahill/journal"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// OpenJournal returns an OpenFunc that keeps cells in the platform's store.
func OpenJournal(deps journal.Deps) OpenFunc {
	return func(ctx context.Context, id shard.ID, owner shard.Owner, m journal.Machine) (Journal, error) {
		return journal.Open(ctx, deps, string(id), journal.Owner(owner), m)
	}
}
