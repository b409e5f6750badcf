package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/job"
)

// wholePercent is all of a cell's capacity.
const wholePercent = 100

// Share is an organisation's use of a cell and its guarantee. Near the edge of a
// guarantee's window Entitled and Protected differ: a guarantee that begins soon
// is protected already, and nothing more is reclaimed for one that ends soon.
// Otherwise a task could be evicted just before its own guarantee begins, or for
// a guarantee that is about to end.
type Share struct {
	Used      fleet.Resources // by its tasks that are placed and not being stopped
	Entitled  fleet.Resources // capacity is reclaimed for its tasks up to this use
	Protected fleet.Resources // nothing is reclaimed from it at or below this use
}

// Percent returns percent of the capacity, rounded down.
func Percent(capacity fleet.Resources, percent float64) fleet.Resources {
	return fleet.Resources{
		MilliCores:   int64(float64(capacity.MilliCores) * percent / wholePercent),
		MemoryMB:     int64(float64(capacity.MemoryMB) * percent / wholePercent),
		Accelerators: int64(float64(capacity.Accelerators) * percent / wholePercent),
	}
}

// isBorrowing reports whether the organisation uses more than its guarantee.
func (s Share) isBorrowing() bool { return !s.Used.Fits(s.Protected) }

// Entitle sets Entitled of the tasks that their organisation's guarantee covers.
// Tasks count towards the guarantee in the order of Plan. Urgent tasks come
// first and count even if the guarantee does not cover them.
func Entitle(tasks []Task, workers []Worker, shares map[fleet.Organisation]Share) {
	var largest fleet.Resources
	for _, w := range workers {
		largest = elementwiseMax(largest, w.Capacity)
	}
	order := make([]*Task, len(tasks))
	for i := range tasks {
		tasks[i].Entitled = false
		order[i] = &tasks[i]
	}
	slices.SortFunc(order, func(a, b *Task) int { return compareTasks(*a, *b) })
	used := make(map[fleet.Organisation]fleet.Resources, len(shares))
	for _, t := range order {
		share := shares[t.Organisation]
		after := used[t.Organisation].Add(Size(t.Declared, t.Observed, largest))
		t.Entitled = share.Used.Add(after).Fits(share.Entitled)
		if t.Entitled || t.isUrgent() {
			used[t.Organisation] = after
		}
	}
}

func elementwiseMax(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCores:   max(a.MilliCores, b.MilliCores),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func (t *Task) isUrgent() bool { return t.Priority >= job.UrgentPriority }

// rank returns the group of a task in the order of Plan; higher ranks come
// first.
func (t *Task) rank() int {
	switch {
	case t.isUrgent():
		return 2
	case t.Entitled:
		return 1
	default:
		return 0
	}
}

// Reclamation is the way in which an entitled task gets capacity.
type Reclamation struct {
	Task  inventory.AttemptRef
	Evict []inventory.AttemptRef // tasks on borrowed capacity; empty if Task fits without
}

// reclaimer holds the state of one Reclaim call.
type reclaimer struct {
	*planner
	shares   map[fleet.Organisation]Share
	byWorker map[fleet.WorkerID][]Victim
}

// Reclaim returns how the entitled tasks of the snapshot get capacity, as far as
// evicting tasks on borrowed capacity allows. For a task that does not fit it
// chooses the worker where the least work is lost, then where the fewest tasks
// are evicted. Nothing is reclaimed from an organisation that is at or below its
// guarantee. Urgent tasks use free capacity first; those that don't fit are left
// to Preempt.
func Reclaim(s Snapshot, shares map[fleet.Organisation]Share, victims []Victim) []Reclamation {
	if !s.InService {
		return nil
	}
	r := reclaimer{planner: newPlanner(s), shares: maps.Clone(shares), byWorker: groupVictims(victims, compareByLostWork)}
	tasks := slices.Clone(s.Tasks)
	slices.SortFunc(tasks, compareTasks)
	var reclamations []Reclamation
	for i := range tasks {
		t := &tasks[i]
		if t.rank() == 0 {
			continue
		}
		var evict []inventory.AttemptRef
		_, _, fits := r.place(t)
		if !fits && !t.isUrgent() {
			evict, fits = r.reclaimFor(t)
		}
		if fits && t.Entitled {
			reclamations = append(reclamations, Reclamation{Task: t.AttemptRef, Evict: evict})
		}
	}
	return reclamations
}

// reclaimFor evicts tasks on borrowed capacity for t and assigns t to their
// worker.
func (r *reclaimer) reclaimFor(t *Task) ([]inventory.AttemptRef, bool) {
	e, ok := r.cheapestEviction(t, r.chooseBorrowed, compareEvictionsByLostWork)
	if !ok {
		return nil, false
	}
	evicted := r.clear(e, r.byWorker)
	for _, v := range e.victims {
		r.shares[v.Organisation] = r.shares[v.Organisation].withoutVictim(v)
	}
	r.assign(t, e.worker)
	return evicted, true
}

// chooseBorrowed returns tasks on borrowed capacity whose eviction frees size on
// w.
func (r *reclaimer) chooseBorrowed(w *Worker, size fleet.Resources) ([]Victim, bool) {
	shares := maps.Clone(r.shares)
	return selectVictims(w, size, r.byWorker[w.ID], func(v Victim) bool {
		if !shares[v.Organisation].isBorrowing() {
			return false
		}
		shares[v.Organisation] = shares[v.Organisation].withoutVictim(v)
		return true
	})
}

func (s Share) withoutVictim(v Victim) Share {
	s.Used = s.Used.Sub(v.Size)
	return s
}

func compareByLostWork(a, b Victim) int {
	return cmp.Or(
		cmp.Compare(a.LostWork, b.LostWork),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Task, b.Task),
	)
}

func compareEvictionsByLostWork(a, b eviction) int {
	return cmp.Or(
		cmp.Compare(a.lostWork(), b.lostWork()),
		cmp.Compare(len(a.victims), len(b.victims)),
		cmp.Compare(a.highestPriority(), b.highestPriority()),
	)
}
