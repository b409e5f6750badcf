package shard

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// ownership is the state of a shard that this process runs, from the claim until
// release, loss or restart. The manager's mutex guards its fields.
type ownership struct {
	owner Owner
	// previous is the owner before this one. It is known only during the first
	// run under a claim.
	previous Owner
	// sendFrom is the time by which all requests started under earlier owners
	// of a front have ended.
	sendFrom time.Time
	cancel   context.CancelFunc
	exited   chan struct{} // closed when the runner has returned
	restarts int
	// retryAt is when a failed runner is restarted; zero while it runs.
	retryAt time.Time
	err     error // why the last run failed
}

// due reports whether a failed runner should be restarted now.
func (o *ownership) due(now time.Time) bool { return !o.retryAt.IsZero() && !now.Before(o.retryAt) }

func (o *ownership) fillStatus(st *Status) {
	st.Running = o.retryAt.IsZero()
	st.Restarts = o.restarts
	if o.err != nil {
		st.Error = o.err.Error()
	}
}

// ownershipStart holds the initial state of an ownership.
type ownershipStart struct {
	claim    Claim
	previous Owner // whose claim was replaced; zero if not known
	sendFrom time.Time
	restarts int // failed runs so far
	// pauseCount is sendRights.pauseCount before the claim was last confirmed.
	pauseCount int64
}

// startRunner starts the runner of a shard that this process has claimed. The
// runner does not end with the context of Serve, so that shutdown can stop and
// release each shard in order.
func (m *Manager) startRunner(id ID, start ownershipStart) {
	ctx, cancel := context.WithCancel(context.Background())
	owner := start.claim.Owner
	o := &ownership{owner: owner, previous: start.previous, sendFrom: start.sendFrom, restarts: start.restarts, cancel: cancel, exited: make(chan struct{})}
	m.mu.Lock()
	m.ownerships[id] = o
	if id.Kind() == KindFront && m.isOwn(m.claims[id].Claim) {
		m.rights.grant(id, start.sendFrom, start.pauseCount)
	}
	m.mu.Unlock()
	level.Info(m.logger).Log("event", "shard_started", "shard", id, "epoch", owner.Epoch)
	go func() {
		defer close(o.exited)
		defer cancel()
		m.runnerEnded(ctx, id, o, m.run(ctx, id, owner))
	}()
}

// run calls the runner and converts a panic into a *PanicError.
func (m *Manager) run(ctx context.Context, id ID, owner Owner) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &PanicError{Shard: id, Value: p}
		}
	}()
	return m.deps.Runners[id.Kind()].Run(ctx, id, owner)
}

// runnerEnded schedules the restart of a runner that returned although it was
// not stopped.
func (m *Manager) runnerEnded(ctx context.Context, id ID, o *ownership, err error) {
	if ctx.Err() != nil {
		return
	}
	level.Warn(m.logger).Log("event", "runner_ended", "shard", id, "epoch", o.owner.Epoch, "err", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	o.err = err
	o.retryAt = time.Now().Add(min(runBackoff<<min(o.restarts, 10), runBackoffMax))
	m.signal()
}

// stopRunner stops the runner of a shard and waits until it has returned. It
// revokes the right to send first, so that no new request starts for a front. It
// returns the time by which requests started under earlier owners have ended, and
// sendRights.pauseCount before the claim of a front was last confirmed, both of
// which the next run under the same claim needs.
func (m *Manager) stopRunner(id ID) (sendFrom time.Time, pauseCount int64) {
	pauseCount = m.rights.revoke(id)
	m.mu.Lock()
	o, ok := m.ownerships[id]
	m.mu.Unlock()
	if !ok {
		return time.Now().Add(m.maxRequestDuration()), pauseCount
	}
	o.cancel()
	<-o.exited
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.ownerships, id)
	return o.sendFrom, pauseCount
}
