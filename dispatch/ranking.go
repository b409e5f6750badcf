package dispatch

import (
	"fmt"
	"time"
)

// lineOrder places a job that can still be in time; lower comes first.
type lineOrder func(m *Machine, j *job, slack time.Duration) float64

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

// RankInUse is the order of the line unless another is chosen.
const RankInUse = RankLeastWork

// Rankings, of which all but RankInUse are there to be weighed against it.
const (
	RankLeastWork     Ranking = "least work"
	RankShortestChain Ranking = "shortest chain"
	RankLeastSlack    Ranking = "least slack"
	RankFirstCome     Ranking = "first come"
	RankWorkAndSlack  Ranking = "work and slack"
)

// Rankings returns all of them.
func Rankings() []Ranking {
	return []Ranking{RankLeastWork, RankShortestChain, RankLeastSlack, RankFirstCome, RankWorkAndSlack}
}

// RankingError reports a ranking that does not exist.
type RankingError struct{ Ranking Ranking }

func (e *RankingError) Error() string {
	return fmt.Sprintf("dispatch: no ranking %q", string(e.Ranking))
}

// SetRanking chooses the order of the line. The error is an *RankingError.
func (m *Machine) SetRanking(r Ranking) error {
	switch r {
	case RankLeastWork:
		m.order = leastWork
	case RankShortestChain:
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
