package workspace

import (
	"strings"
	"sync"
)

const (
	// maxLabels bounds the workspaces that have metrics of their own.
	maxLabels = 50
	// maxLabelLength bounds the length of a label.
	maxLabelLength = 40
	// otherLabel is the label of all others.
	otherLabel = "other"
)

// Labels gives workspaces the names under which they are counted: the first maxLabels of
// a process have their own, as its counters last as long as it. It is safe for concurrent
// use. The zero value is ready.
type Labels struct {
	mu     sync.Mutex
	labels map[string]string
}

// Of returns the label of a workspace, of letters, digits and underscores.
func (l *Labels) Of(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if label, ok := l.labels[name]; ok {
		return label
	}
	if len(l.labels) >= maxLabels {
		return otherLabel
	}
	if l.labels == nil {
		l.labels = make(map[string]string)
	}
	label := strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
	l.labels[name] = label[:min(len(label), maxLabelLength)]
	return l.labels[name]
}
