package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// WorkerReported processes a worker's report. sent is when the renewal that it
// responds to was sent. Reports of unknown workers and of earlier incarnations are
// ignored.
func (m *Machine) WorkerReported(id fleet.WorkerID, rep workload.Report, sent, now time.Duration) {
	w, ok := m.workers[id]
	if !ok {
		return
	}
	if w.incarnationStartMS != 0 && rep.StartedMS != 0 && rep.StartedMS != w.incarnationStartMS {
		if rep.StartedMS < w.incarnationStartMS {
			return // from the previous incarnation, on a slow connection
		}
		m.handleRestart(w, rep.StartedMS, "report", now)
	}
	if rep.StartedMS != 0 {
		w.incarnationStartMS = rep.StartedMS
	}
	first := !w.adopted
	if first {
		m.emit("worker_adopted", "", "worker", id, "running", len(rep.Running), "ended", len(rep.Ended), "born_ms", rep.StartedMS)
	}
	w.adopted, w.reportedAt, w.failedAt, w.lapsed = true, now, 0, nil
	for _, e := range rep.Ended {
		if e.Sequence > w.processedEnd {
			if m.want(e.Task.Job) {
				rep.EndsTruncated = true // it is listed again
				break
			}
			w.processedEnd = e.Sequence
			m.handleEnded(w, e, now)
		}
	}
	if now >= w.leaseEnd && len(rep.Running) > 0 {
		// Another owner has extended the lease, or an earlier deadline of this one.
		w.leaseEnd = now + leaseBound(m.limits.LongestLease)
	}
	w.answeredSentAt = max(w.answeredSentAt, sent)
	w.reportCount++
	w.unknownRuns = 0
	for _, r := range rep.Running {
		m.handleRunning(w, r, now)
	}
	m.catchUp(w, rep, first, now)
	if rep.EndsTruncated {
		m.retireAbsent(w, sent, now)
	} else {
		m.releaseAbsent(w, sent, now)
	}
	w.endWithholding(now)
	w.acknowledgeEnds()
	m.setHeadrooms(w, now)
	m.adjustThrottles(w, now)
}

// confirmedAbsent reports whether a run is not on its worker and can't appear there,
// given that it is missing in the report to a renewal sent at sent.
func (m *Machine) confirmedAbsent(r *run, sent time.Duration) bool {
	if r.stopAnsweredAt > 0 && r.stopAnsweredAt < sent && !r.startInFlight {
		return true
	}
	return r.confirmedAt > 0 && r.confirmedAt < sent
}

// handleRunning processes a run that a worker reports as running.
func (m *Machine) handleRunning(w *worker, rep workload.ActiveRun, now time.Duration) {
	if r, ok := w.unlisted[runKey{rep.Task, rep.Run}]; ok {
		r.lastReport = w.reportCount // the report is older than the one that shows that it has ended
		return
	}
	r := w.find(rep.Task, rep.Run)
	if r == nil {
		if r = m.adopt(w, rep, now); r == nil {
			return
		}
	}
	r.lastReport, r.restarted = w.reportCount, false
	r.observeSurvival(now)
	if r.state == runOrdered || r.state == runUnresolved && r.stopSentAt == 0 {
		r.state = runRunning
	}
	r.confirm(now)
	m.setInitialCPUShare(r)
	if rep.PercentDone != r.percent || r.percentAt == 0 {
		if r.percentAt == 0 {
			r.firstPercent, r.firstPercentAt = rep.PercentDone, now
		} else {
			r.slowestPercent = max(r.slowestPercent, (now-r.percentAt)/time.Duration(max(1, rep.PercentDone-r.percent)))
		}
		r.percent, r.percentAt = rep.PercentDone, now
	}
	r.gauge = max(rep.Gauge, 0)
	if rep.Checkpoint != "" {
		r.task.checkpoint = rep.Checkpoint
	}
	if r.updateRate(rep.PercentDone, now) {
		m.compareWithSiblings(r, now)
	}
}

