package host

import (
	"context"

	"github.com/fuchsiahill/fuchsiahill/cell"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/journal"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/queue"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// batch is the batch half of a host.
type batch struct {
	cells  *cell.Server
	queues *queue.Server
	jobs   job.Service
}

func (h *Host) wireBatch() *batch {
	workers := h.opts.Workers
	if workers == nil {
		workers = platform.NewHTTPWorkers(platform.HTTPWorkersOptions{})
	}
	return &batch{
		cells: cell.NewServer(cell.Deps{
			Open:      h.openJournal,
			Workers:   workers,
			Hosts:     h.poller,
			Settings:  h.tracker,
			Directory: h.manager,
			Members:   h.registry,
			Peers:     h.caller,
			Registry:  h.peers,
			Latencies: latencies{h.gateway},
			Logger:    h.logger,
		}),
		queues: queue.NewServer(queue.Deps{
			Region:   h.cfg.Region,
			Store:    h.metered,
			Peers:    h.caller,
			Registry: h.peers,
			Members:  h.registry,
			Shards:   h.manager,
			Settings: h.tracker,
			Platform: h.poller,
			Logger:   h.logger,
		}),
		jobs: queue.NewClient(queue.ClientDeps{Peers: h.caller, Shards: h.manager, Settings: h.tracker}),
	}
}

// openJournal implements cell.OpenFunc.
func (h *Host) openJournal(ctx context.Context, id shard.ID, owner shard.Owner, m journal.Machine) (cell.Journal, error) {
	deps := journal.Deps{Store: h.metered, Logger: h.logger}
	by := journal.Owner{Host: owner.Host, Incarnation: owner.Incarnation, Epoch: owner.Epoch}
	return journal.Open(ctx, deps, string(id), by, m)
}
