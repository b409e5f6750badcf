package scheduler

import "github.com/fuchsiahill/fuchsiahill/fleet"

// Filter tells whether a worker may take a task of the given size.
type Filter interface {
	// Reason names the filter in a plan's unplaced tasks.
	Reason() Reason
	// Feasible reports whether w may take a task that needs size.
	Feasible(w *Worker, size fleet.Resources) bool
}

// Filters returns the filters of Plan in the order in which they are asked.
func Filters() []Filter {
	return []Filter{LiveFilter{}, QuarantineFilter{}, FitFilter{}}
}

// LiveFilter keeps tasks from workers that are leaving or do not answer.
type LiveFilter struct{}

// Reason implements Filter.
func (LiveFilter) Reason() Reason { return ReasonNotLive }

// Feasible implements Filter.
func (LiveFilter) Feasible(w *Worker, _ fleet.Resources) bool { return w.Live }

// QuarantineFilter keeps tasks from quarantined workers, but for one probe at
// a time.
type QuarantineFilter struct{}

// Reason implements Filter.
func (QuarantineFilter) Reason() Reason { return ReasonQuarantined }

// Feasible implements Filter.
func (QuarantineFilter) Feasible(w *Worker, _ fleet.Resources) bool {
	if !w.Quarantined {
		return true
	}
	return w.Probe && w.Tasks == 0
}

// FitFilter keeps a worker from being given more than it holds.
type FitFilter struct{}

// Reason implements Filter.
func (FitFilter) Reason() Reason { return ReasonNoFit }

// Feasible implements Filter.
func (FitFilter) Feasible(w *Worker, size fleet.Resources) bool {
	return w.Used.Add(size).Fits(w.Capacity)
}
