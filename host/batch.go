package host

import (
	"github.com/fuchsiahill/fuchsiahill/cell"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/queue"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

// batch holds the components of a host that schedule batch jobs.
type batch struct {
	cells  *cell.Server
	queues *queue.Server
	jobs   job.Service
}

func (h *Host) wireBatch() *batch {
	workers := h.opts.Workers
	if workers == nil {
		workers = inventory.NewHTTPWorkers(inventory.HTTPWorkersOptions{})
	}
	pace := wal.Pace{WriteBudget: h.journalWrites}
	return &batch{
		cells: cell.NewServer(cell.Deps{
			Open:      cell.OpenJournal(wal.Deps{Store: h.meteredStore, Logger: h.logger, Pace: pace}),
			Workers:   workers,
			Hosts:     h.poller,
			Settings:  h.tracker,
			Directory: h.manager,
			Members:   h.registry,
			Peers:     h.peerClient,
			Registry:  h.peerServer,
			Latencies: latencies{h.gateway},
			Logger:    h.logger,
		}),
		queues: queue.NewServer(queue.Deps{
			Region:   h.cfg.Region,
			Store:    h.meteredStore,
			Pace:     pace,
			Peers:    h.peerClient,
			Registry: h.peerServer,
			Members:  h.registry,
			Shards:   h.manager,
			Settings: h.tracker,
			Platform: h.poller,
			Logger:   h.logger,
		}),
		jobs: queue.NewClient(queue.ClientDeps{Peers: h.peerClient, Shards: h.manager, Settings: h.tracker}),
	}
}
