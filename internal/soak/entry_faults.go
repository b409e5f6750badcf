package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
)

const (
	// oddEntries is how many odd entries under IDs of their own there are at most, and
	// oddAtOnce how many of them are written together.
	oddEntries = 16
	oddAtOnce  = 4
	// maxJoined is how many workers join at most.
	maxJoined = 4
)

// entryFaults are the faults of another writer of workers' entries. What it leaves under
// IDs of its own stays until the end of the run.
var entryFaults = []fault{
	{"odd entries are left among those of the workers", func(_ context.Context, r *run, rng *rand.Rand, _ time.Duration) error {
		return r.leaveOddEntries(rng)
	}},
	{"odd entries take the place of workers' own", func(ctx context.Context, r *run, rng *rand.Rand, d time.Duration) error {
		affected := r.someWorkers(rng)
		for _, w := range affected {
			if err := r.leaveOddEntry(w.ID(), rng); err != nil {
				return err
			}
		}
		_ = wait.For(ctx, d) // the end of the load restores them early
		for _, w := range affected {
			if err := w.RegisterAt(w.link.address()); err != nil {
				return err
			}
		}
		return nil
	}},
	{"a worker joins beside odd entries", func(_ context.Context, r *run, rng *rand.Rand, _ time.Duration) error {
		if err := r.leaveOddEntries(rng); err != nil {
			return err
		}
		return r.join()
	}},
}

func (r *run) leaveOddEntry(id fleet.WorkerID, rng *rand.Rand) error {
	name, err := r.odd.Leave(id, rng.IntN(r.odd.Count()))
	r.logf("odd entry of %s: %s", id, name)
	return err
}

func (r *run) leaveOddEntries(rng *rand.Rand) error {
	for range oddAtOnce {
		if err := r.leaveOddEntry(fleet.WorkerID(fmt.Sprintf("odd-%d", rng.IntN(oddEntries))), rng); err != nil {
			return err
		}
	}
	return nil
}

// join adds a worker, unless maxJoined have joined.
func (r *run) join() error {
	r.mu.Lock()
	number := len(r.joined)
	r.mu.Unlock()
	if number == maxJoined {
		return nil
	}
	w, err := r.newWorker(fleet.WorkerID(fmt.Sprintf("joined-%d", number)))
	if err != nil {
		return err
	}
	r.logf("%s joins", w.Worker)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joined = append(r.joined, w)
	return nil
}
