package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// worker is a worker as this owner knows it.
type worker struct {
	workload.Worker
	listed  bool // has an entry at the platform
	stored  bool // is durably known to have had one
	storing bool // a write of that is on its way
	adopted bool // has reported to this owner
	leased  bool // has a lease of this owner's
	upkeep  bool // is being emptied, as its machine is to be taken down
	// strangers are runs of unknown size that it lists: of jobs that have
	// ended, on their way to be stopped.
	strangers int
	born      int64
	runs      []*run          // in order of their start
	used      fleet.Resources // by runs that count against its capacity
	serving   int64           // millicores of serving runs
	filling   int64           // millicores asked for by filling runs
	// leaseEnd is when everything on the worker has surely ended unless a
	// later renewal reaches it.
	leaseEnd  time.Duration
	reported  time.Duration // when the last report was received
	processed int64         // highest end taken in
	reports   int64         // counts the reports taken in
	seen      int64         // highest end that is durable, which it may forget
	marks     []endMark
	// closedUntil is when it may take work again, after a refusal or failures.
	closedUntil time.Duration
	// speed compares its runs with their siblings elsewhere; 1 is alike.
	speed     float64
	speedSeen int
	speedAt   time.Duration
	strikes   int // failures in a row, of different jobs
	struckBy  fleet.JobID
	struckAt  time.Duration
	paceAt    time.Duration // when paces were changed last
	learnedAt time.Duration // when tails were learned from last
	alarmAt   time.Duration // when a tail was too long last
	shared    sharedRoom
}

// endMark is an end that is forgotten on the worker once its job's version is
// durable.
type endMark struct {
	number  int64
	job     *job
	version int64
}

// SetWorker takes in a worker's entry.
func (m *Machine) SetWorker(info workload.Worker, now time.Duration) {
	w, ok := m.workers[info.ID]
	if !ok {
		w = &worker{leaseEnd: now + leaseBound(m.limits.LeaseMax)}
		m.workers[info.ID] = w
		at, _ := slices.BinarySearchFunc(m.list, info.ID, func(w *worker, id fleet.WorkerID) int { return strings.Compare(string(w.ID), string(id)) })
		m.list = slices.Insert(m.list, at, w)
		m.event("worker_found", "", "worker", info.ID, "data_centre", info.DataCentre, "rack", info.Rack)
	}
	if w.born != 0 && info.BornMS != 0 && info.BornMS > w.born {
		m.newLife(w, info.BornMS, now)
	}
	if info.Draining != w.Draining {
		m.event("worker_draining", "", "worker", info.ID, "draining", info.Draining)
	}
	w.Worker, w.listed = info, true
}

// KnowWorker takes in a worker that a former owner knew. It may hold runs,
// though its entry may be missing: entries lapse while the store is away.
func (m *Machine) KnowWorker(info workload.Worker, now time.Duration) {
	if _, ok := m.workers[info.ID]; !ok {
		m.SetWorker(info, now)
		m.workers[info.ID].listed = false
	}
	m.workers[info.ID].stored = true
}

// WorkerWrites are the workers to store, and those to forget.
type WorkerWrites struct {
	Put    []workload.Worker
	Delete []fleet.WorkerID
}

// TakeWorkerWrites returns what has to become durable of the set of workers,
// up to a number of entries.
func (m *Machine) TakeWorkerWrites(entries int) WorkerWrites {
	var writes WorkerWrites
	for _, w := range m.list {
		if w.listed && !w.stored && !w.storing && len(writes.Put) < entries {
			w.storing = true
			writes.Put = append(writes.Put, w.Worker)
		}
	}
	n := min(len(m.dropped), entries-len(writes.Put))
	writes.Delete, m.dropped = m.dropped[:n:n], m.dropped[n:]
	return writes
}

// WorkerWritesDone takes in whether writes have become durable.
func (m *Machine) WorkerWritesDone(writes WorkerWrites, ok bool) {
	for _, info := range writes.Put {
		if w := m.workers[info.ID]; w != nil {
			w.storing, w.stored = false, ok
		}
	}
	if !ok {
		m.dropped = append(m.dropped, writes.Delete...)
	}
}

// WorkerGone takes in that a worker has no entry any more.
func (m *Machine) WorkerGone(id fleet.WorkerID, now time.Duration) {
	w, ok := m.workers[id]
	if !ok {
		return
	}
	w.listed = false
	m.event("worker_gone", "", "worker", id, "runs", len(w.runs))
	m.dropIfEmpty(w, now)
}

// dropIfEmpty forgets an unlisted worker that can't run anything for us.
func (m *Machine) dropIfEmpty(w *worker, now time.Duration) {
	if w.listed || len(w.runs) > 0 || now < w.leaseEnd {
		return
	}
	if w.stored || w.storing {
		m.dropped = append(m.dropped, w.ID)
	}
	delete(m.workers, w.ID)
	m.list = slices.DeleteFunc(m.list, func(o *worker) bool { return o == w })
}

