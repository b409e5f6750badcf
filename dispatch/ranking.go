package dispatch

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/fuchsiahill/fuchsiahill/cost"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// rankFunc returns the rank of a job that can still end in time; lower comes first.
type rankFunc func(m *Machine, j *job, slack time.Duration) float64

// finishStarted ranks jobs that have started first, by the share of their work that
// remains; then the jobs that win the lottery, in the order of their lottery
// numbers; then the others by what delaying them costs. A job has no
// value before it ends, so the work spent on one that is overtaken by later jobs
// is wasted. If the load stayed above the capacity and jobs were ranked by
// remaining work alone, each smaller job that arrives would overtake the largest
// jobs, and they would never end.
func finishStarted(m *Machine, j *job, _ time.Duration) float64 {
	if j.started() {
		return j.remainingShare()
	}
	return rankOfUnstarted(&j.Job, m.costOf(j))
}

// finishStartedLate ranks late jobs that have started with those that can end in time.
func finishStartedLate(m *Machine, j *job, c cost.Job) float64 {
	if j.started() {
		return j.remainingShare() / cost.LateValue
	}
	return rankByLateness(m, j, c)
}

// rankByLateness ranks late jobs behind all others, the least late first.
func rankByLateness(_ *Machine, _ *job, c cost.Job) float64 {
	return lateRank + (c.Age + c.Rest - c.Target).Seconds()
}

// lossClass returns 0 for a job that still has value, and 1 for one that has none left.
func (j *job) lossClass() int {
	if j.timeliness == timelinessExpired && !j.HasServingStep() {
		return 1
	}
	return 0
}

// costOf returns what the cost of delaying a job that has not started depends on, apart from
// its target.
func (m *Machine) costOf(j *job) cost.Job {
	work := m.remainingWork(j)
	c := cost.Job{Work: work, Remaining: work}
	if sizes := m.jobSizes[j.Queue]; sizes != nil {
		c.MeanWork = sizes.mean
	}
	return c
}

// RankOfNewJob returns the rank, lower first, of a job that has not started. work
// is its work and mean the mean work of its queue's jobs, both in core-seconds; a
// mean of 0 is unknown. Admission control uses it to predict the wait of a new job.
func RankOfNewJob(j *workload.Job, work, mean float64) float64 {
	return rankOfUnstarted(j, cost.Job{Work: work, MeanWork: mean, Remaining: work})
}

func rankOfUnstarted(j *workload.Job, c cost.Job) float64 {
	if number := lotteryNumber(j); number < lotteryShare {
		return lotteryRank + number
	}
	return unstartedRank + costRank(c)
}

// costRank returns the core-seconds that delaying a job frees for each unit of value that it costs.
func costRank(c cost.Job) float64 { return 1 / c.OfDelay() }

const (
	// lotteryRank is the lowest rank of jobs that win the lottery, behind all jobs
	// that have started, and unstartedRank that of the other jobs, behind both.
	lotteryRank   = 100
	unstartedRank = 200
	// startedBelow is the share of remaining work below which a job counts as
	// started. Most jobs get there with their first finished task.
	startedBelow = 0.95
	// lotteryShare is the share of jobs that win the lottery, whatever their size.
	// It follows from the users' bound across sizes, half of the share that is served
	// of all jobs, at a load of twice the capacity.
	lotteryShare = 0.25
)

// started reports whether a job is to be finished before others start: enough of its
// work is done, or workers have been reserved for it.
func (j *job) started() bool { return j.hasReservation || j.remainingShare() < startedBelow }

// lotteryNumber returns a pseudorandom number from 0 to 1 for a job, which does not
// depend on its size and is the same for each owner.
func lotteryNumber(j *workload.Job) float64 {
	return hashFraction(binary.LittleEndian.AppendUint64([]byte(j.ID), uint64(j.AcceptedMS)))
}

// hashFraction returns a pseudorandom number from 0 to 1 that depends on data alone.
func hashFraction(data []byte) float64 {
	h := fnv.New64a()
	_, _ = h.Write(data) // never fails
	return float64(h.Sum64()%hashFractions) / hashFractions
}

