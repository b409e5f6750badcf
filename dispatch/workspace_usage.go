package dispatch

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// The cap of a workspace limits the sum of the requests of its runs on all workers, at its
// worst: a run counts from its start order until it is certain that it is on no worker and
// can't appear on one. Best-effort runs count with the processor that they request.
//
// What former owners have started counts as stored until the worker has reported. Starts
// that they had not stored are bounded by what these workers have left, which counts for
// every workspace, as do runs of unknown jobs until their worker's lease has ended.
//
// Invariant: workspaceUsed holds, for each workspace, the sum of the requests of all runs of
// its jobs, those whose ends are not listed yet included.

// chargeWorkspace adds n times the request of a run to what its workspace has running.
func (m *Machine) chargeWorkspace(r *run, n int64) {
	name := r.task.job.Workspace
	if name == "" {
		return
	}
	addTo(m.workspaceUsed, name, workload.Times(r.task.step.Need, n))
	if r.task.step.Serving {
		addTo(m.workspaceServing, name, workload.Times(r.task.step.Need, n))
	}
}

// addTo adds an amount to that of a name, and forgets the name if that leaves nothing.
func addTo(amounts map[string]fleet.Resources, name string, r fleet.Resources) {
	sum := amounts[name].Add(r)
	if sum.IsZero() {
		delete(amounts, name)
		return
	}
	amounts[name] = sum
}

// capacityShares is what a plan knows of the workspaces.
type capacityShares struct {
	limits map[string]*workspaceLimit // by name
	unseen fleet.Resources            // that may be running of any workspace
}

// workspaceLimit is the cap of a workspace in one plan.
type workspaceLimit struct {
	cap    fleet.Resources
	stored fleet.Resources // that former owners have placed on workers that have not reported
	// aside is kept for a step of the workspace that the cap has held back for reserveAfter,
	// or the tasks behind it, if they are smaller, would take each released piece for ever.
	aside fleet.Resources
}

// maxAsideWait is how long a step waits for what is kept for another one while its workspace
// uses less than half of its cap: the users' rule on jobs with nothing running allows 3 s.
const maxAsideWait = 2 * time.Second

// newCapacityShares returns the caps in force, or nil if no workspace is configured.
func (m *Machine) newCapacityShares(now time.Duration) *capacityShares {
	if len(m.config.Workspaces) == 0 {
		return nil
	}
	c := &capacityShares{limits: make(map[string]*workspaceLimit, len(m.config.Workspaces))}
	for i := range m.config.Workspaces {
		c.limits[m.config.Workspaces[i].Name] = &workspaceLimit{cap: m.config.Workspaces[i].Cap}
	}
	for _, w := range m.workerList {
		switch {
		case !w.adopted:
			placed := c.addStored(m, m.inherited[w.ID], now)
			if w.isAwaited(now) {
				c.addUnseen(w.Capacity.Sub(placed))
			}
		case w.unknownRuns > 0 && now < w.leaseEnd:
			c.addUnseen(w.Capacity.Sub(w.used.Add(fleet.Resources{MilliCores: w.bestEffort})))
		}
	}
	if !m.takeoverComplete {
		for id, tasks := range m.inherited {
			if _, known := m.workers[id]; !known {
				c.addStored(m, tasks, now)
			}
		}
	}
	return c
}

// addStored counts the placements of former owners that may still run, and returns their sum.
func (c *capacityShares) addStored(m *Machine, tasks []*task, now time.Duration) (sum fleet.Resources) {
	for _, t := range tasks {
		if len(t.runs) > 0 || !m.mayRunElsewhere(t, now) {
			continue
		}
		sum = sum.Add(t.step.Need)
		if limit := c.limits[t.job.Workspace]; limit != nil {
			limit.stored = limit.stored.Add(t.step.Need)
		}
	}
	return sum
}

// addUnseen counts what a worker may run of any workspace.
func (c *capacityShares) addUnseen(r fleet.Resources) {
	c.unseen = c.unseen.Add(fleet.Resources{MilliCores: max(r.MilliCores, 0), MemoryMB: max(r.MemoryMB, 0), Accelerators: max(r.Accelerators, 0)})
}

// withinCap reports whether the workspace of a job may start count more tasks of a step. A
// single task that exceeds the cap, as the cap was lowered after its job was accepted, runs
// when nothing else of the workspace does.
func (p *placer) withinCap(j *job, s *step, count int) bool {
	if p.shares == nil {
		return true
	}
	limit := p.shares.limits[j.Workspace]
	if limit == nil {
		return true
	}
	used := p.m.workspaceUsed[j.Workspace].Add(limit.stored)
	if count == 1 && used.IsZero() && workload.Exceeds(s.Need, limit.cap) {
		if !p.shares.unseen.IsZero() {
			j.heldByCap = true
			return false
		}
		return true
	}
	need := workload.Times(s.Need, int64(count))
	used = used.Add(need)
	if !workload.Exceeds(used.Add(p.shares.unseen), limit.cap) && (!workload.Exceeds(used.Add(limit.aside), limit.cap) || s.mayTakeAside(used, limit.cap, p.now)) {
		s.heldSince = 0
		return true
	}
	j.heldByCap = true
	if !workload.Exceeds(used.Add(limit.aside), limit.cap) {
		return false // only what is not known yet holds it back
	}
	j.overCap = true
	if s.heldSince == 0 {
		s.heldSince = p.now
	}
	// What services use is not released.
	if p.now-s.heldSince >= reserveAfter && limit.aside.IsZero() && !workload.Exceeds(p.m.workspaceServing[j.Workspace].Add(need), limit.cap) {
		limit.aside = need
	}
	return false
}

// mayTakeAside reports whether a step has waited long enough for what is kept for another one.
func (s *step) mayTakeAside(used, limit fleet.Resources, now time.Duration) bool {
	return s.heldSince > 0 && now-s.heldSince >= maxAsideWait && !workload.Exceeds(workload.Times(used, 2), limit)
}

// workspaceOf returns the workspace of a job, or nil if it has none that is configured.
func (m *Machine) workspaceOf(j *job) *workload.Workspace {
	if j.Workspace == "" {
		return nil
	}
	w, _ := m.config.Workspace(j.Workspace)
	return w
}
