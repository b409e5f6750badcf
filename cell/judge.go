package cell

import (
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// Errors in outcomes, machine-readable.
const (
	reasonNotListed   = "not_listed"
	reasonWorkerGone  = "worker_gone"
	reasonLapsed      = "lease_lapsed"
	reasonStartWindow = "start_window_passed"
	reasonCancelled   = "cancelled"
	reasonOut         = "data_centre_out"
	reasonTooLarge    = "too_large"
	reasonBacklog     = "backlog"
	reasonNoCapacity  = "no_capacity"
	reasonLateOffer   = "late_offer"
	reasonEvicted     = "evicted"
	reasonTakenBack   = "taken_back"
)

// maxErrorBytes bounds a failed task's error in the journal.
const maxErrorBytes = 1024

// run is what this owner has seen of a placed attempt. It is not journaled; a
// new owner learns it from the worker's reports.
type run struct {
	own      bool      // this owner placed it; else a predecessor did
	durable  bool      // the placement can't be lost
	sent     bool      // a start call was made by this owner
	deadline time.Time // of that call
	decided  bool      // the end was decided
	seen     time.Time // when the call was sent whose report first showed it running
	running  time.Time // when the call was sent whose report last showed it running
	status   inventory.TaskStatus
	// checkpointAt is when the last checkpoint, or the start, was seen.
	checkpointAt time.Time
	peak         fleet.Resources // highest use seen
	takenBack    bool            // journaled as taken back
	stopping     bool            // an eviction or cancellation was decided
	stopBy       time.Time       // no checkpoint is asked for later
	stopSent     time.Time
	throttled    bool    // it was seen with less than its share
	overrun      bool    // reported as running far longer than its class
	wantShare    float64 // 0: none wanted
	shareSent    time.Time
}

// note takes a report that shows the attempt.
func (r *run) note(st inventory.TaskStatus, sentAt time.Time) {
	if r.seen.IsZero() || st.CheckpointProgress > r.status.CheckpointProgress {
		r.checkpointAt = sentAt
	}
	r.status = st
	if !st.State.Final() {
		r.running = sentAt
	}
	r.throttled = r.throttled || st.Share < 1
	r.peak = fleet.Resources{
		MilliCores:   max(r.peak.MilliCores, st.Used.MilliCores),
		MemoryMB:     max(r.peak.MemoryMB, st.Used.MemoryMB),
		Accelerators: max(r.peak.Accelerators, st.Used.Accelerators),
	}
	if r.seen.IsZero() {
		r.seen = sentAt
	}
}

// neverAfter returns the time from which a start call of the attempt is
// refused by its worker's clock, whoever sent it.
func (r *run) neverAfter(p placement) time.Time {
	if r.own && r.sent {
		return r.deadline.Add(ClockMargin)
	}
	return time.UnixMilli(p.StartByMS).Add(ClockMargin)
}

// judgeListed returns the outcome of an attempt that a worker reports as
// final.
func judgeListed(a *attempt, r *run, st inventory.TaskStatus) delegation.Outcome {
	o := outcome(a, r)
	o.Checkpoint = st.Checkpoint
	o.CheckpointProgress = st.CheckpointProgress
	switch {
	case st.State == inventory.TaskFinished:
		o.End = delegation.EndFinished
	case st.State == inventory.TaskFailed:
		o.End = delegation.EndFailed
		o.Error = shorten(st.Error)
	case a.Cancelled:
		o.End = delegation.EndStopped
	default:
		o.End = delegation.EndEvicted
	}
	return o
}

// shorten bounds an error and keeps it valid UTF-8, which records must be.
func shorten(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxErrorBytes)], "")
}

// judgeMissing returns the outcome of an attempt that is not in the report of
// a call sent at sentAt, or false if it may still run.
func judgeMissing(a *attempt, r *run, sentAt time.Time) (delegation.Outcome, bool) {
	if !r.seen.IsZero() {
		if !sentAt.After(r.seen) {
			return delegation.Outcome{}, false
		}
		return lost(a, r, reasonNotListed), true
	}
	if !sentAt.After(r.neverAfter(a.Placement)) {
		return delegation.Outcome{}, false
	}
	return notRun(a, r, reasonNotListed), true
}

// judgeSilent returns the outcome of an attempt whose worker does not answer,
// or false if it may still run at now.
func judgeSilent(a *attempt, r *run, l *lease, now time.Time) (delegation.Outcome, bool) {
	if r.own && !r.sent {
		if now.Before(r.neverAfter(a.Placement)) {
			return delegation.Outcome{}, false
		}
		return notRun(a, r, reasonStartWindow), true
	}
	if now.Before(l.lapsed()) {
		return delegation.Outcome{}, false
	}
	return lost(a, r, reasonLapsed), true
}

// outcome returns the parts of an outcome that are the same for every end.
func outcome(a *attempt, r *run) delegation.Outcome {
	return delegation.Outcome{
		AttemptRef: a.Task.AttemptRef,
		Worker:     a.Placement.Worker,
		Used:       r.peak,
	}
}

// lost is an attempt that may have run and runs no more. It resumes from the
// last checkpoint that was seen.
func lost(a *attempt, r *run, reason string) delegation.Outcome {
	o := outcome(a, r)
	o.End = delegation.EndLost
	o.Error = reason
	keepCheckpoint(&o, a, r)
	if a.Cancelled {
		o.End = delegation.EndStopped
	}
	return o
}

// notRun is an attempt that no worker started.
func notRun(a *attempt, r *run, reason string) delegation.Outcome {
	o := outcome(a, r)
	o.Worker = ""
	o.End = delegation.EndNotRun
	o.Error = reason
	keepCheckpoint(&o, a, r)
	if a.Cancelled {
		o.End = delegation.EndStopped
	}
	return o
}

// keepCheckpoint hands back the newest checkpoint known: the one last
// reported, else the one the attempt was to resume from.
func keepCheckpoint(o *delegation.Outcome, a *attempt, r *run) {
	o.Checkpoint = a.Task.Checkpoint
	o.CheckpointProgress = a.Task.CheckpointProgress
	if r.status.Checkpoint != "" {
		o.Checkpoint = r.status.Checkpoint
		o.CheckpointProgress = r.status.CheckpointProgress
	}
}
