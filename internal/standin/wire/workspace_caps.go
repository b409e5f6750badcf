package wire

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// quotaOverage is how far above its cap, as a share of it, a start may bring what a tenant has
// running, by one task more.
const quotaOverage = 0.1

// tenantCaps are the caps that the configurations of the stand-in gave a tenant.
type tenantCaps struct {
	latest fleet.Resources
	former []formerCapacity // that may still be in force on some host
}

// SetTenantCap sets what a tenant may have running, of which 0 is no limit. A former cap
// counts for capApplied longer.
func (c *Checker) SetTenantCap(tenant string, limit fleet.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	caps := c.tenants[tenant]
	if caps == nil {
		c.tenants[tenant] = &tenantCaps{latest: limit}
		return
	}
	caps.former = append(caps.former, formerCapacity{caps.latest, time.Now()})
	caps.latest = limit
}

// capApplied is how long after the ack of a configuration the last one may be in force on a
// host: the platform's config_apply_ms, and a plan.
const capApplied = 3500 * time.Millisecond

// RecordTenant records whose job one is, before the first attempt to submit it.
func (c *Checker) RecordTenant(id fleet.JobID, tenant string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].tenant = tenant
}

// checkTenantCap checks that a task whose start is being recorded keeps its tenant within its
// cap. The caller holds c.mu.
func (c *Checker) checkTenantCap(w *Worker, n workload.TaskName, run int) {
	tenant := c.jobs[n.Job].tenant
	caps := c.tenants[tenant]
	if tenant == "" || caps == nil {
		return
	}
	var before fleet.Resources
	for _, job := range c.jobs {
		if job.tenant != tenant {
			continue
		}
		for other, runs := range job.running {
			before = before.Add(workload.Times(job.steps[other.Step].Need, int64(runs)))
		}
	}
	for _, limit := range caps.inForce(time.Now()) {
		if !workload.Exceeds(before, withOverage(limit)) {
			return
		}
	}
	c.addViolation("QUOTA", "%s run %d on %s: tenant %s has %+v running before it, cap %+v", n, run, w.id, tenant, before, caps.latest)
}

// inForce returns the caps of which the highest counts.
func (t *tenantCaps) inForce(now time.Time) []fleet.Resources {
	limits := []fleet.Resources{t.latest}
	for _, f := range t.former {
		if now.Sub(f.replacedAt) <= capApplied {
			limits = append(limits, f.capacity)
		}
	}
	return limits
}

// withOverage returns a cap with the platform's tolerance.
func withOverage(limit fleet.Resources) fleet.Resources {
	more := func(n int64) int64 { return n + int64(quotaOverage*float64(n)) }
	return fleet.Resources{MilliCores: more(limit.MilliCores), MemoryMB: more(limit.MemoryMB), Accelerators: more(limit.Accelerators)}
}
