package shard

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// tenure is the time for which this process runs a shard, from a claim until
// release or loss. Its fields are guarded by the manager's mutex.
type tenure struct {
	owner Owner
	// former is the owner before, known in the first run under a claim only.
	former Owner
	// sendFrom is when, for a front, requests begun under earlier owners have
	// surely ended.
	sendFrom time.Time
	cancel   context.CancelFunc
	exited   chan struct{} // closed when the runner has returned
	restarts int
	// again is when a runner that failed runs again; zero while it runs.
	again time.Time
	err   error // of the last run
}

// due reports whether a runner that failed should run again.
func (t *tenure) due(now time.Time) bool { return !t.again.IsZero() && !now.Before(t.again) }

func (t *tenure) describe(st *Status) {
	st.Running = t.again.IsZero()
	st.Restarts = t.restarts
	if t.err != nil {
		st.Error = t.err.Error()
	}
}

// term is how a tenure begins.
type term struct {
	claim    Claim
	former   Owner // whose claim was replaced; zero if not known
	sendFrom time.Time
	restarts int // runs that failed before
	// pauses is the count of pauses of this process before the claim was
	// written or read.
	pauses int64
}

// begin starts the runner of a shard whose claim is this process's. Runners
// outlive the context of Serve until shutdown has ended them in order.
func (m *Manager) begin(id ID, start term) {
	ctx, cancel := context.WithCancel(context.Background())
	owner := start.claim.Owner
	t := &tenure{owner: owner, former: start.former, sendFrom: start.sendFrom, restarts: start.restarts, cancel: cancel, exited: make(chan struct{})}
	m.mu.Lock()
	m.tenures[id] = t
	m.mu.Unlock()
	if id.Kind() == KindFront {
		m.rights.grant(id, start.sendFrom, start.pauses)
	}
	level.Info(m.logger).Log("event", "shard_started", "shard", id, "epoch", owner.Epoch)
	go func() {
		defer close(t.exited)
		defer cancel()
		m.ended(ctx, id, t, m.run(ctx, id, owner))
	}()
}

// run calls the runner and turns a panic into an error.
func (m *Manager) run(ctx context.Context, id ID, o Owner) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &PanicError{Shard: id, Value: p}
		}
	}()
	return m.deps.Runners[id.Kind()].Run(ctx, id, o)
}

// ended notes that a runner has returned without being told to.
func (m *Manager) ended(ctx context.Context, id ID, t *tenure, err error) {
	if ctx.Err() != nil {
		return
	}
	level.Warn(m.logger).Log("event", "runner_ended", "shard", id, "epoch", t.owner.Epoch, "err", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	t.err = err
	t.again = time.Now().Add(min(runBackoff<<min(t.restarts, 10), runBackoffMax))
	m.signal()
}

// stop ends the runner of a shard and waits until nothing of it is in
// progress. From its first step on no request is begun for a front. It
// returns when requests begun under earlier owners have surely ended.
func (m *Manager) stop(id ID) (sendFrom time.Time) {
	m.rights.revoke(id)
	m.mu.Lock()
	t, ok := m.tenures[id]
	m.mu.Unlock()
	if !ok {
		return time.Now().Add(m.longestRequest())
	}
	t.cancel()
	<-t.exited
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.tenures, id)
	return t.sendFrom
}