// HashFraction returns a pseudorandom number from 0 to 1 that is the same for each call with
// a job's ID.
func HashFraction(id fleet.JobID) float64 { return hashFraction([]byte(id)) }

// hashFractions is the number of different results of hashFraction, a prime.
const hashFractions = 1_000_003

// remainingShare returns the share of a job's work that remains, by the submitter's
// estimates.
func (j *job) remainingShare() float64 {
	all, left := 0.0, 0.0
	for k := range j.Occurrences() {
		for i := range j.Steps {
			s := &j.Steps[i]
			task := float64(s.Need.MilliCores) * float64(s.EstimateMS)
			all += float64(s.Count) * task
			left += float64(s.Count-j.tasksDone(k, i)) * task
		}
	}
	if all <= 0 {
		return 1
	}
	return left / all
}

// tasksDone counts the tasks of a step of an occurrence that are done.
func (j *job) tasksDone(occurrence, step int) int {
	switch o := j.occurrenceAt(occurrence); o {
	case nil:
		return 0
	case endedOccurrence:
		return j.Steps[step].Count
	default:
		return o.steps[step].doneCount
	}
}

// leastWork ranks the job with the least remaining work first, so that the most jobs
// end in time while the load exceeds the capacity.
func leastWork(m *Machine, j *job, _ time.Duration) float64 { return m.remainingWork(j) }

// firstCome ranks jobs in the order of their arrival.
func firstCome(_ *Machine, j *job, _ time.Duration) float64 { return j.arrivedAt.Seconds() }

// leastSlack ranks the job with the least slack before its target first.
func leastSlack(_ *Machine, _ *job, slack time.Duration) float64 { return slack.Seconds() }

// shortestCriticalPath ranks the job with the shortest remaining critical path first.
func shortestCriticalPath(m *Machine, j *job, _ time.Duration) float64 {
	_, rest := m.criticalPaths(j)
	return rest.Seconds()
}

// workAndSlack ranks small and urgent jobs first.
func workAndSlack(m *Machine, j *job, slack time.Duration) float64 {
	return m.remainingWork(j) * (slack.Seconds() + 1)
}

// Ranking is the name of a policy that orders the jobs that can still end in time.
type Ranking string

// DefaultRanking is the policy in use unless SetRanking selects another.
const DefaultRanking = RankFinishStarted

// Rankings. All but DefaultRanking exist for comparison with it.
const (
	RankFinishStarted        Ranking = "finish begun"
	RankLeastWork            Ranking = "least work"
	RankShortestCriticalPath Ranking = "shortest chain"
	RankLeastSlack           Ranking = "least slack"
	RankFirstCome            Ranking = "first come"
	RankWorkAndSlack         Ranking = "work and slack"
)

// Rankings returns all rankings.
func Rankings() []Ranking {
	return []Ranking{RankFinishStarted, RankLeastWork, RankShortestCriticalPath, RankLeastSlack, RankFirstCome, RankWorkAndSlack}
}

// RankingError reports an unknown ranking.
type RankingError struct{ Ranking Ranking }

func (e *RankingError) Error() string {
	return fmt.Sprintf("dispatch: unknown ranking %q", string(e.Ranking))
}

// SetRanking selects the policy that orders the queue. An unknown ranking gives a
// *RankingError.
func (m *Machine) SetRanking(r Ranking) error {
	m.rankLate = rankByLateness
	switch r {
	case RankFinishStarted:
		m.rankInTime, m.rankLate = finishStarted, finishStartedLate
	case RankLeastWork:
		m.rankInTime = leastWork
	case RankShortestCriticalPath:
		m.rankInTime = shortestCriticalPath
	case RankLeastSlack:
		m.rankInTime = leastSlack
	case RankFirstCome:
		m.rankInTime = firstCome
	case RankWorkAndSlack:
		m.rankInTime = workAndSlack
	default:
		return &RankingError{r}
	}
	return nil
}
