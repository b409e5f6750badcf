package scheduler

import "github.com/fuchsiahill/fuchsiahill/fleet"

// Scorer rates a worker for a task.
type Scorer interface {
	// Score returns 0 (worst) to 1 (best). spread holds the running tasks by
	// job and rack, those of this plan included.
	Score(t *Task, w *Worker, size fleet.Resources, spread map[JobRack]int) float64
}

// WeightedScorer is a Scorer with its share in the sum.
type WeightedScorer struct {
	Scorer
	Weight float64
}

// Weights of the scorers. Interference outweighs the others, since harm to a
// service is what placement can avoid at no cost to the task.
const (
	weightInterference = 4.0
	weightFit          = 1.0
	weightSpread       = 0.5
	weightLocality     = 0.5
)

// Scorers returns the scorers of Plan.
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

// BestFit prefers the worker that the task fills most, so that large free
// workers stay for large tasks.
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

// RackSpread prefers racks with few tasks of the same job, so that the loss
// of a rack stops little of it.
type RackSpread struct{}

// Score implements Scorer.
func (RackSpread) Score(t *Task, w *Worker, _ fleet.Resources, spread map[JobRack]int) float64 {
	return 1 / float64(1+spread[JobRack{Job: t.Job, Rack: w.Rack}])
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

// Interference prefers workers whose services the task presses least.
type Interference struct{ Cost CostModel }

// Score implements Scorer.
func (i Interference) Score(t *Task, w *Worker, size fleet.Resources, _ map[JobRack]int) float64 {
	return 1 - min(1, i.Cost.Pressure(w.ID, t.Class, w.planned+size.MilliCores))
}
