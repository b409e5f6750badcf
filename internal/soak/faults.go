package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin/wire"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
)

const (
	// affectedShare is the share of the workers that a fault of several affects.
	affectedShare = 1.0 / 3
	minOutage     = 200 * time.Millisecond
	maxOutage     = time.Second
	// minCapacityShare and maxCapacityShare bound what is left of a capacity that
	// shrinks: room for the largest task, and less than a worker uses at peaks.
	minCapacityShare = 0.25
	maxCapacityShare = 0.4
)

// fault is one kind of fault. inject causes it for about d, undoes it and returns.
type fault struct {
	name   string
	inject func(ctx context.Context, r *run, rng *rand.Rand, d time.Duration) error
}

func (r *run) randomHost(rng *rand.Rand) *hostProcess  { return r.hosts[rng.IntN(len(r.hosts))] }
func (r *run) randomWorker(rng *rand.Rand) *workerLink { return r.workers[rng.IntN(len(r.workers))] }

// someWorkers draws affectedShare of the workers.
func (r *run) someWorkers(rng *rand.Rand) []*workerLink {
	affected := make([]*workerLink, max(1, int(affectedShare*float64(len(r.workers)))))
	for i, x := range rng.Perm(len(r.workers))[:len(affected)] {
		affected[i] = r.workers[x]
	}
	return affected
}

func randomLinkFault(rng *rand.Rand) linkMode {
	return []linkMode{linkDelayed, linkReset, linkOneWay, linkBlackhole}[rng.IntN(4)]
}

var faults = []fault{
	{"a host is killed", func(_ context.Context, r *run, rng *rand.Rand, d time.Duration) error {
		return r.randomHost(rng).signalAndRestart(syscall.SIGKILL, d/4)
	}},
	{"a host is terminated and restarted", func(_ context.Context, r *run, rng *rand.Rand, _ time.Duration) error {
		return r.randomHost(rng).signalAndRestart(syscall.SIGTERM, 200*time.Millisecond)
	}},
	{"a host freezes", func(ctx context.Context, r *run, rng *rand.Rand, d time.Duration) error {
		h := r.randomHost(rng)
		if err := h.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		_ = wait.For(ctx, d) // the end of the load resumes it early
		return h.signal(syscall.SIGCONT)
	}},
	{"all hosts are killed", func(_ context.Context, r *run, _ *rand.Rand, d time.Duration) error {
		var group errgroup.Group
		for _, h := range r.hosts {
			group.Go(func() error { return h.signalAndRestart(syscall.SIGKILL, d/4) })
		}
		return group.Wait()
	}},
	{"the store fails", func(ctx context.Context, r *run, rng *rand.Rand, d time.Duration) error {
		mode := []wire.StoreMode{wire.StoreUnavailable, wire.StoreUnresponsive, wire.StoreSlow, wire.StoreLossy}[rng.IntN(4)]
		r.logf("the store is %s", mode)
		r.store.SetMode(mode)
		_ = wait.For(ctx, d) // the end of the load repairs it early
		r.store.SetMode(wire.StoreHealthy)
		return nil
	}},
	{"the store compacts its history", func(_ context.Context, r *run, _ *rand.Rand, _ time.Duration) error {
		r.store.Compact()
		return nil
	}},
	{"a host's link to the store fails", func(ctx context.Context, r *run, rng *rand.Rand, d time.Duration) error {
		h, mode := r.randomHost(rng), randomLinkFault(rng)
		r.logf("%s to the store: %s", h.name, mode)
		h.link.set(mode)
		_ = wait.For(ctx, d)
		h.link.set(linkHealthy)
		return nil
	}},
	{"a worker's link fails", func(ctx context.Context, r *run, rng *rand.Rand, d time.Duration) error {
		w, mode := r.randomWorker(rng), randomLinkFault(rng)
		r.logf("%s: %s", w.Worker, mode)
		w.link.set(mode)
		_ = wait.For(ctx, d)
		w.link.set(linkHealthy)
		return nil
	}},
	{"a worker crashes and restarts", func(ctx context.Context, r *run, rng *rand.Rand, d time.Duration) error {
		w := r.randomWorker(rng)
		r.logf("%s crashes", w.Worker)
		w.Crash()
		_ = wait.For(ctx, d)
		return w.Restart()
	}},
	{"workers execute orders late, and some runs fail", func(ctx context.Context, r *run, rng *rand.Rand, d time.Duration) error {
		for _, w := range r.workers {
			w.SetFaults(wire.WorkerFaults{Late: 0.05 * rng.Float64(), Failure: 0.1 * rng.Float64()})
		}
		_ = wait.For(ctx, d)
		for _, w := range r.workers {
			w.SetFaults(wire.WorkerFaults{})
		}
		return nil
	}},
	{"the configuration changes", func(_ context.Context, r *run, rng *rand.Rand, _ time.Duration) error {
		return r.configure(1 + rng.IntN(1000))
	}},
}

// workerFaults come in a stream of their own, so that every run has some.
var workerFaults = []fault{
	{"workers are down briefly", func(ctx context.Context, r *run, rng *rand.Rand, _ time.Duration) error {
		for _, w := range r.someWorkers(rng) {
			outage := minOutage + time.Duration(rng.Int64N(int64(maxOutage-minOutage)))
			r.logf("%s is down for %v", w.Worker, outage)
			w.CrashFor(outage)
		}
		_ = wait.For(ctx, maxOutage) // the workers restart by themselves
		return nil
	}},
	{"capacities shrink and grow again", func(ctx context.Context, r *run, rng *rand.Rand, d time.Duration) error {
		affected := r.someWorkers(rng)
		for _, w := range affected {
			share := minCapacityShare + (maxCapacityShare-minCapacityShare)*rng.Float64()
			r.logf("%s shrinks to %.2f of its capacity", w.Worker, share)
			if err := w.SetCapacity(fleet.Resources{
				MilliCores: int64(share * float64(workerCapacity.MilliCores)), MemoryMB: int64(share * float64(workerCapacity.MemoryMB)),
			}); err != nil {
				return err
			}
		}
		_ = wait.For(ctx, wire.CapacityGrace+d) // the end of the load restores them early
		for _, w := range affected {
			if err := w.SetCapacity(workerCapacity); err != nil {
				return err
			}
		}
		return nil
	}},
}

// injectFaults injects random faults of the given kinds one after the other.
// Several calls run at once, so that faults overlap.
func (r *run) injectFaults(ctx context.Context, kinds []fault, rng *rand.Rand) {
	for wait.For(ctx, time.Duration(500+rng.IntN(2500))*time.Millisecond) == nil {
		f := kinds[rng.IntN(len(kinds))]
		d := time.Duration(500+rng.IntN(4500)) * time.Millisecond
		r.logf("fault: %s, for %v", f.name, d)
		r.mu.Lock()
		r.faults++
		r.mu.Unlock()
		if err := f.inject(ctx, r, rng, d); err != nil {
			r.logf("fault %s: %v", f.name, err)
		}
	}
}

// clearFaults undoes the faults that injectFaults may have left.
func (r *run) clearFaults() {
	r.logf("faults cleared")
	r.store.SetMode(wire.StoreHealthy)
	for _, h := range r.hosts {
		h.link.set(linkHealthy)
		h.store.SetMode(wire.StoreHealthy)
	}
	for _, w := range r.allWorkers() {
		w.link.set(linkHealthy)
		w.SetFaults(wire.WorkerFaults{})
	}
}
