// Package configcheck checks a configuration of the operators before it is sent. It finds
// what hosts would leave out, what can never take effect, limits that contradict each
// other, and what differs from the version in force. It contains no input or output.
package configcheck

import (
	"slices"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Severity is how bad a finding is.
type Severity string

// Severities. A change is a difference from the version in force.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
	SeverityChange  Severity = "change"
)

// Section is a part of a configuration.
type Section string

// Sections. Only queues, services and workspaces have entries.
const (
	SectionConfig     Section = "configuration"
	SectionQueues     Section = "queues"
	SectionServices   Section = "services"
	SectionWorkspaces Section = "workspaces"
	SectionLimits     Section = "limits"
)

// Field is a field of a section or of an entry.
type Field string

// Fields. FieldEntry is the section or entry as a whole.
const (
	FieldEntry         Field = ""
	FieldVersion       Field = "version"
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPrefix        Field = "prefix"
	FieldService       Field = "service"
	FieldPriority      Field = "priority"
	FieldMaxAttempts   Field = "max attempts"
	FieldStretch       Field = "stretch"
	FieldObjective     Field = "objective"
	FieldAdvice        Field = "advice"
	FieldPublic        Field = "public"
	FieldKeys          Field = "keys"
	FieldWeight        Field = "weight"
	FieldCap           Field = "cap"
	FieldMaxBody       Field = "max body"
	FieldMaxHeader     Field = "max header"
	FieldHeaderTimeout Field = "header timeout"
	FieldIdleTimeout   Field = "idle timeout"
)

// Place is where in a configuration a finding is.
type Place struct {
	Section Section
	Index   int // of the entry, in the order of the configuration; -1: the section
	Field   Field
}

// Finding is something that an operator should know of a configuration. It contains no key.
type Finding struct {
	Severity Severity `json:"severity"`
	Path     string   `json:"path"` // as the operator wrote it
	Problem  Problem  `json:"problem"`
	Text     string   `json:"text"`
}

// Misfit is a part of a configuration that does not have the shape of one.
type Misfit struct {
	Path   string
	Reason string
}

// RequestLimits are the limits of a request and its connection; 0: not set.
type RequestLimits struct {
	HeaderBytes   int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// SmallestJobBytes is the size of the smallest body that is a job.
	SmallestJobBytes int64
}

// Draft is a configuration as written, with what hosts ignore.
type Draft struct {
	// Config is what hosts decode, with workspaces yet to be checked; nil if they can't.
	Config *workload.Config
	// WorkspaceIndexes are the indexes of the workspaces of Config in the configuration as
	// written, which may have others that can't be decoded.
	WorkspaceIndexes []int
	Services         []fleet.Service // in order, with those that occur twice
	Limits           RequestLimits
	Malformed        []Misfit
	Unknown          []Misfit
	// Locate returns the path of a place as operators write it.
	Locate func(Place) string
}

// Input is what a configuration is checked against.
type Input struct {
	InForce *Draft // nil: unknown
	// KeysRequired means that the deployment has workspaces, whatever a version says.
	KeysRequired bool
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == SeverityError })
}

// Check returns what there is to say about a configuration: errors first, then warnings,
// then changes, each in the order of the configuration's sections.
func Check(d *Draft, in Input) []Finding {
	c := &checker{draft: d, in: in}
	for _, m := range d.Malformed {
		c.findings = append(c.findings, Finding{SeverityError, m.Path, ProblemMalformed, m.Reason})
	}
	for _, m := range d.Unknown {
		c.findings = append(c.findings, Finding{SeverityWarning, m.Path, ProblemUnknownField, m.Reason})
	}
	if d.Config == nil {
		c.add(SeverityError, Place{SectionConfig, -1, FieldEntry}, ProblemMalformed, "hosts can't decode this version and keep the one in force")
	} else {
		c.checkVersion()
		c.checkLimits()
		c.checkQueues()
		c.checkServices()
		c.checkWorkspaces()
		if in.InForce != nil && in.InForce.Config != nil {
			c.compare(in.InForce)
		}
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return rank(a.Severity) - rank(b.Severity) })
	return c.findings
}

func rank(s Severity) int {
	return slices.Index([]Severity{SeverityError, SeverityWarning, SeverityChange}, s)
}

// sameHost compares hosts as requests are matched.
func sameHost(a, b string) bool { return strings.EqualFold(a, b) }
