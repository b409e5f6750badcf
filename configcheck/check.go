package configcheck

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
	"github.com/fuchsiahill/fuchsiahill/workspace"
)

// Problem is the kind of a finding.
type Problem string

// Problems.
const (
	ProblemMalformed      Problem = "malformed"
	ProblemUnknownField   Problem = "unknown_field"
	ProblemVersion        Problem = "version_not_higher"
	ProblemRange          Problem = "out_of_range"
	ProblemNoName         Problem = "no_name"
	ProblemDuplicate      Problem = "duplicate_name"
	ProblemNeverMatches   Problem = "never_matches"
	ProblemShadowed       Problem = "takes_requests_of_another"
	ProblemUnknownService Problem = "unknown_service"
	ProblemUnused         Problem = "unused"
	ProblemContradiction  Problem = "contradiction"
	ProblemWorkspace      Problem = "workspace"
	ProblemNoKeys         Problem = "no_keys"
	ProblemSmallCap       Problem = "small_cap"
	ProblemOpenCap        Problem = "half_open_cap"
	ProblemShut           Problem = "door_shut"
	ProblemLoweredCap     Problem = "lowered_cap"
	ProblemAdded          Problem = "added"
	ProblemRemoved        Problem = "removed"
	ProblemChanged        Problem = "changed"
)

// ordinaryTaskMilliCores is the processor request of an ordinary task: one core. A lower
// cap keeps such a task from ever running.
const ordinaryTaskMilliCores = 1000

type checker struct {
	draft    *Draft
	in       Input
	findings []Finding
}

func (c *checker) add(severity Severity, at Place, problem Problem, format string, args ...any) {
	c.findings = append(c.findings, Finding{severity, c.draft.Locate(at), problem, fmt.Sprintf(format, args...)})
}

func (c *checker) checkVersion() {
	at := Place{SectionConfig, -1, FieldVersion}
	version := c.draft.Config.Version
	if version < 1 {
		c.add(SeverityWarning, at, ProblemRange, "version %d; versions count from 1", version)
	}
	if in := c.in.InForce; in != nil && in.Config != nil && version <= in.Config.Version {
		c.add(SeverityError, at, ProblemVersion, "version %d is not higher than %d, which is in force", version, in.Config.Version)
	}
}

func (c *checker) checkLimits() {
	at := func(f Field) Place { return Place{SectionLimits, -1, f} }
	limits, body := c.draft.Limits, c.draft.Config.MaxBodyBytes
	switch {
	case body < 0:
		c.add(SeverityError, at(FieldMaxBody), ProblemRange, "negative")
	case body > 0 && body < limits.SmallestJobBytes:
		c.add(SeverityError, at(FieldMaxBody), ProblemContradiction, "%d bytes, fewer than the %d of the smallest job", body, limits.SmallestJobBytes)
	}
	if limits.HeaderBytes < 0 {
		c.add(SeverityError, at(FieldMaxHeader), ProblemRange, "negative")
	}
	if limits.HeaderTimeout < 0 {
		c.add(SeverityError, at(FieldHeaderTimeout), ProblemRange, "negative")
	}
	if limits.IdleTimeout < 0 {
		c.add(SeverityError, at(FieldIdleTimeout), ProblemRange, "negative")
	}
	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		c.add(SeverityWarning, at(FieldHeaderTimeout), ProblemContradiction, "%v is longer than the idle timeout of %v, which ends the connection first", limits.HeaderTimeout, limits.IdleTimeout)
	}
}

func (c *checker) checkQueues() {
	queues := c.draft.Config.Queues
	if len(queues) == 0 {
		c.add(SeverityError, Place{SectionQueues, -1, FieldEntry}, ProblemNeverMatches, "no entry: every request is refused")
	}
	for i, q := range queues {
		at := func(f Field) Place { return Place{SectionQueues, i, f} }
		if q.Name == "" {
			c.add(SeverityError, at(FieldName), ProblemNoName, "empty")
		} else if j := slices.IndexFunc(queues, func(o workload.Queue) bool { return o.Name == q.Name }); j < i {
			c.add(SeverityError, at(FieldName), ProblemDuplicate, "%q is the name of entry %d too", q.Name, j)
		}
		if _, ok := c.draft.Config.Services[q.Service]; !ok {
			c.add(SeverityError, at(FieldService), ProblemUnknownService, "no service is called %q", q.Service)
		}
		c.checkMatch(i)
		c.checkQueueRanges(q, at)
	}
}

// checkMatch finds why no request, or one of another queue, is matched by a queue.
func (c *checker) checkMatch(i int) {
	q := c.draft.Config.Queues[i]
	at := func(f Field) Place { return Place{SectionQueues, i, f} }
	switch {
	case q.Host == "":
		c.add(SeverityError, at(FieldHost), ProblemNeverMatches, "empty")
	case strings.ContainsAny(q.Host, ":/ \t"):
		c.add(SeverityError, at(FieldHost), ProblemNeverMatches, "%q has a port, slash or space; requests are matched by the name alone", q.Host)
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		c.add(SeverityError, at(FieldPrefix), ProblemNeverMatches, "%q does not start with a slash, as each path does", q.Prefix)
	}
	if !strings.HasSuffix(q.Prefix, "/") {
		c.add(SeverityError, at(FieldPrefix), ProblemMalformed, "%q does not end with a slash, so paths don't show where the job ID begins", q.Prefix)
	}
	for j, o := range c.draft.Config.Queues {
		if j == i || !sameHost(o.Host, q.Host) {
			continue
		}
		rest, ok := strings.CutPrefix(q.Prefix, o.Prefix)
		switch {
		case !ok:
		case rest == "" && j < i:
			c.add(SeverityError, at(FieldPrefix), ProblemNeverMatches, "entry %d (%q) has the same host and prefix", j, o.Name)
		case rest != "" && !strings.Contains(rest, "/"):
			c.add(SeverityError, at(FieldPrefix), ProblemShadowed, "jobs of entry %d (%q) whose ID starts with %q never reach it", j, o.Name, rest)
		}
	}
}

