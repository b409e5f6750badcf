package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// WorkerReported takes in a worker's report. sent is when the renewal that it answers
// was sent.
func (m *Machine) WorkerReported(id fleet.WorkerID, rep workload.Report, sent, now time.Duration) {
	w, ok := m.workers[id]
	if !ok {
		return
	}
	if w.born != 0 && rep.StartedMS != 0 && rep.StartedMS != w.born {
		if rep.StartedMS < w.born {
			return // of the life before, on a slow connection
		}
		m.newLife(w, rep.StartedMS, now)
	}
	if rep.StartedMS != 0 {
		w.born = rep.StartedMS
	}
	if !w.adopted {
		m.event("worker_adopted", "", "worker", id, "running", len(rep.Running), "ended", len(rep.Ended), "born_ms", rep.StartedMS)
	}
	w.adopted, w.reported = true, now
	for _, e := range rep.Ended {
		if e.Sequence > w.processed {
			w.processed = e.Sequence
			m.ended(w, e, now)
		}
	}
	w.reports++
	w.strangers = 0
	for _, r := range rep.Running {
		m.running(w, r, now)
	}
	for _, r := range slices.Clone(w.runs) {
		if r.listedBy != w.reports && m.surelyAbsent(r, sent) {
			m.event("run_absent", r.task.name.Job, "task", r.task.name, "run", r.number, "worker", id, "age", now-r.ordered)
			m.release(r, now)
		}
	}
	w.settleEnds()
	m.control(w, now)
}

// surelyAbsent reports whether a run that a report does not list, whose
// renewal was sent at sent, is not on the worker and can't come.
func (m *Machine) surelyAbsent(r *run, sent time.Duration) bool {
	if r.stopAnswered > 0 && r.stopAnswered < sent {
		return true
	}
	return r.confirmed > 0 && r.confirmed < sent
}

// running takes in a run that a worker reports.
func (m *Machine) running(w *worker, rep workload.ActiveRun, now time.Duration) {
	r := w.find(rep.Task, rep.Run)
	if r == nil {
		if r = m.adopt(w, rep, now); r == nil {
			return
		}
	}
	r.listedBy = w.reports
	if r.state == runOrdered || r.state == runUnresolved && r.stopSent == 0 {
		r.state = runRunning
	}
	if r.confirmed == 0 {
		r.confirmed = now
	}
	if rep.PercentDone != r.percent || r.percentAt == 0 {
		if r.percentAt == 0 {
			r.firstPercent, r.firstPercentAt = rep.PercentDone, now
		}
		r.percent, r.percentAt = rep.PercentDone, now
	}
	r.gauge = rep.Gauge
	if rep.Checkpoint != "" {
		r.task.checkpoint = rep.Checkpoint
	}
	if r.noteRate(rep.PercentDone, now) {
		m.compare(r, now)
	}
}

// adopt takes over a run that this owner has not started, or stops it.
func (m *Machine) adopt(w *worker, rep workload.ActiveRun, now time.Duration) *run {
	j, ok := m.jobs[rep.Task.Job]
	var t *task
	if ok {
		t = j.find(rep.Task)
	}
	if t == nil {
		w.strangers++
		m.event("run_unknown", rep.Task.Job, "task", rep.Task, "run", rep.Run, "worker", w.ID)
		m.orders = append(m.orders, Order{Kind: OrderStop, Worker: w.ID, Task: rep.Task, Run: rep.Run, Reason: "unknown job"})
		return nil
	}
	r := m.attach(t, w, rep.Run, now)
	r.state, r.confirmed = runRunning, now
	m.event("run_adopted", j.ID, "task", rep.Task, "run", rep.Run, "worker", w.ID)
	switch {
	case j.state.Final():
		m.stop(r, "job has ended")
	case t.done, len(t.runs) > 1 && !t.step.Speculative:
		m.stop(r, "not wanted")
	}
	return r
}

// attach creates a run of a task on a worker.
func (m *Machine) attach(t *task, w *worker, number int, now time.Duration) *run {
	r := &run{task: t, number: number, worker: w, ordered: now, pace: 100}
	if len(t.runs) == 0 && !t.done {
		t.step.waiting--
	}
	t.runs = append(t.runs, r)
	t.lastRun = max(t.lastRun, number)
	t.step.gangRun = max(t.step.gangRun, number)
	t.step.perNode[w.ID]++
	t.job.runs++
	w.runs = append(w.runs, r)
	w.count(t.step.Step, 1)
	w.shared.add(m.interference, t.step.Step, 1)
	t.former = ""
	if t.job.state == workload.StateQueued {
		t.job.state = workload.StateRunning
		t.job.changed()
	} else {
		t.job.placed(now)
	}
	r.placed = t.job.version
	return r
}

