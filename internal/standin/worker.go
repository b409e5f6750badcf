package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// WorkerFaults are the faults that a Worker injects.
type WorkerFaults struct {
	Unresponsive bool          // accepts calls and never replies, even when dead; tasks keep running
	FailStarts   bool          // every started task fails immediately
	LoseReply    int           // the next n calls take effect but their replies are lost
	UsageLag     time.Duration // age of the usage in reports
	Delay        time.Duration // before every call
}

// RunTime returns how long a task runs unthrottled.
type RunTime func(req inventory.StartRequest) time.Duration

// Record describes one run of an attempt on a worker.
type Record struct {
	inventory.AttemptRef
	Worker      fleet.WorkerID
	DataCentre  fleet.DataCentre
	Cell        string
	Resources   fleet.Resources
	Checkpoint  string // that the run resumed from
	Started     time.Time
	Ended       time.Time // zero while running
	State       inventory.TaskState
	Progress    float64
	EndReported bool // a reply that reported the end has reached a host
	EndLost     bool // the worker died while it held the run or its outcome
}

// OutcomeUnknowable reports whether the outcome was lost with the worker before
// it was reported to any host. No scheduler can distinguish such a run from one
// that did not finish.
func (r *Record) OutcomeUnknowable() bool { return r.EndLost && !r.EndReported }

// Worker is a stand-in for a worker host's control interface. It implements the
// calls of inventory.WorkerControl without the address; Workers routes by address.
// It is safe for concurrent use.
type Worker struct {
	info    inventory.Worker
	runTime RunTime
	records *Records

	mu       sync.Mutex
	faults   WorkerFaults
	dead     bool
	tokens   map[string]fleet.Epoch
	runs     map[inventory.AttemptRef]*run
	ended    map[inventory.AttemptRef]bool // stopped before they started, or forgotten on request
	reserved fleet.Resources               // by backend servers
}

type run struct {
	req                inventory.StartRequest
	record             *Record
	state              inventory.TaskState
	reason             string
	share              float64
	progress           float64 // at time updated
	updated            time.Time
	duration           time.Duration
	checkpoint         string
	checkpointProgress float64
	reported           bool // a reply has reported the end, but it may be lost
	endTimer           *time.Timer
	leaseTimer         *time.Timer
}

// NewWorker returns a worker that records its runs in records.
func NewWorker(info inventory.Worker, reserve fleet.Resources, runTime RunTime, records *Records) *Worker {
	return &Worker{
		info:     info,
		runTime:  runTime,
		records:  records,
		reserved: reserve,
		tokens:   make(map[string]fleet.Epoch),
		runs:     make(map[inventory.AttemptRef]*run),
		ended:    make(map[inventory.AttemptRef]bool),
	}
}

// Info returns the worker's entry in the host list.
func (w *Worker) Info() inventory.Worker { return w.info }

// SetFaults replaces the faults in effect.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Kill stops the worker and every task on it without reporting it to any host.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for _, r := range w.runs {
		w.finish(r, inventory.TaskStopped, "worker died")
		w.records.recordEndLost(r.record)
	}
}

// Restart restarts a killed worker without any task.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = false
	w.tokens = make(map[string]fleet.Epoch)
	w.runs = make(map[inventory.AttemptRef]*run)
}

// enter applies the faults. It returns with w.mu held if the error is nil.
func (w *Worker) enter(ctx context.Context, op string) error {
	w.mu.Lock()
	f := w.faults
	dead := w.dead
	w.mu.Unlock()
	if f.Unresponsive {
		<-ctx.Done()
		return eris.Wrap(&inventory.UnknownOutcomeError{Op: op, Cause: ctx.Err()}, "standin")
	}
	if dead {
		return eris.Wrap(&inventory.UnknownOutcomeError{Op: op, Cause: errDown}, "standin")
	}
	if err := wait.For(ctx, f.Delay); err != nil {
		return eris.Wrap(&inventory.UnknownOutcomeError{Op: op, Cause: err}, "standin")
	}
	w.mu.Lock()
	return nil
}

// reply ends a call: the report reaches the host, or is lost.
func (w *Worker) reply(op string, rep inventory.WorkerReport) (inventory.WorkerReport, error) {
	if w.faults.LoseReply > 0 {
		w.faults.LoseReply--
		return rep, eris.Wrap(&inventory.UnknownOutcomeError{Op: op, Cause: errReplyLost}, "standin")
	}
	for _, task := range rep.Tasks {
		if r := w.runs[task.AttemptRef]; r.state.Final() {
			w.records.recordEndReported(r.record)
		}
	}
	return rep, nil
}

