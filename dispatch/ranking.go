package dispatch

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// lineOrder places a job that can still be in time; lower comes first.
type lineOrder func(m *Machine, j *job, slack time.Duration) float64

// finishBegun lets jobs that have begun come first, the one with the least part
// left before others; then it begins the jobs that are drawn, by lot, and then
// the one that takes the least work for what it is worth. A job is worth nothing
// before it ends, so what has been spent on one that later ones pass is lost. It
// answers loads that stay above room: by the work left alone, the largest jobs
// would be passed by each smaller one that comes, and never end.
func finishBegun(m *Machine, j *job, _ time.Duration) float64 {
	if j.begun() {
		return j.partLeft()
	}
	mean := 0.0
	if sizes := m.sizes[j.Queue]; sizes != nil {
		mean = sizes.mean
	}
	return RankOfNewJob(&j.Job, m.restWork(j), mean)
}

// RankOfNewJob is the place in line, lower first, of a job that has not begun, of
// its work and the mean work of its queue's jobs, in core-seconds; a mean of 0 is
// not known. The door foretells by it what a new job would wait for.
func RankOfNewJob(j *workload.Job, work, mean float64) float64 {
	if lot := lotOf(j); lot < drawnShare {
		return beginKey + lot
	}
	return undrawnKey + work/worthOf(work, mean)
}

const (
	// beginKey and undrawnKey are the places in line behind all jobs that have
	// begun, and behind those that are drawn.
	beginKey   = 100
	undrawnKey = 200
	// begunBelow is the part of its work left below which a job has begun.
	// Source: one task done of most jobs.
	begunBelow = 0.95
	// drawnShare of the jobs are drawn. Source: the users' bound on sizes, half
	// of what is served of all, at a load of twice the room.
	drawnShare = 0.25
)

// begun reports whether so much of a job is done, or is kept free for it, that
// it is to be finished before others begin.
func (j *job) begun() bool { return j.reserved || j.partLeft() < begunBelow }

// lotOf draws a number of 0 to 1 for a job, whatever its size and the same for
// each owner.
func lotOf(j *workload.Job) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(j.ID)) // never fails
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(j.AcceptedMS)))
	return float64(h.Sum64()%lots) / lots
}

// lots is the number of different lots, a prime.
const lots = 1_000_003

// partLeft is the part of a job's work that is left, as its submitter
// estimates it.
func (j *job) partLeft() float64 {
	all, left := 0.0, 0.0
	for k := range j.Occurrences() {
		for i := range j.Steps {
			s := &j.Steps[i]
			task := float64(s.Need.MilliCores) * float64(s.EstimateMS)
			all += float64(s.Count) * task
			left += float64(s.Count-j.doneOf(k, i)) * task
		}
	}
	if all <= 0 {
		return 1
	}
	return left / all
}

// doneOf counts the tasks done of a step of an occurrence.
func (j *job) doneOf(occurrence, step int) int {
	if occurrence >= len(j.occ) || j.occ[occurrence] == nil {
		return 0
	}
	return j.occ[occurrence].steps[step].done
}

// worthOf is what a job of some work earns, of what the mean job does.
func worthOf(work, mean float64) float64 {
	if mean <= 0 {
		return 1
	}
	return min(worthFixed+(1-worthFixed)*work/mean, worthMost)
}

// worthFixed is the part of a job's worth that does not grow with its work, and
// worthMost bounds it. Source: the users' rule on the worth of a job.
const (
	worthFixed = 0.3
	worthMost  = 4
)

// leastWork lets the job with the least work left come first, so that under
// a load above room the most jobs are in time.
func leastWork(m *Machine, j *job, _ time.Duration) float64 { return m.restWork(j) }

func firstCome(_ *Machine, j *job, _ time.Duration) float64 { return j.arrived.Seconds() }

func leastSlack(_ *Machine, _ *job, slack time.Duration) float64 { return slack.Seconds() }

// shortestChain lets the job come first whose longest chain of work ends first.
func shortestChain(m *Machine, j *job, _ time.Duration) float64 {
	_, rest := m.chains(j)
	return rest.Seconds()
}

// workAndSlack lets small and pressing jobs come first.
func workAndSlack(m *Machine, j *job, slack time.Duration) float64 {
	return m.restWork(j) * (slack.Seconds() + 1)
}

// Ranking names a way to order the jobs that can still be in time.
type Ranking string

// DefaultRanking is the order of the line unless another is chosen.
const DefaultRanking = RankFinishStarted

// Rankings, of which all but DefaultRanking are there to be weighed against it.
const (
	RankFinishStarted        Ranking = "finish begun"
	RankLeastWork            Ranking = "least work"
	RankShortestCriticalPath Ranking = "shortest chain"
	RankLeastSlack           Ranking = "least slack"
	RankFirstCome            Ranking = "first come"
	RankWorkAndSlack         Ranking = "work and slack"
)

// Rankings returns all of them.
func Rankings() []Ranking {
	return []Ranking{RankFinishStarted, RankLeastWork, RankShortestCriticalPath, RankLeastSlack, RankFirstCome, RankWorkAndSlack}
}

// RankingError reports a ranking that does not exist.
type RankingError struct{ Ranking Ranking }

func (e *RankingError) Error() string {
	return fmt.Sprintf("dispatch: no ranking %q", string(e.Ranking))
}

// SetRanking chooses the order of the line. The error is an *RankingError.
func (m *Machine) SetRanking(r Ranking) error {
	m.finishes = r == RankFinishStarted
	switch r {
	case RankFinishStarted:
		m.order = finishBegun
	case RankLeastWork:
		m.order = leastWork
	case RankShortestCriticalPath:
		m.order = shortestChain
	case RankLeastSlack:
		m.order = leastSlack
	case RankFirstCome:
		m.order = firstCome
	case RankWorkAndSlack:
		m.order = workAndSlack
	default:
		return &RankingError{r}
	}
	return nil
}
