package queue

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

const (
	// releaseInterval is the longest time between two attempts to release
	// queued tasks.
	releaseInterval = 250 * time.Millisecond
	// maxSettingsAge is how long tasks may be released after the settings were
	// last confirmed to be current.
	maxSettingsAge = 2 * time.Second
	// DefaultRetainFor is how long ended jobs are kept.
	DefaultRetainFor = 24 * time.Hour
	expireInterval   = time.Minute
	commitTimeout    = 10 * time.Second
	maxStoreStall    = 2 * time.Second
	defaultAttempts  = 3
	lossesPerAttempt = 4 // lost attempts allowed for each failed attempt allowed
	maxPage          = 1000
)

// ownedShard is a queue shard that this host owns. Its methods are safe for
// concurrent use.
type ownedShard struct {
	id      shard.ID
	team    fleet.Team
	number  int
	server  *Server
	logger  log.Logger
	journal *wal.Shard
	sender  *sender
	pending *pendingCommits

	// Accessed only by the journal's goroutine.
	machine       *Machine
	sent          *sentTracker
	rand          *rand.Rand
	offerSequence uint64 // sequence of the newest message

	releaseRequested chan struct{} // holds a value while a release is requested
}

func newOwnedShard(s *Server, id shard.ID, team fleet.Team, n int, j *wal.Shard, m *Machine) *ownedShard {
	q := &ownedShard{
		id:               id,
		team:             team,
		number:           n,
		server:           s,
		logger:           log.With(s.deps.Logger, "shard", id),
		journal:          j,
		machine:          m,
		sent:             newSentTracker(),
		pending:          newPendingCommits(),
		rand:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		releaseRequested: make(chan struct{}, 1),
	}
	q.sender = newSender(q)
	return q
}

// run runs the shard until ctx ends or the shard is lost, and returns why.
func (q *ownedShard) run(ctx context.Context) error {
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { return q.journal.Serve(inner) })
	group.Go(func() error { return q.releaseLoop(inner) })
	group.Go(func() error { return q.sender.loop(inner) })
	return group.Wait()
}

// notify sends on a channel with a buffer of one without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a notification is pending already
	}
}

// releaseLoop releases queued tasks, periodically and on request, and removes
// expired jobs.
func (q *ownedShard) releaseLoop(ctx context.Context) error {
	release := time.NewTicker(releaseInterval)
	defer release.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-release.C:
			err = q.journal.Do(ctx, q.release)
		case <-q.releaseRequested:
			err = q.journal.Do(ctx, q.release)
		case <-expire.C:
			err = q.journal.Do(ctx, q.expire)
		}
		if err != nil {
			return err
		}
	}
}

// release delegates the queued tasks that quota, settings and cells allow now.
func (q *ownedShard) release(tx wal.Tx) error {
	if len(q.machine.order.buckets) == 0 {
		return nil
	}
	now := time.Now()
	view := q.server.deps.Settings
	// The confirmation time is read before the settings, so that these are at
	// least as new as the ones it confirms.
	confirmed := view.ConfirmedAt()
	snapshot := view.Current()
	if now.Sub(confirmed) > maxSettingsAge {
		q.machine.setWaitReason(waitSettings)
		return nil
	}
	plan := q.machine.planRelease(now, q.quota(snapshot), q.chooser(snapshot, now))
	if plan == nil {
		return nil
	}
	tx.Append(record{Delegated: plan}.encode())
	for _, run := range plan.Runs {
		q.pending.track(tx, run.Job)
	}
	tx.OnDurable(q.sender.wake)
	for _, run := range plan.Runs {
		q.server.vars.Add(varReleased, int64(run.Count))
	}
	return nil
}

// quota returns this shard's part of the team's quota.
func (q *ownedShard) quota(snapshot settings.Snapshot) fleet.Resources {
	team := snapshot.Teams()[q.team]
	return quotaShare(team.Quota, team.Shards, q.number)
}

// chooser returns a chooser over the newest load of the region's cells.
func (q *ownedShard) chooser(snapshot settings.Snapshot, now time.Time) *cellChooser {
	deps := q.server.deps
	var summaries []member.Summary
	for _, h := range deps.Members.Hosts() {
		if s, ok := deps.Members.Summary(h.ID); ok {
			summaries = append(summaries, s)
		}
	}
	return &cellChooser{
		cells:        viewCells(deps.Region, snapshot, summaries, q.sent.loads),
		rand:         q.rand,
		sent:         q.sent,
		now:          now,
		organisation: snapshot.Teams()[q.team].Organisation,
	}
}

