package intake

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/cost"
	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Load is the waiting work, published to all hosts so that they can refuse jobs
// that can't be served in useful time.
type Load struct {
	AtMS   int64                `json:"at"` // Unix time, ms
	Queues map[string]QueueLoad `json:"q"`
	// BestEffort is the load of the queues' jobs that have best-effort steps.
	BestEffort map[string]QueueLoad `json:"b,omitempty"`
	// Serving limits services; nil means no limit.
	Serving *ServingLoad `json:"s,omitempty"`
	// Full means that the owner holds accepted jobs back for want of memory.
	Full bool `json:"f,omitempty"`
	// Workspaces are those with waiting work, by name, up to a bound.
	Workspaces map[string]WorkspaceLoad `json:"w,omitempty"`
}

// ServingLoad is the capacity that services may still take.
type ServingLoad struct {
	RoomMilliCores int64   `json:"m"` // negative if they have more than their share
	ReleaseRate    float64 `json:"e"` // at which services end, in millicores per second
}

// QueueLoad is the load of one queue.
type QueueLoad struct {
	// Throughput is the rate at which work has recently completed, in
	// core-seconds per second.
	Throughput float64 `json:"r"`
	// Backlog is the cumulative waiting work by rank in the queue, in ascending
	// order of Rank: a job waits for the work ranked before it.
	Backlog []RankBacklog `json:"a"`
	// RunTimeRatio is the learned ratio of run time to the submitters'
	// estimates.
	RunTimeRatio float64 `json:"x"`
	// MeanWork is the mean work of the queue's jobs, in core-seconds.
	MeanWork float64 `json:"m"`
}

// RankBacklog is what goes before a new job of a rank in the queue; lower ranks are served
// first.
type RankBacklog struct {
	Rank        float64 `json:"p"`
	Work        float64 `json:"w"`           // waiting, in core-seconds
	ArrivalRate float64 `json:"a,omitempty"` // of such work, in core-seconds per second
}

const (
	// maxLoadAge is the maximum age of a load on which a job is refused. The
	// load is published once a second; an older one is from a former owner.
	maxLoadAge = 3 * time.Second
	// minLeftShare is the least share of the throughput that is expected to be left by the
	// work that arrives before a job: bursts last 4 s and more, about half of the time over
	// which arrivals are averaged.
	minLeftShare = 0.5
	// maxPrediction bounds predicted times.
	maxPrediction = time.Hour
	// retrySpread is the share of Retry-After over which the jobs that are refused by the
	// same load come back.
	retrySpread   = 0.25
	minRetryAfter = time.Second
	maxRetryAfter = 20 * time.Second
)

// Admit decides whether a job is admitted; nil means yes. It sheds load above
// capacity: a job that is predicted to end after it has lost all value is refused at
// once, with the time until the excess work is done as RetryAfter. Jobs with services
// are refused while services have their share of the capacity.
func Admit(q *workload.Queue, job *workload.Job, load Load, now time.Time) *RefusedError {
	if now.UnixMilli()-load.AtMS > maxLoadAge.Milliseconds() {
		return nil
	}
	if job.HasServingStep() {
		return admitServing(load.Serving)
	}
	ql, ok := load.of(q.Name, job)
	if !ok || ql.Throughput <= 0 {
		return nil
	}
	p := ql.predict(q, job)
	untilDue := max(0, time.Duration(job.FirstMS-now.UnixMilli())*time.Millisecond)
	excess := p.End - untilDue - p.Useful
	if excess <= 0 {
		return nil
	}
	return &RefusedError{Reason: "the work before it in line takes until after it is worth nothing", RetryAfter: retryAfter(excess, job), Prediction: &p}
}

// Prediction is what a job is refused by.
type Prediction struct {
	End         time.Duration // predicted, from now
	Useful      time.Duration // after which the job has no value
	Work        float64       // before it, in core-seconds
	ArrivalRate float64       // of work that goes before it, in core-seconds per second
	Throughput  float64       // in core-seconds per second
}

// predict returns when a new job ends: work before it and what arrives of such work delays its
// start. Its own work doesn't count, or large jobs would be refused as long as any work waits.
func (l QueueLoad) predict(q *workload.Queue, job *workload.Job) Prediction {
	work, criticalPath := expectedSize(job, max(l.RunTimeRatio, 0.1))
	before := l.before(dispatch.RankOfNewJob(job, work, l.MeanWork))
	left := max(l.Throughput-before.ArrivalRate, minLeftShare*l.Throughput)
	target := time.Duration(q.Stretch*float64(criticalPath)) + q.Objective
	return Prediction{
		End:    seconds(before.Work/left) + criticalPath,
		Useful: cost.LateFactor * target, Work: before.Work, ArrivalRate: before.ArrivalRate, Throughput: l.Throughput,
	}
}

// seconds returns a time of s seconds, at most maxPrediction.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxPrediction.Seconds()) * float64(time.Second))
}

// retryAfter returns when a refused job may come back: when the excess work is done. Jobs that
// are refused by the same load come back one after the other, so that they find the room that
// has opened instead of each other.
func retryAfter(excess time.Duration, job *workload.Job) time.Duration {
	wait := min(max(excess, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(retrySpread*dispatch.HashFraction(job.ID)*float64(wait))
}

// admitServing decides whether a job with services is admitted. It does not compare
// the job's request with the room: small jobs would take each released piece, and
// large ones would never be admitted.
func admitServing(load *ServingLoad) *RefusedError {
	if load == nil || load.RoomMilliCores > 0 {
		return nil
	}
	retry := maxRetryAfter
	if load.ReleaseRate > 0 {
		seconds := min(float64(-load.RoomMilliCores)/load.ReleaseRate, maxRetryAfter.Seconds())
		retry = time.Duration(seconds * float64(time.Second))
	}
	return &RefusedError{Reason: "services have their share of the capacity", RetryAfter: max(retry, minRetryAfter)}
}

// expectedSize returns the expected work of a job, in core-seconds, and the
// expected run time of its longest chain of dependent steps.
func expectedSize(job *workload.Job, ratio float64) (work float64, criticalPath time.Duration) {
	pathEnds := make([]time.Duration, len(job.Steps))
	for i := range job.Steps {
		s := &job.Steps[i]
		d := time.Duration(ratio * float64(s.Estimate()))
		work += float64(s.Count) * float64(s.Need.MilliCores) / 1000 * d.Seconds()
		for _, dependency := range s.After {
			pathEnds[i] = max(pathEnds[i], pathEnds[dependency])
		}
		pathEnds[i] += d
		criticalPath = max(criticalPath, pathEnds[i])
	}
	return work, criticalPath
}

// of returns the load of a queue for the kind of work of a job, and whether it is known.
func (l Load) of(queue string, job *workload.Job) (QueueLoad, bool) {
	queues := l.Queues
	if slices.ContainsFunc(job.Steps, func(s workload.Step) bool { return s.BestEffort }) {
		queues = l.BestEffort
	}
	ql, ok := queues[queue]
	return ql, ok
}

// before returns what goes before a new job of a rank.
func (l QueueLoad) before(rank float64) RankBacklog {
	i, found := slices.BinarySearchFunc(l.Backlog, rank, func(b RankBacklog, p float64) int { return cmp.Compare(b.Rank, p) })
	if !found {
		i--
	}
	if i < 0 {
		return RankBacklog{}
	}
	return l.Backlog[i]
}
