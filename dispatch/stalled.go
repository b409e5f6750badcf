package dispatch

import (
	"slices"
	"time"
)

const (
	// stalledAfter is how long a batch run may report no progress. A run of 5 s
	// advances by 1% every 50 ms, and one that is five times slower every 250 ms.
	stalledAfter = 1500 * time.Millisecond
	// maxStallDoublings bounds the doublings of stalledAfter by the stalled runs of a task.
	maxStallDoublings = 10
	// standstillFactor is how many times as long as before, or as expected, a run may stand still.
	standstillFactor = 3
)

// stallPatience returns how long a run may report no progress. Progress is reported in whole
// percents, so that a task of some minutes stands still for seconds, and how long a task
// takes is not known: each stalled run doubles the patience with the next one.
func (r *run) stallPatience() time.Duration {
	t := r.task
	expected := time.Duration(t.step.EstimateMS) * time.Millisecond / percents
	return max(stalledAfter<<min(t.stalls, maxStallDoublings), standstillFactor*expected, standstillFactor*r.slowestPercent)
}

// stopStalled stops batch runs that make no progress, so that their tasks start
// again elsewhere: on some workers tasks hang while reports continue to arrive. Only the first
// stalled run of a task counts against its worker.
func (m *Machine) stopStalled(now time.Duration) {
	for _, w := range m.workerList {
		if now-w.reportedAt > stalledAfter/2 {
			continue
		}
		for _, r := range w.runs {
			t := r.task
			if t.step.Serving || r.state != runRunning || r.cpuShare != fullCPUShare || r.percentAt == 0 {
				continue
			}
			patience := r.stallPatience()
			if now-max(r.percentAt, r.confirmedAt) < patience {
				continue
			}
			m.emit("run_stalled", t.job.ID, "task", t.name, "run", r.number, "worker", w.ID, "percent", r.percent, "still", now-r.percentAt, "patience", patience, "stalls", t.stalls)
			if m.hasAlternative(t, w, now) {
				m.avoid(t, w, now)
			}
			if t.stalls == 0 {
				m.recordFailure(w, t.job.ID, r.orderedAt, now)
			}
			t.stalls++
			m.requestStop(r, "no progress")
		}
	}
}

// hasAlternative reports whether a task might run on another worker of the service of w, now or once there
// is room.
func (m *Machine) hasAlternative(t *task, w *worker, now time.Duration) bool {
	s := t.step
	return slices.ContainsFunc(m.workerList, func(o *worker) bool {
		return o != w && o.Service == w.Service && m.mayStart(o, now) && s.Need.Fits(o.Capacity) && (s.Label == "" || slices.Contains(o.Labels, s.Label)) && t.mayStartOn(o.ID)
	})
}
