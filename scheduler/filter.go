package scheduler

import "github.com/fuchsiahill/fuchsiahill/fleet"

// Filter decides whether a worker may run a task of a given size.
type Filter interface {
	// Reason is reported for tasks that the filter leaves without a worker.
	Reason() Reason
	// Feasible reports whether w may run a task that needs size.
	Feasible(w *Worker, size fleet.Resources) bool
}

// Filters returns the filters of Plan in the order in which they are applied.
func Filters() []Filter {
	return []Filter{LiveFilter{}, QuarantineFilter{}, FitFilter{}}
}

// LiveFilter rejects workers that are leaving or do not respond.
type LiveFilter struct{}

// Reason implements Filter.
func (LiveFilter) Reason() Reason { return ReasonNotLive }

// Feasible implements Filter.
func (LiveFilter) Feasible(w *Worker, _ fleet.Resources) bool { return w.Live }

// QuarantineFilter rejects quarantined workers, except for one probe task at a
// time.
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

// FitFilter rejects workers without enough free capacity.
type FitFilter struct{}

// Reason implements Filter.
func (FitFilter) Reason() Reason { return ReasonNoFit }

// Feasible implements Filter.
func (FitFilter) Feasible(w *Worker, size fleet.Resources) bool {
	return w.Used.Add(size).Fits(w.Capacity)
}
