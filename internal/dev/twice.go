package dev

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// momentPoll is how often a run looks whether the moment for a fault has come.
const momentPoll = 10 * time.Millisecond

// sameFaults are faults that strike twice at once, or at the worst moment.
func sameFaults() []fault {
	return []fault{
		{"two hosts killed", (*run).killTwoHosts},
		{"host and its successor killed", (*run).killSuccessor},
		{"host killed as it acknowledges", (*run).killAcknowledging},
		{"two workers killed", (*run).killTwoWorkers},
	}
}

// killTwoHosts ends two hosts at the same moment. The repair starts two others.
func (r *run) killTwoHosts(_ context.Context, random *rand.Rand) func(context.Context) {
	up := r.hosts.list()
	survivor := random.IntN(len(up))
	r.killEntries(append(up[:survivor:survivor], up[survivor+1:]...)...)
	return r.replaceTwo
}

func (r *run) replaceTwo(ctx context.Context) {
	r.replaceHost(ctx)
	r.replaceHost(ctx)
}

// killSuccessor ends the owner of the team's queue, and then the host that
// takes it over as soon as its claim is seen.
func (r *run) killSuccessor(ctx context.Context, _ *rand.Rand) func(context.Context) {
	first := r.queueOwner(ctx, nil)
	if first == nil {
		return func(context.Context) {}
	}
	r.killEntries(first)
	if second := r.queueOwner(ctx, first); second != nil {
		r.killEntries(second)
	}
	return r.replaceTwo
}

// killAcknowledging ends the owner of the team's queue as it acknowledges a
// job, while the store is slow: what it has not written by then never is.
func (r *run) killAcknowledging(ctx context.Context, _ *rand.Rand) func(context.Context) {
	owner := r.queueOwner(ctx, nil)
	r.site.Store.SetFaults(standin.StoreFaults{Delay: slowStore})
	r.jobs.submit(ctx, "claims-at-the-end")
	if owner != nil {
		r.killEntries(owner)
	}
	return func(ctx context.Context) {
		r.site.Store.SetFaults(standin.StoreFaults{})
		r.replaceHost(ctx)
	}
}

// queueOwner returns the host that owns the team's queue, once it is another
// one than before; nil if ctx ends first.
func (r *run) queueOwner(ctx context.Context, before *entry) *entry {
	for ctx.Err() == nil {
		if e := r.ownerOf(ctx, shard.NewID(shard.KindQueue, string(team), 0)); e != nil && e != before {
			return e
		}
		_ = wait.For(ctx, momentPoll)
	}
	return nil
}

// ownerOf returns the host that owns a shard, if it is up.
func (r *run) ownerOf(ctx context.Context, id shard.ID) *entry {
	shards, err := r.hosts.client().Shards(ctx)
	if err != nil {
		return nil
	}
	for _, s := range shards.Shards {
		if s.ID == id && s.Owner != nil {
			return r.hosts.find(s.Owner.Host)
		}
	}
	return nil
}

// killTwoWorkers ends two workers without backend servers, of different data
// centres, at the same moment.
func (r *run) killTwoWorkers(context.Context, *rand.Rand) func(context.Context) {
	var victims []*standin.Worker
	var ids []fleet.WorkerID
	for i := range dataCentres {
		w := r.site.Workers[(i+1)*workersPerDataCentre-1]
		victims = append(victims, w)
		ids = append(ids, w.Info().ID)
	}
	for _, w := range victims {
		w.Kill()
	}
	r.setWorkers(inventory.StateGone, ids...)
	return func(context.Context) {
		for _, w := range victims {
			w.Restart()
		}
		r.setWorkers(inventory.StateLive, ids...)
	}
}