// newLife takes in that a worker has started anew: it runs nothing of before.
// A start that got no answer may still reach the new life.
func (m *Machine) newLife(w *worker, born int64, now time.Duration) {
	m.event("worker_reborn", "", "worker", w.ID, "born_ms", born, "runs", len(w.runs))
	w.upkeep = false
	w.born, w.processed, w.seen, w.marks, w.leased, w.strangers = born, 0, 0, nil, false, 0
	for _, r := range slices.Clone(w.runs) {
		if r.state == runOrdered || r.state == runUnresolved {
			r.stopSent, r.stopAnswered = 0, 0
			continue
		}
		m.release(r, now)
	}
}

// find returns a run on the worker, or nil.
func (w *worker) find(task workload.TaskName, number int) *run {
	for _, r := range w.runs {
		if r.number == number && r.task.name == task {
			return r
		}
	}
	return nil
}

// Addresses returns the workers to renew, with their addresses: all but those
// without an entry that run nothing.
func (m *Machine) Addresses() map[fleet.WorkerID]string {
	addresses := make(map[fleet.WorkerID]string, len(m.workers))
	for id, w := range m.workers {
		if w.listed || !w.adopted || len(w.runs) > 0 {
			addresses[id] = w.Address
		}
	}
	return addresses
}

// Seen returns the highest end that a worker may forget.
func (m *Machine) Seen(id fleet.WorkerID) int64 {
	if w, ok := m.workers[id]; ok {
		return w.seen
	}
	return 0
}

// Reporting counts the workers with an entry, and those that have reported
// since a time.
func (m *Machine) Reporting(since time.Duration) (total, reported int) {
	for _, w := range m.list {
		if !w.listed {
			continue
		}
		total++
		if w.reported >= since {
			reported++
		}
	}
	return total, reported
}

// EndsPending reports whether a worker lists ends that are not durable yet.
func (m *Machine) EndsPending(id fleet.WorkerID) bool {
	w, ok := m.workers[id]
	return ok && len(w.marks) > 0
}

// RenewalSent takes note that a renewal or start has been sent to a worker.
func (m *Machine) RenewalSent(id fleet.WorkerID, now time.Duration) {
	if w, ok := m.workers[id]; ok {
		w.leaseEnd, w.leased = max(w.leaseEnd, now+leaseBound(m.limits.Lease)), true
	}
}

