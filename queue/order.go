package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/job"
)

// maxAgedPriority is the highest effective priority that a job can reach by
// waiting. It is just below job.UrgentPriority.
const maxAgedPriority = job.UrgentPriority - 0.001

// bucket holds the jobs of one priority and aging rate, oldest first. Their
// relative order never changes, so only the first jobs of buckets have to be
// compared.
type bucket struct {
	priority int
	aging    float64
	jobs     []*jobState
}

// jobOrder holds the jobs that have queued tasks.
type jobOrder struct {
	buckets []*bucket
}

// compareAge compares jobs by time of submission, earlier first, then by ID.
func compareAge(a, b *jobState) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID))
}

// bucketOf returns the bucket to which a job belongs, or nil if there is none
// yet.
func (o *jobOrder) bucketOf(j *jobState) *bucket {
	for _, b := range o.buckets {
		if b.priority == j.Priority && b.aging == j.Aging {
			return b
		}
	}
	return nil
}

// add inserts a job. It does nothing if the job is present.
func (o *jobOrder) add(j *jobState) {
	b := o.bucketOf(j)
	if b == nil {
		b = &bucket{priority: j.Priority, aging: j.Aging}
		o.buckets = append(o.buckets, b)
	}
	at, found := slices.BinarySearchFunc(b.jobs, j, compareAge)
	if !found {
		b.jobs = slices.Insert(b.jobs, at, j)
	}
}

// remove removes a job. It does nothing if the job is absent.
func (o *jobOrder) remove(j *jobState) {
	b := o.bucketOf(j)
	if b == nil {
		return
	}
	at, found := slices.BinarySearchFunc(b.jobs, j, compareAge)
	if found {
		b.jobs = slices.Delete(b.jobs, at, at+1)
	}
	if len(b.jobs) == 0 {
		o.buckets = slices.DeleteFunc(o.buckets, func(other *bucket) bool { return other == b })
	}
}

// effectivePriority returns a job's priority raised by aging: Aging for each
// minute since submission. Aging does not make a job urgent.
func effectivePriority(j *jobState, now time.Time) float64 {
	waited := max(0, now.UnixMilli()-j.At)
	gained := j.Aging * float64(waited) / float64(time.Minute.Milliseconds())
	p := float64(j.Priority) + gained
	if j.Priority < job.UrgentPriority {
		return min(p, maxAgedPriority)
	}
	return p
}

// visitByPriority calls visit for each job in descending order of effective
// priority until visit returns false.
func (o *jobOrder) visitByPriority(now time.Time, visit func(*jobState) bool) {
	heads := make([]int, len(o.buckets))
	for {
		best := -1
		for i, b := range o.buckets {
			if heads[i] == len(b.jobs) {
				continue
			}
			if best < 0 || precedes(b.jobs[heads[i]], o.buckets[best].jobs[heads[best]], now) {
				best = i
			}
		}
		if best < 0 || !visit(o.buckets[best].jobs[heads[best]]) {
			return
		}
		heads[best]++
	}
}

// precedes reports whether a comes before b: by effective priority, then by age.
func precedes(a, b *jobState, now time.Time) bool {
	pa, pb := effectivePriority(a, now), effectivePriority(b, now)
	if pa != pb {
		return pa > pb
	}
	return compareAge(a, b) < 0
}
