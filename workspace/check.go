package workspace

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Problem is what is wrong with a workspace of a configuration.
type Problem string

// Problems. All but the last two leave the entry out.
const (
	ProblemNoName        Problem = "no name"
	ProblemDuplicateName Problem = "another entry has its name"
	ProblemEmptyKey      Problem = "an empty key"
	ProblemWeight        Problem = "a weight that is not a positive number"
	ProblemCap           Problem = "a negative cap"
	ProblemRepeatedKey   Problem = "a key twice"
	ProblemSharedKey     Problem = "a key that another workspace has too"
)

// EntryError reports a workspace of a configuration that does not hold as it stands. It
// contains no key.
type EntryError struct {
	Name    string
	Index   int // of the entry that was checked
	Problem Problem
	// LeftOut means that the workspace does not exist. Otherwise only the key is left out.
	LeftOut bool
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("workspace: entry %d (%q): %s", e.Index, e.Name, e.Problem)
}

// Check returns the workspaces that hold, by name, and what is wrong with the others. An
// entry with a problem is left out, and so is each one of a name that occurs twice: it is
// not known which of them is meant, and one may hold a key that was taken away. A key of
// two workspaces opens neither.
func Check(entries []workload.Workspace) ([]workload.Workspace, []error) {
	names := make(map[string]int)
	claims := make(map[workload.KeyDigest]string)
	shared := make(map[workload.KeyDigest]bool)
	for _, e := range entries {
		names[e.Name]++
		for _, key := range e.Keys {
			if name, ok := claims[key]; ok && name != e.Name {
				shared[key] = true
			}
			claims[key] = e.Name
		}
	}
	var valid []workload.Workspace
	var problems []error
	for i, e := range entries {
		if problem := entryProblem(e, names[e.Name] > 1); problem != "" {
			problems = append(problems, &EntryError{Name: e.Name, Index: i, Problem: problem, LeftOut: true})
			continue
		}
		var keys []workload.KeyDigest
		for _, key := range e.Keys {
			switch {
			case shared[key]:
				problems = append(problems, &EntryError{Name: e.Name, Index: i, Problem: ProblemSharedKey})
			case slices.Contains(keys, key):
				problems = append(problems, &EntryError{Name: e.Name, Index: i, Problem: ProblemRepeatedKey})
			default:
				keys = append(keys, key)
			}
		}
		e.Keys = keys
		valid = append(valid, e)
	}
	slices.SortFunc(valid, func(a, b workload.Workspace) int { return strings.Compare(a.Name, b.Name) })
	return valid, problems
}

// entryProblem returns why an entry is left out; "" if it holds.
func entryProblem(e workload.Workspace, duplicate bool) Problem {
	switch {
	case e.Name == "":
		return ProblemNoName
	case duplicate:
		return ProblemDuplicateName
	case slices.Contains(e.Keys, workload.DigestKey("")):
		return ProblemEmptyKey
	case math.IsNaN(e.Weight) || math.IsInf(e.Weight, 0) || e.Weight <= 0:
		return ProblemWeight
	case e.Cap.MilliCores < 0 || e.Cap.MemoryMB < 0 || e.Cap.Accelerators < 0:
		return ProblemCap
	}
	return ""
}
