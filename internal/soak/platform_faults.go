package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin/wire"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
)

// maxReplyFault bounds the probability that a worker loses or delays a reply.
const maxReplyFault = 0.1

// platformFaults are what the platform allows itself at worst. They come in a stream of
// their own, so that the other faults of a seed stay as they were.
var platformFaults = []fault{
	{"the store rejects some hosts", func(ctx context.Context, r *run, rng *rand.Rand, d time.Duration) error {
		mode := []wire.StoreMode{wire.StoreUnavailable, wire.StoreOverloaded, wire.StoreUnresponsive, wire.StoreLossy}[rng.IntN(4)]
		affected := []*hostProcess{r.randomHost(rng), r.randomHost(rng)}
		for _, h := range affected {
			r.logf("the store is %s to %s", mode, h.name)
			h.store.SetMode(mode)
		}
		_ = wait.For(ctx, d) // the end of the load repairs it early
		for _, h := range affected {
			h.store.SetMode(wire.StoreHealthy)
		}
		return nil
	}},
	{"the store is down, and leases pause or entries expire", func(ctx context.Context, r *run, rng *rand.Rand, d time.Duration) error {
		pause, expire := rng.IntN(2) == 0, rng.IntN(2) == 0
		r.logf("leases pause: %v, entries expire: %v", pause, expire)
		r.store.PauseLeases(pause)
		r.store.ExpireEntries(expire)
		r.store.SetMode(wire.StoreUnresponsive)
		_ = wait.For(ctx, d+time.Second)
		r.store.SetMode(wire.StoreHealthy)
		return nil
	}},
	{"watches are cut, and the store compacts its history", func(_ context.Context, r *run, rng *rand.Rand, _ time.Duration) error {
		r.store.CutWatches()
		if rng.IntN(2) == 0 {
			r.store.Compact()
		}
		return nil
	}},
	{"workers lose and delay replies, and refuse starts", func(ctx context.Context, r *run, rng *rand.Rand, d time.Duration) error {
		for _, w := range r.workers {
			w.SetFaults(wire.WorkerFaults{
				Late: maxReplyFault * rng.Float64() / 2, LostReply: maxReplyFault * rng.Float64(), SlowReply: maxReplyFault * rng.Float64(), Unhealthy: maxReplyFault * rng.Float64(),
			})
		}
		_ = wait.For(ctx, d)
		for _, w := range r.workers {
			w.SetFaults(wire.WorkerFaults{})
		}
		return nil
	}},
}
