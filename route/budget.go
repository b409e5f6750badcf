package route

import "time"

const (
	budgetBuckets    = 10
	budgetBucketSpan = time.Second
	// minRetries is allowed in each window regardless of the number of
	// requests, so that a service with few requests can retry at all.
	minRetries = 5
)

// RetryBudget limits retries to a share of the requests of the last 10 s. The
// zero value is ready for use.
type RetryBudget struct {
	buckets [budgetBuckets]budgetBucket
}

// budgetBucket holds the counts of one second.
type budgetBucket struct {
	start    time.Time
	requests int
	retries  int
}

// RecordRequest counts a request of a caller. Retries are not counted here.
func (b *RetryBudget) RecordRequest(now time.Time) { b.bucket(now).requests++ }

// TryRetry counts a retry and returns true if, with it, the retries of the last
// 10 s are at most percent of the requests, or at most 5. It returns false if
// percent is not above 0.
func (b *RetryBudget) TryRetry(now time.Time, percent float64) bool {
	requests, retries := 0, 0
	for _, bucket := range b.buckets {
		if now.Sub(bucket.start) < budgetBuckets*budgetBucketSpan {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	if percent <= 0 || float64(retries+1) > max(float64(requests)*percent/100, minRetries) {
		return false
	}
	b.bucket(now).retries++
	return true
}

func (b *RetryBudget) bucket(now time.Time) *budgetBucket {
	start := now.Truncate(budgetBucketSpan)
	bucket := &b.buckets[start.Unix()%budgetBuckets]
	if !bucket.start.Equal(start) {
		bucket.start = start
		bucket.requests = 0
		bucket.retries = 0
	}
	return bucket
}
