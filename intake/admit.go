package intake

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Load tells all hosts how much work waits, so that they can refuse what
// can't be served.
type Load struct {
	AtMS   int64                `json:"at"` // Unix time
	Queues map[string]QueueLoad `json:"q"`
}

// QueueLoad is the load of one queue.
type QueueLoad struct {
	// Rate is the work that ended lately, in core-seconds a second.
	Rate float64 `json:"r"`
	// Backlog is the waiting work by place in line, in ascending order of Place: a
	// job waits for what stands before it.
	Backlog []BacklogPoint `json:"a"`
	// EstimateRatio is the learned run time to the submitters' estimates.
	EstimateRatio float64 `json:"x"`
	// MeanWork is the mean work of the queue's jobs, in core-seconds.
	MeanWork float64 `json:"m"`
}

// BacklogPoint is the work of waiting jobs up to a place in line, in core-seconds.
type BacklogPoint struct {
	Rank float64 `json:"p"`
	Work float64 `json:"w"`
}

const (
	// loadAge is how old a load may be to refuse by it. Source: it is told
	// once a second; an older one comes from an owner that has gone.
	loadAge = 3 * time.Second
	// worthFactor is how many times its wanted time a job may take and still
	// be worth something. Source: the users' rule on late jobs.
	worthFactor = 3
	retryLeast  = time.Second
	retryMost   = 20 * time.Second
)

// Admit decides whether a job is accepted. It answers loads above room: a job
// that the work before it in line will keep from ending even at three times its
// wanted time is refused at once, with the time after which that work is done.
// Jobs that serve are never refused for load.
func Admit(q *workload.Queue, job *workload.Job, load Load, now time.Time) *RefusedError {
	ql, ok := load.Queues[q.Name]
	if !ok || ql.Rate <= 0 || job.HasServingStep() || now.UnixMilli()-load.AtMS > loadAge.Milliseconds() {
		return nil
	}
	work, chain := size(job, max(ql.EstimateRatio, 0.1))
	wanted := time.Duration(q.Stretch*float64(chain)) + q.Objective
	place := dispatch.RankOfNewJob(job, work, ql.MeanWork)
	wait := time.Duration(ql.ahead(place) / ql.Rate * float64(time.Second))
	untilDue := max(0, time.Duration(job.FirstMS-now.UnixMilli())*time.Millisecond)
	over := wait - untilDue + chain - worthFactor*wanted
	if over <= 0 {
		return nil
	}
	return &RefusedError{Reason: "the work before it in line takes until after it is worth nothing", RetryAfter: min(max(over, retryLeast), retryMost)}
}

// size returns the expected work of a job in core-seconds and its longest
// chain.
func size(job *workload.Job, ratio float64) (work float64, chain time.Duration) {
	chains := make([]time.Duration, len(job.Steps))
	for i := range job.Steps {
		s := &job.Steps[i]
		d := time.Duration(ratio * float64(s.Estimate()))
		work += float64(s.Count) * float64(s.Need.MilliCores) / 1000 * d.Seconds()
		for _, before := range s.After {
			chains[i] = max(chains[i], chains[before])
		}
		chains[i] += d
		chain = max(chain, chains[i])
	}
	return work, chain
}

// ahead is the waiting work before a place in line.
func (l QueueLoad) ahead(place float64) float64 {
	i, found := slices.BinarySearchFunc(l.Backlog, place, func(b BacklogPoint, p float64) int { return cmp.Compare(b.Rank, p) })
	if !found {
		i--
	}
	if i < 0 {
		return 0
	}
	return l.Backlog[i].Work
}