// adopt takes over a run that this owner has not started, or stops it if it is not
// needed. It returns nil if the task is unknown.
func (m *Machine) adopt(w *worker, rep workload.ActiveRun, now time.Duration) *run {
	j, ok := m.jobs[rep.Task.Job]
	var t *task
	if ok {
		t = j.find(rep.Task)
	}
	if t == nil && m.want(rep.Task.Job) {
		w.unknownRuns++
		return nil
	}
	if t == nil {
		w.unknownRuns++
		m.emit("run_unknown", rep.Task.Job, "task", rep.Task, "run", rep.Run, "worker", w.ID)
		m.orders = append(m.orders, Order{Kind: OrderStop, Worker: w.ID, Task: rep.Task, Run: rep.Run, Reason: "unknown job"})
		return nil
	}
	if t.formerWorker == w.ID && t.lastRun == rep.Run {
		t.formerConfirmed = true
	}
	m.forgetFormerRun(t, now)
	t.settle(w.ID, rep.Run)
	r := m.attach(t, w, rep.Run, now)
	r.state, r.confirmedAt = runRunning, now
	m.emit("run_adopted", j.ID, "task", rep.Task, "run", rep.Run, "worker", w.ID)
	switch {
	case j.state.Final():
		m.requestStop(r, "job has ended")
	case t.done, len(t.runs) > 1 && !t.step.Speculative:
		m.requestStop(r, "duplicate run")
	}
	return r
}

// attach creates a run of a task on a worker.
func (m *Machine) attach(t *task, w *worker, number int, now time.Duration) *run {
	r := &run{task: t, number: number, worker: w, orderedAt: now, cpuShare: 100}
	if len(t.runs) == 0 && !t.done {
		t.step.waitingCount--
	}
	if t.isSuspect() {
		r.onProbation = true
		w.probations++
	}
	t.runs = append(t.runs, r)
	t.lastRun = max(t.lastRun, number)
	t.step.lastGangRun = max(t.step.lastGangRun, number)
	t.job.runCount++
	m.chargeWorkspace(r, 1)
	m.occupy(r)
	if t.job.state == workload.StateQueued {
		t.job.state = workload.StateRunning
		t.job.markUrgent()
	} else if t.isSuspect() {
		t.job.markUrgent()
	} else {
		t.job.markDirty(now)
	}
	r.placedVersion = t.job.version
	return r
}

// occupy adds a run to those on its worker.
func (m *Machine) occupy(r *run) {
	w, s := r.worker, r.task.step
	w.runs = append(w.runs, r)
	if s.runsOnWorker == nil {
		s.runsOnWorker = make(map[fleet.WorkerID]int)
	}
	s.runsOnWorker[w.ID]++
	w.addUsage(s.Step, 1)
	w.colocated.add(m.interference, s.Step, 1)
}

// vacate removes a run from those on its worker, and reports whether it was one.
func (m *Machine) vacate(r *run, now time.Duration) bool {
	w, s := r.worker, r.task.step
	at := slices.Index(w.runs, r)
	if at < 0 {
		return false
	}
	w.runs = slices.Delete(w.runs, at, at+1)
	r.endProbation()
	w.addUsage(s.Step, -1)
	w.colocated.add(m.interference, s.Step, -1)
	m.endedBeside(w, s.Step, now)
	if s.runsOnWorker[w.ID]--; s.runsOnWorker[w.ID] == 0 {
		delete(s.runsOnWorker, w.ID)
	}
	if r.starved {
		r.starved = false
		w.starvedRuns--
	}
	return true
}

// addUsage adds n times the resources of a task of a step to the worker's usage; n is
// negative to subtract.
func (w *worker) addUsage(s *workload.Step, n int64) {
	need := s.Need
	switch {
	case s.BestEffort:
		w.bestEffort += n * need.MilliCores
		need.MilliCores = 0
	case s.Serving:
		w.serving += n * need.MilliCores
	}
	w.used = w.used.Add(fleet.Resources{MilliCores: n * need.MilliCores, MemoryMB: n * need.MemoryMB, Accelerators: n * need.Accelerators})
}

// release removes a run that is certainly not on its worker and can't appear there.
func (m *Machine) release(r *run, now time.Duration) {
	w, t := r.worker, r.task
	if _, ok := w.unlisted[r.key()]; ok {
		delete(w.unlisted, r.key())
	} else if !m.vacate(r, now) {
		return
	}
	m.chargeWorkspace(r, -1)
	if t.job.runCount--; t.job.runCount == 0 {
		t.job.idleSince = now
	}
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	if !t.done {
		t.job.recordPlacementEnd(now)
	}
	if len(t.runs) == 0 && !t.done {
		t.step.waitingCount++
		t.waitingSince = now
	}
	t.dropRecord()
}

