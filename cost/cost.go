// Package cost defines what it costs callers if a piece of work is delayed or refused.
// Admission control and the order of the queue share this definition. It is
// pure: its inputs are what the caller of a job stated and what has been learned.
package cost

import (
	"math"
	"time"
)

const (
	// LateFactor is the multiple of its target duration that a job may take and still
	// have value; the users' rule on late jobs sets it.
	LateFactor = 3
	// LateValue is the value of a job that ends late, relative to one that ends in time;
	// the users' requirements set it.
	LateValue = 0.15
	// fixedValue is the part of a job's value that does not grow with its work, and
	// maxValue bounds the value. The users' rule on the value of a job sets both.
	fixedValue = 0.3
	maxValue   = 4
)

// Value returns the value of a job that ends in time, relative to that of the mean job of
// its queue. work and mean are in core-seconds; a mean of 0 is unknown.
func Value(work, mean float64) float64 {
	if mean <= 0 {
		return 1
	}
	return min(fixedValue+(1-fixedValue)*work/mean, maxValue)
}

// Standing is how a job can still end, relative to its target duration.
type Standing int

// Values of Standing, the best first.
const (
	InTime  Standing = iota
	Late             // has only LateValue
	Useless          // has no value any more
)

// Job is what the cost of delaying a job depends on.
type Job struct {
	Work      float64       // of the whole job, in core-seconds
	MeanWork  float64       // of its queue's jobs; 0: unknown
	Remaining float64       // work that is not done, in core-seconds
	Target    time.Duration // within which it should end
	Age       time.Duration
	Rest      time.Duration // until it ends if nothing delays it
}

// Standing returns how the job can still end.
func (j Job) Standing() Standing {
	switch end := j.Age + j.Rest; {
	case end <= j.Target:
		return InTime
	case end < LateFactor*j.Target:
		return Late
	default:
		return Useless
	}
}

// Slack returns the delay that the job bears without a change of its standing.
func (j Job) Slack() time.Duration {
	switch end := j.Age + j.Rest; j.Standing() {
	case InTime:
		return j.Target - end
	case Late:
		return LateFactor*j.Target - end
	default:
		return math.MaxInt64
	}
}

// AtStake returns the value that the job can still have.
func (j Job) AtStake() float64 {
	switch v := Value(j.Work, j.MeanWork); j.Standing() {
	case InTime:
		return v
	case Late:
		return LateValue * v
	default:
		return 0
	}
}

// OfDelay returns what delaying the job costs for each core-second that this frees.
func (j Job) OfDelay() float64 {
	return j.AtStake() / max(j.Remaining, minRemaining)
}

// minRemaining is the least remaining work by which the cost is divided, in core-seconds.
const minRemaining = 0.01