// expire removes the jobs that ended more than RetainFor ago.
func (q *ownedShard) expire(tx wal.Tx) error {
	before := time.Now().Add(-q.server.deps.RetainFor).UnixMilli()
	if q.machine.hasExpired(before) {
		tx.Append(record{Expired: &expired{Before: before}}.encode())
	}
	return nil
}

// commit runs a transaction for a caller, for at most commitTimeout, and maps its
// failure to an error for the caller.
func (q *ownedShard) commit(ctx context.Context, fn func(wal.Tx) error) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	began := false
	err := q.journal.Do(ctx, func(tx wal.Tx) error {
		began = true
		return fn(tx)
	})
	if err == nil {
		return nil
	}
	return commitError(err, began)
}

// submit admits a job. It returns once the job is durable. Resubmitting a job is
// idempotent; a different job with a known ID is a *job.ConflictError.
func (q *ownedShard) submit(ctx context.Context, spec job.Spec) (job.Status, error) {
	var status job.Status
	err := q.commit(ctx, func(tx wal.Tx) error {
		known := q.machine.jobs[spec.ID]
		if known != nil && !known.matches(spec) {
			return eris.Wrap(&job.ConflictError{ID: spec.ID}, "submit")
		}
		if known == nil {
			if err := q.admit(tx, spec); err != nil {
				return err
			}
		}
		status, _ = q.machine.Status(spec.ID)
		return nil
	})
	return status, err
}

// admit journals a new job. The tasks of an urgent job are released in the same
// commit.
func (q *ownedShard) admit(tx wal.Tx, spec job.Spec) error {
	deps := q.server.deps
	snapshot := deps.Settings.Current()
	if err := checkSpec(spec, deps.Region, snapshot, deps.Platform.Hosts()); err != nil {
		return err
	}
	if q.machine.isFull(spec) {
		return eris.Wrap(&job.UnavailableError{Reason: "the queue is full", RetryAfter: expireInterval}, "submit")
	}
	if q.journal.StalledFor() > maxStoreStall {
		return eris.Wrap(&job.UnavailableError{Reason: "the store does not answer", RetryAfter: retryAfter}, "submit")
	}
	values := snapshot.JobClass(spec.Organisation, "", spec.Class)
	s := newSubmitted(spec, values, time.Now())
	tx.Append(record{Submitted: &s}.encode())
	q.pending.track(tx, s.ID)
	tx.OnDurable(func() {
		q.logger.Log("event", "job_admitted", "job", s.ID, "tasks", s.Tasks, "priority", s.Priority)
	})
	q.server.vars.Add(varSubmitted, 1)
	if s.Priority >= job.UrgentPriority {
		return q.release(tx)
	}
	notify(q.releaseRequested)
	return nil
}

// read runs fn, which reads the Machine, and returns once everything that fn has
// read is durable. fn reports whether it is durable already; otherwise fn runs
// again in a transaction.
func (q *ownedShard) read(ctx context.Context, fn func() (durable bool)) error {
	durable := false
	if err := q.journal.View(ctx, func() { durable = fn() }); err != nil {
		return commitError(err, false)
	}
	if durable {
		return nil
	}
	return readError(q.commit(ctx, func(wal.Tx) error {
		fn()
		return nil
	}))
}

// get returns the status of a job once it is durable.
func (q *ownedShard) get(ctx context.Context, id fleet.JobID) (job.Status, error) {
	var status job.Status
	var known bool
	err := q.read(ctx, func() bool {
		status, known = q.machine.Status(id)
		return !q.pending.has(id)
	})
	if err == nil && !known {
		err = eris.Wrap(&job.NotFoundError{ID: id}, "get")
	}
	return status, err
}

// list returns a page of jobs once their status is durable. limit is clamped to
// between 1 and maxPage.
func (q *ownedShard) list(ctx context.Context, after fleet.JobID, limit int) (job.Page, error) {
	var page job.Page
	err := q.read(ctx, func() bool {
		page = q.machine.List(after, min(max(limit, 1), maxPage))
		return !slices.ContainsFunc(page.Jobs, func(s job.Status) bool { return q.pending.has(s.Spec.ID) })
	})
	return page, err
}

// readError replaces a *job.UnknownError by a *job.UnavailableError: a read has no
// effect, so its outcome is not in doubt.
func readError(err error) error {
	var unknown *job.UnknownError
	if errors.As(err, &unknown) {
		return eris.Wrap(&job.UnavailableError{Reason: "the store does not answer", RetryAfter: retryAfter}, "read")
	}
	return err
}

