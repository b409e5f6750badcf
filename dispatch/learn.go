package dispatch

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// queueStats are run times learned of a queue's batch tasks.
type queueStats struct {
	ratio float64 // run time to the submitter's estimate
	seen  int
}

const (
	// ratioWeight is the weight of the newest run time. Source: half of the
	// weight lies on the last fourteen runs, less than a second of load.
	ratioWeight = 0.05
	ratioMin    = 0.2
	ratioMax    = 5
)

// learn takes in the run time of a run that is done.
func (m *Machine) learn(r *run, e workload.Ended, now time.Duration) {
	s := r.task.step
	if e.How != workload.EndDone || s.Serving || s.EstimateMS <= 0 || r.confirmed == 0 || e.Checkpoint != "" {
		return
	}
	q, ok := m.queues[r.task.job.Queue]
	if !ok {
		q = &queueStats{ratio: 1}
		m.queues[r.task.job.Queue] = q
	}
	ratio := min(max(float64(now-r.ordered)/float64(s.Estimate()), ratioMin), ratioMax)
	q.seen++
	q.ratio += max(ratioWeight, 1/float64(q.seen)) * (ratio - q.ratio)
}

// expected is how long a task of a step is expected to run.
func (m *Machine) expected(queue string, s *workload.Step) time.Duration {
	ratio := 1.0
	if q, ok := m.queues[queue]; ok {
		ratio = q.ratio
	}
	return time.Duration(ratio * float64(s.Estimate()))
}