// fence rejects a stale fencing token, and otherwise stores it as the highest.
func (w *Worker) fence(cell string, token fleet.Epoch) error {
	if token < w.tokens[cell] {
		return w.refuse(cell, inventory.RefusedFenced)
	}
	w.tokens[cell] = token
	return nil
}

func (w *Worker) refuse(cell string, reason inventory.RefusalReason) error {
	return eris.Wrap(&inventory.RefusedError{Reason: reason, Token: w.tokens[cell]}, "standin")
}

// Start runs an attempt.
func (w *Worker) Start(ctx context.Context, req inventory.StartRequest) (inventory.WorkerReport, error) {
	if err := w.enter(ctx, "start"); err != nil {
		return inventory.WorkerReport{}, err
	}
	defer w.mu.Unlock()
	if err := w.fence(req.Cell, req.Token); err != nil {
		return inventory.WorkerReport{}, err
	}
	ref := inventory.AttemptRef{Task: req.Task, Attempt: req.Attempt}
	if w.ended[ref] {
		return inventory.WorkerReport{}, w.refuse(req.Cell, inventory.RefusedEnded)
	}
	if _, known := w.runs[ref]; !known {
		if time.Now().UnixMilli() > req.DeadlineMS {
			return inventory.WorkerReport{}, w.refuse(req.Cell, inventory.RefusedDeadline)
		}
		w.begin(ref, req)
	}
	return w.reply("start", w.partialReport(req.Cell, ref))
}

func (w *Worker) begin(ref inventory.AttemptRef, req inventory.StartRequest) {
	now := time.Now()
	r := &run{
		req:                req,
		state:              inventory.TaskRunning,
		share:              1,
		progress:           checkpointProgress(req.Checkpoint),
		updated:            now,
		duration:           w.runTime(req),
		checkpoint:         req.Checkpoint,
		checkpointProgress: checkpointProgress(req.Checkpoint),
	}
	r.record = w.records.begin(Record{
		AttemptRef: ref,
		Worker:     w.info.ID,
		DataCentre: w.info.DataCentre,
		Cell:       req.Cell,
		Resources:  req.Resources,
		Checkpoint: req.Checkpoint,
		Started:    now,
		State:      inventory.TaskRunning,
	}, w.info.Capacity.Sub(w.reserved))
	w.runs[ref] = r
	lease := time.Duration(req.LeaseMS) * time.Millisecond
	r.leaseTimer = time.AfterFunc(lease, func() { w.expire(r) })
	if w.faults.FailStarts {
		w.finish(r, inventory.TaskFailed, "exit status 1")
		return
	}
	w.schedule(r)
}

// checkpointProgress parses the progress from the name of a checkpoint.
func checkpointProgress(checkpoint string) float64 {
	var p float64
	if _, err := fmt.Sscanf(checkpoint, "cp-%f", &p); err != nil {
		return 0
	}
	return p
}

func (w *Worker) schedule(r *run) {
	if r.endTimer != nil {
		r.endTimer.Stop()
	}
	if r.share <= 0 {
		return
	}
	remaining := time.Duration((1 - r.progress) * float64(r.duration) / r.share)
	r.endTimer = time.AfterFunc(remaining, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		r.advance()
		if r.progress >= 0.999 {
			w.finish(r, inventory.TaskFinished, "")
		}
	})
}

func (r *run) advance() {
	if r.state.Final() {
		return
	}
	now := time.Now()
	r.progress = min(1, r.progress+now.Sub(r.updated).Seconds()*r.share/max(r.duration.Seconds(), 1e-9))
	r.updated = now
}

func (w *Worker) expire(r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finish(r, inventory.TaskStopped, "lease expired")
}

func (w *Worker) finish(r *run, state inventory.TaskState, reason string) {
	if r.state.Final() {
		return
	}
	r.advance()
	r.state = state
	r.reason = reason
	if r.endTimer != nil {
		r.endTimer.Stop()
	}
	r.leaseTimer.Stop()
	w.records.end(r.record, state, r.progress)
}

