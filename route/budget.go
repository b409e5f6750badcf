package route

import "time"

const (
	budgetBuckets = 10
	budgetBucket  = time.Second
	// minRetries is allowed in each window whatever the number of requests,
	// so that a quiet service can retry at all.
	minRetries = 5
)

// RetryBudget bounds retries to a share of the requests of the last 10 s.
type RetryBudget struct {
	buckets [budgetBuckets]budgetCount
}

// budgetCount counts one second.
type budgetCount struct {
	start    time.Time
	requests int
	retries  int
}

// RecordRequest counts a request that a caller made.
func (b *RetryBudget) RecordRequest(now time.Time) { b.bucket(now).requests++ }

// TryRetry counts a retry and returns true if percent of the recent requests
// allow it.
func (b *RetryBudget) TryRetry(now time.Time, percent float64) bool {
	requests, retries := 0, 0
	for _, k := range b.buckets {
		if now.Sub(k.start) < budgetBuckets*budgetBucket {
			requests += k.requests
			retries += k.retries
		}
	}
	if percent <= 0 || float64(retries+1) > max(float64(requests)*percent/100, minRetries) {
		return false
	}
	b.bucket(now).retries++
	return true
}

func (b *RetryBudget) bucket(now time.Time) *budgetCount {
	start := now.Truncate(budgetBucket)
	k := &b.buckets[start.Unix()%budgetBuckets]
	if !k.start.Equal(start) {
		k.start = start
		k.requests = 0
		k.retries = 0
	}
	return k
}