// cancel cancels a job. It returns once the cancellation is durable. Cancelling a
// job that is cancelled or has ended does nothing.
func (q *ownedShard) cancel(ctx context.Context, id fleet.JobID) (job.Status, error) {
	var status job.Status
	err := q.commit(ctx, func(tx wal.Tx) error {
		j := q.machine.jobs[id]
		if j == nil {
			return eris.Wrap(&job.NotFoundError{ID: id}, "cancel")
		}
		if !j.cancelled && !j.final() {
			c := &cancelled{At: time.Now().UnixMilli(), Jobs: []fleet.JobID{id}}
			tx.Append(record{Cancelled: c}.encode())
			q.pending.track(tx, id)
			tx.OnDurable(func() {
				q.logger.Log("event", "job_cancelled", "job", id)
				q.sender.wake()
			})
			q.server.vars.Add(varCancelled, 1)
		}
		status = j.status()
		return nil
	})
	return status, err
}

// acceptReturn ends the attempts that a cell returns and, in the same commit,
// releases the tasks for which there is capacity now. It returns once that is
// durable, so that the cell may then forget the attempts. An offer of them that
// is still in transit has at most the sequence in the reply, since later
// messages are collected from a state without them.
func (q *ownedShard) acceptReturn(ctx context.Context, ret delegation.Return) (delegation.ReturnReply, error) {
	reply := delegation.ReturnReply{Epoch: q.journal.Owner().Epoch}
	err := q.commit(ctx, func(tx wal.Tx) error {
		q.sent.recordAnswer(ret.Cell, nil, ret.Load)
		q.journalOutcomes(tx, ret.Cell, ret.Outcomes)
		reply.Sequence = q.offerSequence
		return q.release(tx)
	})
	var unknown *job.UnknownError
	var unavailable *job.UnavailableError
	if errors.As(err, &unknown) || errors.As(err, &unavailable) {
		err = eris.Wrap(&peer.RemoteError{Kind: peer.KindUnavailable, Message: err.Error()}, "return")
	}
	if err != nil {
		return delegation.ReturnReply{}, err
	}
	return reply, nil
}

// journalOutcomes journals outcomes in records of at most maxReturned each and
// requests a release.
func (q *ownedShard) journalOutcomes(tx wal.Tx, cell shard.ID, outcomes []delegation.Outcome) {
	for chunk := range slices.Chunk(outcomes, maxReturned) {
		q.journalOutcomeChunk(tx, cell, chunk)
	}
	notify(q.releaseRequested)
}

func (q *ownedShard) journalOutcomeChunk(tx wal.Tx, cell shard.ID, outcomes []delegation.Outcome) {
	r := q.machine.newReturned(cell, outcomes, q.attemptLimit, time.Now())
	if r == nil {
		return
	}
	tx.Append(record{Returned: r}.encode())
	ended := make(map[fleet.JobID]job.Status)
	for _, run := range r.Runs {
		q.server.vars.Add(varReturned, int64(run.Count))
		q.pending.track(tx, run.Job)
		if j := q.machine.jobs[run.Job]; j.ended != 0 {
			ended[run.Job] = j.status()
		}
	}
	for _, status := range ended {
		q.logJobEnded(tx, status)
	}
}

// logJobEnded logs the end of a job once it is durable.
func (q *ownedShard) logJobEnded(tx wal.Tx, s job.Status) {
	tx.OnDurable(func() {
		q.logger.Log("event", "job_ended", "job", s.Spec.ID, "state", s.State, "finished", s.Finished, "failed", s.Failed)
	})
}

// attemptLimit returns the limit of a job from the settings of its class.
func (q *ownedShard) attemptLimit(j *jobState) attemptLimit {
	values := q.server.deps.Settings.Current().JobClass(j.Organisation, "", j.Class)
	attempts := values.MaxAttempts
	if attempts < 1 {
		attempts = defaultAttempts
	}
	return attemptLimit{failures: attempts, losses: lossesPerAttempt * attempts}
}

// markStarted marks attempts as running, which only the reported status shows.
func (q *ownedShard) markStarted(ctx context.Context, refs []inventory.AttemptRef) error {
	err := q.journal.View(ctx, func() { q.machine.markRunning(refs) })
	if err != nil {
		return notOwner()
	}
	return nil
}