// count adds or takes off n times what a task of a step takes on the worker.
func (w *worker) count(s *workload.Step, n int64) {
	need := s.Need
	switch {
	case s.BestEffort:
		w.filling += n * need.MilliCores
		need.MilliCores = 0
	case s.Serving:
		w.serving += n * need.MilliCores
	}
	w.used = w.used.Add(fleet.Resources{MilliCores: n * need.MilliCores, MemoryMB: n * need.MemoryMB, Accelerators: n * need.Accelerators})
}

// release takes a run off its worker: it is surely not there and can't come.
func (m *Machine) release(r *run, now time.Duration) {
	w, t := r.worker, r.task
	at := slices.Index(w.runs, r)
	if at < 0 {
		return
	}
	w.runs = slices.Delete(w.runs, at, at+1)
	w.count(t.step.Step, -1)
	w.shared.add(m.interference, t.step.Step, -1)
	if t.step.perNode[w.ID]--; t.step.perNode[w.ID] == 0 {
		delete(t.step.perNode, w.ID)
	}
	t.job.runs--
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	if len(t.runs) == 0 && !t.done {
		t.step.waiting++
		t.waitsFrom = now
	}
}

// ended takes in an end that a worker lists.
func (m *Machine) ended(w *worker, e workload.EndedRun, now time.Duration) {
	j, ok := m.jobs[e.Task.Job]
	var t *task
	if ok {
		t = j.find(e.Task)
	}
	if t == nil {
		w.marks = append(w.marks, endMark{number: e.Sequence})
		return
	}
	if r := w.find(e.Task, e.Run); r != nil {
		m.learn(r, e, now)
		m.release(r, now)
	}
	t.lastRun = max(t.lastRun, e.Run)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	if !j.state.Final() {
		m.event("run_ended", j.ID, "task", e.Task, "run", e.Run, "worker", w.ID, "how", e.Outcome, "failures", t.failures())
		m.applyEnd(w, t, e, now)
		j.changed()
	}
	w.marks = append(w.marks, endMark{number: e.Sequence, job: j, version: j.version})
}

func (m *Machine) applyEnd(w *worker, t *task, e workload.EndedRun, now time.Duration) {
	switch e.Outcome {
	case workload.OutcomeDone:
		w.strikes = 0
		m.done(t, now)
	case workload.OutcomeFailed:
		if slices.Contains(t.failed, e.Run) {
			return
		}
		t.failed = append(t.failed, e.Run)
		t.avoid = w.ID
		m.strike(w, t.job.ID, now)
		if q, ok := m.config.Queue(t.job.Queue); ok && !t.step.Serving && q.MaxAttempts > 0 && t.failures() >= q.MaxAttempts && !t.done {
			m.event("job_failed", t.job.ID, "task", t.name, "failures", t.failures(), "max_attempts", q.MaxAttempts)
			m.end(t.job, workload.StateFailed, now)
		}
	}
}

// done takes in that a task is done; one end speaks for a whole gang.
func (m *Machine) done(t *task, now time.Duration) {
	tasks := []*task{t}
	if t.step.Gang {
		tasks = t.step.tasks
	}
	for _, t := range tasks {
		if t.done {
			continue
		}
		t.done = true
		t.step.done++
		if len(t.runs) == 0 {
			t.step.waiting--
		}
		if !t.step.Gang {
			for _, r := range t.runs {
				m.stop(r, "another copy is done")
			}
		}
	}
	if s := t.step; s.done == s.Count {
		o := t.job.occ[t.name.Occurrence]
		o.left = 0
		for _, s := range o.steps {
			if s.done < s.Count {
				o.left++
			}
		}
		m.finishIfDone(t.job, now)
	}
}

// settleEnds lets the worker forget ends whose effect is durable.
func (w *worker) settleEnds() {
	for len(w.marks) > 0 {
		mark := w.marks[0]
		if mark.job != nil && mark.job.saved < mark.version {
			return
		}
		w.seen = mark.number
		w.marks = w.marks[1:]
	}
}
