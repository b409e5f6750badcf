package scheduler

import (
	"cmp"
	"slices"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// Victim is a running task that may be evicted to make room.
type Victim struct {
	inventory.AttemptRef
	Organisation fleet.Organisation
	Worker       fleet.WorkerID
	Size         fleet.Resources
	Priority     int
	LostWork     float64 // core seconds of work since the last checkpoint
}

// room is what it takes to make room for a task on one worker.
type room struct {
	worker  *Worker
	victims []Victim
}

// Preempt returns the tasks to evict so that all tasks of the snapshot that
// can be helped fit. Tasks that fit without an eviction cause none. Each
// other task gets the worker where the victims have the lowest priority, are
// the fewest and lose the least work.
func Preempt(s Snapshot, victims []Victim) []inventory.AttemptRef {
	if !s.Open {
		return nil
	}
	p := newPlanner(s)
	byWorker := groupVictims(victims, compareVictims)
	choose := func(w *Worker, size fleet.Resources) ([]Victim, bool) {
		return makeRoom(w, size, byWorker[w.ID], anyVictim)
	}
	tasks := slices.Clone(s.Tasks)
	slices.SortFunc(tasks, compareTasks)
	var evicted []inventory.AttemptRef
	for i := range tasks {
		if _, _, ok := p.place(&tasks[i]); ok {
			continue
		}
		r, ok := p.cheapestRoom(&tasks[i], choose, room.compare)
		if !ok {
			continue
		}
		evicted = append(evicted, p.clear(r, byWorker)...)
		p.take(&tasks[i], r.worker)
	}
	return evicted
}

// clear evicts the victims of a room.
func (p *planner) clear(r room, byWorker map[fleet.WorkerID][]Victim) []inventory.AttemptRef {
	evicted := make([]inventory.AttemptRef, 0, len(r.victims))
	for _, v := range r.victims {
		r.worker.Used = r.worker.Used.Sub(v.Size)
		evicted = append(evicted, v.AttemptRef)
	}
	byWorker[r.worker.ID] = without(byWorker[r.worker.ID], r.victims)
	return evicted
}

func anyVictim(Victim) bool { return true }

// groupVictims returns the victims of each worker in the order of compare.
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

// chooser returns victims that make room for a size on a worker, or false.
type chooser func(w *Worker, size fleet.Resources) ([]Victim, bool)

func (p *planner) cheapestRoom(t *Task, choose chooser, compare func(a, b room) int) (room, bool) {
	var best room
	found := false
	avoided := p.avoided(t)
	for i := range p.workers {
		w := &p.workers[i]
		if !w.Live || w.Quarantined || slices.Contains(avoided, w.ID) {
			continue
		}
		size := Size(t.Declared, t.Observed, w.Capacity)
		victims, ok := choose(w, size)
		if !ok {
			continue
		}
		r := room{worker: w, victims: victims}
		if !found || compare(r, best) < 0 {
			best, found = r, true
		}
	}
	return best, found
}

// makeRoom returns the cheapest victims that leave room for size, without any
// that are not needed.
func makeRoom(w *Worker, size fleet.Resources, candidates []Victim, may func(Victim) bool) ([]Victim, bool) {
	used := w.Used.Add(size)
	var chosen []Victim
	for _, v := range candidates {
		if used.Fits(w.Capacity) {
			break
		}
		if !may(v) {
			continue
		}
		used = used.Sub(v.Size)
		chosen = append(chosen, v)
	}
	if !used.Fits(w.Capacity) {
		return nil, false
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		if back := used.Add(chosen[i].Size); back.Fits(w.Capacity) {
			used = back
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen, true
}

func (r room) compare(o room) int {
	return cmp.Or(
		cmp.Compare(r.highest(), o.highest()),
		cmp.Compare(len(r.victims), len(o.victims)),
		cmp.Compare(r.lost(), o.lost()),
	)
}

func (r room) highest() int {
	highest := -1
	for _, v := range r.victims {
		highest = max(highest, v.Priority)
	}
	return highest
}

func (r room) lost() float64 {
	sum := 0.0
	for _, v := range r.victims {
		sum += v.LostWork
	}
	return sum
}

func without(all, gone []Victim) []Victim {
	return slices.DeleteFunc(slices.Clone(all), func(v Victim) bool {
		return slices.ContainsFunc(gone, func(g Victim) bool { return g.AttemptRef == v.AttemptRef })
	})
}
