package dev

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/job"
)

const (
	submitInterval = 400 * time.Millisecond
	tasksPerJob    = 3 // a light load
	pollInterval   = 200 * time.Millisecond
)

// submissions submits jobs and records the acknowledged ones. Safe for
// concurrent use.
type submissions struct {
	service     func() job.Service // of any running entry host
	org         fleet.Organisation
	team        fleet.Team
	tasksPerJob int

	mu    sync.Mutex
	acked []fleet.JobID
}

// run submits a job every submitInterval until ctx ends, and retries a failed
// submission under the same ID unless the job is invalid.
func (s *submissions) run(ctx context.Context) {
	ticker := time.NewTicker(submitInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		s.submit(ctx, fleet.JobID(fmt.Sprintf("claims-%d", n)))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// spec returns the specification of a job.
func (s *submissions) spec(id fleet.JobID) job.Spec {
	return job.Spec{
		ID:           id,
		Organisation: s.org,
		Team:         s.team,
		Class:        "invoice-check",
		Tasks:        s.tasksPerJob,
		Resources:    fleet.Resources{MilliCores: 2_000, MemoryMB: 2_000},
		Command:      "check-invoices",
	}
}

func (s *submissions) submit(ctx context.Context, id fleet.JobID) {
	spec := s.spec(id)
	for ctx.Err() == nil {
		_, err := s.service().Submit(ctx, spec)
		if err == nil {
			s.mu.Lock()
			s.acked = append(s.acked, id)
			s.mu.Unlock()
			return
		}
		var invalid *job.InvalidError
		if errors.As(err, &invalid) {
			return
		}
		_ = wait.For(ctx, pollInterval)
	}
}

func (s *submissions) ids() []fleet.JobID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]fleet.JobID(nil), s.acked...)
}

// tasks returns the IDs of all tasks of acknowledged jobs.
func (s *submissions) tasks() []fleet.TaskID {
	var tasks []fleet.TaskID
	for _, id := range s.ids() {
		for i := range s.tasksPerJob {
			tasks = append(tasks, fleet.TaskID(fmt.Sprintf("%s/%d", id, i)))
		}
	}
	return tasks
}

// drain waits until every acknowledged job is in a final state, or ctx ends, and
// reports whether all are.
func (s *submissions) drain(ctx context.Context) bool {
	left := s.ids()
	for ctx.Err() == nil && len(left) > 0 {
		status, err := s.service().Get(ctx, s.team, left[0])
		if err == nil && status.State.Final() {
			left = left[1:]
			continue
		}
		_ = wait.For(ctx, pollInterval)
	}
	return len(left) == 0
}
