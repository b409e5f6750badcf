package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// planner holds the state of one Plan call.
type planner struct {
	workers     []Worker // copies; Used and Tasks include what is planned
	tasksByRack map[JobRack]int
	filters     []Filter
	scorers     []WeightedScorer
	budget      *fleet.Resources

	lendable *fleet.Resources
}

// Plan places as many tasks as fit, the most important first. Placements count
// towards the worker's use at once, so that no worker gets more than its
// Capacity.
func Plan(s Snapshot) Result {
	tasks := slices.Clone(s.Tasks)
	slices.SortFunc(tasks, compareTasks)
	if !s.InService {
		return closedResult(tasks)
	}
	p := newPlanner(s)
	var result Result
	for i := range tasks {
		placement, reason, ok := p.place(&tasks[i])
		if !ok {
			result.Unplaced = append(result.Unplaced, Unplaced{Task: tasks[i].AttemptRef, Reason: reason})
			continue
		}
		result.Placements = append(result.Placements, placement)
	}
	return result
}

func newPlanner(s Snapshot) *planner {
	p := &planner{
		workers:     slices.Clone(s.Workers),
		tasksByRack: maps.Clone(s.TasksByRack),
		filters:     Filters(),
		scorers:     Scorers(s.Cost),
	}
	if p.tasksByRack == nil {
		p.tasksByRack = make(map[JobRack]int)
	}
	if s.Budget != nil {
		budget := *s.Budget
		p.budget = &budget
	}
	if s.Lendable != nil {
		lendable := *s.Lendable
		p.lendable = &lendable
	}
	slices.SortFunc(p.workers, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	return p
}

func compareTasks(a, b Task) int {
	return cmp.Or(
		cmp.Compare(b.rank(), a.rank()),
		cmp.Compare(b.Priority, a.Priority),
		cmp.Compare(a.AcceptOrder, b.AcceptOrder),
		cmp.Compare(a.Task, b.Task),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}

func closedResult(tasks []Task) Result {
	var result Result
	for i := range tasks {
		result.Unplaced = append(result.Unplaced, Unplaced{Task: tasks[i].AttemptRef, Reason: ReasonDataCentreOut})
	}
	return result
}

// place assigns t to the feasible worker with the highest score, and to the
// first by ID among equal ones. If it returns false, the reason says why.
func (p *planner) place(t *Task) (Placement, Reason, bool) {
	if p.budget != nil && !t.Declared.Fits(*p.budget) {
		return Placement{}, ReasonBudget, false
	}
	if p.lendable != nil && t.rank() == 0 && !t.Declared.Fits(*p.lendable) {
		return Placement{}, ReasonReserved, false
	}
	best, reason := -1, ReasonNoWorkers
	bestScore := 0.0
	avoided := p.avoided(t)
	for i := range p.workers {
		w := &p.workers[i]
		size := Size(t.Declared, t.Observed, w.Capacity)
		if w.Reserved && t.rank() == 0 {
			reason = ReasonReserved
			continue
		}
		if slices.Contains(avoided, w.ID) {
			reason = ReasonFailedOnWorker
			continue
		}
		if r, ok := p.feasible(w, size); !ok {
			reason = r
			continue
		}
		if score := p.score(t, w, size); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Placement{}, reason, false
	}
	return p.assign(t, &p.workers[best]), "", true
}

// avoided returns the workers that t must not go to because it has failed
// there. Otherwise an empty worker that fails whatever it starts would get t
// again and again until its attempts are used up. The list is empty if no other
// worker could run t.
func (p *planner) avoided(t *Task) []fleet.WorkerID {
	elsewhere := func(w Worker) bool {
		return w.Live && !w.Quarantined && !slices.Contains(t.FailedOn, w.ID) &&
			Size(t.Declared, t.Observed, w.Capacity).Fits(w.Capacity)
	}
	if len(t.FailedOn) == 0 || !slices.ContainsFunc(p.workers, elsewhere) {
		return nil
	}
	return t.FailedOn
}

func (p *planner) feasible(w *Worker, size fleet.Resources) (Reason, bool) {
	for _, f := range p.filters {
		if !f.Feasible(w, size) {
			return f.Reason(), false
		}
	}
	return "", true
}

func (p *planner) score(t *Task, w *Worker, size fleet.Resources) float64 {
	sum := 0.0
	for _, s := range p.scorers {
		sum += s.Weight * s.Score(t, w, size, p.tasksByRack)
	}
	return sum
}

func (p *planner) assign(t *Task, w *Worker) Placement {
	size := Size(t.Declared, t.Observed, w.Capacity)
	w.Used = w.Used.Add(size)
	w.Tasks++
	w.plannedMilliCores += size.MilliCores
	p.tasksByRack[JobRack{Job: t.Job, Rack: w.Rack}]++
	if p.budget != nil {
		*p.budget = p.budget.Sub(t.Declared)
	}
	if p.lendable != nil && t.rank() == 0 {
		*p.lendable = p.lendable.Sub(size)
	}
	return Placement{Task: t.AttemptRef, Worker: w.ID, Size: size}
}
