package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// queueStats are run times learned of a queue's batch tasks.
type queueStats struct {
	ratio float64 // run time to the submitter's estimate
	seen  int
	// rate is the work that ends, in core-seconds a second, and rateAt when it
	// was brought up to date.
	rate   float64
	rateAt time.Duration
}

// rateSpan is over which the rate of ended work is averaged. Source: some runs
// of every kind end within it; a burst takes 4 s and more.
const rateSpan = 4 * time.Second

// decay brings the rate up to date.
func (q *queueStats) decay(now time.Duration) {
	q.rate *= math.Exp(-float64(now-q.rateAt) / float64(rateSpan))
	q.rateAt = now
}

const (
	// ratioWeight is the weight of the newest run time. Source: half of the
	// weight lies on the last fourteen runs, less than a second of load.
	ratioWeight = 0.05
	ratioMin    = 0.2
	ratioMax    = 5
)

// learn takes in the run time of a run that is done.
func (m *Machine) learn(r *run, e workload.EndedRun, now time.Duration) {
	s := r.task.step
	if e.Outcome != workload.OutcomeDone || s.Serving || s.EstimateMS <= 0 || r.confirmed == 0 {
		return
	}
	q, ok := m.queues[r.task.job.Queue]
	if !ok {
		q = &queueStats{ratio: 1, rateAt: now}
		m.queues[r.task.job.Queue] = q
	}
	q.decay(now)
	q.rate += float64(s.Need.MilliCores) / 1000 * (now - r.ordered).Seconds() / rateSpan.Seconds()
	if r.slowed {
		return // says nothing of how long the task takes by itself
	}
	if r.task.checkpoint == "" || !s.Checkpoints {
		r.task.step.doneRates = append(r.task.step.doneRates, 100/max(now-r.ordered, time.Millisecond).Seconds())
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

// backlogPoints bounds the places told of one queue.
const backlogPoints = 8

// Backlogs tells, for each queue in which work waits, the rate at which work
// ends and the waiting work by place in line.
func (m *Machine) Backlogs(now time.Duration) map[string]QueueBacklog {
	places := make(map[string][]RankBacklog)
	for _, j := range m.jobs {
		if !j.state.Final() && !j.HasServingStep() && j.hasWaiting() && j.key < lostKey {
			places[j.Queue] = append(places[j.Queue], RankBacklog{j.key, m.restWork(j)})
		}
	}
	loads := make(map[string]QueueBacklog, len(places))
	for queue, list := range places {
		q, ok := m.queues[queue]
		if !ok {
			continue
		}
		q.decay(now)
		loads[queue] = QueueBacklog{Throughput: q.rate, RunTimeRatio: q.ratio, MeanWork: m.sizes[queue].mean, Ranks: cumulate(list)}
	}
	return loads
}

// QueueBacklog is the waiting work of one queue.
type QueueBacklog struct {
	Throughput   float64 // core-seconds a second that end
	RunTimeRatio float64 // run time to the submitters' estimates
	MeanWork     float64 // core-seconds of the mean job
	Ranks        []RankBacklog
}

// RankBacklog is the work, in core-seconds, of waiting jobs up to a place in
// line.
type RankBacklog struct{ Rank, Work float64 }

// cumulate sums the work of jobs up at up to backlogPoints of their places.
func cumulate(jobs []RankBacklog) []RankBacklog {
	slices.SortFunc(jobs, func(a, b RankBacklog) int { return cmp.Compare(a.Rank, b.Rank) })
	var points []RankBacklog
	sum := 0.0
	for i, j := range jobs {
		sum += j.Work
		if (i+1)*backlogPoints/len(jobs) > i*backlogPoints/len(jobs) {
			points = append(points, RankBacklog{j.Rank, sum})
		}
	}
	return points
}
