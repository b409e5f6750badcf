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

// conditionPollInterval is how often a run checks the condition for injecting a
// fault.
const conditionPollInterval = 10 * time.Millisecond

// compoundFaults returns faults that hit two components at once, or one component
// at the worst moment.
func compoundFaults() []fault {
	return []fault{
		{"two hosts killed", (*run).killTwoHosts},
		{"host and its successor killed", (*run).killSuccessor},
		{"host killed as it acknowledges", (*run).killAcknowledging},
		{"two workers killed", (*run).killTwoWorkers},
	}
}

// killTwoHosts kills two hosts at the same moment. The repair starts two others.
func (r *run) killTwoHosts(_ context.Context, random *rand.Rand) func(context.Context) {
	running := r.hosts.list()
	survivor := random.IntN(len(running))
	r.killHosts(append(running[:survivor:survivor], running[survivor+1:]...)...)
	return r.replaceTwoHosts
}

func (r *run) replaceTwoHosts(ctx context.Context) {
	r.replaceHost(ctx)
	r.replaceHost(ctx)
}

// killSuccessor kills the owner of the team's queue, and then the next owner as
// soon as its claim is visible.
func (r *run) killSuccessor(ctx context.Context, _ *rand.Rand) func(context.Context) {
	first := r.queueOwner(ctx, nil)
	if first == nil {
		return func(context.Context) {}
	}
	r.killHosts(first)
	if second := r.queueOwner(ctx, first); second != nil {
		r.killHosts(second)
	}
	return r.replaceTwoHosts
}

// killAcknowledging kills the owner of the team's queue as it acknowledges a
// job, while the store is slow: anything it has not written by then is lost.
func (r *run) killAcknowledging(ctx context.Context, _ *rand.Rand) func(context.Context) {
	owner := r.queueOwner(ctx, nil)
	r.site.Store.SetFaults(standin.StoreFaults{Delay: slowStore})
	r.jobs.submit(ctx, "claims-at-the-end")
	if owner != nil {
		r.killHosts(owner)
	}
	return func(ctx context.Context) {
		r.site.Store.SetFaults(standin.StoreFaults{})
		r.replaceHost(ctx)
	}
}

// queueOwner waits until the team's queue has an owner other than previous and
// returns it, or nil if ctx ends first.
func (r *run) queueOwner(ctx context.Context, previous *entryHost) *entryHost {
	for ctx.Err() == nil {
		if e := r.ownerOf(ctx, shard.NewID(shard.KindQueue, string(team), 0)); e != nil && e != previous {
			return e
		}
		_ = wait.For(ctx, conditionPollInterval)
	}
	return nil
}

// ownerOf returns the host that owns a shard, or nil if it is not running.
func (r *run) ownerOf(ctx context.Context, id shard.ID) *entryHost {
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

// killTwoWorkers kills two workers without backend servers, in different data
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
