package cell

import (
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// Machine-readable reasons in outcomes and refusals.
const (
	reasonNotListed     = "not_listed"
	reasonWorkerGone    = "worker_gone"
	reasonLapsed        = "lease_lapsed"
	reasonStartWindow   = "start_window_passed"
	reasonCancelled     = "cancelled"
	reasonDataCentreOut = "data_centre_out"
	reasonTooLarge      = "too_large"
	reasonBacklog       = "backlog"
	reasonNoCapacity    = "no_capacity"
	reasonLateOffer     = "late_offer"
	reasonEvicted       = "evicted"
	reasonReclaimed     = "taken_back"
)

// maxErrorBytes is the maximum size of a failed task's error in the journal.
const maxErrorBytes = 1024

// run is this owner's view of a placed attempt. It is not journaled; a new
// owner rebuilds it from the worker's reports.
type run struct {
	placedHere    bool      // placed by this owner, not by a predecessor
	durable       bool      // the placement is durable
	startSent     bool      // this owner has sent the start call
	startDeadline time.Time // deadline of that call
	endDecided    bool      // the end was decided; its journal entry may be pending
	firstSeenAt   time.Time // send time of the call whose report first listed the attempt
	lastRunningAt time.Time // send time of the call whose report last showed it running
	status        inventory.TaskStatus
	// checkpointAt is when the last checkpoint or, without one, the start was
	// seen.
	checkpointAt   time.Time
	peakUsage      fleet.Resources // highest usage reported
	reclaimed      bool            // journaled as reclaimed
	stopping       bool            // an eviction or cancellation was decided
	stopBy         time.Time       // no checkpoint is requested after this time
	stopSentAt     time.Time
	throttled      bool    // it was reported with a share below 1
	overrunLogged  bool    // logged as running far longer than its class
	targetShare    float64 // 0 if none was decided
	throttleSentAt time.Time
}

// observe applies a status from the report of a call sent at sentAt.
func (r *run) observe(st inventory.TaskStatus, sentAt time.Time) {
	if r.firstSeenAt.IsZero() || st.CheckpointProgress > r.status.CheckpointProgress {
		r.checkpointAt = sentAt
	}
	r.status = st
	if !st.State.Final() {
		r.lastRunningAt = sentAt
	}
	r.throttled = r.throttled || st.Share < 1
	r.peakUsage = fleet.Resources{
		MilliCores:   max(r.peakUsage.MilliCores, st.Used.MilliCores),
		MemoryMB:     max(r.peakUsage.MemoryMB, st.Used.MemoryMB),
		Accelerators: max(r.peakUsage.Accelerators, st.Used.Accelerators),
	}
	if r.firstSeenAt.IsZero() {
		r.firstSeenAt = sentAt
	}
}

// startsRefusedFrom returns the time from which the worker refuses every start
// call of the attempt by its own clock, whoever sent it.
func (r *run) startsRefusedFrom(p placement) time.Time {
	if r.placedHere && r.startSent {
		return r.startDeadline.Add(ClockMargin)
	}
	return time.UnixMilli(p.StartByMS).Add(ClockMargin)
}

// reportedOutcome returns the outcome of an attempt that its worker reports as
// final.
func reportedOutcome(a *attempt, r *run, st inventory.TaskStatus) delegation.Outcome {
	o := newOutcome(a, r)
	o.Checkpoint = st.Checkpoint
	o.CheckpointProgress = st.CheckpointProgress
	switch {
	case st.State == inventory.TaskFinished:
		o.Kind = delegation.OutcomeFinished
	case st.State == inventory.TaskFailed:
		o.Kind = delegation.OutcomeFailed
		o.Error = truncateError(st.Error)
	case a.Cancelled:
		o.Kind = delegation.OutcomeStopped
	default:
		o.Kind = delegation.OutcomeEvicted
	}
	return o
}

// truncateError limits an error to maxErrorBytes and keeps it valid UTF-8, as
// records require.
func truncateError(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxErrorBytes)], "")
}

// unlistedOutcome returns the outcome of an attempt that is missing from the
// report of a call sent at sentAt, or false if it may still run.
func unlistedOutcome(a *attempt, r *run, sentAt time.Time) (delegation.Outcome, bool) {
	if !r.firstSeenAt.IsZero() {
		if !sentAt.After(r.firstSeenAt) {
			return delegation.Outcome{}, false
		}
		return lostOutcome(a, r, reasonNotListed), true
	}
	if !sentAt.After(r.startsRefusedFrom(a.Placement)) {
		return delegation.Outcome{}, false
	}
	return notRunOutcome(a, r, reasonNotListed), true
}

// unansweredOutcome returns the outcome of an attempt whose worker does not answer,
// or false if it may still run at now.
func unansweredOutcome(a *attempt, r *run, l *lease, now time.Time) (delegation.Outcome, bool) {
	if r.placedHere && !r.startSent {
		if now.Before(r.startsRefusedFrom(a.Placement)) {
			return delegation.Outcome{}, false
		}
		return notRunOutcome(a, r, reasonStartWindow), true
	}
	if now.Before(l.lapsedAt()) {
		return delegation.Outcome{}, false
	}
	return lostOutcome(a, r, reasonLapsed), true
}

// newOutcome returns an outcome with the fields that are common to every end.
func newOutcome(a *attempt, r *run) delegation.Outcome {
	return delegation.Outcome{
		AttemptRef: a.Task.AttemptRef,
		Worker:     a.Placement.Worker,
		Used:       r.peakUsage,
	}
}

// lostOutcome returns the outcome of an attempt that may have run and runs no
// longer. The task resumes from the last reported checkpoint.
func lostOutcome(a *attempt, r *run, reason string) delegation.Outcome {
	o := newOutcome(a, r)
	o.Kind = delegation.OutcomeLost
	o.Error = reason
	setLatestCheckpoint(&o, a, r)
	if a.Cancelled {
		o.Kind = delegation.OutcomeStopped
	}
	return o
}

// notRunOutcome returns the outcome of an attempt that no worker started.
func notRunOutcome(a *attempt, r *run, reason string) delegation.Outcome {
	o := newOutcome(a, r)
	o.Worker = ""
	o.Kind = delegation.OutcomeNotRun
	o.Error = reason
	setLatestCheckpoint(&o, a, r)
	if a.Cancelled {
		o.Kind = delegation.OutcomeStopped
	}
	return o
}

// setLatestCheckpoint sets the latest known checkpoint: the one last reported,
// or else the one from which the attempt was to resume.
func setLatestCheckpoint(o *delegation.Outcome, a *attempt, r *run) {
	o.Checkpoint = a.Task.Checkpoint
	o.CheckpointProgress = a.Task.CheckpointProgress
	if r.status.Checkpoint != "" {
		o.Checkpoint = r.status.Checkpoint
		o.CheckpointProgress = r.status.CheckpointProgress
	}
}
