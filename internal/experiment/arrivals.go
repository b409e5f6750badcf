package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// workerCapacity is that of a worker of the users' smaller site.
var workerCapacity = fleet.Resources{MilliCores: 16_000, MemoryMB: 64_000}

// DrawArrivals returns Poisson arrivals of jobs of one to three steps, whose work
// adds up to the load. Sizes spread over two orders of magnitude.
func DrawArrivals(c Config) []Arrival {
	random := rand.New(rand.NewPCG(c.Seed, c.Seed))
	offeredWork := float64(c.Workers) * float64(workerCapacity.MilliCores) / 1000 * c.For.Seconds() * c.Load
	var all []Arrival
	for work := 0.0; work < offeredWork; {
		a := Arrival{AtMS: int64(random.Float64() * float64(c.For.Milliseconds()))}
		for i := range 1 + random.IntN(3) {
			s := workload.Step{
				Count:      1 + int(random.ExpFloat64()*7),
				Need:       fleet.Resources{MilliCores: 500 + random.Int64N(2500), MemoryMB: 500},
				EstimateMS: 300 + int64(random.ExpFloat64()*1200),
			}
			if i > 0 {
				s.After = []int{i - 1}
			}
			work += stepWork(s)
			a.Steps = append(a.Steps, s)
		}
		all = append(all, a)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return all
}

// stepWork returns the work of a step in core-seconds.
func stepWork(s workload.Step) float64 {
	return float64(s.Count) * float64(s.Need.MilliCores) / 1000 * s.Estimate().Seconds()
}