// handleEnded processes the end of a run that a worker reports.
func (m *Machine) handleEnded(w *worker, e workload.EndedRun, now time.Duration) {
	j, ok := m.jobs[e.Task.Job]
	var t *task
	if ok {
		t = j.find(e.Task)
	}
	if t == nil {
		w.unacknowledged = append(w.unacknowledged, unacknowledgedEnd{number: e.Sequence, withheldUntil: w.withheldUntil(nil, e)})
		return
	}
	var orderedAt time.Duration
	if r := w.find(e.Task, e.Run); r != nil {
		orderedAt = r.orderedAt
		m.learnRunTime(r, e, now)
		m.release(r, now)
	} else if r := w.unlisted[runKey{e.Task, e.Run}]; r != nil {
		orderedAt = r.orderedAt // when it ended is not known
		m.release(r, now)
	}
	t.settle(w.ID, e.Run)
	if t.formerWorker == w.ID && t.lastRun == e.Run {
		t.formerConfirmed = true
		m.forgetFormerRun(t, now)
	}
	withheldUntil := w.withheldUntil(t, e)
	if withheldUntil > now {
		m.emit("end_withheld", j.ID, "task", e.Task, "run", e.Run, "worker", w.ID, "how", e.Outcome, "for", withheldUntil-now)
	}
	t.lastRun = max(t.lastRun, e.Run)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	if !j.state.Final() {
		m.emit("run_ended", j.ID, "task", e.Task, "run", e.Run, "worker", w.ID, "how", e.Outcome, "failures", t.failures())
		m.applyEnd(w, t, e, orderedAt, now)
		j.markUrgent()
	}
	w.unacknowledged = append(w.unacknowledged, unacknowledgedEnd{number: e.Sequence, job: j, version: j.version, withheldUntil: withheldUntil})
}

// applyEnd updates a task, its job and the worker after the end of a run. orderedAt is when
// the run was ordered, or 0 if a former owner did.
func (m *Machine) applyEnd(w *worker, t *task, e workload.EndedRun, orderedAt, now time.Duration) {
	switch e.Outcome {
	case workload.OutcomeDone:
		w.failureStreak = 0
		m.markTaskDone(t, now)
	case workload.OutcomeFailed:
		if slices.Contains(t.failedRuns, e.Run) || t.done && orderedAt == 0 { // not stored of tasks that are done
			return
		}
		t.failedRuns = append(t.failedRuns, e.Run)
		m.avoid(t, w, now)
		m.recordFailure(w, t.job.ID, orderedAt, now)
		if q, ok := m.config.Queue(t.job.Queue); ok && !t.step.Serving && q.MaxAttempts > 0 && t.failures() >= q.MaxAttempts && !t.done {
			m.emit("job_failed", t.job.ID, "task", t.name, "failures", t.failures(), "max_attempts", q.MaxAttempts)
			m.endJob(t.job, workload.StateFailed, now)
		}
	}
}

// markTaskDone marks a task as done, or all tasks of its gang.
func (m *Machine) markTaskDone(t *task, now time.Duration) {
	tasks := []*task{t}
	if s := t.step; s.Gang && !t.done {
		tasks = tasks[:0]
		for i := range s.Count {
			tasks = append(tasks, s.record(i))
		}
	}
	for _, t := range tasks {
		if t.done {
			continue
		}
		t.done = true
		t.step.doneCount++
		if len(t.runs) == 0 {
			t.step.waitingCount--
		}
		if !t.step.Gang {
			for _, r := range t.runs {
				m.requestStop(r, "another run of the task is done")
			}
		}
	}
	if s := t.step; s.doneCount == s.Count {
		o := t.job.occurrenceAt(t.name.Occurrence)
		if o == endedOccurrence {
			return
		}
		o.stepsLeft = 0
		for _, s := range o.steps {
			if s.doneCount < s.Count {
				o.stepsLeft++
			}
		}
		m.completeIfDone(t.job, now)
	}
	for _, t := range tasks {
		t.dropRecord()
	}
}

// acknowledgeEnds lets the worker forget the ends whose effects are stored.
func (w *worker) acknowledgeEnds() {
	for len(w.unacknowledged) > 0 {
		end := w.unacknowledged[0]
		if end.withheldUntil > 0 || end.job != nil && end.job.saved < end.version {
			return
		}
		w.acknowledgedEnd = end.number
		w.unacknowledged = w.unacknowledged[1:]
	}
}
