package dispatch

import (
	"math"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// queueStats holds the learned run times and the throughput of a queue's batch tasks.
type queueStats struct {
	ratio   float64 // run time relative to the submitter's estimate
	samples int
	// throughput is the work of ended runs, in core-seconds per second, and
	// throughputAt is when it was last decayed.
	throughput   float64
	throughputAt time.Duration
}

// throughputWindow is the time over which the throughput is averaged. Some runs of
// every kind end within it, and a burst takes 4 s and more.
const throughputWindow = 4 * time.Second

// decayThroughput decays the throughput to now.
func (q *queueStats) decayThroughput(now time.Duration) {
	q.throughput *= math.Exp(-float64(now-q.throughputAt) / float64(throughputWindow))
	q.throughputAt = now
}

const (
	// ratioWeight is the minimum weight of the newest run time. With it, half of the
	// weight is on the last 14 runs, which is less than a second of load.
	ratioWeight = 0.05
	ratioMin    = 0.2
	ratioMax    = 5
)

// learnRunTime updates the statistics of a queue with a run that is done.
func (m *Machine) learnRunTime(r *run, e workload.EndedRun, now time.Duration) {
	s := r.task.step
	if e.Outcome != workload.OutcomeDone || s.Serving || s.EstimateMS <= 0 || r.confirmedAt == 0 {
		return
	}
	q, ok := m.queues[r.task.job.Queue]
	if !ok {
		q = &queueStats{ratio: 1, throughputAt: now}
		m.queues[r.task.job.Queue] = q
	}
	q.decayThroughput(now)
	q.throughput += float64(s.Need.MilliCores) / 1000 * (now - r.orderedAt).Seconds() / throughputWindow.Seconds()
	if r.wasThrottled {
		return // its duration does not show how long the task takes at full CPU share
	}
	if r.task.checkpoint == "" || !s.Checkpoints {
		s.recordRate(100 / max(now-r.orderedAt, time.Millisecond).Seconds())
	}
	ratio := min(max(float64(now-r.orderedAt)/float64(s.Estimate()), ratioMin), ratioMax)
	q.samples++
	q.ratio += max(ratioWeight, 1/float64(q.samples)) * (ratio - q.ratio)
}

// maxDoneRates bounds the rates that are kept of the tasks of a step that are done, the latest ones.
const maxDoneRates = 1024

// recordRate keeps the progress rate of a run that is done.
func (s *step) recordRate(rate float64) {
	if len(s.doneRates) < maxDoneRates {
		s.doneRates = append(s.doneRates, rate)
		return
	}
	s.doneRates[s.nextRate] = rate
	s.nextRate = (s.nextRate + 1) % maxDoneRates
}

// expectedRunTime returns the expected run time of a task of a step.
func (m *Machine) expectedRunTime(queue string, s *workload.Step) time.Duration {
	ratio := 1.0
	if q, ok := m.queues[queue]; ok {
		ratio = q.ratio
	}
	return time.Duration(ratio * float64(s.Estimate()))
}