func (c *checker) checkQueueRanges(q workload.Queue, at func(Field) Place) {
	if q.MaxAttempts < 0 {
		c.add(SeverityError, at(FieldMaxAttempts), ProblemRange, "%d is negative; 0 is no limit", q.MaxAttempts)
	}
	if q.Stretch <= 0 {
		c.add(SeverityError, at(FieldStretch), ProblemRange, "%v is not above 0", q.Stretch)
	}
	if q.Objective < 0 {
		c.add(SeverityError, at(FieldObjective), ProblemRange, "%v is negative", q.Objective)
	}
	if q.Priority < 0 {
		c.add(SeverityError, at(FieldPriority), ProblemRange, "%d is negative; 0 is the highest", q.Priority)
	}
	if q.Advice != nil && q.Advice.TicketTTL < 0 {
		c.add(SeverityError, at(FieldAdvice), ProblemRange, "%v is negative", q.Advice.TicketTTL)
	}
}

func (c *checker) checkServices() {
	services := c.draft.Services
	for i, name := range services {
		at := Place{SectionServices, i, FieldName}
		switch {
		case name == "":
			c.add(SeverityError, at, ProblemNoName, "empty")
		case slices.Index(services, name) < i:
			c.add(SeverityError, at, ProblemDuplicate, "%q is the name of entry %d too", name, slices.Index(services, name))
		case !slices.ContainsFunc(c.draft.Config.Queues, func(q workload.Queue) bool { return q.Service == name }):
			c.add(SeverityWarning, at, ProblemUnused, "no queue uses %q", name)
		}
	}
}

func (c *checker) checkWorkspaces() {
	cfg := c.draft.Config
	valid, problems := workspace.Check(cfg.Workspaces)
	for _, err := range problems {
		var entry *workspace.EntryError
		if !errors.As(err, &entry) {
			c.add(SeverityError, Place{SectionWorkspaces, -1, FieldEntry}, ProblemWorkspace, "%v", err)
			continue
		}
		// A key that is repeated in its own workspace still opens it.
		severity := SeverityError
		if entry.Problem == workspace.ProblemRepeatedKey {
			severity = SeverityWarning
		}
		if entry.LeftOut {
			c.add(severity, c.workspacePlace(entry.Index, FieldEntry), ProblemWorkspace, "%q is left out: %s", entry.Name, entry.Problem)
		} else {
			c.add(severity, c.workspacePlace(entry.Index, FieldKeys), ProblemWorkspace, "key %d of %q is left out: %s", entry.Key, entry.Name, entry.Problem)
		}
	}
	for i, w := range cfg.Workspaces {
		if len(w.Keys) == 0 {
			c.add(SeverityWarning, c.workspacePlace(i, FieldKeys), ProblemNoKeys, "%q has no key: nobody can use it", w.Name)
		}
		if w.Priority < 0 {
			c.add(SeverityWarning, c.workspacePlace(i, FieldPriority), ProblemRange, "%d is negative; 0 is the highest", w.Priority)
		}
		c.checkCap(w.Cap, c.workspacePlace(i, FieldCap))
	}
	c.checkDoor(valid)
}

// workspacePlace returns the place of the workspace that is the i-th that can be decoded.
func (c *checker) workspacePlace(i int, f Field) Place {
	return Place{SectionWorkspaces, c.draft.WorkspaceIndexes[i], f}
}

func (c *checker) checkCap(limit fleet.Resources, at Place) {
	if limit.MilliCores > 0 && limit.MilliCores < ordinaryTaskMilliCores {
		c.add(SeverityWarning, at, ProblemSmallCap, "%d thousandths of a core: a task of one core never runs", limit.MilliCores)
	}
	// Most workspaces use no accelerators, so that amount is usually 0.
	switch {
	case limit.MilliCores == 0 && (limit.MemoryMB > 0 || limit.Accelerators > 0):
		c.add(SeverityWarning, at, ProblemOpenCap, "no limit on processor, as its amount is 0, but on others")
	case limit.MemoryMB == 0 && (limit.MilliCores > 0 || limit.Accelerators > 0):
		c.add(SeverityWarning, at, ProblemOpenCap, "no limit on memory, as its amount is 0, but on others")
	}
}

// checkDoor finds queues that need a key which nobody has.
func (c *checker) checkDoor(valid []workload.Workspace) {
	had := c.in.KeysRequired || c.in.InForce != nil && c.in.InForce.Config != nil && c.in.InForce.Config.KeysRequired
	closed := slices.ContainsFunc(c.draft.Config.Queues, func(q workload.Queue) bool { return !q.Public })
	at := Place{SectionWorkspaces, -1, FieldEntry}
	switch {
	case !closed:
	case c.draft.Config.KeysRequired && !slices.ContainsFunc(valid, func(w workload.Workspace) bool { return len(w.Keys) > 0 }):
		c.add(SeverityError, at, ProblemShut, "no entry holds and has a key: queues that aren't public are shut")
	case !c.draft.Config.KeysRequired && had:
		c.add(SeverityError, at, ProblemShut, "none, though the deployment has had some: queues that aren't public stay shut")
	}
}
