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
	for _, l := range o.buckets {
		if l.priority == j.Priority && l.aging == j.Aging {
			return l
		}
	}
	return nil
}

// add inserts a job. It does nothing if the job is present.
func (o *jobOrder) add(j *jobState) {
	l := o.bucketOf(j)
	if l == nil {
		l = &bucket{priority: j.Priority, aging: j.Aging}
		o.buckets = append(o.buckets, l)
	}
	at, found := slices.BinarySearchFunc(l.jobs, j, compareAge)
	if !found {
		l.jobs = slices.Insert(l.jobs, at, j)
	}
}

// remove removes a job. It does nothing if the job is absent.
func (o *jobOrder) remove(j *jobState) {
	l := o.bucketOf(j)
	if l == nil {
		return
	}
	at, found := slices.BinarySearchFunc(l.jobs, j, compareAge)
	if found {
		l.jobs = slices.Delete(l.jobs, at, at+1)
	}
	if len(l.jobs) == 0 {
		o.buckets = slices.DeleteFunc(o.buckets, func(other *bucket) bool { return other == l })
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
		for i, l := range o.buckets {
			if heads[i] == len(l.jobs) {
				continue
			}
			if best < 0 || precedes(l.jobs[heads[i]], o.buckets[best].jobs[heads[best]], now) {
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
