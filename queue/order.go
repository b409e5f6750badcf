package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/job"
)

// justBelowUrgent is the highest priority that waiting can give.
const justBelowUrgent = job.UrgentPriority - 0.001

// lane holds the jobs of one priority and aging, oldest first. Their order
// never changes, so only the heads of lanes have to be compared.
type lane struct {
	priority int
	aging    float64
	jobs     []*jobState
}

// order holds the jobs that have queued tasks.
type order struct {
	lanes []*lane
}

func older(a, b *jobState) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID))
}

func (o *order) lane(j *jobState) *lane {
	for _, l := range o.lanes {
		if l.priority == j.Priority && l.aging == j.Aging {
			return l
		}
	}
	return nil
}

// add puts a job at its place. A job that is there already stays.
func (o *order) add(j *jobState) {
	l := o.lane(j)
	if l == nil {
		l = &lane{priority: j.Priority, aging: j.Aging}
		o.lanes = append(o.lanes, l)
	}
	at, found := slices.BinarySearchFunc(l.jobs, j, older)
	if !found {
		l.jobs = slices.Insert(l.jobs, at, j)
	}
}

// remove takes a job out.
func (o *order) remove(j *jobState) {
	l := o.lane(j)
	if l == nil {
		return
	}
	at, found := slices.BinarySearchFunc(l.jobs, j, older)
	if found {
		l.jobs = slices.Delete(l.jobs, at, at+1)
	}
	if len(l.jobs) == 0 {
		o.lanes = slices.DeleteFunc(o.lanes, func(other *lane) bool { return other == l })
	}
}

// effective returns a job's priority after waiting. Waiting does not make a
// job urgent.
func effective(j *jobState, now time.Time) float64 {
	waited := max(0, now.UnixMilli()-j.At)
	gained := j.Aging * float64(waited) / float64(time.Minute.Milliseconds())
	p := float64(j.Priority) + gained
	if j.Priority < job.UrgentPriority {
		return min(p, justBelowUrgent)
	}
	return p
}

// byPriority calls visit for each job, the highest effective priority first,
// until visit returns false.
func (o *order) byPriority(now time.Time, visit func(*jobState) bool) {
	heads := make([]int, len(o.lanes))
	for {
		best := -1
		for i, l := range o.lanes {
			if heads[i] == len(l.jobs) {
				continue
			}
			if best < 0 || precedes(l.jobs[heads[i]], o.lanes[best].jobs[heads[best]], now) {
				best = i
			}
		}
		if best < 0 || !visit(o.lanes[best].jobs[heads[best]]) {
			return
		}
		heads[best]++
	}
}

func precedes(a, b *jobState, now time.Time) bool {
	pa, pb := effective(a, now), effective(b, now)
	if pa != pb {
		return pa > pb
	}
	return older(a, b) < 0
}
