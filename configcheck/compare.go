package configcheck

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// compare adds what differs from the version in force. Entries are told apart by name.
func (c *checker) compare(inForce *Draft) {
	before, after := inForce.Config, c.draft.Config
	c.changed(Place{SectionConfig, -1, FieldVersion}, before.Version, after.Version)
	c.changed(Place{SectionLimits, -1, FieldMaxBody}, before.MaxBodyBytes, after.MaxBodyBytes)
	c.changed(Place{SectionLimits, -1, FieldMaxHeader}, inForce.Limits.HeaderBytes, c.draft.Limits.HeaderBytes)
	c.changed(Place{SectionLimits, -1, FieldHeaderTimeout}, inForce.Limits.HeaderTimeout, c.draft.Limits.HeaderTimeout)
	c.changed(Place{SectionLimits, -1, FieldIdleTimeout}, inForce.Limits.IdleTimeout, c.draft.Limits.IdleTimeout)
	c.compareQueues(before.Queues, after.Queues)
	compareNames(c, SectionServices, inForce.Services, c.draft.Services, func(s fleet.Service) string { return string(s) }, func(i int) int { return i }, nil)
	compareNames(c, SectionWorkspaces, before.Workspaces, after.Workspaces, func(w workload.Workspace) string { return w.Name },
		func(i int) int { return c.draft.WorkspaceIndexes[i] }, c.compareWorkspace)
}

// compareNames adds the entries that are new or gone, and calls both for those that are in
// both versions. index returns the index of an entry as written.
func compareNames[T any](c *checker, section Section, before, after []T, name func(T) string, index func(int) int, both func(i int, old, now T)) {
	find := func(entries []T, wanted string) int {
		return slices.IndexFunc(entries, func(e T) bool { return name(e) == wanted })
	}
	for i, e := range after {
		j := find(before, name(e))
		switch {
		case find(after, name(e)) < i: // a duplicate, which is an error already
		case j < 0:
			c.add(SeverityChange, Place{section, index(i), FieldEntry}, ProblemAdded, "%q is new", name(e))
		case both != nil:
			both(index(i), before[j], e)
		}
	}
	for j, e := range before {
		if find(after, name(e)) < 0 && find(before, name(e)) == j {
			c.add(SeverityChange, Place{section, -1, FieldEntry}, ProblemRemoved, "%q is gone", name(e))
		}
	}
}

func (c *checker) changed(at Place, before, after any) {
	if before != after {
		c.add(SeverityChange, at, ProblemChanged, "from %v to %v", before, after)
	}
}

func (c *checker) compareQueues(before, after []workload.Queue) {
	compareNames(c, SectionQueues, before, after, func(q workload.Queue) string { return q.Name }, func(i int) int { return i }, func(i int, old, now workload.Queue) {
		at := func(f Field) Place { return Place{SectionQueues, i, f} }
		c.changed(at(FieldHost), old.Host, now.Host)
		c.changed(at(FieldPrefix), old.Prefix, now.Prefix)
		c.changed(at(FieldService), old.Service, now.Service)
		c.changed(at(FieldPriority), old.Priority, now.Priority)
		c.changed(at(FieldMaxAttempts), old.MaxAttempts, now.MaxAttempts)
		c.changed(at(FieldStretch), old.Stretch, now.Stretch)
		c.changed(at(FieldObjective), old.Objective, now.Objective)
		c.changed(at(FieldPublic), old.Public, now.Public)
		c.changed(at(FieldAdvice), formatAdvice(old.Advice), formatAdvice(now.Advice))
	})
}

func formatAdvice(a *workload.Advice) string {
	if a == nil {
		return "none"
	}
	return a.TicketTTL.String()
}

func (c *checker) compareWorkspace(i int, old, now workload.Workspace) {
	at := func(f Field) Place { return Place{SectionWorkspaces, i, f} }
	c.changed(at(FieldPriority), old.Priority, now.Priority)
	c.changed(at(FieldWeight), old.Weight, now.Weight)
	if added, removed := missing(now.Keys, old.Keys), missing(old.Keys, now.Keys); added+removed > 0 {
		c.add(SeverityChange, at(FieldKeys), ProblemChanged, "%d added, %d removed", added, removed)
	}
	if old.Cap == now.Cap {
		return
	}
	if lower(old.Cap.MilliCores, now.Cap.MilliCores) || lower(old.Cap.MemoryMB, now.Cap.MemoryMB) || lower(old.Cap.Accelerators, now.Cap.Accelerators) {
		c.add(SeverityWarning, at(FieldCap), ProblemLoweredCap, "lowered from %s to %s: running work may exceed it", formatCap(old.Cap), formatCap(now.Cap))
		return
	}
	c.changed(at(FieldCap), formatCap(old.Cap), formatCap(now.Cap))
}

// missing returns how many keys are not among others.
func missing(keys, others []workload.KeyDigest) (n int) {
	for i, k := range keys {
		if !slices.Contains(others, k) && slices.Index(keys, k) == i {
			n++
		}
	}
	return n
}

// lower reports whether a limit was lowered. An amount of 0 is no limit.
func lower(before, after int64) bool { return after != 0 && (before == 0 || after < before) }

func formatCap(r fleet.Resources) string {
	if r == (fleet.Resources{}) {
		return "no limit"
	}
	amount := func(n int64) string {
		if n == 0 {
			return "any"
		}
		return strconv.FormatInt(n, 10)
	}
	return fmt.Sprintf("%s thousandths of a core, %s MB, %s accelerators", amount(r.MilliCores), amount(r.MemoryMB), amount(r.Accelerators))
}
