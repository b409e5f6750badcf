package experiment

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Calibration compares what admission predicts for the jobs of a queue with what becomes of
// them.
type Calibration struct {
	Jobs     int
	Accepted int
	Useful   int // accepted, and ended in time or late
	Rejected int // at their first attempt
	Examined int // rejected jobs that were simulated again, accepted at once
	Wrong    int // of these, jobs that end in time then
}

// Calibrate returns the calibration of admission by queue. It examines up to most of the
// rejected jobs of each queue, each in a simulation of its own. The error is a
// *dispatch.RankingError.
func Calibrate(c Config, arrivals []Arrival, most int) (map[string]Calibration, error) {
	p, err := simulateFor(c, nil, arrivals)
	if err != nil {
		return nil, err
	}
	all := make(map[string]Calibration)
	rejected := make(map[string][]fleet.JobID)
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		j := p.jobs[id]
		r := all[j.queue]
		r.Jobs++
		if j.rejected {
			r.Rejected++
			rejected[j.queue] = append(rejected[j.queue], id)
		}
		if j.accepted > 0 {
			r.Accepted++
		}
		if j.ended > 0 && j.ended-j.accepted <= lateFactor*j.target {
			r.Useful++
		}
		all[j.queue] = r
	}
	for name, ids := range rejected {
		r := all[name]
		for i := 0; most > 0 && i < len(ids); i += (len(ids) + most - 1) / most {
			again := c
			again.forced = ids[i]
			p, err := simulateFor(again, nil, arrivals)
			if err != nil {
				return nil, err
			}
			r.Examined++
			if j := p.jobs[ids[i]]; j.ended > 0 && j.ended-j.submitted <= j.target {
				r.Wrong++
			}
		}
		all[name] = r
	}
	return all, nil
}

// queueOf returns the queue of a job.
func (c Config) queueOf(id fleet.JobID) string {
	if c.UrgentShare > 0 && rand.New(rand.NewPCG(c.Seed, hash(0, string(id)))).Float64() < c.UrgentShare {
		return urgent
	}
	return queue
}

// hash returns a hash of a name that depends on a seed.
func hash(seed uint64, name string) uint64 {
	h := seed
	for _, b := range []byte(name) {
		h = h*1099511628211 ^ uint64(b)
	}
	return h
}

// printCalibration prints the calibration of admission at each load.
func printCalibration(out io.Writer, c Config, loads []float64, draw func(Config) []Arrival, most int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "load\tqueue\tjobs\taccepted\tof use\trejected first\texamined\tin time if accepted\t")
	for _, load := range loads {
		c.Load = load
		all, err := Calibrate(c, draw(c), most)
		if err != nil {
			return err
		}
		for _, name := range slices.Sorted(maps.Keys(all)) {
			r := all[name]
			fmt.Fprintf(w, "%.2f\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", load, name, r.Jobs, r.Accepted, r.Useful, r.Rejected, r.Examined, r.Wrong)
		}
	}
	return eris.Wrap(w.Flush(), "experiment")
}