// Report takes in a worker's report. sent is when the renewal that it answers
// was sent.
func (m *Machine) Report(id fleet.WorkerID, rep workload.Report, sent, now time.Duration) {
	w, ok := m.workers[id]
	if !ok {
		return
	}
	if w.born != 0 && rep.BornMS != 0 && rep.BornMS != w.born {
		if rep.BornMS < w.born {
			return // of the life before, on a slow connection
		}
		m.newLife(w, rep.BornMS, now)
	}
	if rep.BornMS != 0 {
		w.born = rep.BornMS
	}
	if !w.adopted {
		m.event("worker_adopted", "", "worker", id, "running", len(rep.Running), "ended", len(rep.Ended), "born_ms", rep.BornMS)
	}
	w.adopted, w.reported = true, now
	for _, e := range rep.Ended {
		if e.Number > w.processed {
			w.processed = e.Number
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
func (m *Machine) running(w *worker, rep workload.Running, now time.Duration) {
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
	if rep.Percent != r.percent || r.percentAt == 0 {
		if r.percentAt == 0 {
			r.firstPercent, r.firstPercentAt = rep.Percent, now
		}
		r.percent, r.percentAt = rep.Percent, now
	}
	r.gauge = rep.Gauge
	if rep.Checkpoint != "" {
		r.task.checkpoint = rep.Checkpoint
	}
	if r.noteRate(rep.Percent, now) {
		m.compare(r, now)
	}
}

// adopt takes over a run that this owner has not started, or stops it.
func (m *Machine) adopt(w *worker, rep workload.Running, now time.Duration) *run {
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
	return r
}

// count adds or takes off n times what a task of a step takes on the worker.
func (w *worker) count(s *workload.Step, n int64) {
	need := s.Need
	switch {
	case s.Filling:
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
func (m *Machine) ended(w *worker, e workload.Ended, now time.Duration) {
	j, ok := m.jobs[e.Task.Job]
	var t *task
	if ok {
		t = j.find(e.Task)
	}
	if t == nil {
		w.marks = append(w.marks, endMark{number: e.Number})
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
		m.event("run_ended", j.ID, "task", e.Task, "run", e.Run, "worker", w.ID, "how", e.How, "failures", t.failures())
		m.applyEnd(w, t, e, now)
		j.changed()
	}
	w.marks = append(w.marks, endMark{number: e.Number, job: j, version: j.version})
}

func (m *Machine) applyEnd(w *worker, t *task, e workload.Ended, now time.Duration) {
	switch e.How {
	case workload.EndDone:
		w.strikes = 0
		m.done(t)
	case workload.EndFailed:
		if slices.Contains(t.failed, e.Run) {
			return
		}
		t.failed = append(t.failed, e.Run)
		t.avoid = w.ID
		m.strike(w, t.job.ID, now)
		if q, ok := m.config.Queue(t.job.Queue); ok && !t.step.Serving && q.MaxAttempts > 0 && t.failures() >= q.MaxAttempts && !t.done {
			m.event("job_failed", t.job.ID, "task", t.name, "failures", t.failures(), "max_attempts", q.MaxAttempts)
			m.end(t.job, workload.StateFailed)
		}
	}
}

// done takes in that a task is done; one end speaks for a whole gang.
func (m *Machine) done(t *task) {
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
		m.finishIfDone(t.job)
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

const (
	// strikesToClose is how many failures in a row, of different jobs, close
	// a worker. Source: with a share of 5% failing by their own fault, two in
	// a row are 1 in 400.
	strikesToClose = 2
	// closedFor is the first time out of a worker that fails what it starts,
	// doubled with each further strike. Source: BENCH of troubles lasts 5 s
	// and more; a sound worker that was closed by chance costs a fortieth of
	// the room for that time.
	closedFor = 3 * time.Second
	closedMax = 12 * time.Second
)

// strike counts a failure against a worker.
func (m *Machine) strike(w *worker, id fleet.JobID, now time.Duration) {
	if w.strikes > 0 && w.struckBy == id {
		return
	}
	w.strikes++
	w.struckBy, w.struckAt = id, now
	if w.strikes >= strikesToClose {
		w.close(now, min(closedFor<<(w.strikes-strikesToClose), closedMax))
		m.event("worker_closed", "", "worker", w.ID, "strikes", w.strikes, "until", w.closedUntil-now)
	}
}

func (w *worker) close(now, d time.Duration) { w.closedUntil = max(w.closedUntil, now+d) }

// stop orders a run to end.
func (m *Machine) stop(r *run, reason string) {
	if r.state == runStopping {
		return
	}
	r.state, r.reason = runStopping, reason
	r.stopSent = 0
}

// StartAnswered takes in the outcome of a start.
func (m *Machine) StartAnswered(o Order, outcome Outcome, now time.Duration) {
	w, ok := m.workers[o.Worker]
	if !ok {
		return
	}
	r := w.find(o.Task, o.Run)
	if r == nil {
		return
	}
	switch outcome {
	case Accepted:
		if r.state == runOrdered {
			r.state = runRunning
		}
		if r.confirmed == 0 {
			r.confirmed = now
		}
	case Refused, Unhealthy:
		if r.confirmed > 0 {
			return
		}
		w.close(now, refusedPause)
		if outcome == Unhealthy {
			r.task.avoid = w.ID
			m.strike(w, r.task.job.ID, now)
		}
		m.event("start_refused", o.Task.Job, "task", o.Task, "run", o.Run, "worker", w.ID, "outcome", outcome)
		m.release(r, now)
	case Superseded:
		m.superseded = true
	case NoAnswer:
		if r.state == runOrdered {
			r.state = runUnresolved
			w.close(now, noAnswerPause)
			m.event("start_unanswered", o.Task.Job, "task", o.Task, "run", o.Run, "worker", w.ID)
		}
	}
}

const (
	// refusedPause keeps new work from a worker that has refused some.
	refusedPause = 300 * time.Millisecond
	// noAnswerPause keeps new work from a worker that did not answer. Source:
	// about two renewals, which tell whether it lives.
	noAnswerPause = time.Second
	// lateOrder is after which an order that got no answer is not carried out
	// any more. Source: the users' orders come 2 to 12 s late.
	lateOrder = 13 * time.Second
	// stopRepeat is after which an unanswered stop is sent again.
	stopRepeat = 700 * time.Millisecond
)

// StopAnswered takes in the outcome of a stop.
func (m *Machine) StopAnswered(o Order, outcome Outcome, now time.Duration) {
	w, ok := m.workers[o.Worker]
	if !ok {
		return
	}
	switch outcome {
	case Accepted:
		if r := w.find(o.Task, o.Run); r != nil {
			r.stopAnswered = now
			m.orders = append(m.orders, Order{Kind: OrderLook, Worker: w.ID, Task: o.Task})
		}
	case Superseded:
		m.superseded = true
	}
}

// sendStops gives out the stops that are due.
func (m *Machine) sendStops(now time.Duration) {
	for _, w := range m.list {
		for _, r := range w.runs {
			if r.state != runStopping && r.state != runUnresolved || r.stopAnswered > 0 {
				continue
			}
			if r.stopSent > 0 && now-r.stopSent < stopRepeat {
				continue
			}
			r.stopSent = now
			m.orders = append(m.orders, Order{Kind: OrderStop, Worker: w.ID, Task: r.task.name, Run: r.number, Reason: r.reason})
		}
	}
}

// expire releases what can't run any more since its worker's lease has ended.
func (m *Machine) expire(now time.Duration) {
	for _, w := range slices.Clone(m.list) {
		if now < w.leaseEnd {
			continue
		}
		for _, r := range slices.Clone(w.runs) {
			if r.confirmed == 0 && now-r.ordered < lateOrder {
				continue // may reach the worker's next life
			}
			m.event("run_lapsed", r.task.name.Job, "task", r.task.name, "run", r.number, "worker", w.ID, "silent", now-w.reported)
			m.release(r, now)
		}
		m.dropIfEmpty(w, now)
	}
}
