package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// isPeer reports whether two jobs have the same priority and timeliness.
func (j *job) isPeer(o *job) bool {
	return j.priority == o.priority && j.timeliness == o.timeliness
}

// startOneEach starts one task, or gang, of each job that has none running, among the first
// of the jobs and its peers, the longest idle first. Jobs without any value left are ordered
// by ID alone, and those at the end would otherwise wait until all others are done.
func (m *Machine) startOneEach(jobs []*job, p *placer, now time.Duration) {
	var idle []*job
	for _, j := range jobs {
		if !j.isPeer(jobs[0]) {
			break
		}
		if j.runCount == 0 {
			idle = append(idle, j)
		}
	}
	slices.SortStableFunc(idle, func(a, b *job) int { return cmp.Compare(a.idleSince, b.idleSince) })
	p.single = true
	defer func() { p.single = false }()
	for _, j := range idle {
		if m.room.exhausted() {
			return
		}
		m.startOrSkip(j, p, now)
	}
}
