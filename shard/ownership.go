package shard

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// tenure is the time for which this process runs a shard, from a claim until
// release or loss. Its fields are guarded by the manager's mutex.
type ownership struct {
	owner Owner
	// former is the owner before, known in the first run under a claim only.
	previous Owner
	// sendFrom is when, for a front, requests begun under earlier owners have
	// surely ended.
	sendFrom time.Time
	cancel   context.CancelFunc
	exited   chan struct{} // closed when the runner has returned
	restarts int
	// again is when a runner that failed runs again; zero while it runs.
	restartAt time.Time
	err       error // of the last run
}

// due reports whether a runner that failed should run again.
func (o *ownership) restartDue(now time.Time) bool {
	return !o.restartAt.IsZero() && !now.Before(o.restartAt)
}

func (o *ownership) fillStatus(st *Status) {
	st.Running = o.restartAt.IsZero()
	st.Restarts = o.restarts
	if o.err != nil {
		st.Error = o.err.Error()
	}
}

// term is how a tenure begins.
type ownershipStart struct {
	claim    Claim
	previous Owner // whose claim was replaced; zero if not known
	sendFrom time.Time
	restarts int // runs that failed before
	// pauses is the count of pauses of this process before the claim was
	// written or read.
	pauseCount int64
}

// begin starts the runner of a shard whose claim is this process's. Runners
// outlive the context of Serve until shutdown has ended them in order.
func (m *Manager) startRunner(id ID, start ownershipStart) {
	ctx, cancel := context.WithCancel(context.Background())
	owner := start.claim.Owner
	o := &ownership{owner: owner, previous: start.previous, sendFrom: start.sendFrom, restarts: start.restarts, cancel: cancel, exited: make(chan struct{})}
	m.mu.Lock()
	m.ownerships[id] = o
	m.mu.Unlock()
	if id.Kind() == KindFront {
		m.rights.grant(id, start.sendFrom, start.pauseCount)
	}
	level.Info(m.logger).Log("event", "shard_started", "shard", id, "epoch", owner.Epoch)
	go func() {
		defer close(o.exited)
		defer cancel()
		m.runnerEnded(ctx, id, o, m.run(ctx, id, owner))
	}()
}

// run calls the runner and turns a panic into an error.
func (m *Manager) run(ctx context.Context, id ID, owner Owner) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &PanicError{Shard: id, Value: p}
		}
	}()
	return m.deps.Runners[id.Kind()].Run(ctx, id, owner)
}

// ended notes that a runner has returned without being told to.
func (m *Manager) runnerEnded(ctx context.Context, id ID, o *ownership, err error) {
	if ctx.Err() != nil {
		return
	}
	level.Warn(m.logger).Log("event", "runner_ended", "shard", id, "epoch", o.owner.Epoch, "err", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	o.err = err
	o.restartAt = time.Now().Add(min(runBackoff<<min(o.restarts, 10), runBackoffMax))
	m.signal()
}

// stop ends the runner of a shard and waits until nothing of it is in
// progress. From its first step on no request is begun for a front. It
// returns when requests begun under earlier owners have surely ended.
func (m *Manager) stopRunner(id ID) (sendFrom time.Time) {
	m.rights.revoke(id)
	m.mu.Lock()
	o, ok := m.ownerships[id]
	m.mu.Unlock()
	if !ok {
		return time.Now().Add(m.maxRequestDuration())
	}
	o.cancel()
	<-o.exited
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.ownerships, id)
	return o.sendFrom
}
