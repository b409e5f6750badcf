package scheduler

import (
	"cmp"
	"slices"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// Victim is a running task that may be evicted.
type Victim struct {
	inventory.AttemptRef
	Organisation fleet.Organisation
	Worker       fleet.WorkerID
	Size         fleet.Resources
	Priority     int
	LostWork     float64 // work since the last checkpoint, in core seconds
}

// eviction is a set of victims whose end lets a task fit on a worker.
type eviction struct {
	worker  *Worker
	victims []Victim
}

// Preempt returns the tasks to evict so that the tasks of the snapshot fit, as
// far as possible. Tasks that fit without an eviction cause none. For each other
// task it chooses the worker where the highest priority among the victims is
// lowest, then where the victims are fewest, then where they lose the least
// work.
func Preempt(s Snapshot, victims []Victim) []inventory.AttemptRef {
	if !s.InService {
		return nil
	}
	p := newPlanner(s)
	byWorker := groupVictims(victims, compareVictims)
	victimsOn := func(w *Worker, size fleet.Resources) ([]Victim, bool) {
		return selectVictims(w, size, byWorker[w.ID], anyVictim)
	}
	tasks := slices.Clone(s.Tasks)
	slices.SortFunc(tasks, compareTasks)
	var evicted []inventory.AttemptRef
	for i := range tasks {
		if _, _, ok := p.place(&tasks[i]); ok {
			continue
		}
		e, ok := p.cheapestEviction(&tasks[i], victimsOn, eviction.compare)
		if !ok {
			continue
		}
		evicted = append(evicted, p.clear(e, byWorker)...)
		p.assign(&tasks[i], e.worker)
	}
	return evicted
}

// clear removes the victims of e from its worker and returns them.
func (p *planner) clear(e eviction, byWorker map[fleet.WorkerID][]Victim) []inventory.AttemptRef {
	evicted := make([]inventory.AttemptRef, 0, len(e.victims))
	for _, v := range e.victims {
		e.worker.Used = e.worker.Used.Sub(v.Size)
		evicted = append(evicted, v.AttemptRef)
	}
	byWorker[e.worker.ID] = removeVictims(byWorker[e.worker.ID], e.victims)
	return evicted
}

func anyVictim(Victim) bool { return true }

// groupVictims returns the victims by worker, sorted by compare.
func groupVictims(victims []Victim, compare func(a, b Victim) int) map[fleet.WorkerID][]Victim {
	byWorker := make(map[fleet.WorkerID][]Victim)
	for _, v := range victims {
		byWorker[v.Worker] = append(byWorker[v.Worker], v)
	}
	for _, group := range byWorker {
		slices.SortFunc(group, compare)
	}
	return byWorker
}

func compareVictims(a, b Victim) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.LostWork, b.LostWork),
		cmp.Compare(a.Task, b.Task),
	)
}

// victimSelector returns victims whose eviction frees size on a worker, or
// false if there are none.
type victimSelector func(w *Worker, size fleet.Resources) ([]Victim, bool)

func (p *planner) cheapestEviction(t *Task, victimsOn victimSelector, compare func(a, b eviction) int) (eviction, bool) {
	var best eviction
	found := false
	avoided := p.avoided(t)
	for i := range p.workers {
		w := &p.workers[i]
		if !w.Live || w.Quarantined || slices.Contains(avoided, w.ID) {
			continue
		}
		size := Size(t.Declared, t.Observed, w.Capacity)
		victims, ok := victimsOn(w, size)
		if !ok {
			continue
		}
		e := eviction{worker: w, victims: victims}
		if !found || compare(e, best) < 0 {
			best, found = e, true
		}
	}
	return best, found
}

// selectVictims takes candidates in order until size fits on w, and then drops
// those that turn out not to be needed. It returns false if size does not fit
// even when all candidates accepted by allowed are evicted.
func selectVictims(w *Worker, size fleet.Resources, candidates []Victim, allowed func(Victim) bool) ([]Victim, bool) {
	used := w.Used.Add(size)
	var chosen []Victim
	for _, v := range candidates {
		if used.Fits(w.Capacity) {
			break
		}
		if !allowed(v) {
			continue
		}
		used = used.Sub(v.Size)
		chosen = append(chosen, v)
	}
	if !used.Fits(w.Capacity) {
		return nil, false
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		if restored := used.Add(chosen[i].Size); restored.Fits(w.Capacity) {
			used = restored
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen, true
}

func (e eviction) compare(o eviction) int {
	return cmp.Or(
		cmp.Compare(e.highestPriority(), o.highestPriority()),
		cmp.Compare(len(e.victims), len(o.victims)),
		cmp.Compare(e.lostWork(), o.lostWork()),
	)
}

func (e eviction) highestPriority() int {
	highest := -1
	for _, v := range e.victims {
		highest = max(highest, v.Priority)
	}
	return highest
}

func (e eviction) lostWork() float64 {
	sum := 0.0
	for _, v := range e.victims {
		sum += v.LostWork
	}
	return sum
}

func removeVictims(all, removed []Victim) []Victim {
	return slices.DeleteFunc(slices.Clone(all), func(v Victim) bool {
		return slices.ContainsFunc(removed, func(r Victim) bool { return r.AttemptRef == v.AttemptRef })
	})
}
