package scheduler

import "github.com/fuchsiahill/fuchsiahill/fleet"

// Scorer rates a worker for a task.
type Scorer interface {
	// Score returns a value from 0 (worst) to 1 (best). tasksByRack counts the
	// running tasks by job and rack, including those of this plan.
	Score(t *Task, w *Worker, size fleet.Resources, tasksByRack map[JobRack]int) float64
}

// WeightedScorer is a Scorer with its weight in the sum.
type WeightedScorer struct {
	Scorer
	Weight float64
}

// Weights of the scorers. Interference outweighs the others, since placement
// can avoid it at no cost to the task.
const (
	weightInterference = 4.0
	weightFit          = 1.0
	weightSpread       = 0.5
	weightLocality     = 0.5
)

// Scorers returns the scorers of Plan. Interference is among them only if cost
// is not nil.
func Scorers(cost CostModel) []WeightedScorer {
	scorers := []WeightedScorer{
		{Scorer: BestFit{}, Weight: weightFit},
		{Scorer: RackSpread{}, Weight: weightSpread},
		{Scorer: Locality{}, Weight: weightLocality},
	}
	if cost != nil {
		scorers = append(scorers, WeightedScorer{Scorer: Interference{Cost: cost}, Weight: weightInterference})
	}
	return scorers
}

// BestFit prefers the worker that is fullest with the task on it, so that
// workers with much free capacity remain for large tasks.
type BestFit struct{}

// Score implements Scorer.
func (BestFit) Score(_ *Task, w *Worker, size fleet.Resources, _ map[JobRack]int) float64 {
	used := w.Used.Add(size)
	sum, dims := 0.0, 0
	for _, d := range [...][2]int64{
		{used.MilliCores, w.Capacity.MilliCores},
		{used.MemoryMB, w.Capacity.MemoryMB},
		{used.Accelerators, w.Capacity.Accelerators},
	} {
		if d[1] <= 0 {
			continue
		}
		sum += float64(d[0]) / float64(d[1])
		dims++
	}
	if dims == 0 {
		return 0
	}
	return sum / float64(dims)
}

// RackSpread prefers racks with few tasks of the same job, so that the loss of
// a rack affects few of them.
type RackSpread struct{}

// Score implements Scorer.
func (RackSpread) Score(t *Task, w *Worker, _ fleet.Resources, tasksByRack map[JobRack]int) float64 {
	return 1 / float64(1+tasksByRack[JobRack{Job: t.Job, Rack: w.Rack}])
}

// Locality prefers the worker that wrote the task's checkpoint.
type Locality struct{}

// Score implements Scorer.
func (Locality) Score(t *Task, w *Worker, _ fleet.Resources, _ map[JobRack]int) float64 {
	if t.Checkpoint && t.LastWorker == w.ID {
		return 1
	}
	return 0
}

// Interference prefers workers on whose services the task puts the least
// pressure.
type Interference struct{ Cost CostModel }

// Score implements Scorer.
func (i Interference) Score(t *Task, w *Worker, size fleet.Resources, _ map[JobRack]int) float64 {
	return 1 - min(1, i.Cost.Pressure(w.ID, t.Class, w.plannedMilliCores+size.MilliCores))
}