// Renew extends the leases of a cell's tasks.
func (w *Worker) Renew(ctx context.Context, req inventory.RenewRequest) (inventory.WorkerReport, error) {
	if err := w.enter(ctx, "renew"); err != nil {
		return inventory.WorkerReport{}, err
	}
	defer w.mu.Unlock()
	if err := w.fence(req.Cell, req.Token); err != nil {
		return inventory.WorkerReport{}, err
	}
	if req.DeadlineMS != 0 && time.Now().UnixMilli() > req.DeadlineMS {
		return inventory.WorkerReport{}, w.refuse(req.Cell, inventory.RefusedDeadline)
	}
	for _, ref := range req.Forget {
		if r, ok := w.runs[ref]; ok && r.state.Final() {
			delete(w.runs, ref)
			w.ended[ref] = true
		}
	}
	for _, r := range w.runs {
		if r.req.Cell == req.Cell && !r.state.Final() {
			r.leaseTimer.Reset(time.Duration(req.LeaseMS) * time.Millisecond)
		}
	}
	return w.reply("renew", w.fullReport(req.Cell))
}

// Stop stops an attempt. If the attempt was never started, a later start of it is
// refused.
func (w *Worker) Stop(ctx context.Context, req inventory.StopRequest) (inventory.WorkerReport, error) {
	if err := w.enter(ctx, "stop"); err != nil {
		return inventory.WorkerReport{}, err
	}
	defer w.mu.Unlock()
	if err := w.fence(req.Cell, req.Token); err != nil {
		return inventory.WorkerReport{}, err
	}
	r, ok := w.runs[req.AttemptRef]
	if !ok {
		w.ended[req.AttemptRef] = true
		return inventory.WorkerReport{}, w.refuse(req.Cell, inventory.RefusedUnknownAttempt)
	}
	if !r.state.Final() && req.Checkpoint {
		r.advance()
		r.checkpoint = fmt.Sprintf("cp-%.6f", r.progress)
		r.checkpointProgress = r.progress
	}
	w.finish(r, inventory.TaskStopped, "stopped")
	return w.reply("stop", w.partialReport(req.Cell, req.AttemptRef))
}

// Throttle sets an attempt's share of its processors.
func (w *Worker) Throttle(ctx context.Context, req inventory.ThrottleRequest) (inventory.WorkerReport, error) {
	if err := w.enter(ctx, "throttle"); err != nil {
		return inventory.WorkerReport{}, err
	}
	defer w.mu.Unlock()
	if err := w.fence(req.Cell, req.Token); err != nil {
		return inventory.WorkerReport{}, err
	}
	r, ok := w.runs[req.AttemptRef]
	if !ok {
		return inventory.WorkerReport{}, w.refuse(req.Cell, inventory.RefusedUnknownAttempt)
	}
	r.advance()
	r.share = req.Share
	w.schedule(r)
	return w.reply("throttle", w.partialReport(req.Cell, req.AttemptRef))
}

// fullReport returns a report of every task of a cell.
func (w *Worker) fullReport(cell string) inventory.WorkerReport {
	return w.reportMatching(cell, func(inventory.AttemptRef, *run) bool { return true })
}

// partialReport returns a report of one attempt and of those whose end was not
// reported yet.
func (w *Worker) partialReport(cell string, asked inventory.AttemptRef) inventory.WorkerReport {
	rep := w.reportMatching(cell, func(ref inventory.AttemptRef, r *run) bool {
		return ref == asked || r.state.Final() && !r.reported
	})
	rep.Partial = true
	return rep
}

func (w *Worker) reportMatching(cell string, listed func(inventory.AttemptRef, *run) bool) inventory.WorkerReport {
	rep := inventory.WorkerReport{Worker: w.info.ID, Token: w.tokens[cell]}
	for ref, r := range w.runs {
		if r.req.Cell != cell {
			continue
		}
		if !r.state.Final() {
			rep.Used = rep.Used.Add(r.req.Resources)
		}
		if !listed(ref, r) {
			continue
		}
		r.advance()
		r.reported = r.state.Final()
		rep.Tasks = append(rep.Tasks, r.status(ref, w.faults.UsageLag))
	}
	return rep
}

func (r *run) status(ref inventory.AttemptRef, lag time.Duration) inventory.TaskStatus {
	st := inventory.TaskStatus{
		AttemptRef:         ref,
		State:              r.state,
		Progress:           r.progress,
		Checkpoint:         r.checkpoint,
		CheckpointProgress: r.checkpointProgress,
		Share:              r.share,
	}
	if r.state == inventory.TaskFailed {
		st.Error = r.reason
	}
	if time.Since(r.record.Started) > lag {
		st.Used = r.req.Resources
	}
	return st
}
