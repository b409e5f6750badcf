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

// Share is what an organisation uses of a cell and what it is guaranteed. The
// two bounds differ near the edge of a window: what begins soon is protected
// already, and for what ends soon no room is made any more, so that no task
// is evicted shortly before its own guarantee begins, or for one that ends.
type Share struct {
	Used      fleet.Resources // by its tasks that are placed and not being stopped
	Entitled  fleet.Resources // room is made for its tasks up to here
	Protected fleet.Resources // at or below this nothing is taken back from it
}

// Percent returns a part of the capacity, rounded down.
func Percent(capacity fleet.Resources, percent float64) fleet.Resources {
	return fleet.Resources{
		MilliCores:   int64(float64(capacity.MilliCores) * percent / wholePercent),
		MemoryMB:     int64(float64(capacity.MemoryMB) * percent / wholePercent),
		Accelerators: int64(float64(capacity.Accelerators) * percent / wholePercent),
	}
}

// isLent reports whether the organisation uses more than it is guaranteed.
func (s Share) isLent() bool { return !s.Used.Fits(s.Protected) }

// Entitle marks the tasks that their organisation's guarantee covers, in the
// order of the plan. An urgent task takes its part of the guarantee first.
func Entitle(tasks []Task, workers []Worker, shares map[fleet.Organisation]Share) {
	var largest fleet.Resources
	for _, w := range workers {
		largest = atLeast(largest, w.Capacity)
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

func atLeast(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCores:   max(a.MilliCores, b.MilliCores),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func (t *Task) isUrgent() bool { return t.Priority >= job.UrgentPriority }

// rank is the class of a task in the order of a plan, the highest first.
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

// Reclamation is how an entitled task gets room.
type Reclamation struct {
	Task  inventory.AttemptRef
	Evict []inventory.AttemptRef // tasks on lent capacity; none if it fits without
}

// lender takes back lent capacity.
type lender struct {
	*planner
	shares   map[fleet.Organisation]Share
	byWorker map[fleet.WorkerID][]Victim
}

// Reclaim returns how the entitled tasks of the snapshot get room, as far as
// lent capacity allows. Each that does not fit gets
// the worker where the least work is lost, then the fewest tasks are evicted.
// Nothing is taken from an organisation that is at or below its guarantee.
// Urgent tasks take room that is free first; for those that find none Preempt
// makes room.
func Reclaim(s Snapshot, shares map[fleet.Organisation]Share, victims []Victim) []Reclamation {
	if !s.Open {
		return nil
	}
	l := lender{planner: newPlanner(s), shares: maps.Clone(shares), byWorker: groupVictims(victims, compareLost)}
	tasks := slices.Clone(s.Tasks)
	slices.SortFunc(tasks, compareTasks)
	var rooms []Reclamation
	for i := range tasks {
		t := &tasks[i]
		if t.rank() == 0 {
			continue
		}
		var evict []inventory.AttemptRef
		_, _, fits := l.place(t)
		if !fits && !t.isUrgent() {
			evict, fits = l.makeRoom(t)
		}
		if fits && t.Entitled {
			rooms = append(rooms, Reclamation{Task: t.AttemptRef, Evict: evict})
		}
	}
	return rooms
}

// makeRoom takes back what t needs and gives it to t.
func (l *lender) makeRoom(t *Task) ([]inventory.AttemptRef, bool) {
	r, ok := l.cheapestRoom(t, l.chooseLent, compareRoomLost)
	if !ok {
		return nil, false
	}
	evicted := l.clear(r, l.byWorker)
	for _, v := range r.victims {
		l.shares[v.Organisation] = l.shares[v.Organisation].without(v)
	}
	l.take(t, r.worker)
	return evicted, true
}

// chooseLent returns tasks on lent capacity that make room on w.
func (l *lender) chooseLent(w *Worker, size fleet.Resources) ([]Victim, bool) {
	shares := maps.Clone(l.shares)
	return makeRoom(w, size, l.byWorker[w.ID], func(v Victim) bool {
		if !shares[v.Organisation].isLent() {
			return false
		}
		shares[v.Organisation] = shares[v.Organisation].without(v)
		return true
	})
}

func (s Share) without(v Victim) Share {
	s.Used = s.Used.Sub(v.Size)
	return s
}

func compareLost(a, b Victim) int {
	return cmp.Or(
		cmp.Compare(a.LostWork, b.LostWork),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Task, b.Task),
	)
}

func compareRoomLost(a, b room) int {
	return cmp.Or(
		cmp.Compare(a.lost(), b.lost()),
		cmp.Compare(len(a.victims), len(b.victims)),
		cmp.Compare(a.highest(), b.highest()),
	)
}
